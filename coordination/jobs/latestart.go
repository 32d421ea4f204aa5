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
// instructed to reject it.
type lateStart struct {
	ref         job.TaskRef
	run         int
	expires     time.Duration // time from which the start is not executed any more
	prevented   int64         // start time of the last incarnation that rejects it, Unix milliseconds
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

// stopAnswered records the answer to the stop of a late start.
func (m lateStarts) stopAnswered(now time.Duration, e *StopAnswered) {
	for _, x := range m[e.Stop.Worker.ID] {
		if x.ref != e.Stop.TaskRef || x.run != e.Stop.Run {
			continue
		}
		x.inFlight, x.nextAttempt = false, now+orderRetry
		if e.Result == OrderDone || e.Result == OrderSuperseded {
			x.prevented = e.Stop.Worker.StartedMS
		}
	}
}

// preventLateStarts stops the runs that a worker must not start when a late start of an earlier
// incarnation arrives.
func (l *Leader) preventLateStarts(w *worker) {
	if w.replaced || w.unresponsive {
		return
	}
	for _, x := range l.lateStarts[w.ID] {
		switch {
		case x.prevented == w.StartedMS || x.inFlight || l.now >= x.expires:
		case l.now < x.nextAttempt:
			w.reconcileAt(x.nextAttempt)
		default:
			x.inFlight = true
			l.sendOrder(StopRun{Order: l.newOrder(w), TaskRef: x.ref, Run: x.run}, 0)
		}
	}
}
