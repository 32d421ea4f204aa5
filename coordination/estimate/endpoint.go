package estimate

import (
	"math"
	"time"
)

const (
	// speedHalfLife makes a learned speed fade towards 1 without new observations:
	// a slow endpoint that gets no work could otherwise never show that it recovered.
	speedHalfLife = 10 * time.Minute
	// speedPrior counts as that many observations of speed 1.
	speedPrior = 4
	// maxLogSpeed bounds a speed to 1/32 to 32; beyond it an endpoint is faulty
	// rather than slow.
	maxLogSpeed = 5 * math.Ln2
)

// endpointStats holds recent ratios of the typical run time of a kind to the run
// time on this endpoint. Their median ignores stragglers, and comparing each run
// with its own kind makes the mix of kinds irrelevant.
type endpointStats struct {
	ratios window
	speed  float64       // logarithm, of the median shrunk towards 0
	at     time.Duration // of the latest observation
	last   uint64        // its number
}

// Speed returns how fast an endpoint is: 2 finishes the same work in half of the
// time that an endpoint of speed 1 needs. An endpoint without evidence has speed 1.
func (e *Estimator) Speed(endpoint string) float64 { return math.Exp(e.logSpeed(endpoint)) }

// Forget drops what was learned about an endpoint.
func (e *Estimator) Forget(endpoint string) {
	if s := e.endpoints[endpoint]; s != nil {
		e.sumSpeed -= s.speed
		delete(e.endpoints, endpoint)
	}
}

// logSpeed is relative to the mean over all endpoints. Without that anchor all
// speeds and all run times could drift together.
func (e *Estimator) logSpeed(endpoint string) float64 {
	s := e.endpoints[endpoint]
	if s == nil {
		return 0
	}
	l := s.speed - e.sumSpeed/float64(len(e.endpoints))
	l = max(-maxLogSpeed, min(maxLogSpeed, l))
	return l * math.Exp2(-float64(e.now-s.at)/float64(speedHalfLife))
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
	s.speed = s.ratios.quantile(0.5) * n / (n + speedPrior)
	e.sumSpeed += s.speed
	s.at, s.last = e.now, e.count
}

func (e *Estimator) evictEndpoint() {
	oldest, last := "", uint64(math.MaxUint64)
	for name, s := range e.endpoints {
		if s.last < last {
			oldest, last = name, s.last
		}
	}
	e.Forget(oldest)
}
