package scheduling

import (
	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/coordination/queue"
	"github.com/primrosereach/primrosereach/state"
)

// Shares of all slots, in eighths. Runners have 8 slots, so one eighth is the smallest
// share that can be kept free on each.
const (
	interactiveEighths = 1 // slots that long work leaves to interactive work
	urgentEighths      = 3 // least headroom that long deferrable work leaves for a rise in urgent and interactive demand
	promotedEighths    = 1 // slots that deferrable work may always use once it is promoted
)

// finalBoundDivisor divides the bound on a wait to give its final part. In that part,
// promoted work may use all slots except the interactive share.
const finalBoundDivisor = 6

// headroomHalfLifeMS sets the rate at which the recorded demand peak decays. Demand peaks
// of the workloads recur within minutes.
const headroomHalfLifeMS = 300_000

// slotUse counts the running and planned tasks that use slots.
type slotUse struct {
	deferrable int
	long       int
	prompt     int     // urgent and interactive tasks
	peak       float64 // recent peak of urgent and interactive tasks, running or waiting
	peakMS     int64   // time of the last update of peak, Unix milliseconds
}

// countRunning changes the number of running and planned tasks by one. by is 1 if a task
// of the job was planned or started, and -1 if its plan was settled or it ended.
func (s *planner) countRunning(j *job, by int) {
	s.running[j.rec.Class] += by
	switch j.rec.Class {
	case state.ClassDeferrable:
		s.slots.deferrable += by
	case state.ClassUrgent, state.ClassInteractive:
		s.slots.prompt += by
	default:
		return
	}
	if j.long {
		s.slots.long += by
	}
}

// updatePeak lets the recorded demand peak decay for the time since the last update and
// raises it to the current demand if that is higher.
func (s *planner) updatePeak(nowMS int64) {
	u := &s.slots
	demand := float64(u.prompt + s.queues[queueUrgent].Len() + s.queues[queueInteractive].Len())
	if elapsed := nowMS - u.peakMS; elapsed > 0 {
		u.peak -= u.peak * min(1, float64(elapsed)/(2*headroomHalfLifeMS))
		u.peakMS = nowMS
	}
	u.peak = max(u.peak, demand)
}

// interactiveSlots returns the number of slots that long work leaves free for interactive
// work: the interactive share, but at least one slot.
func (s *planner) interactiveSlots() int {
	total := s.runners.Capacity().Slots
	return min(total, max(1, total*interactiveEighths/8))
}

// promotedSlots returns the number of slots that promoted deferrable work may always use.
func (s *planner) promotedSlots() int {
	return max(1, s.runners.Capacity().Slots*promotedEighths/8)
}

// deferrableSlots returns the number of slots that long or short deferrable work may
// use. Short work only has to leave the interactive share, since its slots become free
// before urgent work must start.
func (s *planner) deferrableSlots(long bool) int {
	total := s.runners.Capacity().Slots
	if !long {
		return max(s.promotedSlots(), total-s.interactiveSlots())
	}
	headroom := max(total*urgentEighths/8, int(s.slots.peak))
	return max(s.promotedSlots(), total-s.interactiveSlots()-headroom)
}

// longAllowed reports whether another long task may start without using the interactive
// share.
func (s *planner) longAllowed() bool {
	return s.slots.long < s.runners.Capacity().Slots-s.interactiveSlots()
}

// planSlots plans the classes that run on runners. Urgent work comes before all work
// that may wait, except that promoted deferrable work first gets its minimum share.
func (s *planner) planSlots(b *batch) {
	s.updatePeak(b.clock.WallMS)
	p := &s.policies
	s.serve(b, queuePromoted, &p.promotedMin)
	s.serve(b, queueUrgent, &p.prompt)
	s.serve(b, queueInteractive, &p.prompt)
	s.serve(b, queuePromoted, &p.promoted)
	s.serve(b, queueDeferrable, &p.deferrable)
}

// promptAllowed is the rule for urgent and interactive work: long tasks must leave the
// interactive share free.
func (s *planner) promptAllowed(_ *queue.Lane, j *job) (ok, stop bool) {
	return !j.long || s.longAllowed(), false
}

// promotedMinAllowed lets promoted work use the minimum share of deferrable work.
func (s *planner) promotedMinAllowed(_ *queue.Lane, j *job) (ok, stop bool) {
	return !j.long || s.longAllowed(), s.slots.deferrable >= s.promotedSlots()
}

// promotedAllowed lets promoted work use the headroom kept for a rise in demand only in
// the final part of its bound. The queue is ordered by due time, so its first task
// decides whether to stop.
func (s *planner) promotedAllowed(l *queue.Lane, j *job) (ok, stop bool) {
	near := l.Head().Due-s.clock.WallMS <= s.bound(&j.rec.Request)/finalBoundDivisor
	stop = s.slots.deferrable >= s.deferrableSlots(j.long && !near)
	return !j.long || s.longAllowed(), stop
}

// deferrableAllowed is the rule for deferrable work that is not promoted. It stops when
// even short work may use no more slots.
func (s *planner) deferrableAllowed(_ *queue.Lane, j *job) (ok, stop bool) {
	return (!j.long || s.longAllowed()) && s.slots.deferrable < s.deferrableSlots(j.long), s.slots.deferrable >= s.deferrableSlots(false)
}

// findFastFirst returns the runner with the most free slots in the fastest tier that has
// room. It serves urgent and interactive work.
func (s *planner) findFastFirst(c Clock, j *job, it *queue.Item) *placement.Node {
	return s.runners.MostFree(j.rec.PerTask, fastFirst, s.deadlineFilter(c, j, it))
}

// findNormalFirst prefers runners of normal speed. It serves deferrable work, which
// leaves the fastest runners to urgent and interactive work.
func (s *planner) findNormalFirst(c Clock, j *job, it *queue.Item) *placement.Node {
	return s.runners.MostFree(j.rec.PerTask, normalFirst, s.deadlineFilter(c, j, it))
}

// deadlineFilter returns the filter for an item. It is valid until the next call.
func (s *planner) deadlineFilter(c Clock, j *job, it *queue.Item) placement.Filter {
	f := &s.filter
	*f = deadlineFilter{nowMS: c.WallMS, dueMS: it.Due, runMS: j.est.RunMS, excludedNodes: s.excludedFor(j, it.Task)}
	if j.rec.DeadlineMS > 0 {
		f.dueMS = j.rec.DeadlineMS
	}
	return f
}
