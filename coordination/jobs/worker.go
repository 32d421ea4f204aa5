package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

const (
	// minObserveWait and maxObserveWait bound how long a worker may hold back its answer to
	// an observation, and with it the time after which a silent worker is noticed. The
	// platform's workers grant 2 s at most.
	minObserveWait = 400 * time.Millisecond
	maxObserveWait = 1500 * time.Millisecond
	// idleObservations is the number of observations a second for which the wait is made
	// longer: those that are answered because the wait was over, not because a run ended.
	idleObservations = 200
	// observeRetry is the pause after an order that was not answered.
	observeRetry = 100 * time.Millisecond
	// maxMisses is the number of observations in a row that may stay unanswered before
	// a worker counts as silent. Single answers are lost on the way.
	maxMisses = 2
	// suspectShare of a failure domain's workers, and at least suspectLeast, that miss
	// an answer at the same time make the others suspect too: the domain may have been
	// cut off.
	suspectShare = 0.25
	suspectLeast = 3
	// suspectTime is how long a domain stays suspect after the last such miss.
	suspectTime = time.Second
	// staleAfter is the silence of an idle worker after which it gets no work: three
	// heartbeats of 1.5 s.
	staleAfter = 4500 * time.Millisecond
	// removeAfter is the silence of an idle worker after which its record is removed.
	removeAfter = 30 * time.Second
	// maxListedEnds is the number of ends that a worker lists at once.
	maxListedEnds = 500
)

// worker is what the leader knows about a worker beyond the replicated record.
type worker struct {
	job.Incarnation
	rec       *job.Worker
	clockMS   int64         // lower bound of the worker's clock
	clockAt   time.Duration // at this time
	promised  time.Duration // after this, every lease that was granted has expired
	heard     time.Duration // of the last heartbeat or answer
	sequence  int64         // of the last heartbeat
	misses    int           // observations in a row that were not answered
	silent    bool          // orders were not answered; no new work until one is
	leaving   bool          // the end of its runs is being committed
	replaced  bool          // another life answers at its address
	observing bool
	urgent    bool          // the answer to the next observation is needed at once
	observeAt time.Duration // of the next observation
	noting    bool          // ends are being committed
	acked     int64         // number of the last end that the worker was told is noted
	runs      map[job.TaskRef]*run
	pending   resource.Amount // of assignments that are being committed
	next      time.Duration   // when tend has something to do, 0 for never
	failures  streak
	fill      pacer
	mixed     bool // tasks that fill run beside service tasks with a target
}

// adopt starts to follow a worker. An earlier leader may have granted it a lease just
// before this term began, and may have sent starts that were not answered.
func (l *Leader) adopt(rec *job.Worker) *worker {
	w := &worker{
		Incarnation: rec.Incarnation, rec: rec, heard: l.now, promised: l.leaseEnd(),
		runs: map[job.TaskRef]*run{}, acked: -1, urgent: true, next: l.now,
	}
	for _, r := range rec.SortedTasks() {
		w.runs[r] = &run{ref: r, number: rec.Tasks[r], phase: unconfirmed, since: l.now, assigned: l.now, slowedBy: unknownPace}
	}
	l.workers[w.ID] = w
	l.relist()
	return w
}

// relist sorts the workers, so that every decision is the same for the same events.
func (l *Leader) relist() {
	l.byID = l.byID[:0]
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		l.byID = append(l.byID, l.workers[id])
	}
}

// leaseEnd returns when a lease granted now has expired for certain.
func (l *Leader) leaseEnd() time.Duration {
	return l.now + time.Duration(float64(l.lease())*(1+clockDrift)) + l.bounds.StopTime
}

// workerJoined starts to follow a new life of a worker.
func (l *Leader) workerJoined(c *job.Worker) {
	for id, w := range l.workers {
		if id == c.ID || w.rec.Address == c.Address {
			l.dropRuns(w)
			delete(l.workers, id)
		}
	}
	if rec := l.state.Worker(c.ID); rec != nil {
		w := l.adopt(rec)
		w.promised = l.now
		l.log("info", "worker joined", "", w.ID, "a worker takes work", "address", rec.Address, "born_ms", rec.StartedMS, "pool", rec.Pool)
	}
}

// workerLeft follows the end of all runs of a worker.
func (l *Leader) workerLeft(c *job.Leave) {
	w := l.workers[c.ID]
	if w == nil || w.Incarnation != c.Incarnation {
		return
	}
	l.dropRuns(w)
	w.leaving = false
	if !c.Keep {
		delete(l.workers, w.ID)
		l.relist()
	}
}

func (l *Leader) dropRuns(w *worker) {
	for ref, r := range w.runs {
		if s := l.steps[ref.StepRef]; s != nil && s.runs[ref.Index] == r {
			delete(s.runs, ref.Index)
		}
	}
	w.runs = map[job.TaskRef]*run{}
}

// hear notes a sign of life with the worker's clock. Clocks only run forward, so a
// delayed report never lowers the bound.
func (w *worker) hear(now time.Duration, clockMS int64) {
	w.heard = now
	if clockMS > w.clock(now) {
		w.clockMS, w.clockAt = clockMS, now
	}
}

// clock returns a lower bound of the worker's clock.
func (w *worker) clock(now time.Duration) int64 {
	if w.clockMS == 0 {
		return 0
	}
	elapsed := float64((now - w.clockAt).Milliseconds())
	return w.clockMS + int64(elapsed*(1-clockDrift))
}

// extendLease returns the end of a lease granted now, on the worker's clock.
func (l *Leader) extendLease(w *worker) int64 {
	w.promised = max(w.promised, l.leaseEnd())
	return w.clock(l.now) + l.lease().Milliseconds()
}

func (l *Leader) order(w *worker) Order {
	return Order{Worker: w.Incarnation, Address: w.rec.Address, Term: l.term, SentAt: l.now}
}

// touch lets tend look at a worker again.
func (l *Leader) touch(w *worker) { w.next = l.now }

// tend sends a worker the orders that are due.
func (l *Leader) tend(w *worker) {
	if w.next == 0 || l.now < w.next {
		return
	}
	w.next = 0
	if w.leaving {
		return
	}
	if !w.replaced {
		l.tendObservation(w)
	}
	for _, r := range w.sortedRuns() {
		l.tendRun(w, r)
	}
	if w.replaced {
		l.endReplaced(w)
	}
	l.checkLost(w)
}

// sortedRuns returns the runs in a fixed order.
func (w *worker) sortedRuns() []*run {
	out := slices.Collect(maps.Values(w.runs))
	slices.SortFunc(out, func(a, b *run) int { return job.CompareTasks(a.ref, b.ref) })
	return out
}

// wake sets the next time at which tend looks at a worker.
func (w *worker) wake(at time.Duration) {
	if w.next == 0 || at < w.next {
		w.next = at
	}
}

// checkLost ends the runs of a worker whose leases have all expired.
func (l *Leader) checkLost(w *worker) {
	if !w.silent {
		if len(w.runs) == 0 && l.now-w.heard > removeAfter {
			l.endWorker(w, false)
		}
		return
	}
	switch {
	case len(w.runs) > 0 && l.now >= w.promised:
		l.log("warn", "worker lost", "", w.ID, "all leases of the worker have expired", "runs", len(w.runs), "heard_ms_ago", (l.now - w.heard).Milliseconds())
		l.endWorker(w, true)
	case len(w.runs) > 0:
		w.wake(w.promised)
	case l.now-w.heard > removeAfter:
		l.endWorker(w, false)
	}
}

func (l *Leader) endWorker(w *worker, keep bool) {
	if w.leaving {
		return
	}
	w.leaving = l.propose(&job.Command{Leave: &job.Leave{Incarnation: w.Incarnation, AtMS: l.wallMS, Keep: keep}}, func(_ job.Applied, committed bool) {
		w.leaving = false
		l.touch(w)
	})
	w.wake(l.now + observeRetry)
}

// usable reports whether a worker may get new work. One unanswered order is enough to
// wait for the next answer: a start that reaches a cut-off worker is bound to it until
// its lease ends.
func (l *Leader) usable(w *worker) bool {
	if s := l.suspects[w.rec.Domain]; l.now < s.until && w.heard <= s.since {
		return false
	}
	return !w.silent && w.misses == 0 && !w.leaving && !w.replaced && !w.rec.Draining && w.clockMS > 0 &&
		(len(w.runs) > 0 || l.now-w.heard < staleAfter) && !w.failures.quarantined(l.now)
}
