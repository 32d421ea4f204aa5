package schedulingbench

import (
	"github.com/primrosereach/primrosereach/coordination/health"
	"github.com/primrosereach/primrosereach/coordination/policy"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

// LeaderScheduler is the scheduler as a leader configures it, with the learned
// estimates, the retry budgets and the health tracker. The driver simulates unresponsive
// endpoints itself, so every endpoint is reported to the health tracker as answering.
type LeaderScheduler struct {
	scheduling.Scheduler
	tracker *health.Tracker
	names   []string
}

// retrySeed is the seed of the jitter of retries.
const retrySeed = 1

// NewLeaderScheduler returns the scheduler that the daemon uses.
func NewLeaderScheduler() *LeaderScheduler {
	t := health.New()
	return &LeaderScheduler{Scheduler: scheduling.New(policy.Options(t, &xorshift{retrySeed}, nil)), tracker: t}
}

// xorshift is a generator of pseudo-random numbers that gives the same sequence on every
// run.
type xorshift struct{ n uint64 }

// Uint64 implements policy.Rand.
func (s *xorshift) Uint64() uint64 {
	s.n ^= s.n << 13
	s.n ^= s.n >> 7
	s.n ^= s.n << 17
	return s.n
}

// EndpointChanged implements scheduling.Scheduler.
func (p *LeaderScheduler) EndpointChanged(c scheduling.Clock, e *state.Endpoint) {
	if p.tracker.Status(e.Name) == "" {
		p.names = append(p.names, e.Name)
	}
	p.tracker.UpdateEndpoint(c.Now, e)
	p.Scheduler.EndpointChanged(c, e)
}

// EndpointTransitions implements scheduling.Scheduler.
func (p *LeaderScheduler) EndpointTransitions(c scheduling.Clock) []*state.SetEndpointStatus {
	for _, name := range p.names {
		p.tracker.HeartbeatAnswered(c.Now, name)
	}
	var out []*state.SetEndpointStatus
	for _, t := range p.tracker.Transitions(c.Now) {
		out = append(out, &state.SetEndpointStatus{AtMS: c.WallMS, Name: t.Name, Incarnation: t.Incarnation, Status: t.Status})
	}
	return out
}

// Visited returns the number of endpoints and racks that the searches have examined.
func (p *LeaderScheduler) Visited() uint64 {
	if v, ok := p.Scheduler.(interface{ Visited() uint64 }); ok {
		return v.Visited()
	}
	return 0
}
