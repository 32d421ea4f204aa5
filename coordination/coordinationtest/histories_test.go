package coordinationtest

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// histories returns the number of histories of a test: n, multiplied by
// PRIMROSEREACH_HISTORIES if that is set.
func histories(n int) int {
	if f, err := strconv.Atoi(os.Getenv("PRIMROSEREACH_HISTORIES")); err == nil && f > 0 {
		return n * f
	}
	return n
}

// property runs n histories with consecutive seeds, beginning at first, and logs the
// totals of what they contained.
func property(t *testing.T, first uint64, n int, run func(seed uint64) (*Simulation, error)) {
	t.Helper()
	t.Parallel()
	var mu sync.Mutex
	var sum Summary
	n = histories(n)
	t.Cleanup(func() {
		t.Logf("%s: seeds %d to %d, %d histories, %d steps, %d requests, %d executions, %v of virtual time, outcomes %v, not run %d, late resends %d",
			t.Name(), first, first+uint64(n)-1, sum.Histories, sum.Steps, sum.Requests, sum.Executions, sum.Virtual.Round(time.Second), sum.Outcomes, sum.NotRun, sum.LateResends)
	})
	for i := range n {
		seed := first + uint64(i)
		sim, err := run(seed)
		mu.Lock()
		sum.Add(sim)
		mu.Unlock()
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(sim.LastEvents(eventLogLength()), "\n"))
		}
	}
}

// eventLogLength is the number of events printed with a violation:
// PRIMROSEREACH_TRAIL, or 40 by default.
func eventLogLength() int {
	if n, err := strconv.Atoi(os.Getenv("PRIMROSEREACH_TRAIL")); err == nil {
		return n
	}
	return 40
}

// history runs a load for loadTime while it injects the given faults, and then checks
// that the cell recovers.
func history(o Options, load, faultEvery, loadTime time.Duration, kinds ...Fault) (*Simulation, error) {
	sim := New(o)
	if err := sim.Initialize(); err != nil {
		return sim, err
	}
	sim.StartLoad(load, 3*time.Second)
	if len(kinds) > 0 {
		sim.InjectFaults(faultEvery, kinds...)
	}
	if err := sim.RunFor(loadTime); err != nil {
		return sim, err
	}
	return sim, sim.Settle()
}

// Guards against requests that stay unanswered, or violated invariants, when no faults
// are injected.
func TestNoFaults(t *testing.T) {
	property(t, 1, 2, func(seed uint64) (*Simulation, error) {
		return history(Options{Seed: seed}, 200*time.Millisecond, 0, 20*time.Second)
	})
}
