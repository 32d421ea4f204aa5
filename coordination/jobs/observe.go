package jobs

import "time"

// observeIfDue polls a worker if its next observation is due and is needed: the worker has
// runs, has not received the last acknowledgement, missed an answer but is not unresponsive
// yet, or has to be polled at once. It waits while an earlier observation is not answered or
// ends are being committed.
func (l *Leader) observeIfDue(w *worker) {
	needed := len(w.runs) > 0 || w.deliveredAck < w.rec.AckedEnd || w.observeAtOnce || w.misses > 0 && !w.unresponsive
	if !needed || w.observing || w.committingEnds > 0 {
		return
	}
	if l.now < w.observeAt {
		w.reconcileAt(w.observeAt)
		return
	}
	l.observe(w)
}

// observeWait returns how long a worker with runs may delay its answer until a run ends.
// It is longer with many workers, which bounds the rate of observations of one leader. An
// unresponsive failure domain is still detected early, through those of its workers whose
// answers are due first. It stays short where best-effort tasks have to be paced.
func (l *Leader) observeWait(w *worker) time.Duration {
	if w.pacesForService {
		return minObserveWait
	}
	return min(maxObserveWait, max(minObserveWait, time.Duration(len(l.byID))*time.Second/idleObservations))
}

// observe polls a worker for its running tasks and ended runs. It acknowledges ends only until an answer
// shows that the worker has received that, and neither after an order without an answer nor before the
// incarnation has listed its runs in this term: the worker may have restarted under its ID, and the next
// incarnation, which numbers its ends from 1 again, would not list those up to the acknowledged one. The
// lease of a worker that missed an answer is not extended until the worker answers, so that its runs end
// if it stays unreachable.
func (l *Leader) observe(w *worker) {
	e := Observe{Order: l.newOrder(w)}
	if w.deliveredAck < w.rec.AckedEnd && w.misses == 0 && w.hasListed {
		e.AckedEnd = w.rec.AckedEnd
	}
	w.stopsUnconfirmed = l.hasUnconfirmedStop(w)
	if len(w.runs) > 0 && w.misses == 0 && !w.unresponsive && w.clockMS > 0 && !w.stopsUnconfirmed {
		e.UntilMS = l.extendLease(w)
	}
	if !w.observeAtOnce && w.misses == 0 && !w.unresponsive && w.deliveredAck >= w.rec.AckedEnd-maxListedEnds && len(w.runs) > 0 {
		e.WaitMS = int(l.observeWait(w).Milliseconds())
	}
	w.observing, w.observeAtOnce = true, false
	l.sendOrder(e, time.Duration(e.WaitMS)*time.Millisecond)
}

// maxStopWait is how long a stop may be refused or not answered before the lease of its worker is not
// extended any more, so that the run ends with the lease. Workers stop a run within Bounds.StopTime, and
// stops that are lost are repeated every 0.35 s; the lease leaves the worker several seconds more to confirm one.
const maxStopWait = 3 * time.Second

// hasUnconfirmedStop reports whether a worker has not confirmed the stop of a run for maxStopWait. It may
// answer polls all the same.
func (l *Leader) hasUnconfirmedStop(w *worker) bool {
	for _, r := range w.runs {
		if r.phase == stopping && !r.stopped && l.now-r.phaseSince > maxStopWait {
			return true
		}
	}
	return false
}

func (l *Leader) observed(e Observed) {
	if l.joinChecked(&e) {
		return
	}
	w := l.workers[e.Observe.Worker.ID]
	if w == nil || w.Incarnation != e.Observe.Worker {
		return // the worker has been removed or replaced
	}
	if e.Observe.NextIncarnation {
		l.nextObserved(w, &e)
		return
	}
	if w.rec.Address != e.Observe.Address {
		return // the incarnation has joined at another address since
	}
	w.observing = false
	w.observeAt = l.now
	l.markForReconcile(w)
	switch e.Result {
	case OrderDone:
		if w.unresponsive {
			l.log("info", "worker answers", "", w.ID, "the worker answers again")
		}
		w.unresponsive, w.misses, w.hasListed, w.deliveredAck = false, 0, true, max(w.deliveredAck, e.Observe.AckedEnd)
		w.observedAt = max(w.observedAt, e.Observe.SentAt)
		w.recordAnswer(l.now, e.ClockMS)
		l.reconcileRuns(w, &e)
		l.needsSchedule = true
		if w.clockMS == 0 { // no lease can be given without a reading above 0
			w.observeAtOnce, w.observeAt = true, l.now+observeRetry
		}
	case OrderWrongIncarnation:
		l.markReplaced(w, reasonOtherIncarnation)
	case OrderLost:
		w.observeAtOnce = true
	case OrderNotSent:
		w.observeAtOnce, w.observeAt = true, l.now+observeRetry
	default:
		w.observeAt = l.now + observeRetry
		w.misses++
		l.suspectDomain(w.rec.Domain)
		if w.misses >= maxMisses {
			l.unanswered(w, "observe", e.Result)
		}
	}
}

// unanswered marks a worker as unresponsive after it did not answer repeated orders.
func (l *Leader) unanswered(w *worker, step string, result OrderResult) {
	if !w.unresponsive {
		l.log("warn", step, "", w.ID, "the worker does not answer and gets no new work", "result", result.String(), "heard_ms_ago", (l.now - w.lastContact).Milliseconds(), "runs", len(w.runs))
	}
	w.unresponsive, w.misses = true, max(w.misses, 1)
	w.reconcileAt(l.now + observeRetry)
}

// domainSuspicion is the period in which a failure domain is suspect: it may be partitioned
// from the leader.
type domainSuspicion struct{ since, until time.Duration }

// suspectDomain marks a failure domain as suspect if at least suspectShare of its workers,
// and at least suspectMinWorkers of them, were in contact until recently but have missed an
// answer now. Each worker of the domain is polled at once and gets no new work until it
// answers. Workers that are draining or were lost earlier do not count.
func (l *Leader) suspectDomain(domain string) {
	unresponsive, all := 0, 0
	for _, w := range l.byID {
		if w.rec.Domain != domain || w.rec.Draining || l.now-w.lastContact > staleAfter {
			continue
		}
		all++
		if w.misses > 0 {
			unresponsive++
		}
	}
	if unresponsive < suspectMinWorkers || float64(unresponsive) < suspectShare*float64(all) {
		return
	}
	s := l.suspectDomains[domain]
	if l.now >= s.until {
		s.since = l.now
		l.log("warn", "suspect domain", "", domain, "workers of the failure domain do not answer", "missing", unresponsive, "workers", all)
		l.observeDomain(domain)
	}
	s.until = l.now + suspectTime
	l.suspectDomains[domain] = s
}

// observeDomain polls all workers of a failure domain at once.
func (l *Leader) observeDomain(domain string) {
	for _, w := range l.byID {
		if w.rec.Domain == domain && !w.observing {
			w.observeAtOnce, w.observeAt = true, l.now
			l.markForReconcile(w)
		}
	}
}
