package jobs

import "time"

// tendObservation asks a worker for its lists when that is due.
func (l *Leader) tendObservation(w *worker) {
	needed := len(w.runs) > 0 || w.acked < w.rec.AckedEnd || w.urgent || w.misses > 0 && !w.silent
	if !needed || w.observing || w.noting {
		return
	}
	if l.now < w.observeAt {
		w.wake(w.observeAt)
		return
	}
	l.observe(w)
}

// observeWait is how long a worker that runs something may hold back its answer until a
// run ends. With many workers it is longer, which bounds the observations of one leader:
// the silence of a failure domain is still noticed early, by those of its workers whose
// answers are due first. Where tasks that fill have to be paced it stays short.
func (l *Leader) observeWait(w *worker) time.Duration {
	if w.mixed {
		return minObserveWait
	}
	return min(maxObserveWait, max(minObserveWait, time.Duration(len(l.byID))*time.Second/idleObservations))
}

// observe asks a worker for its lists. A worker that did not answer gets no longer
// lease until it does, so that its runs end if it stays unreachable.
func (l *Leader) observe(w *worker) {
	e := Observe{Order: l.order(w), AckedEnd: w.rec.AckedEnd}
	if len(w.runs) > 0 && w.misses == 0 && !w.silent && w.clockMS > 0 {
		e.UntilMS = l.extendLease(w)
	}
	if !w.urgent && w.misses == 0 && !w.silent && w.acked >= w.rec.AckedEnd-maxListedEnds && len(w.runs) > 0 {
		e.WaitMS = int(l.observeWait(w).Milliseconds())
	}
	w.observing, w.urgent = true, false
	l.host.Emit(e)
}

func (l *Leader) observed(e Observed) {
	w := l.workers[e.Observe.Worker.ID]
	if w == nil || w.Incarnation != e.Observe.Worker {
		return
	}
	w.observing = false
	w.observeAt = l.now
	l.touch(w)
	switch e.Result {
	case OrderDone:
		if w.silent {
			l.log("info", "worker answers", "", w.ID, "the worker answers again")
		}
		w.silent, w.misses, w.acked = false, 0, max(w.acked, e.Observe.AckedEnd)
		w.hear(l.now, e.ClockMS)
		l.compare(w, &e)
		l.dirty = true
	case OrderWrongIncarnation:
		l.otherLife(w)
	default:
		w.observeAt = l.now + observeRetry
		w.misses++
		l.suspectDomain(w.rec.Domain)
		if w.misses >= maxMisses {
			l.unanswered(w, "observe", e.Result)
		}
	}
}

// unanswered notes that a worker did not carry out an order.
func (l *Leader) unanswered(w *worker, step string, result OrderResult) {
	if !w.silent {
		l.log("warn", step, "", w.ID, "the worker does not answer and gets no new work", "result", result.String(), "heard_ms_ago", (l.now - w.heard).Milliseconds(), "runs", len(w.runs))
	}
	w.silent, w.misses = true, max(w.misses, 1)
	w.wake(l.now + observeRetry)
}

// suspicion marks a failure domain that may have been cut off.
type suspicion struct{ since, until time.Duration }

// suspectDomain makes a failure domain suspect if many of its workers do not answer that
// did until recently. Each of its workers is asked, and gets no new work before it has
// answered. Workers that left or were lost earlier say nothing about the domain.
func (l *Leader) suspectDomain(domain string) {
	missing, all := 0, 0
	for _, w := range l.byID {
		if w.rec.Domain != domain || w.rec.Draining || l.now-w.heard > staleAfter {
			continue
		}
		all++
		if w.misses > 0 {
			missing++
		}
	}
	if missing < suspectLeast || float64(missing) < suspectShare*float64(all) {
		return
	}
	s := l.suspects[domain]
	if l.now >= s.until {
		s.since = l.now
		l.log("warn", "suspect domain", "", domain, "workers of the failure domain do not answer", "missing", missing, "workers", all)
		l.askDomain(domain)
	}
	s.until = l.now + suspectTime
	l.suspects[domain] = s
}

// askDomain asks the workers of a failure domain whether they are there.
func (l *Leader) askDomain(domain string) {
	for _, w := range l.byID {
		if w.rec.Domain == domain && !w.observing {
			w.urgent, w.observeAt = true, l.now
			l.touch(w)
		}
	}
}
