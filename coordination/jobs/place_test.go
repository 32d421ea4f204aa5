package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// backlog returns a world whose only worker is taken, and in which jobs wait for it.
func backlog(t *testing.T, waiting int) *world {
	w := calm(t, 21, 1, &job.Advice{PerCallMS: 1, PerWorkerMS: 0.1, ValidMS: 1500})
	w.goodShare = 1
	w.submit("/u/", job.Submission{ID: "long", Steps: []job.Step{tasks(1, 16, 12_000)}})
	w.run(w.now + 300*time.Millisecond)
	for i := range waiting {
		w.submit("/b/", job.Submission{ID: job.ID(fmt.Sprintf("w%03d", i)), Steps: []job.Step{tasks(1, 2, 100)}})
	}
	return w
}

// Guards against steps that never have their turn because those before them cannot be
// placed: each has to ask for advice while it waits.
func TestEveryWaitingStepHasItsTurn(t *testing.T) {
	const waiting = 150
	w := backlog(t, waiting)
	w.run(w.now + 5*time.Second)
	for ref, s := range w.leader.steps {
		if ref.Job != "long" && len(s.advice.verdicts) == 0 {
			t.Errorf("step %s has not asked for advice after 5 s", ref)
		}
	}
	w.run(w.now + 60*time.Second)
	for i := range waiting {
		if id := job.ID(fmt.Sprintf("w%03d", i)); w.phase(id) != job.Completed {
			t.Errorf("job %s is %q", id, w.phase(id))
		}
	}
}

// Guards against a pass whose work grows with the backlog: under overload it took the
// leader's whole time (scale-1 of the grown claims service, 1,400 queues and hundreds of
// waiting steps).
func TestPassIsBounded(t *testing.T) {
	w := backlog(t, 400)
	w.run(w.now + time.Second)
	l := w.leader
	list := l.waitingSteps()
	if len(list) < 300 {
		t.Fatalf("%d steps wait", len(list))
	}
	for i := range list {
		list[i].advice.asking = false // as if every call had been answered
	}
	if tried := l.tryPlace(l.newPass(), list, maxUnplaced); tried > maxUnplaced {
		t.Errorf("a pass tries %d steps, at most %d can fail", tried, maxUnplaced)
	}
}
