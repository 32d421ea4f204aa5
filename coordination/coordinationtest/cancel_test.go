package coordinationtest

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// cancelQueuedRequests queues requests behind busy workers, cancels them all at the
// same time and returns the numbers of steps and effects per cancellation.
func cancelQueuedRequests(t *testing.T, queued int) (steps, effects float64) {
	t.Helper()
	sim := startSimulation(t, Options{Seed: 8200, Domains: 1, PerDomain: 3, Runners: 1})
	c := sim.NewCaller("d1")
	c.Cancel, c.Duplicate = 0, 0
	for range 8 {
		c.Submit(Spec{Domain: "d1", Team: "mail", Kind: "statement", Tasks: 4, Work: Work{Run: 60 * time.Second}})
	}
	for i := range queued {
		c.Submit(Spec{Domain: "d1", Team: "mail", Kind: "statement", Work: Work{Run: time.Second}})
		if i%100 == 0 {
			must(t, sim, sim.RunFor(100*time.Millisecond))
		}
	}
	must(t, sim, sim.RunFor(5*time.Second))
	leader := sim.Leader("domain-d1")
	beforeSteps, beforeEffects := leader.steps, leader.effects
	left := 0
	for _, r := range c.Requests {
		if !r.Accepted {
			continue
		}
		left++
		leader.call(func(t coordination.Token) coordination.Event {
			return coordination.CancelRequest{Token: t, Key: r.Key, Actor: "c"}
		}, func(a coordination.Answer) {
			if a.Code == coordination.CodeOK {
				left--
			}
		})
	}
	cancels := float64(left)
	if ok, err := sim.RunWhile(10*time.Second, func() bool { return left > 0 }); err != nil || !ok {
		t.Fatalf("%d of %v cancellations are not answered: %v", left, cancels, err)
	}
	steps, effects = float64(leader.steps-beforeSteps)/cancels, float64(leader.effects-beforeEffects)/cancels
	must(t, sim, sim.Settle())
	done := 0
	for _, r := range c.Requests {
		if r.Accepted && r.Outcome == state.OutcomeDone {
			done++
		}
	}
	if most := 3 * 4; done > most { // 3 workers with room for 4 tasks each, which may finish before they are stopped
		t.Errorf("%d cancelled requests completed, want at most the running ones", done)
	}
	t.Logf("%v cancellations: %.2f steps and %.2f effects each", cancels, steps, effects)
	return steps, effects
}

// Guards against a cancellation that scans the queue: its numbers of steps and effects
// may differ by at most 20% between 300 and 3000 queued requests.
func TestCancelCostIndependentOfQueueLength(t *testing.T) {
	t.Parallel()
	fewSteps, fewEffects := cancelQueuedRequests(t, 300)
	manySteps, manyEffects := cancelQueuedRequests(t, 3000)
	if manySteps > 1.2*fewSteps || manyEffects > 1.2*fewEffects {
		t.Errorf("a cancellation costs %.2f steps and %.2f effects with 3000 queued requests, %.2f and %.2f with 300", manySteps, manyEffects, fewSteps, fewEffects)
	}
}
