package jobs

import "time"

const (
	// maxDirectStarts is the number of starts in flight from which no more tasks are placed
	// while this process sends the orders itself. At a commit and an answer in 25 ms it allows
	// 1,600 starts a second. When the process does less, its other work, replication above all,
	// waits behind these starts only.
	maxDirectStarts = 40
	// maxRelayedStarts takes its place while relays send the orders. Relayed starts share
	// messages, so more of them delay replication by as much.
	maxRelayedStarts = 120
	// slowStart is the time after which an unanswered start does not count as in flight any
	// more: its worker may not answer at all.
	slowStart = 120 * time.Millisecond
)

// startWindow bounds the starts that are in flight: their assignments are being committed, or
// the workers have not answered yet. What is beyond the bound waits as steps, in the order of
// their urgency. Without it, all starts that the process cannot carry out in time would wait
// together with its replication messages, and each commit would take as long as all of them.
type startWindow struct {
	committing int                    // tasks whose assignment is being committed
	sentAt     map[*run]time.Duration // starts that were sent once and are not answered
}

func newStartWindow() startWindow { return startWindow{sentAt: map[*run]time.Duration{}} }

// sent records that the start of a run was sent for the first time.
func (w *startWindow) sent(r *run, now time.Duration) { w.sentAt[r] = now }

// answered records that the start of a run was answered, or is given up.
func (w *startWindow) answered(r *run) { delete(w.sentAt, r) }

// expire removes the starts that were sent slowStart ago or earlier.
func (w *startWindow) expire(now time.Duration) {
	for r, at := range w.sentAt {
		if now-at >= slowStart {
			delete(w.sentAt, r)
		}
	}
}

func (w *startWindow) inFlight() int { return w.committing + len(w.sentAt) }

// startsFull reports whether no more tasks should be placed now.
func (l *Leader) startsFull() bool {
	if l.relays.available(l.now) {
		return l.starts.inFlight() >= maxRelayedStarts
	}
	return l.starts.inFlight() >= maxDirectStarts
}
