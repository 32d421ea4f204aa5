package coordinationtest

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination"
)

// disk is a fake data directory. Writes become durable in order, each after a
// delay.
type disk struct {
	w       *World
	logs    map[string]*coordination.Recovered
	pending []coordination.Effect // written, not durable
	delay   time.Duration         // longest of one sync
	lastAt  time.Duration
	failing bool
}

func newDisk(w *World) *disk {
	return &disk{w: w, logs: map[string]*coordination.Recovered{}, delay: 4 * time.Millisecond}
}

// write queues an effect and calls done when it is durable.
func (d *disk) write(e coordination.Effect, done func()) {
	d.pending = append(d.pending, e)
	at := max(d.lastAt, d.w.Now+d.w.between(time.Millisecond/2, d.delay))
	d.lastAt = at
	d.w.At(at, done)
}

// sync makes the oldest write durable.
func (d *disk) sync() {
	d.save(d.pending[0])
	d.pending = d.pending[1:]
}

// crash loses the writes that are not durable, except for some of the oldest.
func (d *disk) crash() {
	if n := len(d.pending); n > 0 && !d.failing {
		for range d.w.rng.IntN(n + 1) {
			d.sync()
		}
	}
	d.pending, d.lastAt, d.failing = nil, 0, false
}

func (d *disk) save(e coordination.Effect) {
	switch e := e.(type) {
	case coordination.SaveSnapshot:
		l := d.log(e.Group)
		l.Snapshot = e.Snapshot
	case coordination.Persist:
		l := d.log(e.Group)
		if e.Snapshot != nil {
			l.Snapshot, l.Entries = e.Snapshot, nil
		}
		if e.HardState != nil {
			l.HardState = *e.HardState
		}
		if len(e.Entries) > 0 {
			n := 0
			for n < len(l.Entries) && l.Entries[n].Index < e.Entries[0].Index {
				n++
			}
			l.Entries = append(l.Entries[:n:n], e.Entries...)
		}
	}
}

func (d *disk) log(group string) *coordination.Recovered {
	l := d.logs[group]
	if l == nil {
		l = &coordination.Recovered{}
		d.logs[group] = l
	}
	return l
}

// recover returns what a restarted process reads.
func (d *disk) recover() map[string]coordination.Recovered {
	out := map[string]coordination.Recovered{}
	for g, l := range d.logs {
		r := *l
		if s := l.Snapshot; s != nil {
			n := 0
			for n < len(r.Entries) && r.Entries[n].Index <= s.Index {
				n++
			}
			r.Entries = r.Entries[n:]
		}
		r.Entries = r.Entries[:len(r.Entries):len(r.Entries)]
		out[g] = r
	}
	return out
}
