package jobs

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// harmBound is how long a service task may miss its target because of tasks that fill.
const maxViolationTime = 4 * time.Second

// sharedWorker returns a world in which one worker runs a service task with a target of
// 100 ms and tasks that fill.
func newSharedWorker(t *testing.T) *simulation {
	sim := newReadySimulation(t, 11, 1, nil)
	sim.serviceTail, sim.bestEffortHarm = 40, 10
	sim.submit("/u/", job.Submission{ID: "s", Steps: []job.Step{{
		Count: 1, PerTask: resource.Amount{MilliCores: 4000, MemoryMB: 10}, Service: true, TailTargetMS: 100, EstimateMS: 1000,
	}}})
	sim.submit("/b/", job.Submission{ID: "f", Steps: []job.Step{{
		Count: 3, PerTask: resource.Amount{MilliCores: 4000, MemoryMB: 10}, BestEffort: true, EstimateMS: 600_000,
	}}})
	sim.run(sim.now + time.Second)
	return sim
}

// longestOver plays for a time and returns the longest span in which the service task
// missed its target.
func (sim *simulation) longestViolation(length time.Duration) time.Duration {
	var longest, since time.Duration
	ref := job.TaskRef{StepRef: job.StepRef{Job: "s"}}
	for end := sim.now + length; sim.now < end && !sim.t.Failed(); {
		sim.run(sim.now + 50*time.Millisecond)
		if x := sim.workers["w0:1"]; x.runs[ref] == nil || x.usage(ref) <= 100 {
			since = sim.now
		}
		longest = max(longest, sim.now-since)
	}
	return longest
}

func (sim *simulation) totalBestEffortPace() int {
	total := 0
	for ref, r := range sim.workers["w0:1"].runs {
		if ref.Job == "f" {
			total += 100 - r.slowdownPercent
		}
	}
	return total
}

// Guards against tasks that fill and keep a service task above its target, and against
// ones that stay slow when they harm nobody any more.
func TestBestEffortTasksArePaced(t *testing.T) {
	sim := newSharedWorker(t)
	if p := sim.totalBestEffortPace(); p != 300 {
		t.Fatalf("pace %d of three tasks that harm nobody", p)
	}
	sim.bestEffortHarm = 100 // the harm changes within seconds
	if over := sim.longestViolation(20 * time.Second); over > maxViolationTime {
		t.Errorf("the target was missed for %v", over)
	}
	if p := sim.totalBestEffortPace(); p == 0 {
		t.Error("tasks that fill stand still although there is room for some")
	}
	sim.bestEffortHarm = 5
	if over := sim.longestViolation(40 * time.Second); over > maxViolationTime {
		t.Errorf("the target was missed for %v", over)
	}
	if p := sim.totalBestEffortPace(); p != 300 {
		t.Errorf("pace %d long after the harm is over", p)
	}
}

// Guards against tasks that stay slow because the leader that slowed them is gone.
func TestNextLeaderSetsPaceAgain(t *testing.T) {
	sim := newSharedWorker(t)
	sim.bestEffortHarm = 100
	sim.run(sim.now + 3*time.Second)
	if p := sim.totalBestEffortPace(); p >= 300 {
		t.Fatalf("pace %d", p)
	}
	sim.endTerm()
	sim.run(sim.now + 500*time.Millisecond)
	sim.bestEffortHarm = 5
	sim.elect()
	sim.run(sim.now + 5*time.Second)
	if p := sim.totalBestEffortPace(); p != 300 {
		t.Errorf("pace %d under the next leader", p)
	}
}

// Guards against a pace that swings: what was too much is not tried again at once.
func TestPaceDoesNotOscillate(t *testing.T) {
	var p paceController
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
