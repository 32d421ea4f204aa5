// Package estimate learns run times per team and kind, how far declared and
// predicted run times were from the actual ones, and how fast each endpoint is
// relative to the others. It is not safe for concurrent use, and reads no clock.
package estimate

import (
	"math"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// MaxKinds bounds the number of (team, kind) pairs kept: 400 teams with ten kinds
	// each. The pair that was observed the longest time ago is deleted first.
	MaxKinds = 4096
	// MaxEndpoints bounds the number of endpoints kept: 1,500 and their replacements.
	MaxEndpoints = 4096
	// minSamples is the number of observations from which a window is used without a prior:
	// to choose between the declared run time and past run times as the base of predictions,
	// and to estimate the speed of an endpoint. One or two stragglers would move the median
	// of fewer observations too far.
	minSamples = 8
)

// Observation is one attempt that ran to completion. Attempts that failed or were
// stopped must not be observed, since their duration is not the run time of the work.
type Observation struct {
	Team, Kind string
	Endpoint   string
	DeclaredMS int64 // 0 if the caller declared nothing
	RunMS      int64 // measured run time
}

// Prediction is the expected run time of a task on an endpoint of speed 1. Divided by
// the Speed of another endpoint it gives the run time there. All fields are zero if
// nothing was declared or observed; such a prediction must not be used to refuse work.
type Prediction struct {
	P50, P90    time.Duration
	Reliability float64 // share of recent runs within a factor of 2 of P50, 0 without observations
	Samples     int     // number of observations on which the prediction is based
	ErrorSpread float64 // standard deviation of the logarithms of the recent errors of P50, 0 with few observations
}

// ForDeadline returns the run time to use when a deadline is checked. It rises from P50
// to P90 with the reliability: a kind without history has a P90 that is several times
// too long, for which its work would be refused.
func (p Prediction) ForDeadline() time.Duration {
	if p.P50 <= 0 {
		return 0
	}
	ratio := float64(p.P90) / float64(p.P50)
	return time.Duration(float64(p.P50) * math.Pow(ratio, p.Reliability))
}

type kindKey struct{ team, kind string }

// Estimator learns run times and endpoint speeds from observations.
type Estimator struct {
	kinds     map[kindKey]*kindStats
	endpoints map[string]*endpointStats

	speedPrior float64 // weight of the prior of a speed, as a number of observations

	sumSpeed float64       // sum of the logarithms of all endpoint speeds
	now      time.Duration // monotonic time of the latest observation
	count    uint64        // number of observations; orders kinds and endpoints by their latest one
}

// New returns an estimator without observations.
func New() *Estimator { return NewWithSpeedPrior(DefaultSpeedPrior) }

// NewWithSpeedPrior returns an estimator without observations, in which the prior of a speed has
// the given weight, as a number of observations. With a low weight, few runs show that an endpoint
// is slow, and more endpoints are taken for slow that are not.
func NewWithSpeedPrior(weight float64) *Estimator {
	return &Estimator{kinds: map[kindKey]*kindStats{}, endpoints: map[string]*endpointStats{}, speedPrior: weight}
}

// Observe learns from a completed attempt. now is the monotonic time of the call. An
// observation with a negative run time is ignored.
func (e *Estimator) Observe(now time.Duration, o Observation) {
	if o.RunMS < 0 {
		return
	}
	e.now = max(e.now, now)
	e.count++
	run := logMS(max(1, o.RunMS))
	k := e.kind(kindKey{o.Team, o.Kind})
	if p50, ok := k.medianRun(o.DeclaredMS); ok {
		e.observeEndpoint(o.Endpoint, p50-run)
	}
	k.observe(run+e.logSpeed(o.Endpoint), o.DeclaredMS)
	k.last = e.count
}

// Predict returns the run time of the next task of a kind. declaredMS is the run time
// that its caller declared, 0 if none.
func (e *Estimator) Predict(team, kind string, declaredMS int64) Prediction {
	k := e.kinds[kindKey{team, kind}]
	if k == nil {
		k = &emptyStats
	}
	return k.predict(declaredMS)
}

// Configure deletes the statistics of kinds that the configuration does not contain.
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

// evictKind deletes the (team, kind) pair that was observed the longest time ago.
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
	// The result is bounded by a year. A longer estimate is not meaningful and could
	// overflow a Duration.
	const yearMS = 365 * 24 * 3600 * 1000
	return time.Duration(min(math.Exp(l), yearMS) * float64(time.Millisecond))
}
