package coordinationtest

import (
	"slices"
	"strings"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Fault is a kind of failure that docs/design.md 1.5 lists.
type Fault int

// Kinds of faults.
const (
	CrashProcess Fault = iota
	WipeProcess        // crash that loses the disk; same as CrashProcess for a process without a disk
	PauseProcess
	StopProcess // planned shutdown
	FailDisk
	CutOneWay
	CutBothWays
	IsolateDomain
	LossyNetwork
	SlowNetwork // some messages are delayed by up to 15 s
	DisconnectEndpoint
	RestartEndpoint
	LeaveEndpoint
	DrainEndpoint
	FailingEndpoint
	SlowEndpoint
	faultCount
)

var faultNames = [faultCount]string{
	"crash", "wipe", "pause", "stop", "disk", "cut one way", "cut both ways", "isolate", "lossy", "slow network",
	"silence endpoint", "restart endpoint", "leave", "drain", "bad endpoint", "slow endpoint",
}

// String returns the name of a fault as the event log shows it.
func (f Fault) String() string { return faultNames[f] }

// AllFaults returns every kind of fault once.
func AllFaults() []Fault {
	out := make([]Fault, faultCount)
	for i := range out {
		out[i] = Fault(i)
	}
	return out
}

// InjectFaults injects random faults of the given kinds at random times around an
// interval, until Settle. Each lasts for a random time.
func (sim *Simulation) InjectFaults(every time.Duration, kinds ...Fault) {
	if sim.settling {
		return
	}
	sim.Inject(kinds[sim.rng.IntN(len(kinds))])
	sim.After(sim.randomBetween(every/4, 7*every/4), func() { sim.InjectFaults(every, kinds...) })
}

// Inject injects one fault at a random process, link, domain or endpoint. LossyNetwork and
// SlowNetwork affect the whole network. Nothing happens if the chosen process or endpoint
// cannot have the fault now: for example, it is not running, or a crash would lose state
// that the groups cannot lose (see CanLoseState).
func (sim *Simulation) Inject(f Fault) {
	switch f {
	case CrashProcess, WipeProcess, PauseProcess, StopProcess, FailDisk:
		sim.injectProcess(f, sim.Processes[sim.rng.IntN(len(sim.Processes))])
	case CutOneWay, CutBothWays, IsolateDomain, LossyNetwork, SlowNetwork:
		sim.injectNetwork(f)
	case DrainEndpoint:
		e := sim.Endpoints[sim.rng.IntN(len(sim.Endpoints))]
		sim.Operators[0].Drain(e)
		sim.restartLater(e, sim.randomBetween(5*time.Second, 20*time.Second))
	default:
		sim.injectEndpoint(f, sim.Endpoints[sim.rng.IntN(len(sim.Endpoints))])
	}
}

func (sim *Simulation) injectProcess(f Fault, p *Process) {
	if !p.Running() || p.ShuttingDown || p.Failed {
		return
	}
	sim.Checks.LogEvent("fault %s of %s", f, p.Peer.Name)
	restart := func(after time.Duration) {
		generation := p.generation
		sim.After(after, func() {
			if p.generation == generation {
				p.Start()
			}
		})
	}
	wipes := f == WipeProcess || p.disk == nil
	switch f {
	case PauseProcess:
		generation := p.generation
		p.Pause()
		sim.After(sim.randomBetween(300*time.Millisecond, 30*time.Second), func() {
			if p.generation == generation {
				p.Resume()
			}
		})
	case CrashProcess, WipeProcess:
		if wipes && !sim.CanLoseState(p) {
			return
		}
		p.Crash(wipes)
		restart(sim.randomBetween(200*time.Millisecond, 10*time.Second))
	case StopProcess:
		sim.restartAfterStop(p, sim.randomBetween(time.Second, 5*time.Second))
	case FailDisk:
		p.FailStorage()
		sim.restartAfterStop(p, sim.randomBetween(2*time.Second, 15*time.Second))
	}
}

// restartAfterStop begins a planned shutdown unless the storage of the process has
// failed, and restarts the process after the given time. It leaves a process without a
// disk as it is if the groups can't lose the state of the process at that time.
func (sim *Simulation) restartAfterStop(p *Process, after time.Duration) {
	if !p.Failed {
		p.Shutdown()
	}
	generation := p.generation
	sim.After(after, func() {
		if p.generation != generation || p.disk == nil && !sim.CanLoseState(p) {
			return
		}
		p.Crash(false)
		p.Start()
	})
}

// CanLoseState reports whether a process may lose its state now without loss of
// accepted requests: it is running, and every group has a leader, at least 3 voters
// and only current incarnations as voters.
func (sim *Simulation) CanLoseState(lost *Process) bool {
	for _, g := range sim.groups() {
		leader := sim.Leader(g)
		if leader == nil {
			return false
		}
		for _, v := range leader.node.Views(leader.clock().Now) {
			if v.Group == g && !sim.hasCurrentMembers(v.Membership) {
				return false
			}
		}
	}
	return lost.Running()
}

// hasCurrentMembers reports whether a membership has at least 3 voters and all are
// current incarnations.
func (sim *Simulation) hasCurrentMembers(m state.Membership) bool {
	for _, voter := range m.Voters {
		if p := sim.Process(voter.Name); p == nil || p.Peer.Incarnation != voter.Incarnation {
			return false
		}
	}
	return len(m.Voters) >= 3
}

func (sim *Simulation) injectNetwork(f Fault) {
	n := sim.Net
	faultTime := sim.randomBetween(500*time.Millisecond, 20*time.Second)
	a, b := sim.Processes[sim.rng.IntN(len(sim.Processes))].Peer.Name, sim.Processes[sim.rng.IntN(len(sim.Processes))].Peer.Name
	sim.Checks.LogEvent("fault %s, %s and %s, for %v", f, a, b, faultTime)
	undo := func(removeFault func()) {
		sim.After(faultTime, func() {
			if !sim.settling {
				removeFault()
			}
		})
	}
	switch f {
	case CutOneWay:
		n.CutLink(a, b)
		undo(func() { n.RestoreLink(a, b) })
	case CutBothWays:
		n.CutLink(a, b)
		n.CutLink(b, a)
		undo(func() { n.RestoreLink(a, b); n.RestoreLink(b, a) })
	case IsolateDomain:
		d := sim.domains[sim.rng.IntN(len(sim.domains))]
		n.Isolate(d)
		undo(func() { n.Rejoin(d) })
	case LossyNetwork:
		n.Drop, n.Dup = 0.02+0.1*sim.rng.Float64(), 0.1
		undo(func() { n.Drop, n.Dup = 0, 0 })
	case SlowNetwork:
		n.Slow, n.MaxDelay = 0.05, sim.randomBetween(time.Second, 15*time.Second)
		undo(func() { n.Slow = 0 })
	}
}

func (sim *Simulation) injectEndpoint(f Fault, e *Endpoint) {
	if !e.up {
		return
	}
	sim.Checks.LogEvent("fault %s of %s", f, e.Name)
	generation := e.generation
	undo := func(after time.Duration, g func()) {
		sim.After(after, func() {
			if !sim.settling && (e.generation == generation || f == DisconnectEndpoint) {
				g()
			}
		})
	}
	switch f {
	case DisconnectEndpoint:
		sim.Net.Disconnect(e.Name)
		undo(sim.randomBetween(time.Second, 25*time.Second), func() { sim.Net.Reconnect(e.Name) })
	case RestartEndpoint:
		e.Crash()
		generation = e.generation
		undo(sim.randomBetween(50*time.Millisecond, 20*time.Second), e.Restart)
	case LeaveEndpoint:
		e.Leave()
		sim.restartLater(e, sim.randomBetween(5*time.Second, 20*time.Second))
	case FailingEndpoint:
		e.FailAll = true
		undo(sim.randomBetween(2*time.Second, 20*time.Second), func() { e.FailAll = false })
	case SlowEndpoint:
		e.Speed = 0.1
		undo(sim.randomBetween(2*time.Second, 20*time.Second), func() { e.Speed = 1 })
	}
}

func (sim *Simulation) restartLater(e *Endpoint, after time.Duration) {
	generation := e.generation
	sim.After(after, func() {
		if e.generation == generation && !sim.settling {
			e.Restart()
		}
	})
}

// Summary counts what histories contained.
type Summary struct {
	Histories, Steps, Requests, Executions int
	Outcomes                               map[state.Outcome]int
	NotRun, LateResends                    int
	Virtual                                time.Duration
}

// Add adds the counts of one history.
func (s *Summary) Add(sim *Simulation) {
	s.Histories++
	s.Steps += sim.Steps
	s.Executions += sim.Checks.Executions
	s.LateResends += sim.Checks.LateStarts
	s.Virtual += sim.Now
	if s.Outcomes == nil {
		s.Outcomes = map[state.Outcome]int{}
	}
	for _, c := range sim.Callers {
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

// LastEvents returns the last n lines of the event log. If names are given it returns
// only lines that contain one of them.
func (sim *Simulation) LastEvents(n int, names ...string) []string {
	var out []string
	for _, line := range sim.Checks.EventLog {
		if len(names) == 0 || slices.ContainsFunc(names, func(s string) bool { return strings.Contains(line, s) }) {
			out = append(out, line)
		}
	}
	return out[max(0, len(out)-n):]
}
