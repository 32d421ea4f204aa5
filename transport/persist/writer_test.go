package persist

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/storage"
)

// fullLog refuses a number of calls because the disk is full, and records the others.
type fullLog struct {
	refuse    int
	saved     []uint64 // indexes of entries, in the order in which they were saved
	snapshots int
	synced    int // entries that were synced
}

func (l *fullLog) full() error {
	if l.refuse == 0 {
		return nil
	}
	l.refuse--
	return errors.Wrap(storage.ErrFull, "test")
}

func (l *fullLog) Save(_ *state.HardState, _ uint64, entries []state.Entry) error {
	if err := l.full(); err != nil {
		return err
	}
	for i := range entries {
		l.saved = append(l.saved, entries[i].Index)
	}
	return nil
}

func (l *fullLog) Sync() error {
	l.synced = len(l.saved)
	return nil
}

func (l *fullLog) SaveSnapshot(*state.Snapshot) error {
	if l.snapshots > 0 {
		return storage.ErrInvalid // the log has this snapshot already
	}
	l.snapshots++
	return nil
}

// events collects what the writer reports to the control goroutine.
type events struct{ list chan coordination.Event }

func (e events) Send(_ context.Context, ev coordination.Event) bool {
	e.list <- ev
	return true
}

// Guards against a member that acknowledges nothing any more after its disk was full for a
// while, against a batch that counts as persisted before it is, and against effects that are
// written twice or out of order.
func TestWriterContinuesAfterAFullDisk(t *testing.T) {
	log := &fullLog{refuse: 3}
	e := events{make(chan coordination.Event, 8)}
	w := NewWriter(map[string]Log{"g": log}, e)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.Enqueue(coordination.Persist{Group: "g", Batch: 1, Snapshot: &state.Snapshot{Index: 4}, Entries: []state.Entry{{Index: 5}}})
	w.Enqueue(coordination.Persist{Group: "g", Batch: 2, Entries: []state.Entry{{Index: 6}}})
	go w.Run(ctx)
	for last := uint64(0); last < 2; {
		select {
		case ev := <-e.list:
			p, ok := ev.(coordination.Persisted)
			if !ok {
				t.Fatalf("reported %+v", ev)
			}
			if p.Batch <= last || log.synced < int(p.Batch) {
				t.Errorf("batch %d is reported after batch %d, with %d entries synced", p.Batch, last, log.synced)
			}
			last = p.Batch
		case <-time.After(10 * time.Second):
			t.Fatal("the writer does not continue")
		}
	}
	if len(log.saved) != 2 || log.saved[0] != 5 || log.saved[1] != 6 || log.refuse != 0 {
		t.Errorf("saved %v, %d refusals left", log.saved, log.refuse)
	}
}
