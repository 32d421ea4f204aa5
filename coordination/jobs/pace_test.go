package jobs

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// harmBound is how long a service task may miss its target because of tasks that fill.
const harmBound = 4 * time.Second

// sharedWorker returns a world in which one worker runs a service task with a target of
// 100 ms and tasks that fill.
func sharedWorker(t *testing.T) *world {
	w := calm(t, 11, 1, nil)
	w.serviceTail, w.fillHarm = 40, 10
	w.submit("/u/", job.Submission{ID: "s", Steps: []job.Step{{
		Count: 1, PerTask: resource.Amount{MilliCores: 4000, MemoryMB: 10}, Service: true, TailTargetMS: 100, EstimateMS: 1000,
	}}})
	w.submit("/b/", job.Submission{ID: "f", Steps: []job.Step{{
		Count: 3, PerTask: resource.Amount{MilliCores: 4000, MemoryMB: 10}, BestEffort: true, EstimateMS: 600_000,
	}}})
	w.run(w.now + time.Second)
	return w
}

// longestOver plays for a time and returns the longest span in which the service task
// missed its target.
func (w *world) longestOver(length time.Duration) time.Duration {
	var longest, since time.Duration
	ref := job.TaskRef{StepRef: job.StepRef{Job: "s"}}
	for end := w.now + length; w.now < end && !w.t.Failed(); {
		w.run(w.now + 50*time.Millisecond)
		if x := w.workers["w0:1"]; x.runs[ref] == nil || x.usage(ref) <= 100 {
			since = w.now
		}
		longest = max(longest, w.now-since)
	}
	return longest
}

func (w *world) fillPace() int {
	total := 0
	for ref, r := range w.workers["w0:1"].runs {
		if ref.Job == "f" {
			total += 100 - r.slowed
		}
	}
	return total
}

// Guards against tasks that fill and keep a service task above its target, and against
// ones that stay slow when they harm nobody any more.
func TestTasksThatFillArePaced(t *testing.T) {
	w := sharedWorker(t)
	if p := w.fillPace(); p != 300 {
		t.Fatalf("pace %d of three tasks that harm nobody", p)
	}
	w.fillHarm = 100 // the harm changes within seconds
	if over := w.longestOver(20 * time.Second); over > harmBound {
		t.Errorf("the target was missed for %v", over)
	}
	if p := w.fillPace(); p == 0 {
		t.Error("tasks that fill stand still although there is room for some")
	}
	w.fillHarm = 5
	if over := w.longestOver(40 * time.Second); over > harmBound {
		t.Errorf("the target was missed for %v", over)
	}
	if p := w.fillPace(); p != 300 {
		t.Errorf("pace %d long after the harm is over", p)
	}
}

// Guards against tasks that stay slow because the leader that slowed them is gone.
func TestNextLeaderSetsThePace(t *testing.T) {
	w := sharedWorker(t)
	w.fillHarm = 100
	w.run(w.now + 3*time.Second)
	if p := w.fillPace(); p >= 300 {
		t.Fatalf("pace %d", p)
	}
	w.depose()
	w.run(w.now + 500*time.Millisecond)
	w.fillHarm = 5
	w.elect()
	w.run(w.now + 5*time.Second)
	if p := w.fillPace(); p != 300 {
		t.Errorf("pace %d under the next leader", p)
	}
}

// Guards against a pace that swings: what was too much is not tried again at once.
func TestPacerRemembersWhatWasTooMuch(t *testing.T) {
	var p pacer
	now, cuts, last := time.Duration(0), 0, 100
	for range 300 {
		now += 100 * time.Millisecond
		p.update(now, 0.3+float64(p.percent())/100) // above the target from 60 percent on
		if p.percent() < last {
			cuts++
		}
		last = p.percent()
	}
	if cuts > 4 {
		t.Errorf("%d cuts in 30 s", cuts)
	}
	if p.percent() < 20 {
		t.Errorf("pace %d although 60 harms nobody", p.percent())
	}
}
