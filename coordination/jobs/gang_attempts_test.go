package jobs

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// gangOf returns a gang with a number of tasks that need 4 cores each, at most perWorker on a worker.
func gangOf(count, perWorker int) job.Step {
	s := tasks(count, 4, 500)
	s.Gang, s.MaxPerWorker = true, perWorker
	return s
}

// checkGangRun fails the test unless the gang "g" is completed by its second run.
func (sim *simulation) checkGangRun() {
	sim.t.Helper()
	sim.checkFailedJobs()
	if p := sim.phase("g"); p != job.Completed {
		sim.t.Errorf("the gang is %q: %v", p, sim.state.Job("g").Reason)
	}
	if run := sim.highestStart[job.TaskRef{StepRef: job.StepRef{Job: "g"}}]; run != 2 {
		sim.t.Errorf("the gang was started %d times", run)
	}
}

// newSimulationOfAttempts returns a simulation with two attempts for each task.
func newSimulationOfAttempts(t *testing.T, seed uint64, workers int) *simulation {
	sim := newReadySimulation(t, seed, workers, nil)
	c := *sim.state.Configuration()
	c.Version, c.Queues = 2, append([]job.Queue(nil), c.Queues...)
	for i := range c.Queues {
		c.Queues[i].MaxAttempts = 2
	}
	sim.apply(&job.Command{Configure: &c})
	return sim
}

// Guards against a gang that is shown as failed after one of two attempts because several of its
// members fail in the same run and one worker reports them together.
func TestGangMembersThatFailTogetherUseOneAttempt(t *testing.T) {
	sim := newSimulationOfAttempts(t, 41, 3)
	sim.workers["w0:1"].failShare = 1
	sim.submit("/u/", job.Submission{ID: "g", Steps: []job.Step{gangOf(5, 0)}})
	sim.run(sim.now + 20*time.Second)
	sim.checkGangRun()
}

// Guards against the same when the members report their failures from two workers.
func TestGangFailuresOnTwoWorkersUseOneAttempt(t *testing.T) {
	sim := newSimulationOfAttempts(t, 42, 6)
	sim.workers["w0:1"].failShare, sim.workers["w1:1"].failShare = 1, 1
	sim.submit("/u/", job.Submission{ID: "g", Steps: []job.Step{gangOf(4, 1)}})
	sim.run(sim.now + 20*time.Second)
	sim.checkGangRun()
}

// Guards against the same when the second failure is reported to the next leader, which has
// only the replicated state: it is that of a log or that of a snapshot.
func TestGangFailuresInTwoTermsUseOneAttempt(t *testing.T) {
	for name, restore := range map[string]bool{"log": false, "snapshot": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationOfAttempts(t, 43, 8)
			first := sim.workers["w0:1"]
			others := []*fakeWorker{sim.workers["w1:1"], sim.workers["w2:1"], sim.workers["w3:1"]}
			setPartitioned := func(partitioned bool) {
				for _, x := range others {
					x.partitioned = partitioned
				}
			}
			for _, x := range append(others, first) {
				x.failShare = 1
			}
			sim.submit("/u/", job.Submission{ID: "g", Steps: []job.Step{gangOf(4, 1)}})
			failures := func() int {
				if j := sim.state.Job("g"); j != nil && j.Occurrence(0) != nil {
					return j.Occurrence(0).Steps[0][0].Failures
				}
				return 0
			}
			for sim.now < 3*time.Second && failures() == 0 {
				sim.run(sim.now + time.Millisecond)
				if len(first.ended) > 0 {
					setPartitioned(true) // their failures are not reported yet
				}
			}
			if n := failures(); n != 1 {
				t.Fatalf("%d failures after the report of the first worker", n)
			}
			sim.endTerm()
			sim.run(sim.now + 300*time.Millisecond)
			if restore {
				sim.state = job.Restore(sim.state.Snapshot())
			}
			setPartitioned(false)
			sim.elect()
			sim.run(sim.now + 20*time.Second)
			sim.checkGangRun()
		})
	}
}

// Guards against attempts that are not counted: a gang that fails in each run uses one attempt in
// each, and is shown as failed after the last.
func TestGangThatAlwaysFailsUsesAllAttempts(t *testing.T) {
	sim := newSimulationOfAttempts(t, 44, 3)
	for _, x := range sim.workers {
		x.failShare = 1
	}
	sim.submit("/u/", job.Submission{ID: "g", Steps: []job.Step{gangOf(5, 0)}})
	sim.run(sim.now + 20*time.Second)
	if p := sim.phase("g"); p != job.Failed {
		t.Errorf("the gang is %q", p)
	}
	sim.checkFailedJobs()
	if run := sim.highestStart[job.TaskRef{StepRef: job.StepRef{Job: "g"}}]; run != 2 {
		t.Errorf("the gang was started %d times", run)
	}
}
