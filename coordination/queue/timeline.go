package queue

import "github.com/google/btree"

// Timeline orders values by a time in milliseconds. Adding or removing a value costs
// O(log n). The time of each value is kept in a map, so that removing a value needs no
// search for it.
type Timeline[T comparable] struct {
	tree *btree.BTreeG[timed[T]]
	at   map[T]timed[T]
	seq  uint64
}

type timed[T comparable] struct {
	at    int64
	seq   uint64 // order of insertion, which decides between equal times
	value T
}

// NewTimeline returns an empty timeline.
func NewTimeline[T comparable]() *Timeline[T] {
	less := func(a, b timed[T]) bool {
		if a.at != b.at {
			return a.at < b.at
		}
		return a.seq < b.seq
	}
	return &Timeline[T]{tree: btree.NewG(degree, less), at: map[T]timed[T]{}}
}

// Set adds v at the given time or moves it there.
func (t *Timeline[T]) Set(v T, at int64) {
	if old, ok := t.at[v]; ok {
		if old.at == at {
			return
		}
		t.tree.Delete(old)
	}
	t.seq++
	e := timed[T]{at: at, seq: t.seq, value: v}
	t.at[v] = e
	t.tree.ReplaceOrInsert(e)
}

// Remove deletes v if it is present.
func (t *Timeline[T]) Remove(v T) {
	if old, ok := t.at[v]; ok {
		t.tree.Delete(old)
		delete(t.at, v)
	}
}

// PopDue removes and returns the earliest value whose time is at most now.
func (t *Timeline[T]) PopDue(now int64) (v T, ok bool) {
	e, ok := t.tree.Min()
	if !ok || e.at > now {
		return v, false
	}
	t.tree.DeleteMin()
	delete(t.at, e.value)
	return e.value, true
}

// Next returns the earliest time. ok is false if the timeline is empty.
func (t *Timeline[T]) Next() (at int64, ok bool) {
	e, ok := t.tree.Min()
	return e.at, ok
}

// Len returns the number of values.
func (t *Timeline[T]) Len() int { return t.tree.Len() }
