package schedulingbench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Stream is a source of requests of one kind.
type Stream struct {
	Kind       string
	Class      state.Class
	Repeatable bool
	Rate       float64 // requests per second
	Swings     bool    // takes part in the scenario's swing
	RunMS      float64 // median run time on a typical endpoint
	Spread     float64 // standard deviation of the logarithm of the run time
	MaxRunMS   float64 // 0 for no limit
	DeadlineMS int64   // 0 for none
	MaxWaitMS  int64   // bound of deferrable work
	Tasks      int
	Sizes      []state.Resources // one is chosen at random; nil for one slot
	Team       string            // "" for a random team
	From       time.Duration     // no request before
	Count      int               // number of requests at From, instead of a rate
}

// Swing multiplies the rates within a window of time.
type Swing struct {
	Factor   float64
	From, To time.Duration
	Ramp     time.Duration // from the normal rate to the crest
}

func (s Swing) factor(at time.Duration) float64 {
	if s.Factor == 0 || at < s.From || at >= s.To {
		return 1
	}
	rise := min(1, float64(at-s.From)/float64(max(1, s.Ramp)))
	return 1 + (s.Factor-1)*rise
}

// crest reports whether the swing is at its height.
func (s Swing) crest(at time.Duration) bool { return at >= s.From+s.Ramp && at < s.To }

// next returns the time to the stream's next request.
func (st *Stream) next(rng *rand.Rand, swing Swing, at time.Duration) time.Duration {
	rate := st.Rate
	if st.Swings {
		rate *= swing.factor(at)
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func (st *Stream) run(rng *rand.Rand) float64 {
	run := st.RunMS * math.Exp(st.Spread*rng.NormFloat64())
	if st.MaxRunMS > 0 {
		run = min(run, st.MaxRunMS)
	}
	return max(1, run)
}

func (st *Stream) size(rng *rand.Rand) state.Resources {
	if st.Sizes == nil {
		return state.Resources{Slots: 1}
	}
	return st.Sizes[rng.IntN(len(st.Sizes))]
}

// mixedSizes are sizes of batch tasks: whole cores with 2 to 5 GB each, so that the
// cores run out first on average but memory does on some workers.
func mixedSizes() []state.Resources {
	var out []state.Resources
	for _, cores := range []int{1, 2, 4, 8, 16} {
		for _, gb := range []int{2, 3, 4, 5} {
			out = append(out, state.Resources{MilliCores: cores * 1000, MemoryMB: cores * gb * 1024})
		}
	}
	return out
}

func cores(n int) []state.Resources {
	return []state.Resources{{MilliCores: n * 1000, MemoryMB: n * 3 * 1024}}
}
