package replicationtest

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
)

// Process runs one replica. It may be running, paused or down.
type Process struct {
	Self  state.Member
	Group *replication.Group // nil while the process is down

	c          *Cluster
	generation int // incremented at each start and crash, so that events scheduled before are ignored
	paused     bool
	buffered   []func()      // events that arrived during a pause
	retired    bool          // replaced by another process, not restarted
	started    time.Duration // virtual time of the last start
	clockRate  float64       // speed of its clock relative to virtual time
	tickAt     time.Duration // virtual time of the scheduled Tick, or -1
	disk       disk

	applied      uint64 // index of the last applied entry
	state        uint64 // digest of the applied entries
	log          memoryLog
	lastSnapshot uint64 // index of the last snapshot
}

// disk holds the synced data, which survives a crash, and the saves that are not
// reported as synced yet.
type disk struct {
	hard     state.HardState
	snapshot *state.Snapshot
	entries  []state.Entry
	pending  []replication.Ready // not reported as synced yet
}

func (c *Cluster) newProcess(name, address string, hasDisk bool) *Process {
	p := &Process{c: c, Self: state.Member{Name: name, Address: address, Disk: hasDisk, Incarnation: c.rng.Uint64()}}
	if c.opt.Domain != nil {
		p.Self.Domain = c.opt.Domain(name)
	}
	c.procs = append(c.procs, p)
	return p
}

// Start adds a process, for example a replacement with a new address.
func (c *Cluster) Start(name, address string, hasDisk bool) *Process {
	p := c.newProcess(name, address, hasDisk)
	c.start(p)
	return p
}

func (c *Cluster) start(p *Process) {
	p.generation++
	p.paused, p.buffered = false, nil
	p.started, p.clockRate = c.now, 1+c.opt.Drift*(2*c.rng.Float64()-1)
	p.tickAt = -1
	p.applied, p.state, p.lastSnapshot, p.log = 0, 0, 0, memoryLog{}
	if s := p.disk.snapshot; s != nil {
		p.restore(s)
	}
	for _, e := range p.disk.entries {
		p.log.add(e)
	}
	config := replication.Config{
		Group: c.opt.Group, Self: p.Self, Rand: NewRand(c.rng.Uint64()),
		HardState: p.disk.hard, Snapshot: p.disk.snapshot, Entries: slices.Clone(p.disk.entries),
		InitialMembers: c.initialMembers, AllowAnyName: c.opt.MaxVoters > 0, MaxVoters: c.opt.MaxVoters, RepairTime: c.opt.RepairTime,
	}
	if c.opt.MaxVoters > 0 && c.now > 0 {
		config.InitialMembers, config.Contacts = nil, c.contacts(p)
	}
	p.Group = replication.New(config, 0)
	p.handleReady()
}

// contactCount is the number of processes that the settings of a process name.
const contactCount = 3

// contacts returns the oldest processes other than p that have not been replaced, as the
// settings of a process name them that starts later than the group.
func (c *Cluster) contacts(p *Process) []state.Member {
	var out []state.Member
	for _, q := range c.procs {
		if q != p && !q.retired && len(out) < contactCount {
			out = append(out, state.Member{Name: q.Self.Name, Address: q.Self.Address})
		}
	}
	return out
}

// Retired reports whether the process has been stopped for good.
func (p *Process) Retired() bool { return p.retired }

// Retire stops a process for good.
func (p *Process) Retire() {
	p.Crash()
	p.retired = true
}

// Now returns the time since the last start by the process's own clock.
func (p *Process) Now() time.Duration {
	return time.Duration(float64(p.c.now-p.started) * p.clockRate)
}

// Running reports whether the process is neither down nor paused.
func (p *Process) Running() bool { return p.Group != nil && !p.paused }

// Down reports whether the process has crashed.
func (p *Process) Down() bool { return p.Group == nil }

// Paused reports whether the process is paused.
func (p *Process) Paused() bool { return p.paused }

// Pause suspends the handling of events. The process's clock continues.
func (p *Process) Pause() { p.paused = p.Group != nil }

// Resume continues a paused process, which first handles the events that arrived
// during the pause.
func (p *Process) Resume() {
	if !p.paused {
		return
	}
	p.paused = false
	buffered := p.buffered
	p.buffered = nil
	for _, run := range buffered {
		p.handleEvent(run)
	}
	p.handleReady()
}

// Crash stops the process. Of the saves that were not reported as synced, the disk
// keeps a random number of the earliest. A process without a disk loses its storage.
func (p *Process) Crash() {
	if p.Group == nil {
		return
	}
	p.generation++
	p.Group, p.paused, p.buffered = nil, false, nil
	if n := len(p.disk.pending); n > 0 {
		for _, r := range p.disk.pending[:p.c.rng.Intn(n+1)] {
			p.disk.write(r)
		}
	}
	p.disk.pending = nil
	if !p.Self.Disk {
		p.Wipe()
	}
}

// Wipe deletes the storage of a process that is down and gives the process a new
// incarnation.
func (p *Process) Wipe() {
	p.disk = disk{}
	p.Self.Incarnation = p.c.rng.Uint64()
}

// Restart starts a process that is down from the data on its disk.
func (p *Process) Restart() {
	if p.Group == nil {
		p.c.start(p)
	}
}

// handleEvent runs one event of the process, or buffers it until the end of a pause.
func (p *Process) handleEvent(run func()) {
	if p.Group == nil {
		return
	}
	if p.paused {
		p.buffered = append(p.buffered, run)
		return
	}
	p.c.Steps++
	run()
	p.handleReady()
}

func (p *Process) receive(m replication.Message) {
	p.handleEvent(func() {
		if p.Group.Step(p.Now(), m) != nil {
			p.c.Refused++
		}
	})
}

// Do runs an action on the replica, unless the process is down or paused, and handles
// the replica's output.
func (p *Process) Do(action func(g *replication.Group, now time.Duration)) {
	if p.Running() {
		action(p.Group, p.Now())
		p.handleReady()
	}
}

// handleReady handles the output of the replica until it returns no more, then checks
// the leases of all processes and schedules the next Tick.
func (p *Process) handleReady() {
	for {
		r := p.Group.Ready()
		if r.Snapshot != nil {
			p.restore(r.Snapshot)
		}
		p.c.check.ready(p, &r)
		for _, m := range r.Messages {
			p.c.Net.send(p, m)
		}
		for _, e := range r.Committed {
			p.apply(e)
		}
		if r.Batch != 0 {
			p.save(r)
		}
		p.takeSnapshot()
		if r.Batch == 0 && len(r.Messages) == 0 && len(r.Committed) == 0 {
			break
		}
	}
	p.c.check.leases(p.c)
	p.scheduleTick()
}

func (p *Process) save(r replication.Ready) {
	if !p.Self.Disk {
		p.Group.Persisted(r.Batch)
		return
	}
	p.disk.pending = append(p.disk.pending, r)
	generation := p.generation
	p.c.at(p.c.now+p.c.rng.Between(p.c.opt.MaxSync/10, p.c.opt.MaxSync), func() {
		if p.generation == generation {
			p.handleEvent(func() { p.synced(r.Batch) })
		}
	})
}

func (p *Process) synced(batch uint64) {
	for len(p.disk.pending) > 0 && p.disk.pending[0].Batch <= batch {
		p.disk.write(p.disk.pending[0])
		p.disk.pending = p.disk.pending[1:]
	}
	p.Group.Persisted(batch)
}

func (d *disk) write(r replication.Ready) {
	if r.Snapshot != nil {
		d.snapshot, d.entries = r.Snapshot, nil
	}
	if r.HardState != nil {
		d.hard = *r.HardState
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		n := slices.IndexFunc(d.entries, func(e state.Entry) bool { return e.Index >= first })
		if n >= 0 {
			d.entries = d.entries[:n:n]
		}
		d.entries = append(d.entries, r.Entries...)
	}
}

func (p *Process) apply(e state.Entry) {
	p.applied, p.state = e.Index, digest(p.state, e)
	p.c.check.applied(p, e)
}

func (p *Process) restore(s *state.Snapshot) {
	p.applied, p.state, p.lastSnapshot = s.Index, uint64(s.Domain.HorizonS), s.Index
	p.log = memoryLog{first: s.Index, base: p.state}
}

// takeSnapshot saves a snapshot of the applied entries when one is due.
func (p *Process) takeSnapshot() {
	if p.applied < p.lastSnapshot+p.c.opt.SnapshotEvery {
		return
	}
	s := p.Group.SnapshotHeader()
	s.Domain = &state.DomainSnapshot{Applied: s.Index, HorizonS: int64(p.state)}
	p.lastSnapshot = s.Index
	if len(p.disk.pending) == 0 {
		p.disk.snapshot = &s
		p.disk.entries = slices.DeleteFunc(slices.Clone(p.disk.entries), func(e state.Entry) bool { return e.Index <= s.Index })
	}
	p.Group.SnapshotTaken(&s)
}

// scheduleTick schedules the next call of Tick.
func (p *Process) scheduleTick() {
	local := p.Group.NextTick()
	at := p.started + time.Duration(float64(local)/p.clockRate) + 1 // rounded up
	if at == p.tickAt {
		return
	}
	p.tickAt = at
	generation := p.generation
	p.c.at(at, func() {
		if p.generation != generation || p.tickAt != at {
			return
		}
		p.tickAt = -1
		p.handleEvent(func() { p.Group.Tick(p.Now()) })
	})
}
