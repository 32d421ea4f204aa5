package jobs

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Guards against a task that runs twice: its start reached a worker that had restarted
// under the same ID, and the task was placed elsewhere before its stop had ended it
// there. Found by the soak, seeds 100 and 123.
func TestStartThatReachesTheNextLifeIsStoppedFirst(t *testing.T) {
	w := calm(t, 7, 2, nil)
	x := w.workers["w0:1"]
	w.workers["w1:1"].cut = true // the only choice is w0
	w.run(8 * time.Second)
	w.submit("/b/", job.Submission{ID: "r", Steps: []job.Step{tasks(1, 2, 3000)}})
	for x.w.leader.steps[job.StepRef{Job: "r"}] == nil || len(x.w.leader.steps[job.StepRef{Job: "r"}].runs) == 0 {
		w.run(w.now + time.Millisecond)
	}
	x.begin(x.id) // the start is on its way
	w.workers["w1:1"].cut = false
	w.run(w.now + 20*time.Second)
	if p := w.phase("r"); p != job.Completed {
		t.Errorf("the job is %q", p)
	}
	// The world reports a task that runs on two workers.
}
