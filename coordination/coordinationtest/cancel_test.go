package coordinationtest

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// cancelWave queues requests behind a busy runner, cancels them all at once and
// returns the steps and effects for each cancel.
func cancelWave(t *testing.T, queued int) (steps, effects float64) {
	t.Helper()
	w := begin(t, Options{Seed: 8200, Domains: 1, PerDomain: 3, Runners: 1})
	c := w.NewCaller("d1")
	c.Cancel, c.Duplicate = 0, 0
	for range 8 {
		c.Submit(Spec{Domain: "d1", Team: "mail", Kind: "statement", Tasks: 4, Work: Work{Run: 60 * time.Second}})
	}
	for i := range queued {
		c.Submit(Spec{Domain: "d1", Team: "mail", Kind: "statement", Work: Work{Run: time.Second}})
		if i%100 == 0 {
			must(t, w, w.RunFor(100*time.Millisecond))
		}
	}
	must(t, w, w.RunFor(5*time.Second))
	leader := w.Leader("domain-d1")
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
	if ok, err := w.RunWhile(10*time.Second, func() bool { return left > 0 }); err != nil || !ok {
		t.Fatalf("%d of %v cancels are not answered: %v", left, cancels, err)
	}
	steps, effects = float64(leader.steps-beforeSteps)/cancels, float64(leader.effects-beforeEffects)/cancels
	must(t, w, w.Settle())
	done := 0
	for _, r := range c.Requests {
		if r.Accepted && r.Outcome == state.OutcomeDone {
			done++
		}
	}
	if most := 3 * 4; done > most { // what the workers ran at once and finished before the stops
		t.Errorf("%d cancelled requests were done", done)
	}
	t.Logf("%v cancels: %.2f steps and %.2f effects each", cancels, steps, effects)
	return steps, effects
}

// The cost of a cancel must not grow with the queue.
func TestWaveOfCancels(t *testing.T) {
	t.Parallel()
	fewSteps, fewEffects := cancelWave(t, 300)
	manySteps, manyEffects := cancelWave(t, 3000)
	if manySteps > 1.2*fewSteps || manyEffects > 1.2*fewEffects {
		t.Errorf("a cancel costs %.2f steps and %.2f effects behind 3000 requests, %.2f and %.2f behind 300", manySteps, manyEffects, fewSteps, fewEffects)
	}
}
