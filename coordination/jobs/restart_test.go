package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Guards against a worker that is never let in again after a restart under its ID, and against the jobs
// that then wait for good for the ends of its earlier runs: its answers to stops do not say which
// incarnation gives them.
func TestWorkerThatRestartsUnderItsIDIsLetIn(t *testing.T) {
	ref := job.TaskRef{StepRef: job.StepRef{Job: "r"}}
	for _, c := range []struct {
		name    string
		restart func(sim *simulation, x *fakeWorker)
	}{
		{"a start is in flight", func(sim *simulation, x *fakeWorker) {
			x.startIncarnation(x.id)
		}},
		{"a start was not answered", func(sim *simulation, x *fakeWorker) {
			sim.run(sim.now + 100*time.Millisecond)
			sim.leader.workers[x.id].runs[ref].unanswered = true
			x.startIncarnation(x.id)
		}},
		{"the leader has changed", func(sim *simulation, x *fakeWorker) {
			sim.run(sim.now + 100*time.Millisecond)
			sim.endTerm()
			sim.run(sim.now + time.Second)
			sim.elect()
			x.startIncarnation(x.id)
		}},
		{"it restarts again and again", func(sim *simulation, x *fakeWorker) {
			for range 4 {
				x.startIncarnation(x.id)
				sim.run(sim.now + 300*time.Millisecond)
			}
		}},
	} {
		for _, gang := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gang %t", c.name, gang), func(t *testing.T) {
				sim := newReadySimulation(t, 7, 3, nil)
				step := tasks(6, 4, 20_000)
				step.Gang = gang
				sim.submit("/b/", job.Submission{ID: "r", Steps: []job.Step{step}})
				for s := sim.leader.steps[ref.StepRef]; s == nil || s.runs[0] == nil; s = sim.leader.steps[ref.StepRef] {
					sim.run(sim.now + time.Millisecond)
				}
				x := sim.workers[sim.state.Job("r").Task(ref).Worker+":1"]
				c.restart(sim, x)
				sim.run(sim.now + idleLimit)
				if w := sim.leader.workers[x.id]; w == nil || w.StartedMS != x.startedMS || !sim.leader.usable(w) {
					t.Errorf("the incarnation is not let in %v after its start", sim.now-x.startedAt)
				}
				sim.run(sim.now + 60*time.Second)
				if p := sim.phase("r"); p != job.Completed {
					t.Errorf("the job is %q", p)
				}
				// The simulation fails the test if a task runs on two workers.
			})
		}
	}
}

// Guards against runs that never end because the next incarnation of their worker rejects each stop,
// while it answers all the same.
func TestRunsEndThoughTheNextIncarnationConfirmsNoStop(t *testing.T) {
	for _, lease := range []time.Duration{4 * time.Second, 10 * time.Second} {
		t.Run(lease.String(), func(t *testing.T) {
			b := defaultBounds()
			b.MaxLease = lease
			sim := readySimulation(newSimulationWithBounds(t, 9, b), 2, nil)
			x, ref := sim.startOne("r", 2000)
			sim.leader.workers[x.id].runs[ref].unanswered = true // a copy of the start may reach the next incarnation
			x.startIncarnation(x.id)
			x.rejectsStops = true
			// A late start is executed within 13 s, its lease lasts as long as a worker grants, 3% more on
			// a slow clock, and the end takes StopTime.
			bound := 13*time.Second + lease*103/100 + b.StopTime
			sim.run(sim.now + bound + idleLimit)
			if w := sim.leader.workers[x.id]; w == nil || w.StartedMS != x.startedMS {
				t.Errorf("the incarnation is not let in %v after its start", sim.now-x.startedAt)
			}
			sim.run(sim.now + 5*time.Second)
			if p := sim.phase("r"); p != job.Completed {
				t.Errorf("the job is %q", p)
			}
		})
	}
}

// Guards against a worker that restarts under its ID at another address and is not let in until the longest
// late start has expired: the stop of a run that it may have started was sent to its earlier address.
func TestWorkerThatRestartsAtAnotherAddressIsLetIn(t *testing.T) {
	for _, c := range []struct {
		name    string
		newTerm bool // the leader changes before the restart, so that all runs may be started late
	}{{"its last start was not listed", false}, {"the leader has changed", true}} {
		t.Run(c.name, func(t *testing.T) {
			sim := newReadySimulation(t, 303, 2, nil)
			x, ref := sim.startOne("r", 20_000)
			if c.newTerm {
				sim.run(sim.now + time.Second)
				sim.endTerm()
				sim.elect()
				sim.run(sim.now + 500*time.Millisecond)
			}
			x.stopped, x.runs = true, map[job.TaskRef]*fakeRun{}
			sim.run(sim.now + 800*time.Millisecond)
			sim.moveTo(x, x.id+":2")
			x.startIncarnation(x.id)
			began := sim.now
			isStartedAgain := func() bool { return sim.highestStart[ref] > 1 }
			const bound = joinBound + idleLimit
			if !sim.runUntil(40*time.Second, func() bool { return sim.isUsed(x) && isStartedAgain() }) || sim.now-began > bound {
				t.Errorf("the worker is used %v and the task has started again %v after %v", sim.isUsed(x), isStartedAgain(), sim.now-began)
			}
		})
	}
}
