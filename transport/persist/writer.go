// Package persist runs the goroutine that writes and syncs the logs, so that the control
// goroutine never waits for a disk.
package persist

import (
	"context"
	"sync"
	"time"

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

// fullRetry is the delay after which a write that a full disk has refused is tried again.
const fullRetry = 100 * time.Millisecond

// Run writes queued effects until ctx ends or the storage fails, which it reports to the
// control goroutine. All effects that are queued during a sync are written together and
// share the next sync of their group's log. While the disk is full, effects wait: nothing is
// acknowledged, and the process takes part again as soon as there is room.
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
		for len(batch) > 0 {
			done, err := w.write(ctx, batch)
			batch = batch[done:]
			if errors.Is(err, storage.ErrFull) && sleepContext(ctx, fullRetry) {
				continue
			}
			if err != nil {
				w.loop.Send(ctx, coordination.StorageFailed{Step: "write log", Err: err})
				return
			}
		}
	}
}

// sleepContext waits for d. It reports false if ctx ended first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// write writes effects and syncs the logs. It returns the number of effects that were written
// and, if that is not all, the reason why the next one was not.
func (w *Writer) write(ctx context.Context, batch []coordination.Effect) (done int, err error) {
	persisted := map[string]uint64{}
	for done = 0; done < len(batch) && err == nil; done++ {
		if err = w.writeEffect(ctx, &batch[done], persisted); err != nil {
			break
		}
	}
	if err != nil && !errors.Is(err, storage.ErrFull) {
		return done, err
	}
	if serr := w.sync(ctx, persisted); serr != nil {
		return done, serr
	}
	return done, err
}

// writeEffect writes one effect. It adds the batch of a Persist to persisted, by group. If it
// fails, the effect holds what is not written yet.
func (w *Writer) writeEffect(ctx context.Context, effect *coordination.Effect, persisted map[string]uint64) error {
	switch e := (*effect).(type) {
	case coordination.Persist:
		err := w.save(&e)
		*effect = e
		if err != nil {
			return errors.Wrapf(err, "save to %s", e.Group)
		}
		persisted[e.Group] = e.Batch
	case coordination.SaveSnapshot:
		if err := w.logs[e.Group].SaveSnapshot(e.Snapshot); err != nil {
			return errors.Wrapf(err, "snapshot of %s", e.Group)
		}
		w.loop.Send(ctx, coordination.SnapshotSaved(e))
	}
	return nil
}

// sync syncs the logs of groups and reports their batches as persisted.
func (w *Writer) sync(ctx context.Context, persisted map[string]uint64) error {
	for group, number := range persisted {
		if err := w.logs[group].Sync(); err != nil {
			return errors.Wrapf(err, "sync %s", group)
		}
		w.loop.Send(ctx, coordination.Persisted{Group: group, Batch: number})
	}
	return nil
}

// save writes the snapshot of a Persist and then its entries. It removes the snapshot from e once
// that is written.
func (w *Writer) save(e *coordination.Persist) error {
	log := w.logs[e.Group]
	if e.Snapshot != nil {
		if err := log.SaveSnapshot(e.Snapshot); err != nil {
			return err
		}
		e.Snapshot = nil
	}
	var from uint64
	if len(e.Entries) > 0 {
		from = e.Entries[0].Index
	}
	return log.Save(e.HardState, from, e.Entries)
}
