package health

import (
	"container/list"
	"time"
)

// Both lists are ordered by the time of the last answer: an answer moves its
// endpoint to the back, and endpoints become suspect in the order of their last
// answers. The first element of each list is therefore the only one to look at.

// NextDeadline returns when Transitions must be called next if nothing else
// happens. ok is false if there is no such time.
func (t *Tracker) NextDeadline() (at time.Duration, ok bool) {
	at, ok = earlier(at, ok, t.answering, SuspectAfter)
	at, ok = earlier(at, ok, t.suspect, LostAfter)
	if len(t.timers) > 0 && (!ok || t.timers[0].timer < at) {
		return t.timers[0].timer, true
	}
	return at, ok
}

func earlier(at time.Duration, ok bool, l *list.List, after time.Duration) (time.Duration, bool) {
	front := l.Front()
	if front == nil {
		return at, ok
	}
	due := front.Value.(*endpoint).answered + after
	if !ok || due < at {
		return due, true
	}
	return at, ok
}

func (t *Tracker) advance(now time.Duration) {
	for {
		front := t.answering.Front()
		if front == nil || now < front.Value.(*endpoint).answered+SuspectAfter {
			break
		}
		t.markSuspect(front.Value.(*endpoint))
	}
	for {
		front := t.suspect.Front()
		if front == nil || now < front.Value.(*endpoint).answered+LostAfter {
			break
		}
		t.markLost(front.Value.(*endpoint))
	}
	t.fireTimers(now)
}

func (t *Tracker) markSuspect(e *endpoint) {
	t.answering.Remove(e.place)
	e.silence = suspected
	e.place = t.suspect.PushBack(e)
	t.touch(e)
}

func (t *Tracker) markLost(e *endpoint) {
	if e.silence == suspected {
		t.suspect.Remove(e.place)
	} else {
		t.answering.Remove(e.place)
	}
	e.place = nil
	e.silence = lost
	p := t.population(e.kind)
	p.present--
	if e.quarantined {
		p.quarantined--
	}
	t.touch(e)
}

// resume ends the silence of an endpoint.
func (t *Tracker) resume(now time.Duration, e *endpoint) {
	if e.silence == suspected {
		t.suspect.Remove(e.place)
	} else {
		p := t.population(e.kind)
		p.present++
		if e.quarantined {
			p.quarantined++
		}
	}
	e.silence = answering
	e.place = t.answering.PushBack(e)
	t.countReturn(now, e)
	t.touch(e)
}

// countReturn notes a return and makes the endpoint flapping after too many. Each
// further return starts the stable time again.
func (t *Tracker) countReturn(now time.Duration, e *endpoint) {
	copy(e.returns[:], e.returns[1:])
	e.returns[FlappingReturns-1] = now
	e.returned = min(e.returned+1, FlappingReturns)
	if e.flapping || e.returned == FlappingReturns && now-e.returns[0] < FlappingWindow {
		e.flapping = true
		t.setTimer(e, now+StableAfter)
	}
	t.touch(e)
}
