package coordinationtest

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
)

// Process is one entry process.
type Process struct {
	w       *World
	Peer    coordination.Peer
	peers   []coordination.Peer
	node    *coordination.Node
	rand    *rand.Rand
	disk    *disk // nil without one
	rate    float64
	skewMS  int64
	bootAt  time.Duration
	life    int           // counts starts; events for an earlier life are lost
	Paused  int           // nested pauses
	queued  []queuedEvent // while paused
	wakeAt  time.Duration // of the next Tick, 0 for none
	tokens  coordination.Token
	calls   map[coordination.Token]func(coordination.Answer)
	Stopped bool // told to stop
	Failed  bool // its storage failed
	steps   int
	effects int
}

type queuedEvent struct {
	life int
	ev   coordination.Event
}

func newProcess(w *World, peer coordination.Peer, peers []coordination.Peer) *Process {
	p := &Process{w: w, Peer: peer, peers: peers, rand: rand.New(rand.NewPCG(w.opt.Seed, w.rng.Uint64()))}
	p.rate = 1 + w.opt.Drift*(2*w.rng.Float64()-1)
	p.skewMS = w.rng.Int64N(400) - 200
	p.newIncarnation()
	if peer.Disk {
		p.disk = newDisk(w)
	}
	return p
}

func (p *Process) newIncarnation() { p.Peer.Incarnation = p.rand.Uint64() | 1 }

func (p *Process) site() site { return site{p.Peer.Name, p.Peer.Domain} }

// Running reports whether the process is up, paused or not.
func (p *Process) Running() bool { return p.node != nil }

func (p *Process) clock() scheduling.Clock {
	local := time.Duration(float64(p.w.Now-p.bootAt) * p.rate)
	return scheduling.Clock{Now: local, WallMS: p.w.wallMS() + p.skewMS}
}

// Start starts the process from what its disk holds.
func (p *Process) Start() {
	if p.node != nil {
		return
	}
	p.life++
	p.bootAt, p.wakeAt, p.Stopped, p.Failed = p.w.Now, 0, false, false
	p.calls = map[coordination.Token]func(coordination.Answer){}
	var recovered map[string]coordination.Recovered
	if p.disk != nil {
		recovered = p.disk.recover()
	}
	p.node = coordination.New(coordination.Config{
		Self: p.Peer.Member, Peers: p.peers, Recovered: recovered, Rand: p.rand, NewScheduler: p.w.opt.NewScheduler,
	}, p.clock())
	p.w.Checks.started(p)
	p.deliver(coordination.Tick{})
}

// Crash ends the process at once. With wipe, or without a disk, it comes back empty
// and as a new incarnation.
func (p *Process) Crash(wipe bool) {
	if p.node == nil {
		return
	}
	p.node, p.queued, p.calls, p.Paused = nil, nil, nil, 0
	p.life++
	if p.disk != nil {
		p.disk.crash()
	}
	if wipe && p.disk != nil {
		p.disk = newDisk(p.w)
	}
	if wipe || p.disk == nil {
		p.newIncarnation()
	}
}

// Pause stops the process without ending it. Its events wait.
func (p *Process) Pause() { p.Paused++ }

// Resume ends a pause. All waiting events arrive at once.
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
		if q.life == p.life {
			p.deliver(q.ev)
		}
	}
}

// Shutdown starts a planned stop.
func (p *Process) Shutdown() {
	p.Stopped = true
	p.deliver(coordination.Shutdown{})
}

// FailStorage makes every write fail from now on.
func (p *Process) FailStorage() {
	if p.node == nil || p.disk == nil || p.Failed {
		return
	}
	p.Failed, p.disk.failing = true, true
	p.deliver(coordination.StorageFailed{Step: "write log", Err: errors.New("no space left on device")})
}

// deliver hands an event to the node now, or after the pause.
func (p *Process) deliver(ev coordination.Event) {
	if p.node == nil {
		return
	}
	if p.Paused > 0 {
		p.queued = append(p.queued, queuedEvent{p.life, ev})
		return
	}
	p.w.Steps++
	p.steps++
	effects := p.node.Step(p.clock(), ev)
	p.effects += len(effects)
	p.w.Checks.stepped(p)
	p.execute(effects)
	p.scheduleTick()
}

// scheduleTick arranges the next Tick unless an earlier one is under way.
func (p *Process) scheduleTick() {
	if p.node == nil {
		return
	}
	local := p.node.NextWake()
	at := p.bootAt + time.Duration(float64(local)/p.rate) + time.Microsecond
	at = max(at, p.w.Now+100*time.Microsecond)
	if p.wakeAt > p.w.Now && p.wakeAt <= at {
		return
	}
	p.wakeAt = at
	life := p.life
	p.w.At(at, func() {
		if p.life == life && p.wakeAt == at {
			p.wakeAt = 0
			p.deliver(coordination.Tick{})
		}
	})
}

// execute carries out effects. Where the order is free it is made independent of
// map iteration, so that a seed determines the history.
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
	life, d := p.life, p.disk
	d.write(e, func() {
		if p.life != life || d.failing {
			return
		}
		d.sync()
		p.deliver(done)
	})
}

func (p *Process) sendPeer(e coordination.SendPeer) {
	to := p.w.Process(e.Message.To)
	if to == nil {
		return
	}
	p.w.Net.send(p.site(), to.site(), func() {
		to.deliver(coordination.PeerMessage{Group: e.Message.Group, Message: e.Message})
	})
}

// call hands a call to the node. answer is not called if the process ends first.
func (p *Process) call(build func(coordination.Token) coordination.Event, answer func(coordination.Answer)) coordination.Token {
	if p.node == nil {
		return 0
	}
	p.tokens++
	t := p.tokens
	p.calls[t] = answer
	p.deliver(build(t))
	return t
}
