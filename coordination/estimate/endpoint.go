package estimate

import (
	"math"
	"time"
)

const (
	// speedHalfLife is the half-life with which the learned speed of an endpoint decays
	// towards 1 without new observations. Without the decay, a slow endpoint that gets no
	// work could never show that it has recovered.
	speedHalfLife = 10 * time.Minute
	// DefaultSpeedPrior is the weight of the prior of a speed, as a number of observations.
	DefaultSpeedPrior = 4
	// maxLogSpeed bounds the logarithm of a speed, so that speeds are from 1/32 to 32.
	// Beyond that range an endpoint is faulty rather than slow.
	maxLogSpeed = 5 * math.Ln2
)

// endpointStats holds the logarithms of recent ratios of the median run time of a kind to
// a run time on this endpoint. The median of the ratios is insensitive to stragglers, and
// since each run is compared with its own kind, the mix of kinds does not matter.
type endpointStats struct {
	ratios window
	prior  float64       // logarithm of the speed that is assumed before the first observation
	speed  float64       // logarithm of the speed: the median of ratios, shrunk towards prior
	at     time.Duration // monotonic time of the latest observation
	last   uint64        // Estimator.count at the latest observation
}

// Speed returns the relative speed of an endpoint. An endpoint of speed 2 finishes the
// same work in half of the time that one of speed 1 needs. The speed of an endpoint
// without observations is 1.
func (e *Estimator) Speed(endpoint string) float64 { return math.Exp(e.logSpeed(endpoint)) }

// DeleteEndpoint deletes the statistics of an endpoint.
func (e *Estimator) DeleteEndpoint(endpoint string) {
	if s := e.endpoints[endpoint]; s != nil {
		e.sumSpeed -= s.speed
		delete(e.endpoints, endpoint)
	}
}

// logSpeed returns the logarithm of an endpoint's speed relative to the mean over all
// endpoints, decayed by the time since the endpoint's latest observation. Without the
// mean as reference, all speeds and all run times could drift together.
func (e *Estimator) logSpeed(endpoint string) float64 {
	s := e.endpoints[endpoint]
	if s == nil {
		return 0
	}
	l := s.speed - e.sumSpeed/float64(len(e.endpoints))
	l = max(-maxLogSpeed, min(maxLogSpeed, l))
	return l * math.Exp2(-float64(e.now-s.at)/float64(speedHalfLife))
}

// Restore sets the speed that an earlier estimator has learned of an endpoint. now is the
// monotonic time of the call. A speed that is not positive is ignored.
func (e *Estimator) Restore(now time.Duration, endpoint string, speed float64) {
	if speed <= 0 {
		return
	}
	e.now = max(e.now, now)
	e.DeleteEndpoint(endpoint)
	if len(e.endpoints) >= MaxEndpoints {
		e.evictEndpoint()
	}
	l := max(-maxLogSpeed, min(maxLogSpeed, math.Log(speed)))
	e.endpoints[endpoint] = &endpointStats{prior: l, speed: l, at: e.now, last: e.count}
	e.sumSpeed += l
}

func (e *Estimator) observeEndpoint(endpoint string, ratio float64) {
	s := e.endpoints[endpoint]
	if s == nil {
		if len(e.endpoints) >= MaxEndpoints {
			e.evictEndpoint()
		}
		s = &endpointStats{}
		e.endpoints[endpoint] = s
	}
	s.ratios.add(ratio)
	n := float64(s.ratios.n)
	e.sumSpeed -= s.speed
	s.speed = s.prior + (s.ratios.quantile(0.5)-s.prior)*n/(n+e.speedPrior)
	e.sumSpeed += s.speed
	s.at, s.last = e.now, e.count
}

// evictEndpoint deletes the endpoint that was observed the longest time ago.
func (e *Estimator) evictEndpoint() {
	oldest, last := "", uint64(math.MaxUint64)
	for name, s := range e.endpoints {
		if s.last < last {
			oldest, last = name, s.last
		}
	}
	e.DeleteEndpoint(oldest)
}
