// Package estimate learns run times per team and kind, how far declared and
// predicted run times were from the actual ones, and how fast each endpoint is
// relative to the others. It is used by one goroutine and reads no clock.
package estimate

import (
	"math"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// MaxKinds bounds the (team, kind) pairs kept: 400 teams with ten kinds each.
	// The pair that was observed the longest time ago is dropped first.
	MaxKinds = 4096
	// MaxEndpoints bounds the endpoints kept: 1,500 and their replacements.
	MaxEndpoints = 4096
	// minSamples is the number of observations from which a window is used without
	// its prior: to choose between two models and to judge an endpoint. The median
	// of fewer is moved too far by one or two stragglers.
	minSamples = 8
)

// Observation is one attempt that ran to completion. Attempts that failed or were
// stopped say nothing certain about the run time and must not be observed.
type Observation struct {
	Team, Kind string
	Endpoint   string
	DeclaredMS int64 // 0 if the caller declared nothing
	RunMS      int64 // measured
}

// Prediction is the expected run time of a task on an endpoint of speed 1; the
// time on another endpoint is that divided by its Speed. All fields are zero when
// nothing was declared and nothing was observed: such a prediction must not be
// used to refuse work.
type Prediction struct {
	P50, P90    time.Duration
	Reliability float64 // share of recent runs within a factor of 2 of P50, 0 without evidence
	Samples     int     // observations that the prediction rests on
}

// Guarded returns the run time to use for deadlines: P50 while predictions are
// unreliable, since a kind without history has a P90 several times too long and
// would be refused, and up to P90 when they have proved reliable.
func (p Prediction) Guarded() time.Duration {
	if p.P50 <= 0 {
		return 0
	}
	ratio := float64(p.P90) / float64(p.P50)
	return time.Duration(float64(p.P50) * math.Pow(ratio, p.Reliability))
}

type kindKey struct{ team, kind string }

// Estimator holds what was learned.
type Estimator struct {
	kinds     map[kindKey]*kindStats
	endpoints map[string]*endpointStats
	sumSpeed  float64       // of the logarithms of all endpoint speeds
	now       time.Duration // of the latest observation
	count     uint64        // observations so far, orders entries by last use
}

// New returns an estimator that knows nothing.
func New() *Estimator {
	return &Estimator{kinds: map[kindKey]*kindStats{}, endpoints: map[string]*endpointStats{}}
}

// Observe learns from a completed attempt. now is monotonic.
func (e *Estimator) Observe(now time.Duration, o Observation) {
	if o.RunMS < 0 {
		return
	}
	e.now = max(e.now, now)
	e.count++
	run := logMS(max(1, o.RunMS))
	k := e.kind(kindKey{o.Team, o.Kind})
	if p50, ok := k.typical(o.DeclaredMS); ok {
		e.observeEndpoint(o.Endpoint, p50-run)
	}
	k.observe(run+e.logSpeed(o.Endpoint), o.DeclaredMS)
	k.last = e.count
}

// Predict returns the run time of the next task of a kind. declaredMS is what its
// caller declared, 0 for nothing.
func (e *Estimator) Predict(team, kind string, declaredMS int64) Prediction {
	k := e.kinds[kindKey{team, kind}]
	if k == nil {
		k = &noStats
	}
	return k.predict(declaredMS)
}

// Configure drops what was learned about kinds that no longer exist.
func (e *Estimator) Configure(cfg state.Configuration) {
	for key := range e.kinds {
		if _, ok := cfg.Teams[key.team].Kinds[key.kind]; !ok {
			delete(e.kinds, key)
		}
	}
}

func (e *Estimator) kind(key kindKey) *kindStats {
	if k := e.kinds[key]; k != nil {
		return k
	}
	if len(e.kinds) >= MaxKinds {
		e.evictKind()
	}
	k := newKindStats()
	e.kinds[key] = k
	return k
}

func (e *Estimator) evictKind() {
	var oldest kindKey
	last := uint64(math.MaxUint64)
	for key, k := range e.kinds {
		if k.last < last {
			oldest, last = key, k.last
		}
	}
	delete(e.kinds, oldest)
}

func logMS(ms int64) float64 { return math.Log(float64(ms)) }

func fromLogMS(l float64) time.Duration {
	// A year bounds the conversion: an estimate beyond it is not meaningful, and a
	// larger one could overflow a Duration.
	const yearMS = 365 * 24 * 3600 * 1000
	return time.Duration(min(math.Exp(l), yearMS) * float64(time.Millisecond))
}
