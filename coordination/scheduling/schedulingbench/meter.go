package schedulingbench

import (
	"runtime"

	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

// sampleEvery is the sampling interval: the allocations of one in this number of calls of
// a method are counted, since reading the counter stops the program for some
// microseconds.
const sampleEvery = 32

// meter wraps a Scheduler and counts the calls of its methods, and the allocations in a
// sample of them.
type meter struct {
	scheduling.Scheduler
	plan, record, endpoint, settled, observe calls
	Planned                                  int  // number of assignments that Plan returned
	allocate                                 bool // allocations are counted
}

// calls counts the calls of one method.
type calls struct {
	n, sampled  int
	allocations uint64
}

// measure calls f. If count is set and the call is part of the sample, it counts the
// allocations of f. The sample consists of the 17th call and every sampleEvery-th call
// after it, so calls that repeat with a period that divides sampleEvery are always
// sampled in the same phase.
func (c *calls) measure(count bool, f func()) {
	c.n++
	if !count || c.n%sampleEvery != 17 {
		f()
		return
	}
	before := mallocs()
	f()
	c.allocations += mallocs() - before
	c.sampled++
}

// total returns an estimate of the allocations of all calls from those in the sample.
func (c *calls) total() float64 {
	return float64(c.allocations) / float64(max(1, c.sampled)) * float64(c.n)
}

func (m *meter) events() int { return m.record.n + m.endpoint.n + m.settled.n + m.observe.n }

func (m *meter) allocations() float64 {
	return m.plan.total() + m.record.total() + m.endpoint.total() + m.settled.total() + m.observe.total()
}

func mallocs() uint64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.Mallocs
}

// Plan counts a plan and its assignments.
func (m *meter) Plan(c scheduling.Clock) (out []*state.Assign) {
	m.plan.measure(m.allocate, func() { out = m.Scheduler.Plan(c) })
	for _, p := range out {
		m.Planned += len(p.Items)
	}
	return out
}

// RecordChanged counts an event.
func (m *meter) RecordChanged(c scheduling.Clock, r *state.Record) {
	m.record.measure(m.allocate, func() { m.Scheduler.RecordChanged(c, r) })
}

// EndpointChanged counts an event.
func (m *meter) EndpointChanged(c scheduling.Clock, e *state.Endpoint) {
	m.endpoint.measure(m.allocate, func() { m.Scheduler.EndpointChanged(c, e) })
}

// PlanSettled counts an event.
func (m *meter) PlanSettled(p *state.Assign, applied bool) {
	m.settled.measure(m.allocate, func() { m.Scheduler.PlanSettled(p, applied) })
}

// Observe counts an event.
func (m *meter) Observe(c scheduling.Clock, o scheduling.Observation) (a scheduling.FailureAdvice) {
	m.observe.measure(m.allocate, func() { a = m.Scheduler.Observe(c, o) })
	return a
}
