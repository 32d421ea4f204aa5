package coordinationtest

import (
	"slices"
	"strings"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Fault is a kind of failure of docs/design.md 1.5.
type Fault int

// Faults.
const (
	CrashProcess Fault = iota
	WipeProcess        // the process loses its disk, or has none
	PauseProcess
	StopProcess // planned
	FailDisk
	CutOneWay
	CutBothWays
	IsolateDomain
	LossyNetwork
	SlowNetwork // some messages take many seconds
	SilenceEndpoint
	RestartEndpoint
	LeaveEndpoint
	DrainEndpoint
	BadEndpoint
	SlowEndpoint
	faultCount
)

var faultNames = [faultCount]string{
	"crash", "wipe", "pause", "stop", "disk", "cut one way", "cut both ways", "isolate", "lossy", "slow network",
	"silence endpoint", "restart endpoint", "leave", "drain", "bad endpoint", "slow endpoint",
}

// String returns the name of a fault.
func (f Fault) String() string { return faultNames[f] }

// AllFaults lists every kind once.
func AllFaults() []Fault {
	out := make([]Fault, faultCount)
	for i := range out {
		out[i] = Fault(i)
	}
	return out
}

// InjectFaults begins random faults of some kinds at random times around an
// interval, until Settle. Each lasts for a random time.
func (w *World) InjectFaults(every time.Duration, kinds ...Fault) {
	if w.settling {
		return
	}
	w.Inject(kinds[w.rng.IntN(len(kinds))])
	w.After(w.between(every/4, 7*every/4), func() { w.InjectFaults(every, kinds...) })
}

// Inject begins one fault at a random place.
func (w *World) Inject(f Fault) {
	switch f {
	case CrashProcess, WipeProcess, PauseProcess, StopProcess, FailDisk:
		w.injectProcess(f, w.Processes[w.rng.IntN(len(w.Processes))])
	case CutOneWay, CutBothWays, IsolateDomain, LossyNetwork, SlowNetwork:
		w.injectNetwork(f)
	case DrainEndpoint:
		e := w.Endpoints[w.rng.IntN(len(w.Endpoints))]
		w.Operators[0].Drain(e)
		w.restartLater(e, w.between(5*time.Second, 20*time.Second))
	default:
		w.injectEndpoint(f, w.Endpoints[w.rng.IntN(len(w.Endpoints))])
	}
}

func (w *World) injectProcess(f Fault, p *Process) {
	if !p.Running() || p.Stopped || p.Failed {
		return
	}
	w.Checks.Note("fault %s of %s", f, p.Peer.Name)
	restart := func(after time.Duration) {
		life := p.life
		w.After(after, func() {
			if p.life == life {
				p.Start()
			}
		})
	}
	wipes := f == WipeProcess || p.disk == nil
	switch f {
	case PauseProcess:
		life := p.life
		p.Pause()
		w.After(w.between(300*time.Millisecond, 30*time.Second), func() {
			if p.life == life {
				p.Resume()
			}
		})
	case CrashProcess, WipeProcess:
		if wipes && !w.MayLose(p) {
			return
		}
		p.Crash(wipes)
		restart(w.between(200*time.Millisecond, 10*time.Second))
	case StopProcess:
		w.stopLater(p, w.between(time.Second, 5*time.Second))
	case FailDisk:
		p.FailStorage()
		w.stopLater(p, w.between(2*time.Second, 15*time.Second))
	}
}

// stopLater ends a process that was told to stop, or failed, and starts it again.
func (w *World) stopLater(p *Process, after time.Duration) {
	if !p.Failed {
		p.Shutdown()
	}
	life := p.life
	w.After(after, func() {
		if p.life != life || p.disk == nil && !w.MayLose(p) {
			return
		}
		p.Crash(false)
		p.Start()
	})
}

// MayLose reports whether a process may lose its state now without loss of
// accepted requests: every group that it is in has taken in all members that run.
func (w *World) MayLose(lost *Process) bool {
	for _, g := range w.groups() {
		leader := w.Leader(g)
		if leader == nil {
			return false
		}
		for _, v := range leader.node.Views(leader.clock().Now) {
			if v.Group == g && !w.complete(v.Membership) {
				return false
			}
		}
	}
	return lost.Running()
}

// complete reports whether a membership lists the present incarnations.
func (w *World) complete(m state.Membership) bool {
	for _, voter := range m.Voters {
		if p := w.Process(voter.Name); p == nil || p.Peer.Incarnation != voter.Incarnation {
			return false
		}
	}
	return len(m.Voters) >= 3
}

func (w *World) injectNetwork(f Fault) {
	n := w.Net
	last := w.between(500*time.Millisecond, 20*time.Second)
	a, b := w.Processes[w.rng.IntN(len(w.Processes))].Peer.Name, w.Processes[w.rng.IntN(len(w.Processes))].Peer.Name
	w.Checks.Note("fault %s, %s and %s, for %v", f, a, b, last)
	undo := func(mend func()) {
		w.After(last, func() {
			if !w.settling {
				mend()
			}
		})
	}
	switch f {
	case CutOneWay:
		n.Cut(a, b)
		undo(func() { n.Mend(a, b) })
	case CutBothWays:
		n.Cut(a, b)
		n.Cut(b, a)
		undo(func() { n.Mend(a, b); n.Mend(b, a) })
	case IsolateDomain:
		d := w.domains[w.rng.IntN(len(w.domains))]
		n.Isolate(d)
		undo(func() { n.Rejoin(d) })
	case LossyNetwork:
		n.Drop, n.Dup = 0.02+0.1*w.rng.Float64(), 0.1
		undo(func() { n.Drop, n.Dup = 0, 0 })
	case SlowNetwork:
		n.Slow, n.MaxDelay = 0.05, w.between(time.Second, 15*time.Second)
		undo(func() { n.Slow = 0 })
	}
}

func (w *World) injectEndpoint(f Fault, e *Endpoint) {
	if !e.up {
		return
	}
	w.Checks.Note("fault %s of %s", f, e.Name)
	life := e.life
	undo := func(after time.Duration, g func()) {
		w.After(after, func() {
			if !w.settling && (e.life == life || f == SilenceEndpoint) {
				g()
			}
		})
	}
	switch f {
	case SilenceEndpoint:
		w.Net.Silence(e.Name)
		undo(w.between(time.Second, 25*time.Second), func() { w.Net.Unsilence(e.Name) })
	case RestartEndpoint:
		e.Crash()
		life = e.life
		undo(w.between(50*time.Millisecond, 20*time.Second), e.Restart)
	case LeaveEndpoint:
		e.Leave()
		w.restartLater(e, w.between(5*time.Second, 20*time.Second))
	case BadEndpoint:
		e.FailAll = true
		undo(w.between(2*time.Second, 20*time.Second), func() { e.FailAll = false })
	case SlowEndpoint:
		e.Speed = 0.1
		undo(w.between(2*time.Second, 20*time.Second), func() { e.Speed = 1 })
	}
}

func (w *World) restartLater(e *Endpoint, after time.Duration) {
	life := e.life
	w.After(after, func() {
		if e.life == life && !w.settling {
			e.Restart()
		}
	})
}

// Summary tells how much a history contained.
type Summary struct {
	Histories, Steps, Requests, Executions int
	Outcomes                               map[state.Outcome]int
	NotRun, LateResends                    int
	Virtual                                time.Duration
}

// Add adds one history.
func (s *Summary) Add(w *World) {
	s.Histories++
	s.Steps += w.Steps
	s.Executions += w.Checks.Executions
	s.LateResends += w.Checks.Late
	s.Virtual += w.Now
	if s.Outcomes == nil {
		s.Outcomes = map[state.Outcome]int{}
	}
	for _, c := range w.Callers {
		s.Requests += len(c.Requests)
		for _, r := range c.Requests {
			if r.NotRun {
				s.NotRun++
			}
			if r.Outcome != "" {
				s.Outcomes[r.Outcome]++
			}
		}
	}
}

// LastEvents returns the end of the trail of events, at most n of them, that name a
// text.
func (w *World) LastEvents(n int, names ...string) []string {
	var out []string
	for _, line := range w.Checks.Trail {
		if len(names) == 0 || slices.ContainsFunc(names, func(s string) bool { return strings.Contains(line, s) }) {
			out = append(out, line)
		}
	}
	return out[max(0, len(out)-n):]
}
