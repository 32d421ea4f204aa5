package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

const (
	// minObserveWait and maxObserveWait bound how long a worker may delay its answer to an
	// observation, and with it the time until an unresponsive worker is detected. The
	// platform's workers allow a delay of 2 s at most.
	minObserveWait = 400 * time.Millisecond
	maxObserveWait = 1500 * time.Millisecond
	// idleObservations is the target rate of observations per second, over all workers. With
	// many workers the wait is lengthened, up to maxObserveWait, to stay below this rate. The
	// target covers only observations that are answered because the wait expired, not those
	// that are answered because a run ended.
	idleObservations = 200
	// observeRetry is the delay before the next observation after one that failed, and before
	// a command about a worker that could not be proposed is proposed again.
	observeRetry = 100 * time.Millisecond
	// maxMisses is the number of consecutive unanswered observations after which a worker
	// counts as unresponsive. It is above 1 since single answers are lost in the network.
	maxMisses = 2
	// suspectShare is the share of a failure domain's workers, and suspectMinWorkers the
	// minimum number of them, that must miss an answer at the same time to make the whole
	// domain suspect: it may be partitioned.
	suspectShare      = 0.25
	suspectMinWorkers = 3
	// suspectTime is how long a domain stays suspect after the last missed answer.
	suspectTime = time.Second
	// staleAfter is the time since last contact after which an idle worker gets no work:
	// three heartbeats of 1.5 s.
	staleAfter = 4500 * time.Millisecond
	// removeAfter is the time since last contact after which the record of an idle worker is
	// removed.
	removeAfter = 30 * time.Second
	// maxListedEnds is the maximum number of ends that a worker lists in one answer.
	maxListedEnds = 500
)

// worker is the leader's state of one incarnation of a worker, beside the replicated record.
type worker struct {
	job.Incarnation
	rec             *job.Worker   // replicated record
	clockMS         int64         // lower bound of the worker's clock at clockAt in milliseconds, 0 if not known
	clockAt         time.Duration // leader's time that clockMS belongs to
	leasesExpireAt  time.Duration // time after which all granted leases have certainly expired
	answerClockMS   int64         // worker's clock in its last answer in milliseconds, 0 if none
	answeredAt      time.Duration // time of that answer
	observedAt      time.Duration // send time of the last observation that it has answered
	lastContact     time.Duration // time of the last heartbeat or answer
	sequence        int64         // sequence number of the last heartbeat
	misses          int           // consecutive unanswered observations
	unresponsive    bool          // orders were not answered, or the worker deregistered; no new work until an observation is answered
	committingLeave bool          // a Leave command is being committed
	replaced        bool          // the incarnation is known to have ended: another one has answered
	replacedAt      time.Duration // time from which that is known
	nextAddress     string        // address at which the next incarnation has answered a poll, "" if none has
	departsUntil    time.Duration // time until which a worker that has deregistered gets no new work, 0 if it has not
	nextListedAt    time.Duration // send time of the last observation to which the next incarnation listed its runs
	nextJoinLog     time.Duration // earliest time of the next log line about an incarnation that cannot join
	nextRefusedLog  time.Duration // earliest time of the next log line about ends of runs that were refused
	observing       bool          // an observation is not answered yet
	observeAtOnce   bool          // the next observation is needed even without runs and must be answered at once
	observeAt       time.Duration // earliest time of the next observation
	// stopsUnconfirmed is true if at the last observation a stop had not been confirmed for maxStopWait. The
	// worker then gets no new work and no longer lease while it has runs.
	stopsUnconfirmed bool
	committingEnds   int   // number of EndRuns commands that are being committed
	hasListed        bool  // the incarnation has listed its runs in this term
	deliveredAck     int64 // number of the last end whose acknowledgement the worker has received
	runs             map[job.TaskRef]*run
	pendingAmount    resource.Amount // capacity of assignments that are being committed
	pendingTasks     int             // tasks of these assignments
	nextReconcile    time.Duration   // time of the next reconciliation, 0 for none
	failures         failureStreak
	bestEffortPace   paceController
	pacesForService  bool // best-effort tasks run beside service tasks with a latency target
}

// trackWorker starts to track a worker of the replicated state. An earlier leader may have
// granted the worker a lease just before this term started, so a full lease is assumed, also
// for a worker that runs services: an earlier version grants it a full one. It
// may also have sent starts that were not answered, so the tasks assigned to the worker are
// tracked as unconfirmed runs.
func (l *Leader) trackWorker(rec *job.Worker) *worker {
	w := &worker{
		Incarnation: rec.Incarnation, rec: rec, lastContact: l.now, leasesExpireAt: l.leaseEnd(l.lease()),
		runs: map[job.TaskRef]*run{}, deliveredAck: -1, observeAtOnce: true, nextReconcile: l.now,
	}
	for _, r := range rec.SortedTasks() {
		w.runs[r] = &run{ref: r, number: rec.Tasks[r], phase: unconfirmed, phaseSince: l.now, assignedAt: l.now, adopted: true, slowdownPercent: unknownPace}
	}
	l.speeds.Restore(l.now, w.ID, float64(rec.SpeedPercent)/100)
	l.workers[w.ID] = w
	l.sortWorkers()
	return w
}

// sortWorkers rebuilds byID. The fixed order makes decisions deterministic for the same
// events.
func (l *Leader) sortWorkers() {
	l.byID = l.byID[:0]
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		l.byID = append(l.byID, l.workers[id])
	}
}

// leaseEnd returns the time at which a lease of a given length, granted now, has certainly
// expired and its runs have ended, even if the worker's clock is slow.
func (l *Leader) leaseEnd(lease time.Duration) time.Duration {
	return l.now + time.Duration(float64(lease)*(1+clockDrift)) + l.bounds.StopTime
}

// nextLeaseEnd returns the time at which a lease that the next incarnation of a worker has
// granted by now has certainly expired. A start that was meant for the previous incarnation
// names a time on another clock, so the lease may be as long as workers grant.
func (l *Leader) nextLeaseEnd() time.Duration {
	return l.now + time.Duration(float64(l.bounds.MaxLease)*(1+clockDrift)) + l.bounds.StopTime
}

// workerJoined starts to track a new incarnation of a worker. The new incarnation replaces
// the previous one and any other worker with the same address.
func (l *Leader) workerJoined(c *job.Worker) {
	for id, w := range l.workers {
		if id == c.ID || w.rec.Address == c.Address {
			l.dropRuns(w)
			delete(l.workers, id)
		}
	}
	if rec := l.state.Worker(c.ID); rec != nil {
		l.speeds.DeleteEndpoint(c.ID) // the new incarnation may be of another kind
		w := l.trackWorker(rec)
		w.leasesExpireAt = l.now
		l.log("info", "worker joined", "", w.ID, "a worker joined and accepts work", "address", rec.Address, "born_ms", rec.StartedMS, "pool", rec.Pool)
	}
}

// workerLeft handles a committed Leave command, which ended all runs of a worker. It drops
// these runs, and stops tracking the worker unless the command keeps its record.
func (l *Leader) workerLeft(c *job.Leave) {
	w := l.workers[c.ID]
	if w == nil || w.Incarnation != c.Incarnation {
		return
	}
	l.dropRuns(w)
	w.committingLeave = false
	if !c.KeepWorker {
		delete(l.workers, w.ID)
		l.sortWorkers()
	}
}

// dropRuns removes all runs of a worker from the worker and from their steps.
func (l *Leader) dropRuns(w *worker) {
	for ref, r := range w.runs {
		l.lateStarts.add(l.now, w.Incarnation, r)
		if s := l.steps[ref.StepRef]; s != nil {
			s.dropRun(l.now, w, r, job.EndLeaseExpired)
		}
	}
	w.runs = map[job.TaskRef]*run{}
}

// recordAnswer records the time of a worker's answer and the worker's clock in it. Clocks only
// run forward, so the lower bound of the worker's clock stays as it is if a delayed answer
// reports an earlier clock.
func (w *worker) recordAnswer(now time.Duration, clockMS int64) {
	w.lastContact = now
	if clockMS > w.answerClockMS {
		w.answerClockMS, w.answeredAt = clockMS, now
	}
	if clockMS > w.clock(now) {
		w.clockMS, w.clockAt = clockMS, now
	}
}

// heartbeatClockTolerance bounds how far the clock in a heartbeat may be ahead of the one that
// the worker's last answer and the time since then give. It covers the time for which that
// answer was on its way.
const heartbeatClockTolerance = time.Second

// recordHeartbeat records a heartbeat that was received at a time, now or earlier. Its clock
// counts only as far as it agrees with the worker's own answers: leases are given by that clock,
// and another program may send heartbeats in the worker's name. The clock is a lower bound for
// now, whenever the heartbeat was received.
func (w *worker) recordHeartbeat(received, now time.Duration, clockMS int64) {
	w.lastContact = max(w.lastContact, received)
	if w.answerClockMS == 0 || clockMS <= w.clock(now) {
		return
	}
	elapsed := float64((now - w.answeredAt + heartbeatClockTolerance).Milliseconds())
	if latest := w.answerClockMS + int64(elapsed*(1+clockDrift)); clockMS <= latest {
		w.clockMS, w.clockAt = clockMS, now
	}
}

// clock returns a lower bound of the worker's clock in milliseconds, 0 if it is not known.
func (w *worker) clock(now time.Duration) int64 {
	if w.clockMS == 0 {
		return 0
	}
	elapsed := float64((now - w.clockAt).Milliseconds())
	return w.clockMS + int64(elapsed*(1-clockDrift))
}

// extendLease extends the lease of a worker and returns the end of the lease in
// milliseconds on the worker's clock.
func (l *Leader) extendLease(w *worker) int64 {
	lease := l.leaseOf(w)
	w.leasesExpireAt = max(w.leasesExpireAt, l.leaseEnd(lease))
	return w.clock(l.now) + lease.Milliseconds()
}

// markForReconcile lets the next Tick reconcile a worker.
func (l *Leader) markForReconcile(w *worker) { w.nextReconcile = l.now }

// reconcileWorker sends a worker the observation and orders that are due, and ends its runs
// if it was replaced or its leases have expired.
func (l *Leader) reconcileWorker(w *worker) {
	if w.nextReconcile == 0 || l.now < w.nextReconcile {
		return
	}
	w.nextReconcile = 0
	if w.committingLeave {
		return
	}
	if !w.replaced {
		l.observeIfDue(w)
	}
	for _, r := range w.sortedRuns() {
		l.reconcileRun(w, r)
	}
	l.preventLateStarts(w)
	if w.replaced {
		l.removeIfReplaced(w)
	}
	l.checkLeaseExpiry(w)
}

// sortedRuns returns the runs ordered by task.
func (w *worker) sortedRuns() []*run {
	out := slices.Collect(maps.Values(w.runs))
	slices.SortFunc(out, func(a, b *run) int { return job.CompareTasks(a.ref, b.ref) })
	return out
}

// reconcileAt schedules a reconciliation, unless an earlier one is scheduled.
func (w *worker) reconcileAt(at time.Duration) {
	if w.nextReconcile == 0 || at < w.nextReconcile {
		w.nextReconcile = at
	}
}

// checkLeaseExpiry ends the runs of an unresponsive worker whose leases have all expired.
// It removes a worker without runs once removeAfter has passed since the last contact.
func (l *Leader) checkLeaseExpiry(w *worker) {
	if !w.unresponsive {
		if len(w.runs) == 0 && l.now-w.lastContact > removeAfter {
			l.proposeLeave(w, false)
		}
		return
	}
	expireAt := l.runsExpireAt(w)
	switch {
	case len(w.runs) > 0 && l.now >= expireAt:
		l.log("warn", "worker lost", "", w.ID, "all leases of the worker have expired", "runs", len(w.runs), "heard_ms_ago", (l.now - w.lastContact).Milliseconds())
		l.proposeLeave(w, true)
	case len(w.runs) > 0:
		w.reconcileAt(expireAt)
	case l.now-w.lastContact > removeAfter:
		l.proposeLeave(w, false)
	}
}

// removeAbsentWorkers reconciles the workers whose records are due for removal: nothing else
// reconciles a worker that has no runs and does not answer.
func (l *Leader) removeAbsentWorkers() {
	for _, w := range l.byID {
		if len(w.runs) == 0 && l.now-w.lastContact > removeAfter {
			l.markForReconcile(w)
		}
	}
}

// proposeLeave replicates the end of all runs of a worker, unless such a command is being
// committed. The command removes the worker's record as well unless keepWorker is set.
func (l *Leader) proposeLeave(w *worker, keepWorker bool) {
	if w.committingLeave {
		return
	}
	w.committingLeave = l.propose(&job.Command{Leave: &job.Leave{Incarnation: w.Incarnation, AtMS: l.wallMS, KeepWorker: keepWorker}}, func(_ job.Applied, committed bool) {
		w.committingLeave = false
		l.markForReconcile(w)
	})
	w.reconcileAt(l.now + observeRetry)
}

// usable reports whether a worker may get new work. It must answer, its clock must be
// known from an answer, and it must not be draining, departing, replaced, quarantined, about to be removed, or in a
// suspect domain without contact since the suspicion. A worker without runs must have been
// in contact within staleAfter. After one unanswered order a worker gets no new work until
// the next answer, since a task that is assigned to a partitioned worker cannot move to
// another worker until the lease expires.
func (l *Leader) usable(w *worker) bool {
	return l.usableAfterQuarantine(w) && !w.failures.quarantined(l.now)
}

// usableAfterQuarantine reports whether a worker may get new work once it is in no quarantine.
func (l *Leader) usableAfterQuarantine(w *worker) bool {
	if s := l.suspectDomains[w.rec.Domain]; l.now < s.until && w.lastContact <= s.since {
		return false
	}
	if l.now < w.departsUntil || w.lastContact < w.departsUntil {
		return false // deregistered, and not in contact since departureTime has passed
	}
	return !w.unresponsive && w.misses == 0 && !w.committingLeave && !w.replaced && !w.rec.Draining && w.clockMS > 0 &&
		(len(w.runs) > 0 || l.now-w.lastContact < staleAfter) && !(w.stopsUnconfirmed && len(w.runs) > 0)
}
