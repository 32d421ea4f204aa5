package coordinationtest

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// disk simulates a data directory. Writes become durable in order, each after a random
// delay.
type disk struct {
	sim     *Simulation
	logs    map[string]*coordination.Recovered
	pending []coordination.Effect // writes that are not durable yet
	delay   time.Duration         // longest duration of one sync
	lastAt  time.Duration         // simulated time at which the last queued write becomes durable
	failing bool                  // pending and later writes never become durable
}

func newDisk(sim *Simulation) *disk {
	return &disk{sim: sim, logs: map[string]*coordination.Recovered{}, delay: 4 * time.Millisecond}
}

// write queues a write and calls done at the time when it should become durable.
func (d *disk) write(e coordination.Effect, done func()) {
	d.pending = append(d.pending, e)
	at := max(d.lastAt, d.sim.Now+d.sim.randomBetween(time.Millisecond/2, d.delay))
	d.lastAt = at
	d.sim.At(at, done)
}

// sync makes the oldest pending write durable.
func (d *disk) sync() {
	d.save(d.pending[0])
	d.pending = d.pending[1:]
}

// crash makes a random number of the oldest pending writes durable and drops the
// others. A failing disk drops all of them.
func (d *disk) crash() {
	if n := len(d.pending); n > 0 && !d.failing {
		for range d.sim.rng.IntN(n + 1) {
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
		l.Entries = slices.Clone(after(l.Entries, e.Snapshot.Index))
	case coordination.Persist:
		l := d.log(e.Group)
		if e.Snapshot != nil {
			l.Snapshot, l.Entries = e.Snapshot, nil
		}
		if e.HardState != nil {
			l.HardState = *e.HardState
		}
		if len(e.Entries) > 0 {
			n := len(l.Entries)
			for n > 0 && l.Entries[n-1].Index >= e.Entries[0].Index {
				n--
			}
			if n < len(l.Entries) {
				l.Entries = slices.Clip(l.Entries[:n]) // the append below must copy: a restarted node may hold the old entries
			}
			l.Entries = append(l.Entries, e.Entries...)
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

// after returns the entries with an index greater than the given one.
func after(entries []state.Entry, index uint64) []state.Entry {
	n := 0
	for n < len(entries) && entries[n].Index <= index {
		n++
	}
	return entries[n:]
}

// recover returns the durable state that a restarted process reads.
func (d *disk) recover() map[string]coordination.Recovered {
	out := map[string]coordination.Recovered{}
	for g, l := range d.logs {
		r := *l
		if s := l.Snapshot; s != nil {
			r.Entries = after(r.Entries, s.Index)
		}
		r.Entries = r.Entries[:len(r.Entries):len(r.Entries)]
		out[g] = r
	}
	return out
}
