package jobs

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// maxViolationTime is how long a service task may miss its target because of best-effort
// tasks.
const maxViolationTime = 4 * time.Second

// newSharedWorkerSimulation returns a simulation in which one worker runs a service task
// with a latency target of 100 ms beside three best-effort tasks.
func newSharedWorkerSimulation(t *testing.T) *simulation {
	sim := newReadySimulation(t, 11, 1, nil)
	sim.serviceTail, sim.bestEffortLatency = 40, 10
	sim.submit("/u/", job.Submission{ID: "s", Steps: []job.Step{{
		Count: 1, PerTask: resource.Amount{MilliCores: 4000, MemoryMB: 10}, Service: true, TailTargetMS: 100, EstimateMS: 1000,
	}}})
	sim.submit("/b/", job.Submission{ID: "f", Steps: []job.Step{{
		Count: 3, PerTask: resource.Amount{MilliCores: 4000, MemoryMB: 10}, BestEffort: true, EstimateMS: 600_000,
	}}})
	sim.run(sim.now + time.Second)
	return sim
}

// longestViolation runs the simulation for some time and returns the longest period in
// which the service task missed its target.
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

// totalBestEffortPace returns the sum of the paces of the best-effort tasks, in percent.
func (sim *simulation) totalBestEffortPace() int {
	total := 0
	for ref, r := range sim.workers["w0:1"].runs {
		if ref.Job == "f" {
			total += 100 - r.slowdownPercent
		}
	}
	return total
}

// Guards against best-effort tasks that keep the latency of a service task above its target,
// and against best-effort tasks that stay slow although the latency is far below the target
// again.
func TestBestEffortTasksArePaced(t *testing.T) {
	sim := newSharedWorkerSimulation(t)
	if p := sim.totalBestEffortPace(); p != 300 {
		t.Fatalf("total pace %d of three tasks while the target is met, want 300", p)
	}
	sim.bestEffortLatency = 100 // the added latency can change within seconds
	if over := sim.longestViolation(20 * time.Second); over > maxViolationTime {
		t.Errorf("the target was missed for %v", over)
	}
	if p := sim.totalBestEffortPace(); p == 0 {
		t.Error("best-effort tasks are paused although the target allows some of them")
	}
	sim.bestEffortLatency = 5
	if over := sim.longestViolation(40 * time.Second); over > maxViolationTime {
		t.Errorf("the target was missed for %v", over)
	}
	if p := sim.totalBestEffortPace(); p != 300 {
		t.Errorf("total pace %d long after the target was missed last, want 300", p)
	}
}

// Guards against best-effort tasks that stay slow after a change of leader, because the
// new leader does not know that its predecessor slowed them.
func TestNextLeaderSetsPaceAgain(t *testing.T) {
	sim := newSharedWorkerSimulation(t)
	sim.bestEffortLatency = 100
	sim.run(sim.now + 3*time.Second)
	if p := sim.totalBestEffortPace(); p >= 300 {
		t.Fatalf("total pace %d, want less than 300", p)
	}
	sim.endTerm()
	sim.run(sim.now + 500*time.Millisecond)
	sim.bestEffortLatency = 5
	sim.elect()
	sim.run(sim.now + 5*time.Second)
	if p := sim.totalBestEffortPace(); p != 300 {
		t.Errorf("total pace %d under the next leader, want 300", p)
	}
}

// Guards against a pace that oscillates because a pace at which the target was missed is
// tried again at once.
func TestPaceDoesNotOscillate(t *testing.T) {
	var p paceController
	now, cuts, last := time.Duration(0), 0, 100
	for range 300 {
		now += 100 * time.Millisecond
		p.update(now, 0.3+float64(p.percent())/100) // exceeds paceHigh at a pace above 60 percent
		if p.percent() < last {
			cuts++
		}
		last = p.percent()
	}
	if cuts > 4 {
		t.Errorf("%d cuts in 30 s", cuts)
	}
	if p.percent() < 20 {
		t.Errorf("pace %d although 60 does not exceed paceHigh", p.percent())
	}
}
