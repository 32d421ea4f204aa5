package schedulingbench

import (
	"runtime"

	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

// sampleEvery is the number of calls of a method for each one whose allocations are
// counted: reading the counter stops the program for some microseconds.
const sampleEvery = 32

// meter counts the calls of a Scheduler, and the allocations in a sample of them.
type meter struct {
	scheduling.Scheduler
	plan, record, endpoint, settled, observe calls
	Planned                                  int
}

// calls counts the calls of one method.
type calls struct {
	n, sampled  int
	allocations uint64
}

// measure calls f and counts its allocations if it is one of the sample. A prime
// offset keeps the sample from falling on the same phase of a periodic load.
func (c *calls) measure(f func()) {
	c.n++
	if c.n%sampleEvery != 17 {
		f()
		return
	}
	before := mallocs()
	f()
	c.allocations += mallocs() - before
	c.sampled++
}

// total estimates the allocations of all calls from those in the sample.
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
	m.plan.measure(func() { out = m.Scheduler.Plan(c) })
	for _, p := range out {
		m.Planned += len(p.Items)
	}
	return out
}

// RecordChanged counts an event.
func (m *meter) RecordChanged(c scheduling.Clock, r *state.Record) {
	m.record.measure(func() { m.Scheduler.RecordChanged(c, r) })
}

// EndpointChanged counts an event.
func (m *meter) EndpointChanged(c scheduling.Clock, e *state.Endpoint) {
	m.endpoint.measure(func() { m.Scheduler.EndpointChanged(c, e) })
}

// Settled counts an event.
func (m *meter) Settled(p *state.Assign, applied bool) {
	m.settled.measure(func() { m.Scheduler.Settled(p, applied) })
}

// Observe counts an event.
func (m *meter) Observe(c scheduling.Clock, o scheduling.Observation) (a scheduling.FailureAdvice) {
	m.observe.measure(func() { a = m.Scheduler.Observe(c, o) })
	return a
}
