package schedulingbench

import (
	"github.com/primrosereach/primrosereach/coordination/health"
	"github.com/primrosereach/primrosereach/coordination/policy"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

// Product is the scheduler as a leader runs it, with the learned estimates, the
// retry budgets and the health tracker. The driver decides itself which endpoints
// are silent, so every endpoint counts as answering here.
type Product struct {
	scheduling.Scheduler
	tracker *health.Tracker
	names   []string
}

// productSeed starts the jitter of retries.
const productSeed = 1

// NewProduct returns the scheduler that the daemon uses.
func NewProduct() *Product {
	t := health.New()
	return &Product{Scheduler: scheduling.New(policy.Options(t, &sequence{productSeed}, nil)), tracker: t}
}

// sequence is a source of numbers that is the same on every run.
type sequence struct{ n uint64 }

// Uint64 implements policy.Rand.
func (s *sequence) Uint64() uint64 {
	s.n ^= s.n << 13
	s.n ^= s.n >> 7
	s.n ^= s.n << 17
	return s.n
}

// EndpointChanged implements scheduling.Scheduler.
func (p *Product) EndpointChanged(c scheduling.Clock, e *state.Endpoint) {
	if p.tracker.Status(e.Name) == "" {
		p.names = append(p.names, e.Name)
	}
	p.tracker.Changed(c.Now, e)
	p.Scheduler.EndpointChanged(c, e)
}

// EndpointTransitions implements scheduling.Scheduler.
func (p *Product) EndpointTransitions(c scheduling.Clock) []*state.SetEndpointStatus {
	for _, name := range p.names {
		p.tracker.Answered(c.Now, name)
	}
	var out []*state.SetEndpointStatus
	for _, t := range p.tracker.Transitions(c.Now) {
		out = append(out, &state.SetEndpointStatus{AtMS: c.WallMS, Name: t.Name, Incarnation: t.Incarnation, Status: t.Status})
	}
	return out
}

// Visited returns the number of endpoints looked at.
func (p *Product) Visited() uint64 {
	if v, ok := p.Scheduler.(interface{ Visited() uint64 }); ok {
		return v.Visited()
	}
	return 0
}
