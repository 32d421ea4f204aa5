package jobs

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// contactAge is the assumed age of a worker's contact that another process reports. It exceeds
// the period of the heartbeats of processes.
const contactAge = 500 * time.Millisecond

// MatchesRecord reports whether a heartbeat agrees with the replicated record of its worker, so
// that any member with contact to the leader can acknowledge it. The leader needs to know only
// that the worker was in contact.
func MatchesRecord(st *job.State, e WorkerHeartbeat) bool {
	w := st.Worker(e.Worker.ID)
	return w != nil && w.Incarnation == e.Worker.Incarnation && w.Draining == e.Draining &&
		w.Address == e.Worker.Address && w.Pool == e.Worker.Pool && w.Domain == e.Worker.Domain && w.VM == e.Worker.VM &&
		w.Capacity == e.Worker.Capacity && slices.Equal(w.Labels, e.Worker.Labels)
}

// workersContacted records heartbeats of workers that another process has acknowledged.
func (l *Leader) workersContacted(contacts []WorkerContact) {
	for _, c := range contacts {
		w := l.workers[c.Worker.ID]
		if w == nil || w.Incarnation != c.Worker || c.Sequence <= w.sequence {
			continue
		}
		w.sequence = c.Sequence
		w.recordContact(max(w.lastContact, l.now-contactAge), c.ClockMS)
		l.observeAfterMiss(w)
	}
}

// observeAfterMiss polls a worker at once that has missed an answer and is in contact again.
func (l *Leader) observeAfterMiss(w *worker) {
	if w.misses > 0 && !w.observing {
		w.observeAtOnce, w.observeAt = true, l.now
		l.markForReconcile(w)
	}
}

// workerHeartbeat processes the heartbeat of a worker. An unknown worker or a newer
// incarnation joins, the latter only once it certainly runs none of the runs of the previous
// incarnation. For the known incarnation it records the contact, and drains the
// worker if the heartbeat reports that. The reply is sent after the commit of a Join or Drain.
func (l *Leader) workerHeartbeat(e WorkerHeartbeat) {
	reply := func(committed bool) {
		if committed {
			l.host.Reply(e.Token, Answer{Code: CodeOK})
		} else {
			l.host.Reply(e.Token, unavailable("the report was not stored"))
		}
	}
	known := l.state.Worker(e.Worker.ID)
	if known != nil && known.StartedMS < e.Worker.StartedMS && !l.mayAdmitIncarnation(known.ID) {
		l.host.Reply(e.Token, unavailable("runs of the worker's previous incarnation are still being stopped"))
		return
	}
	if known == nil || known.StartedMS < e.Worker.StartedMS {
		rec := e.Worker
		ok := l.propose(&job.Command{Join: &rec}, func(_ job.Applied, committed bool) {
			if committed && e.Draining {
				l.drain(rec.Incarnation, reply)
				return
			}
			reply(committed)
		})
		if !ok {
			reply(false)
		}
		return
	}
	w := l.workers[known.ID]
	if w != nil && known.StartedMS == e.Worker.StartedMS && e.Sequence > w.sequence {
		w.sequence = e.Sequence
		w.recordContact(l.now, e.ClockMS)
		l.observeAfterMiss(w)
	}
	if e.Draining && !known.Draining && known.StartedMS == e.Worker.StartedMS {
		l.drain(known.Incarnation, reply)
		return
	}
	reply(true)
}

// drain replicates that a worker takes no new work, and calls reply when that is committed
// or has failed.
func (l *Leader) drain(w job.Incarnation, reply func(committed bool)) {
	ok := l.propose(&job.Command{Drain: &w}, func(_ job.Applied, committed bool) {
		if committed {
			l.log("info", "drain", "", w.ID, "the worker drains and takes no new work")
		}
		reply(committed)
	})
	if !ok {
		reply(false)
	}
}

// deregisterWorker processes the report that a worker is stopping. It marks the worker as
// unresponsive, polls it at once and drains it. It does not end the worker's tasks, since
// the report could be a late message of an earlier incarnation: a worker that is running
// answers the poll and is not unresponsive any more. If the worker has stopped, its tasks
// end when its lease expires at the latest.
func (l *Leader) deregisterWorker(e DeregisterWorker) {
	w := l.workers[e.ID]
	if w == nil {
		l.host.Reply(e.Token, Answer{Code: CodeOK})
		return
	}
	w.unresponsive, w.misses, w.observeAtOnce, w.observeAt = true, maxMisses, true, l.now
	l.markForReconcile(w)
	l.drain(w.Incarnation, func(committed bool) {
		if committed {
			l.host.Reply(e.Token, Answer{Code: CodeOK})
		} else {
			l.host.Reply(e.Token, unavailable("the deregistration was not stored"))
		}
	})
}
