package jobs

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// lateStartTime is the longest time after which a worker executes an order that it has not answered:
// up to 12 s, and a margin.
const lateStartTime = 13 * time.Second

// lateStart is a start that was not answered and whose run has ended since. The incarnation that
// ended the run rejects the start. The next one under the same ID does not know the run, so it is
// instructed to reject it. The starts that an earlier leader left unanswered are not known, and need
// no instruction: the term of the first order that an incarnation receives fences them.
type lateStart struct {
	ref         job.TaskRef
	run         int
	expires     time.Duration // time from which the start is not executed any more
	prevented   int64         // start time of the last incarnation that rejects it, Unix milliseconds
	byNext      bool          // the incarnation that follows prevented rejects it as well; its start time is not known
	inFlight    bool
	nextAttempt time.Duration
}

// lateStarts holds the late starts by worker ID.
type lateStarts map[string][]*lateStart

// add notes the start of a run that has ended on an incarnation of a worker, if it may still be
// under way. That incarnation rejects it without an instruction.
func (m *lateStarts) add(now time.Duration, w job.Incarnation, r *run) {
	if !r.unanswered {
		return
	}
	if *m == nil {
		*m = lateStarts{}
	}
	(*m)[w.ID] = append((*m)[w.ID], &lateStart{ref: r.ref, run: r.number, expires: now + lateStartTime, prevented: w.StartedMS})
}

// expire removes the late starts that are not executed any more.
func (m lateStarts) expire(now time.Duration) {
	for id, list := range m {
		list = slices.DeleteFunc(list, func(x *lateStart) bool { return now >= x.expires })
		if m[id] = list; len(list) == 0 {
			delete(m, id)
		}
	}
}

// stopAnswered records the answer to the stop of a late start. byNext is true if the stop was sent when
// the worker that it names was known to have ended.
func (m lateStarts) stopAnswered(now time.Duration, e *StopAnswered, byNext bool) {
	for _, x := range m[e.Stop.Worker.ID] {
		if x.ref != e.Stop.TaskRef || x.run != e.Stop.Run {
			continue
		}
		x.inFlight, x.nextAttempt = false, now+orderRetry
		switch e.Result {
		case OrderDone, OrderSuperseded:
			x.prevented, x.byNext = e.Stop.Worker.StartedMS, byNext
		case OrderWrongIncarnation:
			x.prevented, x.byNext = e.Stop.Worker.StartedMS, true
		}
	}
}

// isRejectedAt reports whether the incarnation that an order for a worker reaches rejects the start. Start
// times do not order incarnations of a worker whose clock was set back, so they are compared for equality
// unless the next incarnation is reached, whose start time is not known.
func (x *lateStart) isRejectedAt(w *worker) bool {
	if w.replaced {
		return x.prevented > w.StartedMS || x.prevented == w.StartedMS && x.byNext
	}
	return x.prevented == w.StartedMS
}

// preventLateStarts stops the runs that a worker must not start when a late start of an earlier
// incarnation arrives. The worker is one that has joined, one that wants to join, or one that was
// replaced: the stops for the latter reach the next incarnation, which may not have sent a heartbeat yet.
func (l *Leader) preventLateStarts(w *worker) {
	if w.unresponsive {
		return
	}
	for _, x := range l.lateStarts[w.ID] {
		switch {
		case x.isRejectedAt(w) || x.inFlight || l.now >= x.expires:
		case l.now < x.nextAttempt:
			w.reconcileAt(x.nextAttempt)
		default:
			x.inFlight = true
			l.sendOrder(StopRun{Order: l.newOrder(w), TaskRef: x.ref, Run: x.run}, 0)
		}
	}
}
