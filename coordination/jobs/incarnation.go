package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// A worker may restart under its previous ID. Orders identify a worker by ID only, so the
// next incarnation can execute a start that was sent to the previous one. Only lists of runs and
// heartbeats name the incarnation that sends them; the answers to starts and stops do not, so they
// do not show which incarnation has executed the order.
//
// A worker is replaced from the time at which its incarnation is known to have ended. A run ended with
// that incarnation if it has listed the run and no start of the run was left unanswered; of a run that
// an earlier leader assigned, a start may be unanswered without this leader's knowledge for
// lateStartTime. The next incarnation may have started any other run. It does not start a run after it
// has executed a stop of that run, so such a run has ended once Bounds.StopTime has passed after the
// answer to a stop that was sent to the replaced worker. How it has ended is not known before the next
// incarnation lists its ends: a task may be done before the stop takes effect, and the end counts once
// it is acknowledged.

const reasonOtherIncarnation = "another incarnation answers at its address"

// markReplaced records that a worker has certainly ended, and why that is known. It stops the runs
// whose start the next incarnation may execute.
func (l *Leader) markReplaced(w *worker, reason string) {
	if !w.replaced {
		l.log("info", "worker gone", "", w.ID, reason, "runs", len(w.runs))
		w.replaced, w.replacedAt = true, l.now
	}
	for _, r := range w.sortedRuns() {
		if r.stopConfirmedByNextAt > 0 || !r.startMayBeInFlight() {
			continue
		}
		l.stopRun(w, r, "the worker has ended: "+reason)
		r.stopped = false // the stop was confirmed by the previous incarnation only
	}
	l.markForReconcile(w)
}

// address returns the address to which orders for a worker are sent. The next incarnation may have started
// at another one than that of the replicated record.
func (w *worker) address() string {
	if w.replaced && w.nextAddress != "" {
		return w.nextAddress
	}
	return w.rec.Address
}

// startMayBeInFlight reports whether the next incarnation may have received an order to start the
// run, or may still receive one. An earlier leader knew which of its starts were not answered; the
// record of an adopted run does not show them.
func (r *run) startMayBeInFlight() bool { return r.unanswered || !r.listed || r.adopted }

// reachesNext reports whether an order to the worker was sent when the worker was known to have ended,
// so that only the next incarnation can have answered it.
func (w *worker) reachesNext(o Order) bool { return w.replaced && o.SentAt >= w.replacedAt }

// stopConfirmedByNext records that the next incarnation of a worker has confirmed the stop of a run, with
// the reading of its clock.
func (l *Leader) stopConfirmedByNext(w *worker, r *run, clockMS int64) {
	if r.stopConfirmedByNextAt == 0 {
		r.stopConfirmedByNextAt, r.stopClockMS = l.now, clockMS
		w.leasesExpireAt = max(w.leasesExpireAt, l.nextLeaseEnd())
	}
}

// clockResolutionMS is the resolution of workers' clocks in milliseconds.
const clockResolutionMS = 1

// stopAgainIfRestarted stops the runs again whose stop an incarnation has confirmed that ended before the
// answer to an observation. Answers to stops do not name the incarnation, but its clock starts anew. It
// reports whether there are such runs.
func (l *Leader) stopAgainIfRestarted(w *worker, e *Observed) bool {
	restarted := false
	for _, r := range w.sortedRuns() {
		if r.stopConfirmedByNextAt == 0 || r.stopClockMS == 0 || e.ClockMS == 0 {
			continue
		}
		elapsed := float64((e.Observe.SentAt - r.stopConfirmedByNextAt).Milliseconds())
		if float64(e.ClockMS+clockResolutionMS) < float64(r.stopClockMS)+elapsed*(1-clockDrift) {
			r.stopConfirmedByNextAt, r.nextAttempt, restarted = 0, l.now, true
		}
	}
	return restarted
}

// lateStartsEndAt returns the time at which all runs that the next incarnation may have
// started have ended there, 0 if there are no such runs. It returns false if the time is
// not known, because the worker is not known to have ended.
func (l *Leader) lateStartsEndAt(w *worker) (at time.Duration, known bool) {
	for _, r := range w.runs {
		switch {
		case !r.startMayBeInFlight():
		case r.stopConfirmedByNextAt > 0:
			at = max(at, r.stopConfirmedByNextAt+time.Duration(float64(l.bounds.StopTime)*(1+clockDrift)))
		case w.replaced:
			at = max(at, l.unstoppedRunsEndAt(w))
		default:
			return 0, false
		}
	}
	return at, true
}

// unstoppedRunsEndAt returns the time at which the runs that the next incarnation may have started have
// ended there even if it confirms no stop: starts are sent until replacedAt at the latest, and the lease of
// the last one has expired. The lease is not extended before the incarnation has joined.
func (l *Leader) unstoppedRunsEndAt(w *worker) time.Duration {
	return w.replacedAt + lateStartTime + time.Duration(float64(l.bounds.MaxLease)*(1+clockDrift)) + l.bounds.StopTime
}

// runsExpireAt returns the time after which no run that is assigned to an unresponsive worker is left:
// its leases have expired, and those that the next incarnation may have granted itself with a late start.
func (l *Leader) runsExpireAt(w *worker) time.Duration {
	if !w.replaced {
		return w.leasesExpireAt
	}
	for _, r := range w.runs {
		if r.startMayBeInFlight() && r.stopConfirmedByNextAt == 0 {
			return max(w.leasesExpireAt, l.unstoppedRunsEndAt(w))
		}
	}
	return w.leasesExpireAt
}

// endRunsOfPrevious commits the ends of the runs that have certainly ended with the previous incarnation of
// a worker, while others may run on the next one.
func (l *Leader) endRunsOfPrevious(w *worker) {
	var ends []job.RunEnd
	for _, r := range w.sortedRuns() {
		if !r.startMayBeInFlight() {
			ends = append(ends, job.RunEnd{TaskRef: r.ref, Run: r.number, Kind: job.EndLeaseExpired})
		}
	}
	if len(ends) > 0 {
		l.commitEnds(w, ends, 0, nil)
	}
}

// removeIfReplaced removes the previous incarnation of a worker, and ends its runs, once the
// next incarnation certainly runs none of them and has listed how they have ended.
func (l *Leader) removeIfReplaced(w *worker) {
	at, known := l.lateStartsEndAt(w)
	switch {
	case w.committingEnds > 0:
	case l.hasSuccessor(w):
		l.proposeLeave(w, false)
	case !known:
	case l.now < at:
		w.reconcileAt(at)
		l.awaitSuccessor(w)
		l.endRunsOfPrevious(w)
	case at > 0 && w.nextListedAt < at:
		l.observeNext(w)
	default:
		l.proposeLeave(w, false)
	}
}

// observeNext polls the next incarnation of a worker for the ends of runs that were meant for
// the previous one.
func (l *Leader) observeNext(w *worker) {
	switch {
	case w.observing:
	case l.now < w.observeAt:
		w.reconcileAt(w.observeAt)
	default:
		w.observing = true
		l.sendOrder(Observe{Order: l.newOrder(w), NextIncarnation: true}, 0)
	}
}

// nextObserved records how runs that were meant for the previous incarnation of a worker have
// ended on the next one. If an incarnation with another ID answers, nothing has started there.
func (l *Leader) nextObserved(w *worker, e *Observed) {
	w.observing, w.observeAt = false, l.now
	l.markForReconcile(w)
	if e.Observe.Address != w.address() {
		return // an incarnation has answered at another address since
	}
	switch e.Result {
	case OrderDone:
		if l.stopAgainIfRestarted(w, e) {
			return
		}
		l.stopLateRuns(w, e)
		l.commitLateEnds(w, e)
	case OrderWrongIncarnation:
		w.nextListedAt = e.Observe.SentAt
	case OrderLost:
		return
	case OrderNotSent:
		w.observeAt = l.now + observeRetry
		return
	default:
		w.observeAt = l.now + observeRetry
		if w.misses++; w.misses >= maxMisses {
			l.unanswered(w, "observe", e.Result)
		}
	}
}

// stopLateRuns stops the runs again that were meant for the previous incarnation of a worker and that the
// next one still lists as running.
func (l *Leader) stopLateRuns(w *worker, e *Observed) {
	for i := range e.Running {
		if r := w.runs[e.Running[i].TaskRef]; r != nil && r.number == e.Running[i].Run {
			r.stopConfirmedByNextAt, r.nextAttempt = 0, l.now
		}
	}
}

// commitLateEnds replicates the ends that the next incarnation of a worker lists for runs that were meant
// for the previous one. They are acknowledged when it has joined. The runs count as listed only once their
// ends are committed: if the log takes no entry now, the incarnation is polled again before it can join.
func (l *Leader) commitLateEnds(w *worker, e *Observed) {
	var ends []job.RunEnd
	for i := range e.Ended {
		if r := w.runs[e.Ended[i].TaskRef]; r != nil && r.number == e.Ended[i].Run && r.startMayBeInFlight() {
			ends = append(ends, e.Ended[i].RunEnd)
		}
	}
	sentAt := e.Observe.SentAt
	if len(ends) == 0 {
		w.nextListedAt = sentAt
		return
	}
	l.commitEnds(w, ends, 0, func() { w.nextListedAt = max(w.nextListedAt, sentAt) })
}

// joinObstacle is why the next incarnation of a worker cannot join yet, "" if it can.
type joinObstacle string

const (
	runsMayHaveStarted joinObstacle = "runs that it may have started are not known to have ended"
	endsNotListed      joinObstacle = "it has not listed how these runs have ended"
	endsNotCommitted   joinObstacle = "ends of the previous incarnation are being committed"
	assignmentPending  joinObstacle = "an assignment to the previous incarnation is being committed"
)

// obstacleToJoin returns why the next incarnation of a worker cannot join yet.
func (l *Leader) obstacleToJoin(w *worker) joinObstacle {
	at, known := l.lateStartsEndAt(w)
	switch {
	case !known || l.now < at:
		return runsMayHaveStarted
	case at > 0 && w.nextListedAt < at:
		return endsNotListed
	case w.committingEnds > 0:
		return endsNotCommitted
	case w.pendingTasks > 0:
		return assignmentPending
	}
	return ""
}

// mayAdmitIncarnation reports whether a new incarnation of a worker, which has answered a poll at
// the address, can join, which ends all runs of the previous one. If it cannot join yet, the
// previous one is marked as replaced, so that it gets no more work and the remaining runs are
// stopped. While an assignment to it is being committed, the new incarnation cannot join: the
// commit would send the starts, which the new incarnation executes.
func (l *Leader) mayAdmitIncarnation(id, address string) bool {
	w := l.workers[id]
	if w == nil {
		return true
	}
	w.nextAddress = address
	obstacle := l.obstacleToJoin(w)
	if obstacle == "" {
		return true
	}
	l.markReplaced(w, "another incarnation wants to join")
	l.logJoinObstacle(w, obstacle)
	return false
}

// joinLogInterval is the minimum time between two log lines about incarnations that cannot join one
// worker.
const joinLogInterval = time.Second

func (l *Leader) logJoinObstacle(w *worker, obstacle joinObstacle) {
	if l.now < w.nextJoinLog {
		return
	}
	w.nextJoinLog = l.now + joinLogInterval
	held := ""
	for _, r := range w.sortedRuns() {
		if r.startMayBeInFlight() && (held == "" || r.stopConfirmedByNextAt == 0) {
			held = r.ref.String()
		}
	}
	l.log("info", "join", held, w.ID, "the next incarnation of the worker cannot join yet", "obstacle", string(obstacle), "runs", len(w.runs),
		"being_assigned", w.pendingTasks, "unresponsive", w.unresponsive, "previous_born_ms", w.StartedMS)
}
