package health

import (
	"container/list"
	"time"
)

// The lists answering and suspect are ordered by the time of the last contact: a
// heartbeat answer moves its endpoint to the back, and endpoints become suspect in
// that order. Therefore only the first element of each list has to be checked.

// NextDeadline returns when Transitions must be called next if no other event occurs.
// ok is false if there is no such time.
func (t *Tracker) NextDeadline() (at time.Duration, ok bool) {
	at, ok = earlier(at, ok, t.answering, SuspectAfter)
	at, ok = earlier(at, ok, t.suspect, LostAfter)
	if len(t.timers) > 0 && (!ok || t.timers[0].timer < at) {
		return t.timers[0].timer, true
	}
	return at, ok
}

// earlier returns the earlier of at and the time at which the first endpoint of l has
// been without contact for after. ok reports whether at is set.
func earlier(at time.Duration, ok bool, l *list.List, after time.Duration) (time.Duration, bool) {
	front := l.Front()
	if front == nil {
		return at, ok
	}
	due := front.Value.(*endpoint).lastAnswered + after
	if !ok || due < at {
		return due, true
	}
	return at, ok
}

func (t *Tracker) advance(now time.Duration) {
	for {
		front := t.answering.Front()
		if front == nil || now < front.Value.(*endpoint).lastAnswered+SuspectAfter {
			break
		}
		t.markSuspect(front.Value.(*endpoint))
	}
	for {
		front := t.suspect.Front()
		if front == nil || now < front.Value.(*endpoint).lastAnswered+LostAfter {
			break
		}
		t.markLost(front.Value.(*endpoint))
	}
	t.fireTimers(now)
}

func (t *Tracker) markSuspect(e *endpoint) {
	t.answering.Remove(e.element)
	e.contactState = suspected
	e.element = t.suspect.PushBack(e)
	t.markChanged(e)
}

// markLost makes an endpoint lost. It no longer counts as present or in quarantine.
func (t *Tracker) markLost(e *endpoint) {
	if e.contactState == suspected {
		t.suspect.Remove(e.element)
	} else {
		t.answering.Remove(e.element)
	}
	e.element = nil
	e.contactState = lost
	p := t.population(e.kind)
	p.present--
	if e.quarantined {
		p.quarantined--
	}
	t.markChanged(e)
}

// markAnswering returns a suspected or lost endpoint to the answering ones.
func (t *Tracker) markAnswering(now time.Duration, e *endpoint) {
	if e.contactState == suspected {
		t.suspect.Remove(e.element)
	} else {
		p := t.population(e.kind)
		p.present++
		if e.quarantined {
			p.quarantined++
		}
	}
	e.contactState = answering
	e.element = t.answering.PushBack(e)
	t.recordReturn(now, e)
	t.markChanged(e)
}

// recordReturn records that an endpoint regained contact or restarted, and marks it as
// flapping after FlappingReturns returns in less than FlappingWindow. Each further
// return restarts the stable time.
func (t *Tracker) recordReturn(now time.Duration, e *endpoint) {
	copy(e.returnTimes[:], e.returnTimes[1:])
	e.returnTimes[FlappingReturns-1] = now
	e.returnCount = min(e.returnCount+1, FlappingReturns)
	if e.flapping || e.returnCount == FlappingReturns && now-e.returnTimes[0] < FlappingWindow {
		e.flapping = true
		t.setTimer(e, now+StableAfter)
	}
	t.markChanged(e)
}
