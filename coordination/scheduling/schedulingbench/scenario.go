package schedulingbench

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Scenario is a load on a cell with the faults that occur meanwhile.
type Scenario struct {
	Name    string
	Shape   Shape
	Seed    uint64
	Length  time.Duration
	WarmUp  time.Duration // time before which waits and packing are not measured
	Streams []Stream
	Swing   Swing

	// Allocations enables the counting of allocations, which is slow.
	Allocations bool

	WrongBy    float64       // largest factor by which declared run times are too high or too low, 0 if they are right
	Broken     int           // every Broken-th worker fails all tasks; 0 for none
	CancelAt   time.Duration // time at which requests are cancelled, 0 for never
	CancelPart float64       // probability with which a request that has not ended is cancelled at CancelAt
	LoseAt     time.Duration // time at which failure domain 0 is lost, 0 for never
	LoseFor    time.Duration // time for which failure domain 0 stays lost
}

const (
	second       = time.Second
	dayMS        = 24 * 3600 * 1000
	hourMS       = 3600 * 1000
	seed         = 20261204
	serviceRunMS = 1e12 // run time of a service, milliseconds; longer than any scenario
)

// boundMS is the bound on the wait of deferrable work in the scenarios, in milliseconds.
const boundMS = 60_000

// swing is the swing of the scenarios. It lasts longer than half of the bound of
// deferrable work, so that such work is promoted at the crest.
var swing = Swing{Factor: 10, From: 10 * second, To: 50 * second, Ramp: 3 * second}

// claimsStreams returns reviews, lookups and document checks, which run in slots, and a
// small amount of work on workers.
func claimsStreams() []Stream {
	return []Stream{
		{Kind: "review", Class: state.ClassUrgent, Rate: 40, Swings: true, RunMS: 300, Spread: 0.4, MaxRunMS: 900},
		{Kind: "lookup", Class: state.ClassInteractive, Repeatable: true, Rate: 60, Swings: true, RunMS: 40, Spread: 0.4, DeadlineMS: 5000},
		{Kind: "check", Class: state.ClassDeferrable, Repeatable: true, Rate: 20, Swings: true, RunMS: 4000, Spread: 0.7, MaxRunMS: 30_000, MaxWaitMS: boundMS},
		{Kind: "report", Class: state.ClassBatch, Repeatable: true, Rate: 2, RunMS: 20_000, Spread: 0.5, Sizes: mixedSizes(), DeadlineMS: hourMS},
		{Kind: "portal", Class: state.ClassService, Repeatable: true, Count: 10, Tasks: 4, RunMS: serviceRunMS, Sizes: cores(2), From: second},
	}
}

// mailStreams returns previews, reprints and checks of long documents, which run in
// slots, and statements, notices, gangs and services on workers.
func mailStreams() []Stream {
	return []Stream{
		{Kind: "preview", Class: state.ClassInteractive, Repeatable: true, Rate: 100, Swings: true, RunMS: 120, Spread: 0.4, DeadlineMS: 5000},
		{Kind: "reprint", Class: state.ClassUrgent, Rate: 5, Swings: true, RunMS: 400, Spread: 0.3, MaxRunMS: 900},
		longChecks(),
		{Kind: "statement", Class: state.ClassBatch, Rate: 1.5, Swings: true, RunMS: 20_000, Spread: 0.5, Sizes: mixedSizes(), DeadlineMS: hourMS},
		{Kind: "notice", Class: state.ClassBatch, Rate: 1.5, RunMS: 10_000, Spread: 0.5, Sizes: mixedSizes(), DeadlineMS: dayMS},
		{Kind: "sort", Class: state.ClassGang, Repeatable: true, Rate: 0.05, RunMS: 10_000, Spread: 0.2, Sizes: cores(8), Tasks: 8},
		{Kind: "archive", Class: state.ClassService, Repeatable: true, Count: 5, Tasks: 4, RunMS: serviceRunMS, Sizes: cores(2), From: second},
	}
}

// longChecks returns deferrable work that runs for 12 s in the median.
func longChecks() Stream {
	return Stream{Kind: "layout", Class: state.ClassDeferrable, Repeatable: true, Rate: 10, Swings: true, RunMS: 12_000, Spread: 0.7, MaxRunMS: 60_000, MaxWaitMS: boundMS}
}

// twoYearStreams returns streams that start 130 tasks a second and keep about 5,400
// running, a fifth of them services.
func twoYearStreams() []Stream {
	return []Stream{
		{Kind: "review", Class: state.ClassUrgent, Rate: 15, RunMS: 300, Spread: 0.4, MaxRunMS: 900},
		{Kind: "preview", Class: state.ClassInteractive, Repeatable: true, Rate: 15, RunMS: 120, Spread: 0.4, DeadlineMS: 5000},
		{Kind: "check", Class: state.ClassDeferrable, Repeatable: true, Rate: 10, RunMS: 4000, Spread: 0.7, MaxRunMS: 30_000, MaxWaitMS: boundMS},
		{Kind: "run", Class: state.ClassBatch, Repeatable: true, Rate: 82, RunMS: 45_000, Spread: 0.4, Sizes: mixedSizes(), DeadlineMS: hourMS},
		{Kind: "joint", Class: state.ClassGang, Repeatable: true, Rate: 0.5, RunMS: 45_000, Spread: 0.2, Sizes: cores(8), Tasks: 16},
		{Kind: "service", Class: state.ClassService, Repeatable: true, Count: 270, Tasks: 4, RunMS: serviceRunMS, Sizes: cores(4), From: second},
	}
}

// Steady returns a scenario with the usual load of a shape and without faults.
func Steady(sh Shape) Scenario {
	sc := Scenario{Name: "steady", Shape: sh, Allocations: true, Seed: seed, Length: 60 * second, WarmUp: 5 * second}
	switch sh.Name {
	case Mail.Name:
		sc.Streams = mailStreams()
	case TwoYear.Name:
		sc.Streams = twoYearStreams()
		// The number of running tasks becomes steady only after several run times.
		sc.Length, sc.WarmUp = 140*second, 90*second
	default:
		sc.Streams = claimsStreams()
	}
	return sc
}

// Swinging is Steady with a demand that rises tenfold within three seconds.
func Swinging(sh Shape) Scenario {
	sc := Steady(sh)
	sc.Name, sc.Swing, sc.Length, sc.Allocations = "swing", swing, 105*second, false
	return sc
}

// Cancelling is Swinging with half of all requests that wait or run cancelled at once.
func Cancelling(sh Shape) Scenario {
	sc := Swinging(sh)
	sc.Name, sc.CancelPart, sc.CancelAt = "cancellations", 0.5, 45*second
	return sc
}

// Failing is Steady with every tenth worker failing all tasks.
func Failing(sh Shape) Scenario {
	sc := Steady(sh)
	sc.Name, sc.Broken = "failing workers", 10
	return sc
}

// WrongEstimates is Swinging with declared run times that are up to ten times too long or
// too short.
func WrongEstimates(sh Shape) Scenario {
	sc := Swinging(sh)
	sc.Name, sc.WrongBy = "wrong estimates", 10
	return sc
}

// DomainLost is Steady with the loss of a failure domain for twenty seconds.
func DomainLost(sh Shape) Scenario {
	sc := Steady(sh)
	sc.Name, sc.LoseAt, sc.LoseFor = "domain lost", 20*second, 20*second
	return sc
}

// Saturated submits more batch work than the workers have room for, to measure packing.
func Saturated(sh Shape) Scenario {
	return Scenario{
		Name: "saturated", Shape: sh, Allocations: true, Seed: seed, Length: 90 * second, WarmUp: 30 * second,
		Streams: []Stream{
			{Kind: "fill", Class: state.ClassBatch, Repeatable: true, Count: 100 * sh.Workers, RunMS: 20_000, Spread: 0.5, Sizes: mixedSizes(), From: second, DeadlineMS: dayMS},
			{Kind: "statement", Class: state.ClassBatch, Repeatable: true, Rate: float64(sh.Workers) / 5, RunMS: 20_000, Spread: 0.5, Sizes: mixedSizes(), DeadlineMS: hourMS},
		},
	}
}

// Blocking submits previews only, or previews together with enough long checks to use all
// the slots that deferrable work may use.
func Blocking(long bool) Scenario {
	sc := Scenario{Name: "previews alone", Shape: Mail, Seed: seed, Length: 90 * second, WarmUp: 20 * second,
		Streams: []Stream{{Kind: "preview", Class: state.ClassInteractive, Repeatable: true, Rate: 100, RunMS: 120, Spread: 0.4, DeadlineMS: 5000}}}
	if long {
		sc.Name = "previews behind long work"
		st := longChecks()
		st.Rate = 60
		sc.Streams = append(sc.Streams, st)
	}
	return sc
}

// LargeGang submits two gangs, each of which needs half of the workers, while small batch
// work keeps arriving.
func LargeGang(sh Shape) Scenario {
	sh.Teams, sh.Quota = 4, 4 // each team's share covers the cell
	return Scenario{
		Name: "large gang", Shape: sh, Seed: seed, Length: 150 * second, WarmUp: 0,
		Streams: []Stream{
			{Kind: "small", Class: state.ClassBatch, Repeatable: true, Rate: float64(sh.Workers) * 0.8, RunMS: 12_000, Spread: 0.4, MaxRunMS: LargeGangSmallMS, Sizes: cores(4), DeadlineMS: hourMS},
			{Kind: "half", Class: state.ClassGang, Count: 2, RunMS: 5000, Spread: 0.1, Sizes: cores(64), Tasks: sh.Workers / 2, From: 30 * second},
		},
	}
}

// LargeGangSmallMS is the longest run time, in milliseconds on a typical worker, of the
// small work in LargeGang.
const LargeGangSmallMS = 20_000

// Cost submits work at a fixed rate per worker, to compare the cost of a placement
// between numbers of workers.
func Cost(workers int) Scenario {
	sh := Shape{Name: "cost", Domains: 1, Runners: 8, Slots: 8, Workers: workers, Rack: 8, Teams: 20, Quota: 20}
	load := float64(workers) // tasks of 4 cores, 10 s: 63% of the cores
	return Scenario{
		Name: "cost", Shape: sh, Allocations: true, Seed: seed, Length: 16 * second, WarmUp: 8 * second,
		Streams: []Stream{
			{Kind: "run", Class: state.ClassBatch, Repeatable: true, Rate: load, RunMS: 10_000, Spread: 0.4, Sizes: cores(4), DeadlineMS: hourMS},
			{Kind: "service", Class: state.ClassService, Repeatable: true, Rate: load / 20, RunMS: 10_000, Spread: 0.4, Sizes: cores(2)},
			{Kind: "preview", Class: state.ClassInteractive, Repeatable: true, Rate: 20, RunMS: 120, Spread: 0.4},
		},
	}
}
