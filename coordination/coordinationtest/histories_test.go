package coordinationtest

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// histories returns the number of histories of a property. PRIMROSEREACH_HISTORIES
// multiplies it.
func histories(n int) int {
	if f, err := strconv.Atoi(os.Getenv("PRIMROSEREACH_HISTORIES")); err == nil && f > 0 {
		return n * f
	}
	return n
}

// property runs histories with the seeds from first on and logs how much they
// contained.
func property(t *testing.T, first uint64, n int, run func(seed uint64) (*World, error)) {
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
		w, err := run(seed)
		mu.Lock()
		sum.Add(w)
		mu.Unlock()
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(w.LastEvents(trail()), "\n"))
		}
	}
}

func trail() int {
	if n, err := strconv.Atoi(os.Getenv("PRIMROSEREACH_TRAIL")); err == nil {
		return n
	}
	return 40
}

// history runs a load under faults for a time and settles.
func history(o Options, load, faultEvery, last time.Duration, kinds ...Fault) (*World, error) {
	w := New(o)
	if err := w.Begin(); err != nil {
		return w, err
	}
	w.StartLoad(load, 3*time.Second)
	if len(kinds) > 0 {
		w.InjectFaults(faultEvery, kinds...)
	}
	if err := w.RunFor(last); err != nil {
		return w, err
	}
	return w, w.Settle()
}

// Without faults every request is answered and nothing is refused.
func TestNoFaults(t *testing.T) {
	property(t, 1, 2, func(seed uint64) (*World, error) {
		return history(Options{Seed: seed}, 200*time.Millisecond, 0, 20*time.Second)
	})
}
