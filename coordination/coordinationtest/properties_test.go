package coordinationtest

import (
	"testing"
	"time"
)

// A seed that does not determine the history makes a failure impossible to repeat.
func TestSeedDeterminesHistory(t *testing.T) {
	t.Parallel()
	run := func() (*World, error) {
		return history(Options{Seed: 7, Drift: 0.1}, 200*time.Millisecond, time.Second, 10*time.Second, AllFaults()...)
	}
	a, errA := run()
	b, errB := run()
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	if a.Steps != b.Steps || a.Checks.Executions != b.Checks.Executions {
		t.Fatalf("%d steps and %d executions, then %d and %d", a.Steps, a.Checks.Executions, b.Steps, b.Checks.Executions)
	}
}

// All failures of docs/design.md 1.5 in combination.
func TestMixedFaults(t *testing.T) {
	property(t, 100, 8, func(seed uint64) (*World, error) {
		return history(Options{Seed: seed, Drift: 0.1}, 150*time.Millisecond, 1500*time.Millisecond, 60*time.Second, AllFaults()...)
	})
}
