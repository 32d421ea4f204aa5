package schedulingbench

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primrosereach/primrosereach/state"
)

// The bounds are the stated targets of the scheduler, not measured figures.
const (
	urgentStart   = 1100 * time.Millisecond // 99th percentile, at the crest of a swing
	blockingRatio = 1.2                     // wait of previews with long work present, relative to that without
	packingBound  = 0.95                    // least part of the workers' capacity in use
	gangStart     = 3 * LargeGangSmallMS * time.Millisecond
	// costRatio is a tenth of the growth in the number of workers from 50 to 1,500.
	costRatio = 3.0
)

func runScenario(t *testing.T, sc Scenario) *Result {
	t.Helper()
	r, err := Run(sc, "primrosereach", NewLeaderScheduler())
	if err != nil {
		t.Fatal(err)
	}
	if r.Violations != 0 || r.Checks == 0 {
		t.Fatalf("%d violations in %d checks", r.Violations, r.Checks)
	}
	return r
}

func atMost(t *testing.T, what string, got, bound time.Duration) {
	t.Helper()
	if got > bound {
		t.Errorf("%s: %v, the bound is %v", what, got, bound)
	}
}

func checkDeferrable(t *testing.T, r *Result, kind string) {
	t.Helper()
	if r.Wait[kind] == nil {
		t.Fatalf("no %s was measured", kind)
	}
	atMost(t, "worst wait of "+kind, Worst(r.Wait, kind), boundMS*time.Millisecond)
}

func checkUrgent(t *testing.T, r *Result, waits map[string]*hdrhistogram.Histogram, kind string) {
	t.Helper()
	if waits[kind] == nil {
		t.Fatalf("no %s was measured", kind)
	}
	atMost(t, "99th percentile of "+kind, Percentile(waits, kind, 99), urgentStart)
	if n := r.Refused[state.ClassUrgent]; n > 0 {
		t.Errorf("%d urgent requests were refused although there are slots for all", n)
	}
}

// Guards against urgent work that waits behind other work at the crest of a swing,
// against deferrable work that waits beyond its bound, and against short waits that are
// due to refusals of urgent work.
func TestSwing(t *testing.T) {
	for _, sc := range []Scenario{Swinging(Claims), WrongEstimates(Claims)} {
		t.Run(sc.Name, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, sc)
			checkUrgent(t, r, r.Crest, "review")
			checkDeferrable(t, r, "check")
			if r.Refused[state.ClassInteractive] > 0 {
				t.Errorf("%d lookups were refused", r.Refused[state.ClassInteractive])
			}
		})
	}
	t.Run("mail", func(t *testing.T) {
		t.Parallel()
		r := runScenario(t, Swinging(Mail))
		checkUrgent(t, r, r.Crest, "reprint")
		checkDeferrable(t, r, "layout")
	})
}

// Guards against a load of TestSwing that is too light: first come first served must miss
// the bound at the crest, otherwise meeting it proves nothing about the scheduler.
func TestSwingNeedsPolicy(t *testing.T) {
	r, err := Run(Swinging(Claims), "first come first served", NewFCFS())
	if err != nil {
		t.Fatal(err)
	}
	if p := Percentile(r.Crest, "review", 99); p <= urgentStart {
		t.Errorf("first come first served meets the bound with %v: the load is too light", p)
	}
}

// Guards against head-of-line blocking: previews that wait behind long work.
func TestHeadOfLineBlocking(t *testing.T) {
	alone, behind := runScenario(t, Blocking(false)), runScenario(t, Blocking(true))
	without, with := Percentile(alone.Wait, "preview", 99), Percentile(behind.Wait, "preview", 99)
	if without == 0 || float64(with) > blockingRatio*float64(without) {
		t.Errorf("previews wait %v with long work and %v without, the bound is %.1f times", with, without, blockingRatio)
	}
	if behind.Refused[state.ClassDeferrable] == 0 {
		t.Error("the long work did not use all the slots that it may")
	}
	checkDeferrable(t, behind, "layout")
}

// Guards against worker capacity that stays unused while batch work waits.
func TestPacking(t *testing.T) {
	r := runScenario(t, Saturated(Mail))
	if r.Unstarted[state.ClassBatch] == 0 {
		t.Error("not enough work was waiting")
	}
	if r.Packing < packingBound {
		t.Errorf("packing is %.1f%%, the bound is %.0f%%", 100*r.Packing, 100*packingBound)
	}
}

// Guards against large gangs that starve because small work keeps arriving.
func TestLargeGangStarts(t *testing.T) {
	r := runScenario(t, LargeGang(Mail))
	if r.Wait["half"] == nil || r.Unstarted[state.ClassGang] > 0 {
		t.Fatalf("%d tasks of gangs did not start", r.Unstarted[state.ClassGang])
	}
	// The scenario has two gangs, which start one after the other.
	atMost(t, "wait of the first gang", Percentile(r.Wait, "half", 50), gangStart)
	atMost(t, "wait of the second gang", Worst(r.Wait, "half"), 2*gangStart)
}

// Guards against a cost for each placement that grows with the number of workers.
func TestCostGrowsSlowly(t *testing.T) {
	small, large := runScenario(t, Cost(50)), runScenario(t, Cost(1500))
	for _, m := range []struct {
		what         string
		small, large float64
	}{
		{"allocations", small.Allocations, large.Allocations},
		{"visits", small.Visits, large.Visits},
		{"plans", small.Plans, large.Plans},
		{"events", small.Events, large.Events},
	} {
		t.Logf("%s per placement: %.2f at 50 workers, %.2f at 1,500", m.what, m.small, m.large)
		if m.small <= 0 || m.large > costRatio*m.small {
			t.Errorf("%s per placement grow from %.2f to %.2f, the bound is %.1f times", m.what, m.small, m.large, costRatio)
		}
	}
}

// Guards against violated invariants and lost work under faults, and against work that is
// still assigned to workers on which every task fails.
func TestFaults(t *testing.T) {
	for _, sh := range []Shape{Claims, Mail} {
		for _, sc := range []Scenario{Failing(sh), DomainLost(sh)} {
			sc.Length = 45 * second
			t.Run(sh.Name+" "+sc.Name, func(t *testing.T) {
				t.Parallel()
				r := runScenario(t, sc)
				// Each of the five broken workers may fail three jobs and get a few trials.
				if limit := 5 * 6; r.OnBroken > limit {
					t.Errorf("%d tasks were started on broken workers, at most %d are expected", r.OnBroken, limit)
				}
			})
		}
	}
	t.Run("cancellations", func(t *testing.T) {
		t.Parallel()
		r := runScenario(t, Cancelling(Claims))
		if r.Cancelled == 0 {
			t.Error("nothing was cancelled")
		}
		checkUrgent(t, r, r.Crest, "review")
	})
}

// Guards against waits beyond the targets at the size that is expected in two years.
func TestTwoYearSize(t *testing.T) {
	sc := Steady(TwoYear)
	sc.Allocations = false
	r := runScenario(t, sc)
	checkUrgent(t, r, r.Wait, "review")
	checkDeferrable(t, r, "check")
	if n := r.Unstarted[state.ClassService]; n > 0 {
		t.Errorf("%d tasks of services did not start", n)
	}
}

// Guards against decisions that depend on the iteration order of a map. The run of a
// failing seed could then not be repeated.
func TestRunsRepeat(t *testing.T) {
	run := func() *Result {
		sc := LargeGang(Mail)
		sc.Broken, sc.LoseAt, sc.LoseFor, sc.Length = 10, 20*time.Second, 10*time.Second, 60*time.Second
		return runScenario(t, sc)
	}
	a, b := run(), run()
	if a.Placements != b.Placements || a.Visits != b.Visits || !a.Wait["small"].Equals(b.Wait["small"]) {
		t.Errorf("two runs differ: %d and %d placements, %v and %v visits", a.Placements, b.Placements, a.Visits, b.Visits)
	}
}
