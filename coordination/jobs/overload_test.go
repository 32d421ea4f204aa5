package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// newSlowLeader returns a simulation in which the answers to starts are handled delay after
// they were sent.
func newSlowLeader(t *testing.T, delay time.Duration) *simulation {
	sim := newReadySimulation(t, 5, 4, nil)
	for range 10 * orderDelayWeight {
		sim.handle(StartAnswered{Start: StartRun{Order: Order{SentAt: sim.now - delay}}, Result: OrderDone})
	}
	return sim
}

// refusedOf submits n jobs and returns how many were refused.
func (sim *simulation) refusedOf(n int, name string) int {
	refused := 0
	for i := range n {
		token := sim.submit("/u/", job.Submission{ID: job.ID(fmt.Sprint(name, i)), Steps: []job.Step{tasks(1, 1, 100)}})
		if a := sim.answers[token]; a.Code == CodeRefused {
			refused++
			if a.RetryAfter == 0 {
				sim.t.Error("a refusal without a retry delay")
			}
		}
	}
	return refused
}

// Guards against a leader that accepts all jobs although its process does not keep up, so that
// none is done in time, and against refusals without need.
func TestSubmissionsAreRefusedWhileTheLeaderDoesNotKeepUp(t *testing.T) {
	const n = 200
	if r := newSlowLeader(t, maxOrderDelay/2).refusedOf(n, "a"); r > 0 {
		t.Errorf("%d of %d submissions were refused without need", r, n)
	}
	sim := newSlowLeader(t, 4*maxOrderDelay)
	if r := sim.refusedOf(n, "b"); r < n/2 || r == n {
		t.Errorf("%d of %d submissions were refused at four times the delay", r, n)
	}
	sim.run(sim.now + 10*time.Second)
	if r := sim.refusedOf(n, "c"); r > 0 {
		t.Errorf("%d of %d submissions were refused after the load has ended", r, n)
	}
}

// Guards against a refusal of a job that runs: an earlier attempt to submit it is being
// committed.
func TestSubmissionThatIsBeingStoredIsNotRefused(t *testing.T) {
	sim := newReadySimulation(t, 5, 4, nil)
	for i := range 50 {
		sim.submit("/u/", job.Submission{ID: job.ID(fmt.Sprint("j", i)), Steps: []job.Step{tasks(1, 1, 100)}})
	}
	sim.leader.overload.orderDelay = 100 * maxOrderDelay
	if r := sim.refusedOf(50, "j"); r > 0 {
		t.Errorf("%d of 50 submissions were refused while an earlier attempt was being committed", r)
	}
}

// Guards against refusals of a queue that keeps up because another one is behind, and against
// refusals that last after the queue has caught up.
func TestOnlyTheQueueThatIsBehindRefusesSubmissions(t *testing.T) {
	sim := newReadySimulation(t, 6, 4, nil)
	o := &sim.leader.overload
	for at := sim.now; at < sim.now+refusalAdjustTime; at += 20 * time.Millisecond {
		o.adjust(at, map[string]bool{"batch": true})
	}
	const n = 200
	batch, urgent := 0, 0
	for i := range n {
		if o.refuses(job.ID(fmt.Sprint("b", i)), "batch", sim.wallMS()) {
			batch++
		}
		if o.refuses(job.ID(fmt.Sprint("u", i)), "urgent", sim.wallMS()) {
			urgent++
		}
	}
	if batch < n/2 || batch == n || urgent > 0 {
		t.Errorf("%d of %d submissions were refused by the queue that is behind, %d by the other", batch, n, urgent)
	}
	sim.run(sim.now + 2*refusalAdjustTime)
	if len(o.refusedShare) > 0 {
		t.Errorf("refused shares after the queue has caught up: %v", o.refusedShare)
	}
}

// Guards against refusals that outlast their cause: one late step, or a step that is tried again
// and again and lacks room, marks its queue as behind as long as it waits.
func TestOnlyUntriedStepsMarkTheirQueueAsBehind(t *testing.T) {
	sim := newReadySimulation(t, 9, 1, nil)
	l := sim.leader
	now := 60 * time.Second
	l.SetClock(now, sim.wallMS())
	waiting := func(triedAgo time.Duration, leftMS int64) []waitingStep {
		return []waitingStep{{step: &step{
			spec: &job.Step{}, queue: job.Queue{Name: "batch"}, readyAt: now - 30*time.Second, triedAt: now - triedAgo,
			objectiveMS: sim.wallMS() + leftMS,
		}}}
	}
	for _, c := range []struct {
		name   string
		steps  []waitingStep
		behind bool
	}{
		{"untried for longer than it can wait", waiting(2*time.Second, 500), true},
		{"untried for a moment", waiting(40*time.Millisecond, 500), false},
		{"late", waiting(2*time.Second, -1), false},
	} {
		if got := l.queuesBehind(c.steps)["batch"]; got != c.behind {
			t.Errorf("a step that is %s: behind is %t", c.name, got)
		}
	}
}

// Guards against refusals while the leader's process keeps up.
func TestNothingIsRefusedBelowTheCapacityOfTheProcess(t *testing.T) {
	r := runSaturated(t, 3, 60, 0, 0)
	if r.refused > 0 {
		t.Errorf("%d submissions were refused, %d accepted", r.refused, r.jobs["/u/"])
	}
}
