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
		if w == nil || w.Incarnation != c.Worker || !w.isNewer(c.Sequence) {
			continue
		}
		w.sequence = c.Sequence
		w.recordHeartbeat(max(w.lastContact, l.now-contactAge), l.now, c.ClockMS)
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

// observeIncarnation polls a worker at once whose incarnation may have ended. If another one answers
// at its address, the worker is removed. w may be nil.
func (l *Leader) observeIncarnation(w *worker) {
	if w != nil && !w.observing && !w.replaced {
		w.observeAtOnce, w.observeAt = true, l.now
		l.markForReconcile(w)
	}
}

// isAbsent reports whether a worker does not answer and nothing is assigned to it, so that its record can be
// removed.
func (w *worker) isAbsent() bool { return w.unresponsive && len(w.runs) == 0 && w.pendingTasks == 0 }

// workerHeartbeat processes the heartbeat of a worker. An unknown worker or a newer
// incarnation joins, once it has answered a poll. For the known incarnation it records the
// contact, and drains the worker if the heartbeat reports that. The reply is sent after the
// commit of a Join or Drain.
func (l *Leader) workerHeartbeat(e WorkerHeartbeat) {
	reply := func(committed bool) {
		if committed {
			l.host.Reply(e.Token, Answer{Code: CodeOK})
		} else {
			l.host.Reply(e.Token, unavailable("the report was not stored"))
		}
	}
	known := l.state.Worker(e.Worker.ID)
	if known == nil || known.StartedMS < e.Worker.StartedMS {
		l.checkJoin(&e, reply)
		return
	}
	if known.StartedMS > e.Worker.StartedMS {
		// A late heartbeat of an earlier incarnation, or one of the next incarnation, which started
		// after the clock of its VM had been set back.
		w := l.workers[known.ID]
		l.observeIncarnation(w)
		if w != nil && w.isAbsent() {
			l.checkJoin(&e, reply)
			return
		}
		reply(true)
		return
	}
	if !isFromWorker(known, &e.Worker) {
		l.foreign.add(&e.Worker)
		l.host.Reply(e.Token, Answer{Code: CodeInvalid, Message: "the running worker with this ID and start time reports another address, pool, failure domain or VM"})
		return
	}
	w := l.workers[known.ID]
	if w != nil && w.isNewer(e.Sequence) {
		w.sequence = e.Sequence
		w.recordHeartbeat(l.now, l.now, e.ClockMS)
		l.observeAfterMiss(w)
	}
	if e.Draining && !known.Draining {
		l.drain(known.Incarnation, reply)
		return
	}
	reply(true)
}

// isFromWorker reports whether a heartbeat that names the incarnation of a known worker agrees
// with its record in all that does not change while a worker runs.
func isFromWorker(known, reported *job.Worker) bool {
	return known.Address == reported.Address && known.Pool == reported.Pool && known.Domain == reported.Domain && known.VM == reported.VM
}

// maxSequenceGap is how far the sequence number of a late heartbeat can be below that of the
// last one. Workers send less than one a second, and no message is delayed for as long as this
// number of heartbeats takes.
const maxSequenceGap = 1000

// isNewer reports whether a heartbeat with a sequence number is not a late one. A number far
// below the last one shows that the last one was wrong: all later heartbeats of the worker would
// otherwise count as late.
func (w *worker) isNewer(sequence int64) bool {
	return sequence > w.sequence || sequence < w.sequence-maxSequenceGap
}

// foreignHeartbeats counts heartbeats that name a running worker and contradict its record,
// until they are logged.
type foreignHeartbeats struct {
	count   int
	id      string // ID in the last of them
	address string // address in the last of them
}

func (f *foreignHeartbeats) add(w *job.Worker) { f.count, f.id, f.address = f.count+1, w.ID, w.Address }

// logForeignHeartbeats writes at most one log line for each periodic check.
func (l *Leader) logForeignHeartbeats() {
	if f := l.foreign; f.count > 0 {
		l.log("warn", "heartbeat", "", f.id, "heartbeats contradict the record of a running worker and were rejected", "count", f.count, "address", f.address)
		l.foreign = foreignHeartbeats{}
	}
}

// drain replicates that a worker takes no new work, and calls reply when that is committed
// or has failed.
func (l *Leader) drain(w job.Incarnation, reply func(committed bool)) {
	ok := l.propose(&job.Command{Drain: &w}, func(a job.Applied, committed bool) {
		accepted := committed && a.Rejected == nil
		if accepted {
			l.log("info", "drain", "", w.ID, "the worker drains and takes no new work")
		}
		reply(accepted)
	})
	if !ok {
		reply(false)
	}
}

// departureTime is how long a worker that has deregistered gets no new work. A worker ends at
// once after its deregistration; one that is in contact after this time runs on, and the message was
// late or came from another program.
const departureTime = 3 * time.Second

// deregisterWorker processes the report that a worker is stopping. The worker gets no new work
// for departureTime, and then until its next contact, and is polled at once. Its tasks are not ended, since the report could be a
// late message of an earlier incarnation. If the worker has stopped, it does not answer the poll,
// and its tasks end when its lease expires at the latest.
func (l *Leader) deregisterWorker(e DeregisterWorker) {
	if w := l.workers[e.ID]; w != nil {
		w.departsUntil = l.now + departureTime
		w.observeAtOnce, w.observeAt = true, l.now
		l.markForReconcile(w)
		l.log("info", "deregister", "", w.ID, "the worker reports that it stops and gets no new work for a while", "born_ms", w.StartedMS, "runs", len(w.runs))
	}
	l.host.Reply(e.Token, Answer{Code: CodeOK})
}
