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
	Rate       float64           // requests per second
	Swings     bool              // the rate follows the scenario's swing
	RunMS      float64           // median run time on a typical endpoint
	Spread     float64           // standard deviation of the logarithm of the run time
	MaxRunMS   float64           // longest run time on a typical endpoint, 0 for no limit
	DeadlineMS int64             // time from submission to the deadline, 0 for none
	MaxWaitMS  int64             // longest wait of deferrable work
	Tasks      int               // number of tasks of a request; 0 counts as 1
	Sizes      []state.Resources // one is chosen at random; nil for one slot
	Team       string            // "" for a random team
	From       time.Duration     // time before which no request is submitted
	Count      int               // number of requests at From, instead of a rate
}

// Swing is a temporary rise of the demand: it multiplies the rates of streams from From
// to To.
type Swing struct {
	Factor   float64 // 0 for no swing
	From, To time.Duration
	Ramp     time.Duration // time from the normal rate to the crest, which is the full Factor
}

// factor returns the multiplier of the rates at the given time.
func (s Swing) factor(at time.Duration) float64 {
	if s.Factor == 0 || at < s.From || at >= s.To {
		return 1
	}
	rise := min(1, float64(at-s.From)/float64(max(1, s.Ramp)))
	return 1 + (s.Factor-1)*rise
}

// crest reports whether the demand is at its maximum.
func (s Swing) crest(at time.Duration) bool { return at >= s.From+s.Ramp && at < s.To }

// next returns the time until the stream's next request. The intervals are exponentially
// distributed.
func (st *Stream) next(rng *rand.Rand, swing Swing, at time.Duration) time.Duration {
	rate := st.Rate
	if st.Swings {
		rate *= swing.factor(at)
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// run returns the run time of a task in milliseconds on a typical endpoint. It has a
// log-normal distribution, cut off at MaxRunMS.
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

// mixedSizes returns sizes of batch tasks: 1 to 16 cores with 2 to 5 GB per core, so that
// on average the cores run out first, but on some workers the memory.
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
