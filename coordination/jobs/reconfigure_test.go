package jobs

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// newSimulationOfTwoPools returns a simulation with four workers in each of the pools p and q. The
// queues use the pool p.
func newSimulationOfTwoPools(t *testing.T, seed uint64) *simulation {
	sim := newReadySimulation(t, seed, 8, nil)
	for i, x := range sim.sorted() {
		if i >= 4 {
			x.pool = "q"
			x.startIncarnation(x.id + "q")
		}
	}
	sim.run(sim.now + 2*time.Second)
	sim.reconfigure(func(c *job.Configuration) { c.Pools = append(c.Pools, job.Pool{Name: "q"}) })
	return sim
}

// reconfigure puts a changed copy of the configuration in force.
func (sim *simulation) reconfigure(change func(c *job.Configuration)) {
	c := *sim.state.Configuration()
	c.Version++
	c.Queues = append([]job.Queue(nil), c.Queues...)
	change(&c)
	sim.token++
	sim.handle(Configure{Token: sim.token, Configuration: c})
	sim.reconfiguredAt = sim.now
	sim.run(sim.now + 50*time.Millisecond)
	if a := sim.answers[sim.token]; a.Code != CodeOK || sim.state.Configuration().Version != c.Version {
		sim.errorf("the configuration is not in force: %+v", a)
	}
}

// moveQueues sends all queues to a pool.
func (sim *simulation) moveQueues(pool string) {
	sim.reconfigure(func(c *job.Configuration) {
		for i := range c.Queues {
			c.Queues[i].Pool = pool
		}
	})
}

// expectPhase fails the test unless the jobs are in a phase.
func (sim *simulation) expectPhase(want job.Phase, ids ...job.ID) {
	sim.t.Helper()
	for _, id := range ids {
		if p := sim.phase(id); p != want {
			sim.errorf("job %s is %q, want %q", id, p, want)
		}
	}
}

// submitWaitingWork submits single tasks, a gang and a job of two steps that do not fit at once.
func (sim *simulation) submitWaitingWork() []job.ID {
	gang := tasks(4, 12, 2000)
	gang.Gang = true
	second := tasks(2, 2, 500)
	second.After = []int{0}
	sim.submit("/b/", job.Submission{ID: "single", Steps: []job.Step{tasks(24, 4, 3000)}})
	sim.submit("/b/", job.Submission{ID: "gang", Steps: []job.Step{gang}})
	sim.submit("/b/", job.Submission{ID: "steps", Steps: []job.Step{tasks(8, 4, 1000), second}})
	return []job.ID{"single", "gang", "steps"}
}

// Guards against tasks that are never started because their queue was sent to another pool while
// they waited.
func TestWaitingTasksFollowTheirQueueToAnotherPool(t *testing.T) {
	sim := newSimulationOfTwoPools(t, 61)
	ids := sim.submitWaitingWork()
	sim.run(sim.now + time.Second)
	sim.moveQueues("q")
	sim.run(sim.now + 30*time.Second)
	sim.expectPhase(job.Completed, ids...)
}

// Guards against the same when the queue moves to the other pool, back and there again.
func TestWaitingTasksFollowTheirQueueBackAndForth(t *testing.T) {
	sim := newSimulationOfTwoPools(t, 62)
	ids := sim.submitWaitingWork()
	for _, pool := range []string{"q", "p", "q"} {
		sim.run(sim.now + time.Second)
		sim.moveQueues(pool)
	}
	sim.run(sim.now + 30*time.Second)
	sim.expectPhase(job.Completed, ids...)
}

// Guards against a gang that keeps room in the pool that its queue has left, and against tickets
// of that pool that are used after the move.
func TestHoldsAndAdviceOfTheEarlierPoolAreDropped(t *testing.T) {
	sim := newSimulationOfTwoPools(t, 63)
	sim.approvalShare = 1
	advice := &job.Advice{PerCallMS: 10, PerWorkerMS: 0.2, ValidMS: 1500}
	sim.reconfigure(func(c *job.Configuration) { c.Queues[0].Advice, c.Queues[1].Advice = advice, advice })
	long := tasks(8, 8, 6000)
	long.Checkpointing = true
	sim.submit("/b/", job.Submission{ID: "long", Steps: []job.Step{long}})
	sim.run(sim.now + time.Second)
	gang := tasks(4, 12, 1000)
	gang.Gang = true
	sim.submit("/u/", job.Submission{ID: "gang", Steps: []job.Step{gang}})
	sim.run(sim.now + 350*time.Millisecond)
	sim.moveQueues("q")
	for ref, s := range sim.leader.steps {
		if ref.Job == "gang" && (s.hold != nil || s.queue.Pool != "q") {
			t.Errorf("the gang holds room on %v, its queue has the pool %s", s.hold, s.queue.Pool)
		}
	}
	sim.run(sim.now + 25*time.Second)
	sim.expectPhase(job.Completed, "gang", "long")
}

// Guards against tasks that are never started because their queue got or lost advice while they
// waited, also while a call for advice is under way.
func TestWaitingTasksFollowChangesOfAdvice(t *testing.T) {
	advice := &job.Advice{PerCallMS: 10, PerWorkerMS: 0.2, ValidMS: 1500}
	for name, change := range map[string][2]*job.Advice{"added": {nil, advice}, "removed": {advice, nil}} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationOfTwoPools(t, 64)
			setAdvice := func(a *job.Advice) {
				sim.reconfigure(func(c *job.Configuration) { c.Queues[0].Advice, c.Queues[1].Advice = a, a })
			}
			setAdvice(change[0])
			ids := sim.submitWaitingWork()
			sim.run(sim.now + time.Second)
			sim.submit("/b/", job.Submission{ID: "late", Steps: []job.Step{tasks(3, 2, 500)}})
			sim.run(sim.now + 5*time.Millisecond) // its call for advice is under way
			setAdvice(change[1])
			sim.run(sim.now + 40*time.Second)
			sim.expectPhase(job.Completed, append(ids, "late")...)
		})
	}
}

// Guards against a job that stays open for good: a configuration allows fewer attempts than one of
// its waiting tasks has failed already.
func TestJobFailsWhenItsAttemptsAreReduced(t *testing.T) {
	for name, elect := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			sim := newReadySimulation(t, 65, 1, nil)
			x := sim.workers["w0:1"]
			x.failShare = 1
			sim.submit("/b/", job.Submission{ID: "a", Steps: []job.Step{tasks(1, 2, 300)}})
			for sim.now < 10*time.Second && len(sim.failedRuns) == 0 {
				sim.run(sim.now + 10*time.Millisecond)
			}
			sim.submit("/u/", job.Submission{ID: "filler", Steps: []job.Step{tasks(1, 16, 5000)}})
			sim.run(sim.now + 100*time.Millisecond)
			for sim.now < 20*time.Second && sim.state.Job("a").Occurrence(0).Steps[0][0].Failures < 1 {
				sim.run(sim.now + 10*time.Millisecond)
			}
			if elect {
				sim.endTerm()
			}
			c := *sim.state.Configuration()
			c.Version, c.Queues = 2, append([]job.Queue(nil), c.Queues...)
			for i := range c.Queues {
				c.Queues[i].MaxAttempts = 1
			}
			if elect {
				sim.apply(&job.Command{Configure: &c})
				sim.elect()
			} else {
				sim.reconfigure(func(changed *job.Configuration) { changed.Queues = c.Queues })
			}
			sim.run(sim.now + 8*time.Second)
			sim.expectPhase(job.Failed, "a")
			sim.checkFailedJobs()
		})
	}
}

// Guards against a running task whose job is shown as failed because the number of attempts is
// reduced while it runs: its run may still succeed.
func TestRunningTaskMayCompleteWhenAttemptsAreReduced(t *testing.T) {
	sim := newReadySimulation(t, 66, 2, nil)
	sim.workers["w0:1"].failShare = 1
	sim.submit("/b/", job.Submission{ID: "a", Steps: []job.Step{tasks(1, 2, 2000)}})
	for sim.now < 10*time.Second && sim.highestStart[job.TaskRef{StepRef: job.StepRef{Job: "a"}}] < 2 {
		sim.run(sim.now + 10*time.Millisecond)
	}
	sim.reconfigure(func(c *job.Configuration) { c.Queues[1].MaxAttempts = 1 })
	sim.run(sim.now + 8*time.Second)
	sim.expectPhase(job.Completed, "a")
}

// Guards against waiting steps that are ordered by the priority and the objective of an earlier
// configuration.
func TestWaitingStepsUseTheSettingsInForce(t *testing.T) {
	sim := newReadySimulation(t, 67, 1, nil)
	for i := range 3 {
		sim.submit("/b/", job.Submission{ID: job.ID(fmt.Sprint("a", i)), Steps: []job.Step{tasks(1, 16, 4000)}})
	}
	sim.run(sim.now + 500*time.Millisecond)
	before := sim.leader.steps[job.StepRef{Job: "a2"}].objectiveMS
	sim.reconfigure(func(c *job.Configuration) { c.Queues[1].Priority, c.Queues[1].Stretch = 0, 2 })
	s := sim.leader.steps[job.StepRef{Job: "a2"}]
	if s.queue.Priority != 0 || s.objectiveMS != before-2*4000 {
		t.Errorf("priority %d, objective %d ms earlier, want 0 and 8000", s.queue.Priority, before-s.objectiveMS)
	}
}

// Guards against violations of the invariants while queues move between pools, get and lose advice,
// and change their attempts and priorities, beside all faults of the histories.
func TestInvariantsHoldWithChangesOfConfiguration(t *testing.T) {
	seeds := uint64(24)
	if testing.Short() {
		seeds = 6
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", 9000+seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, 9000+seed, int(seed%2)*3, func(sim *simulation) {
				sim.approvalShare = 1 // a pool of four workers may have too few that are allowed to run a gang
				for i, x := range sim.sorted() {
					if i >= 4 {
						x.pool = "q"
						x.startIncarnation(x.id + "q")
					}
				}
				for at := time.Second; at < 25*time.Second; at += sim.between(300*time.Millisecond, 4*time.Second) {
					sim.after(at, sim.changeConfiguration)
				}
			})
		})
	}
}

// changeConfiguration sends a random configuration, in which the queue "batch" may allow more or fewer
// attempts than before.
func (sim *simulation) changeConfiguration() {
	c := *sim.state.Configuration()
	c.Version++
	c.Pools = []job.Pool{{Name: "p"}, {Name: "q"}}
	c.Queues = append([]job.Queue(nil), c.Queues...)
	advice := sim.advice
	if sim.rng.IntN(4) == 0 {
		advice = !advice
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		q.Pool = []string{"p", "q"}[sim.rng.IntN(2)]
		q.Priority = sim.rng.IntN(3)
		q.Stretch = 1 + 3*sim.rng.Float64()
		if q.Advice = nil; advice {
			q.Advice = &job.Advice{PerCallMS: 10, PerWorkerMS: 0.2, ValidMS: 1500}
		}
		if q.Name == "batch" {
			q.MaxAttempts = 2 + sim.rng.IntN(3)
		}
	}
	if !sim.leaderActive {
		return
	}
	for _, q := range slices.Concat(sim.state.Configuration().Queues, c.Queues) {
		if least, known := sim.leastAttempts[q.Name]; !known || q.MaxAttempts < least {
			sim.leastAttempts[q.Name] = q.MaxAttempts
		}
	}
	sim.token++
	sim.handle(Configure{Token: sim.token, Configuration: c})
	sim.reconfiguredAt = sim.now
}

// Guards against a job that is shown as failed although its attempts were raised again before it was:
// two operators change the configuration shortly after each other.
func TestJobGoesOnWhenItsAttemptsAreRaisedAgain(t *testing.T) {
	sim := newReadySimulation(t, 68, 1, nil)
	x := sim.workers["w0:1"]
	x.failShare = 1
	sim.submit("/b/", job.Submission{ID: "a", Steps: []job.Step{tasks(1, 2, 300)}})
	for sim.now < 10*time.Second && len(sim.failedRuns) == 0 {
		sim.run(sim.now + 10*time.Millisecond)
	}
	x.failShare = 0
	sim.submit("/u/", job.Submission{ID: "filler", Steps: []job.Step{tasks(1, 16, 3000)}})
	for sim.now < 20*time.Second && sim.state.Job("a").Occurrence(0).Steps[0][0].Failures < 1 {
		sim.run(sim.now + 10*time.Millisecond)
	}
	sim.leader.nextPeriodicCheck = sim.now + periodicCheckInterval // the job is not failed before the second change
	sim.reconfigure(func(c *job.Configuration) { c.Queues[1].MaxAttempts = 1 })
	sim.reconfigure(func(c *job.Configuration) { c.Queues[1].MaxAttempts = 3 })
	sim.run(sim.now + 15*time.Second)
	sim.expectPhase(job.Completed, "a")
}
