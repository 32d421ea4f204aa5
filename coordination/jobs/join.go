package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// A heartbeat only claims that a worker is at an address. It may be late, or come from another
// program that names the ID, the address or the start time of a running worker. A join ends the
// runs of the worker that it replaces, so an incarnation joins only after it has answered a poll
// at the address that it reports. Until then the claim changes nothing.

// maxJoinChecks bounds the polls of incarnations that want to join. It exceeds the number of
// workers that the system is designed for.
const maxJoinChecks = 4096

// maxJoinReplies bounds the heartbeats that wait for the result of one poll.
const maxJoinReplies = 8

// claim identifies what a heartbeat of an unknown incarnation claims.
type claim struct {
	job.Incarnation
	address string
}

// joinCheck is a poll of an incarnation that wants to join.
type joinCheck struct {
	order    uint64 // ID of the poll
	worker   job.Worker
	draining bool
	replies  []func(committed bool)
}

// checkJoin polls the incarnation that a heartbeat names at its address. It joins if it answers.
// reply is called when it has joined, or with false when it has not.
func (l *Leader) checkJoin(e *WorkerHeartbeat, reply func(committed bool)) {
	key := claim{e.Worker.Incarnation, e.Worker.Address}
	if c := l.joinChecks[key]; c != nil {
		if len(c.replies) >= maxJoinReplies {
			reply(false)
			return
		}
		c.replies = append(c.replies, reply)
		c.draining = c.draining || e.Draining
		return
	}
	if len(l.joinChecks) >= maxJoinChecks {
		reply(false)
		return
	}
	c := &joinCheck{worker: e.Worker, draining: e.Draining, replies: []func(bool){reply}}
	l.joinChecks[key] = c
	claimed := &worker{Incarnation: c.worker.Incarnation, rec: &c.worker}
	l.preventLateStarts(claimed) // not after the join, which may have to wait
	poll := Observe{Order: l.newOrder(claimed)}
	c.order = poll.ID
	l.sendOrder(poll, 0)
}

// joinChecked handles the result of the poll of an incarnation that wants to join. It reports false
// for other polls. The incarnation may have joined since the poll was sent, after an earlier one.
func (l *Leader) joinChecked(e *Observed) bool {
	key := claim{e.Observe.Worker, e.Observe.Address}
	c := l.joinChecks[key]
	if c == nil || c.order != e.Observe.ID {
		return false
	}
	delete(l.joinChecks, key)
	if e.Result != OrderDone {
		l.log("info", "join", "", c.worker.ID, "a worker that wants to join does not answer at its address", "address", c.worker.Address, "born_ms", c.worker.StartedMS, "result", e.Result.String())
		c.reply(false)
		return true
	}
	l.join(c, e)
	return true
}

// join replicates that an incarnation which has answered a poll joins. An earlier incarnation
// must certainly run nothing before that.
func (l *Leader) join(c *joinCheck, e *Observed) {
	known := l.state.Worker(c.worker.ID)
	switch {
	case known != nil && known.Incarnation == c.worker.Incarnation: // it has joined in the meantime
		if c.draining && !known.Draining {
			l.drain(known.Incarnation, c.reply)
		} else {
			c.reply(true)
		}
		return
	case known != nil && known.StartedMS > c.worker.StartedMS:
		if w := l.workers[known.ID]; w != nil && w.isAbsent() {
			l.proposeLeave(w, false) // the next heartbeat joins
		}
		c.reply(false)
		return
	case known != nil && !l.mayAdmitIncarnation(known.ID, c.worker.Address):
		c.reply(false)
		return
	}
	if w := l.workerBlockingJoin(c.worker.Address, c.worker.Incarnation); w != nil {
		l.observeIncarnation(w)
		c.reply(false)
		return
	}
	rec := c.worker
	ok := l.propose(&job.Command{Join: &rec}, func(_ job.Applied, committed bool) {
		w := l.workers[rec.ID]
		if !committed || w == nil || w.Incarnation != rec.Incarnation {
			c.reply(false) // the join was rejected when it was applied, or was not stored
			return
		}
		w.answeredJoinCheck(l.now, e)
		l.reconcilePredecessors(w)
		l.needsSchedule = true
		if c.draining {
			l.drain(rec.Incarnation, c.reply)
			return
		}
		c.reply(true)
	})
	if !ok {
		c.reply(false)
	}
}

// workerBlockingJoin returns a worker of another ID at an address whose start time is not before that of
// an incarnation, or nil. A join of that incarnation is rejected while the worker is known.
func (l *Leader) workerBlockingJoin(address string, i job.Incarnation) *worker {
	for _, w := range l.byID {
		if w.ID != i.ID && w.rec.Address == address && w.StartedMS >= i.StartedMS {
			return w
		}
	}
	return nil
}

func (c *joinCheck) reply(committed bool) {
	for _, f := range c.replies {
		f(committed)
	}
}

// answeredJoinCheck records the answer that a new incarnation gave before it joined. If it has
// listed no runs, and its clock is known, it need not be polled again.
func (w *worker) answeredJoinCheck(now time.Duration, e *Observed) {
	w.recordAnswer(now, e.ClockMS)
	w.observedAt = e.Observe.SentAt
	if w.clockMS > 0 && len(e.Running)+len(e.Ended) == 0 {
		w.observeAtOnce, w.deliveredAck = false, max(w.deliveredAck, e.Observe.AckedEnd)
	}
}
