package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// backlog returns a world whose only worker is taken, and in which jobs wait for it.
func newBacklog(t *testing.T, waiting int) *simulation {
	sim := newReadySimulation(t, 21, 1, &job.Advice{PerCallMS: 1, PerWorkerMS: 0.1, ValidMS: 1500})
	sim.approvalShare = 1
	sim.submit("/u/", job.Submission{ID: "long", Steps: []job.Step{tasks(1, 16, 12_000)}})
	sim.run(sim.now + 300*time.Millisecond)
	for i := range waiting {
		sim.submit("/b/", job.Submission{ID: job.ID(fmt.Sprintf("w%03d", i)), Steps: []job.Step{tasks(1, 2, 100)}})
	}
	return sim
}

// Guards against steps that never have their turn because those before them cannot be
// placed: each has to ask for advice while it waits.
func TestEveryWaitingStepIsTried(t *testing.T) {
	const waiting = 150
	sim := newBacklog(t, waiting)
	sim.run(sim.now + 5*time.Second)
	for ref, s := range sim.leader.steps {
		if ref.Job != "long" && len(s.advice.verdicts) == 0 {
			t.Errorf("step %s has not asked for advice after 5 s", ref)
		}
	}
	sim.run(sim.now + 60*time.Second)
	for i := range waiting {
		if id := job.ID(fmt.Sprintf("w%03d", i)); sim.phase(id) != job.Completed {
			t.Errorf("job %s is %q", id, sim.phase(id))
		}
	}
}

// Guards against a pass whose work grows with the backlog: under overload it took the
// leader's whole time (scale-1 of the grown claims service, 1,400 queues and hundreds of
// waiting steps).
func TestPassIsBounded(t *testing.T) {
	sim := newBacklog(t, 400)
	sim.run(sim.now + time.Second)
	l := sim.leader
	list := l.waitingSteps()
	if len(list) < 300 {
		t.Fatalf("%d steps wait", len(list))
	}
	for i := range list {
		list[i].advice.inFlight = false // as if every call had been answered
	}
	if tried := l.tryPlace(l.newPass(), list, maxUnplaced); tried > maxUnplaced {
		t.Errorf("a pass tries %d steps, at most %d can fail", tried, maxUnplaced)
	}
}
