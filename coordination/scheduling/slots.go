package scheduling

import (
	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/coordination/queue"
	"github.com/primrosereach/primrosereach/state"
)

// Parts of all slots, in eighths. Runners have 8 slots today, so one eighth is the
// least that can be kept on each.
const (
	interactiveEighths = 1 // kept from long work, for interactive work
	urgentEighths      = 3 // kept from long deferrable work, at least, for a swing
	promotedEighths    = 1 // left to deferrable work that has waited long, at least
)

// lastPartOfBound is the divisor of a bound on waiting that gives its last part, in
// which promoted work may use all slots but the interactive ones.
const lastPartOfBound = 6

// headroomHalfLifeMS is how fast the memory of a demand peak fades. Swings of the
// workloads recur within minutes.
const headroomHalfLifeMS = 300_000

// slotUse counts the slots in use, running or planned.
type slotUse struct {
	deferrable int
	long       int
	prompt     int     // urgent and interactive
	peak       float64 // recent peak of prompt, running or waiting
	peakMS     int64   // when it was last renewed
}

// countRunning counts a task that was planned, or that ended.
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

func (s *planner) notePeak(nowMS int64) {
	u := &s.slots
	demand := float64(u.prompt + s.queues[bandUrgent].Len() + s.queues[bandInteractive].Len())
	if elapsed := nowMS - u.peakMS; elapsed > 0 {
		u.peak -= u.peak * min(1, float64(elapsed)/(2*headroomHalfLifeMS))
		u.peakMS = nowMS
	}
	u.peak = max(u.peak, demand)
}

// interactiveSlots is the number of slots that long work leaves free.
func (s *planner) interactiveSlots() int {
	total := s.runners.Capacity().Slots
	return min(total, max(1, total*interactiveEighths/8))
}

// promotedSlots is the number of slots that deferrable work may use in any case.
func (s *planner) promotedSlots() int {
	return max(1, s.runners.Capacity().Slots*promotedEighths/8)
}

// deferrableSlots is the number of slots that deferrable work may use. Short work
// leaves only the interactive share, since its slots are free again before urgent
// work must start.
func (s *planner) deferrableSlots(long bool) int {
	total := s.runners.Capacity().Slots
	if !long {
		return max(s.promotedSlots(), total-s.interactiveSlots())
	}
	headroom := max(total*urgentEighths/8, int(s.slots.peak))
	return max(s.promotedSlots(), total-s.interactiveSlots()-headroom)
}

func (s *planner) longAllowed() bool {
	return s.slots.long < s.runners.Capacity().Slots-s.interactiveSlots()
}

// planSlots serves the classes that run on runners. Urgent work comes before all
// work that may wait; deferrable work that has waited half of its bound may use its
// least share before it.
func (s *planner) planSlots(b *batch) {
	s.notePeak(b.clock.WallMS)
	p := &s.picks
	s.serve(b, bandPromoted, &p.least)
	s.serve(b, bandUrgent, &p.prompt)
	s.serve(b, bandInteractive, &p.prompt)
	s.serve(b, bandPromoted, &p.promoted)
	s.serve(b, bandDeferrable, &p.leftover)
}

func (s *planner) promptAllowed(_ *queue.Lane, j *job) (ok, stop bool) {
	return !j.long || s.longAllowed(), false
}

func (s *planner) leastAllowed(_ *queue.Lane, j *job) (ok, stop bool) {
	return !j.long || s.longAllowed(), s.slots.deferrable >= s.promotedSlots()
}

// promotedAllowed lets promoted work use the slots kept for a swing only when its
// bound is near. The queue is ordered by due time, so the first task decides.
func (s *planner) promotedAllowed(l *queue.Lane, j *job) (ok, stop bool) {
	near := l.Head().Due-s.clock.WallMS <= s.bound(&j.rec.Request)/lastPartOfBound
	stop = s.slots.deferrable >= s.deferrableSlots(j.long && !near)
	return !j.long || s.longAllowed(), stop
}

func (s *planner) leftoverAllowed(_ *queue.Lane, j *job) (ok, stop bool) {
	return (!j.long || s.longAllowed()) && s.slots.deferrable < s.deferrableSlots(j.long), s.slots.deferrable >= s.deferrableSlots(false)
}

// findPrompt spreads urgent and interactive work over the fastest runners.
func (s *planner) findPrompt(c Clock, j *job, it *queue.Item) *placement.Node {
	return s.runners.MostFree(j.rec.PerTask, fastFirst, s.timely(c, j, it))
}

// findLeisurely leaves the fastest runners to work that is waited for.
func (s *planner) findLeisurely(c Clock, j *job, it *queue.Item) *placement.Node {
	return s.runners.MostFree(j.rec.PerTask, normalFirst, s.timely(c, j, it))
}

// timely returns the filter for an item. It is valid until the next call.
func (s *planner) timely(c Clock, j *job, it *queue.Item) placement.Filter {
	f := &s.filter
	*f = timely{nowMS: c.WallMS, dueMS: it.Due, runMS: j.est.RunMS, avoids: s.avoided(j, it.Task)}
	if j.rec.DeadlineMS > 0 {
		f.dueMS = j.rec.DeadlineMS
	}
	return f
}
