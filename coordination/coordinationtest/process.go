package coordinationtest

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
)

// Process is one simulated entry process.
type Process struct {
	sim          *Simulation
	Peer         coordination.Peer
	peers        []coordination.Peer
	node         *coordination.Node
	rand         *rand.Rand
	disk         *disk         // nil if the process has no disk
	rate         float64       // seconds of the process clock for each simulated second
	skewMS       int64         // offset of the wall clock, in milliseconds
	bootAt       time.Duration // simulated time of the last start
	generation   int           // incremented by every start and crash; events scheduled for an earlier generation are dropped
	Paused       int           // number of pauses in force
	queued       []queuedEvent // events that arrived while the process was paused
	nextTickAt   time.Duration // simulated time of the next Tick, 0 if none is scheduled
	lastToken    coordination.Token
	calls        map[coordination.Token]func(coordination.Answer)
	ShuttingDown bool // a planned shutdown has begun
	Failed       bool // the storage has failed
	steps        int
	effects      int
}

type queuedEvent struct {
	generation int
	ev         coordination.Event
}

func newProcess(sim *Simulation, peer coordination.Peer, peers []coordination.Peer) *Process {
	p := &Process{sim: sim, Peer: peer, peers: peers, rand: rand.New(rand.NewPCG(sim.options.Seed, sim.rng.Uint64()))}
	p.rate = 1 + sim.options.Drift*(2*sim.rng.Float64()-1)
	p.skewMS = sim.rng.Int64N(400) - 200
	p.newIncarnation()
	if peer.Disk {
		p.disk = newDisk(sim)
	}
	return p
}

func (p *Process) newIncarnation() { p.Peer.Incarnation = p.rand.Uint64() | 1 }

func (p *Process) site() site { return site{p.Peer.Name, p.Peer.Domain} }

// Running reports whether the process is running, which includes paused processes.
func (p *Process) Running() bool { return p.node != nil }

func (p *Process) clock() scheduling.Clock {
	local := time.Duration(float64(p.sim.Now-p.bootAt) * p.rate)
	return scheduling.Clock{Now: local, WallMS: p.sim.wallMS() + p.skewMS}
}

// Start starts the process with the state that its disk holds.
func (p *Process) Start() {
	if p.node != nil {
		return
	}
	p.generation++
	p.bootAt, p.nextTickAt, p.ShuttingDown, p.Failed = p.sim.Now, 0, false, false
	p.calls = map[coordination.Token]func(coordination.Answer){}
	var recovered map[string]coordination.Recovered
	if p.disk != nil {
		recovered = p.disk.recover()
	}
	p.node = coordination.New(coordination.Config{
		Self: p.Peer.Member, Peers: p.peers, Recovered: recovered, Rand: p.rand, NewScheduler: p.sim.options.NewScheduler,
	}, p.clock())
	p.sim.Checks.processStarted(p)
	p.deliver(coordination.Tick{})
}

// Crash stops the process without a shutdown. With wipe, or without a disk, it
// restarts without state and as a new incarnation.
func (p *Process) Crash(wipe bool) {
	if p.node == nil {
		return
	}
	p.node, p.queued, p.calls, p.Paused = nil, nil, nil, 0
	p.generation++
	if p.disk != nil {
		p.disk.crash()
	}
	if wipe && p.disk != nil {
		p.disk = newDisk(p.sim)
	}
	if wipe || p.disk == nil {
		p.newIncarnation()
	}
}

// Pause suspends the process. Its events are queued until Resume.
func (p *Process) Pause() { p.Paused++ }

// Resume undoes one Pause. After the last one all queued events are delivered at once.
func (p *Process) Resume() {
	if p.Paused == 0 {
		return
	}
	if p.Paused--; p.Paused > 0 {
		return
	}
	queued := p.queued
	p.queued = nil
	for _, q := range queued {
		if q.generation == p.generation {
			p.deliver(q.ev)
		}
	}
}

// Shutdown begins a planned shutdown.
func (p *Process) Shutdown() {
	p.ShuttingDown = true
	p.deliver(coordination.Shutdown{})
}

// FailStorage makes every write to the disk fail from now on.
func (p *Process) FailStorage() {
	if p.node == nil || p.disk == nil || p.Failed {
		return
	}
	p.Failed, p.disk.failing = true, true
	p.deliver(coordination.StorageFailed{Step: "write log", Err: errors.New("no space left on device")})
}

// deliver passes an event to the node, or queues it while the process is paused.
func (p *Process) deliver(ev coordination.Event) {
	if p.node == nil {
		return
	}
	if p.Paused > 0 {
		p.queued = append(p.queued, queuedEvent{p.generation, ev})
		return
	}
	p.sim.Steps++
	p.steps++
	effects := p.node.Step(p.clock(), ev)
	p.effects += len(effects)
	p.sim.Checks.stepped(p)
	p.execute(effects)
	p.scheduleTick()
}

// scheduleTick schedules the next Tick unless an earlier one is scheduled already.
func (p *Process) scheduleTick() {
	if p.node == nil {
		return
	}
	local := p.node.NextTick()
	at := p.bootAt + time.Duration(float64(local)/p.rate) + time.Microsecond
	at = max(at, p.sim.Now+100*time.Microsecond)
	if p.nextTickAt > p.sim.Now && p.nextTickAt <= at {
		return
	}
	p.nextTickAt = at
	generation := p.generation
	p.sim.At(at, func() {
		if p.generation == generation && p.nextTickAt == at {
			p.nextTickAt = 0
			p.deliver(coordination.Tick{})
		}
	})
}

// execute executes effects. Effects whose order is not significant are sorted, because
// their order depends on map iteration and a seed must determine the history.
func (p *Process) execute(effects []coordination.Effect) {
	slices.SortStableFunc(effects, compareEffects)
	for _, e := range effects {
		switch e := e.(type) {
		case coordination.Persist:
			p.persist(e, coordination.Persisted{Group: e.Group, Batch: e.Batch})
		case coordination.SaveSnapshot:
			p.persist(e, coordination.SnapshotSaved(e))
		case coordination.SendPeer:
			p.sendPeer(e)
		case coordination.StartTask:
			p.startTask(e)
		case coordination.StopTask:
			p.stopTask(e)
		case coordination.Reply:
			if c := p.calls[e.Token]; c != nil {
				delete(p.calls, e.Token)
				c(e.Answer)
			}
		}
	}
}

func (p *Process) persist(e coordination.Effect, done coordination.Event) {
	if p.disk == nil || p.Failed {
		return
	}
	generation, d := p.generation, p.disk
	d.write(e, func() {
		if p.generation != generation || d.failing {
			return
		}
		d.sync()
		p.deliver(done)
	})
}

func (p *Process) sendPeer(e coordination.SendPeer) {
	to := p.sim.Process(e.Message.To)
	if to == nil {
		return
	}
	p.sim.Net.send(p.site(), to.site(), func() {
		to.deliver(coordination.PeerMessage{Group: e.Message.Group, Message: e.Message})
	})
}

// call submits a call to the node. answer is not called if the process stops first.
func (p *Process) call(build func(coordination.Token) coordination.Event, answer func(coordination.Answer)) coordination.Token {
	if p.node == nil {
		return 0
	}
	p.lastToken++
	t := p.lastToken
	p.calls[t] = answer
	p.deliver(build(t))
	return t
}
