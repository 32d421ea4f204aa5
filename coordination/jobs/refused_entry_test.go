package jobs

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// endsAsDone reports whether a command records the end of a run as done.
func endsAsDone(c *job.Command) bool {
	if c.EndRuns == nil {
		return false
	}
	for i := range c.EndRuns.Runs {
		if c.EndRuns.Runs[i].Kind == job.EndDone {
			return true
		}
	}
	return false
}

// Guards against a task that is started again although it is done: its start reaches the next incarnation of
// a worker, where the task ends, and the log takes no entry when that incarnation lists the end. The end is
// acknowledged once the incarnation has joined, while the task runs elsewhere.
func TestEndOnNextIncarnationCountsIfItIsRefusedOnce(t *testing.T) {
	for _, refusals := range []int{1, 5} {
		refused := 0
		for seed := uint64(1); seed <= 20 && !t.Failed(); seed++ {
			sim := newReadySimulation(t, seed, 2, nil)
			x := sim.sendStart("r", 60)
			x.startIncarnation(x.id)
			sim.log.refuseNext(refusals, endsAsDone)
			sim.run(sim.now + 20*time.Second)
			refused += sim.log.refused
			if p := sim.phase("r"); p != job.Completed {
				t.Errorf("seed %d: the job is %q", seed, p)
			}
			// The simulation fails the test if an end as done is acknowledged after a later start.
		}
		if refused == 0 {
			t.Error("no entry was refused")
		}
	}
}

// Guards against an end that is learnt from at each try: the worker lists it again as long as the log takes no
// entry. One run would decide on the expected run time of its step, and on the speed of its worker.
func TestRefusedEndIsLearntFromOnce(t *testing.T) {
	sim := newReadySimulation(t, 21, 1, nil)
	sim.submit("/b/", job.Submission{ID: "r", Steps: []job.Step{tasks(2, 16, 300)}}) // one after the other
	sim.log.refuseNext(8, endsAsDone)
	ref := job.TaskRef{StepRef: job.StepRef{Job: "r"}}
	isDone := func() bool { return sim.ackedDone[ref] }
	if !sim.runUntil(10*time.Second, isDone) {
		t.Fatal("the first task is not done")
	}
	if sim.log.refused != 8 {
		t.Errorf("%d entries were refused", sim.log.refused)
	}
	if n := len(sim.leader.steps[ref.StepRef].workTimes); n != 1 {
		t.Errorf("%d run times were learnt from one run", n)
	}
}

// Guards against a second request for the maintenance of a VM that has had it, and against a VM that is
// withheld from work until then: the log takes no entry when the platform answers the first one.
func TestMaintenanceIsRequestedOnceIfItsRecordIsRefused(t *testing.T) {
	sim := newReadySimulation(t, 36, 4, nil)
	sim.addVMs()
	sim.log.refuseNext(6, func(c *job.Command) bool { return c.MaintenanceStarted != nil })
	sim.startWave(1, 1, 30*time.Second, "vm-w0")
	sim.run(sim.now + 10*time.Second)
	if !sim.isWaveCompleted(1) || sim.vms.calls != 1 {
		t.Errorf("wave completed: %v, %d requests", sim.isWaveCompleted(1), sim.vms.calls)
	}
	if sim.log.refused != 6 {
		t.Errorf("%d entries were refused", sim.log.refused)
	}
}

// Guards against final jobs that are kept for good: the log takes no entry at the moment at which their
// retention ends.
func TestFinalJobsArePrunedIfThatIsRefusedOnce(t *testing.T) {
	sim := newReadySimulation(t, 37, 1, nil)
	sim.submit("/b/", job.Submission{ID: "r", Steps: []job.Step{tasks(1, 2, 100)}})
	sim.log.refuseNext(1, func(c *job.Command) bool { return c.Prune != nil })
	sim.run(sim.now + sim.leader.retention() + 5*time.Second)
	if sim.log.refused != 1 {
		t.Errorf("%d entries were refused", sim.log.refused)
	}
	if sim.state.Job("r") != nil {
		t.Error("the job is still kept")
	}
}
