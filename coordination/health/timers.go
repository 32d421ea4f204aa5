package health

import (
	"container/heap"
	"time"
)

// timers is a heap of the few endpoints that are flapping or in quarantine. An
// endpoint needs only one timer, because a flapping endpoint gets no trials.
type timers []*endpoint

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].timer < h[j].timer }
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex, h[j].timerIndex = i, j
}

// Push implements heap.Interface.
func (h *timers) Push(x any) {
	e := x.(*endpoint)
	e.timerIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.timerIndex = -1
	return e
}

func (t *Tracker) setTimer(e *endpoint, at time.Duration) {
	e.timer = at
	if e.timerIndex >= 0 {
		heap.Fix(&t.timers, e.timerIndex)
		return
	}
	heap.Push(&t.timers, e)
}

func (t *Tracker) stopTimer(e *endpoint) {
	if e.timerIndex >= 0 {
		heap.Remove(&t.timers, e.timerIndex)
	}
}

// fireTimers ends flapping and marks trials as due. A due trial leaves the heap, so
// that a deadline in the past does not make the caller call again and again while
// there is no task to try.
func (t *Tracker) fireTimers(now time.Duration) {
	for len(t.timers) > 0 && t.timers[0].timer <= now {
		e := heap.Pop(&t.timers).(*endpoint)
		switch {
		case e.flapping && e.contactState != answering:
			// The next return restarts the stable time.
		case e.flapping:
			e.flapping = false
			t.markChanged(e)
			if e.quarantined {
				e.trialDue = true
			}
		case e.quarantined:
			e.trialDue = true
		}
	}
}
