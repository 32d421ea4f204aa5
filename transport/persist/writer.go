// Package persist runs the goroutine that writes and syncs the logs, so that the control
// goroutine never waits for a disk.
package persist

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/storage"
)

// Sender sends events to the control goroutine.
type Sender interface {
	Send(ctx context.Context, ev coordination.Event) bool
}

// Log is the part of storage.Log that the writer uses.
type Log interface {
	Save(hs *state.HardState, truncateFrom uint64, entries []state.Entry) error
	Sync() error
	SaveSnapshot(s *state.Snapshot) error
}

var _ Log = (*storage.Log)(nil)

// Writer persists effects in the order in which they are enqueued. Its queue is
// unbounded: each group limits its uncommitted entries, and a bounded queue could
// deadlock the control goroutine, which would wait for the writer while the writer waits
// for room in the event queue.
type Writer struct {
	logs map[string]Log
	loop Sender

	mu     sync.Mutex
	queue  []coordination.Effect
	signal chan struct{} // signals a non-empty queue; has capacity 1
}

// NewWriter returns a writer for the given logs, by group.
func NewWriter(logs map[string]Log, loop Sender) *Writer {
	return &Writer{logs: logs, loop: loop, signal: make(chan struct{}, 1)}
}

// Enqueue queues a Persist or SaveSnapshot. It never blocks.
func (w *Writer) Enqueue(e coordination.Effect) {
	w.mu.Lock()
	w.queue = append(w.queue, e)
	w.mu.Unlock()
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// Run writes queued effects until ctx ends or the storage fails, which it reports to the
// control goroutine. All effects that are queued during a sync are written together and
// share the next sync of their group's log.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.signal:
		}
		w.mu.Lock()
		batch := w.queue
		w.queue = nil
		w.mu.Unlock()
		if err := w.write(ctx, batch); err != nil {
			w.loop.Send(ctx, coordination.StorageFailed{Step: "write log", Err: err})
			return
		}
	}
}

func (w *Writer) write(ctx context.Context, batch []coordination.Effect) error {
	persisted := map[string]uint64{}
	for _, e := range batch {
		switch e := e.(type) {
		case coordination.Persist:
			if err := w.save(&e); err != nil {
				return errors.Wrapf(err, "save to %s", e.Group)
			}
			persisted[e.Group] = e.Batch
		case coordination.SaveSnapshot:
			if err := w.logs[e.Group].SaveSnapshot(e.Snapshot); err != nil {
				return errors.Wrapf(err, "snapshot of %s", e.Group)
			}
			w.loop.Send(ctx, coordination.SnapshotSaved(e))
		}
	}
	for group, number := range persisted {
		if err := w.logs[group].Sync(); err != nil {
			return errors.Wrapf(err, "sync %s", group)
		}
		w.loop.Send(ctx, coordination.Persisted{Group: group, Batch: number})
	}
	return nil
}

func (w *Writer) save(e *coordination.Persist) error {
	log := w.logs[e.Group]
	if e.Snapshot != nil {
		if err := log.SaveSnapshot(e.Snapshot); err != nil {
			return err
		}
	}
	var from uint64
	if len(e.Entries) > 0 {
		from = e.Entries[0].Index
	}
	return log.Save(e.HardState, from, e.Entries)
}
