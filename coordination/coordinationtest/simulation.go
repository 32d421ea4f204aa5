package coordinationtest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/health"
	"github.com/primrosereach/primrosereach/coordination/policy"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

// wallStartMS is the wall-clock time in milliseconds at which every history begins.
const wallStartMS = 1_800_000_000_000

// Options configures a Simulation.
type Options struct {
	Seed         uint64
	Domains      int     // number of failure domains, 3 by default
	PerDomain    int     // processes in each domain, 2 by default
	Runners      int     // number in each domain, 3 by default
	Workers      int     // number in each domain, 3 by default
	Diskless     int     // number of diskless processes: the last process of each of the first domains
	Drift        float64 // largest relative deviation of the rate of a process clock, 0.1 for 10%
	Guards       EndpointGuards
	NewScheduler func(*health.Tracker, []scheduling.Observation) scheduling.Scheduler // nil selects the scheduler that the daemon uses
}

func (o Options) withDefaults() Options {
	set := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	set(&o.Domains, 3)
	set(&o.PerDomain, 2)
	set(&o.Runners, 3)
	set(&o.Workers, 3)
	if o.NewScheduler == nil {
		o.NewScheduler = func(t *health.Tracker, h []scheduling.Observation) scheduling.Scheduler {
			return scheduling.New(policy.Options(t, rand.NewPCG(uint64(len(h)), 1), h))
		}
	}
	return o
}

// Simulation runs one history in virtual time. It is not safe for concurrent use.
type Simulation struct {
	options   Options
	Now       time.Duration // simulated time since the start, unaffected by clock drift
	rng       *rand.Rand
	events    eventHeap
	order     uint64 // number of scheduled events; orders events of the same time
	Processes []*Process
	Endpoints []*Endpoint
	Net       *Network
	Checks    *Checks
	Callers   []*Caller
	Operators []*Operator
	domains   []string
	Steps     int  // steps of all nodes
	settling  bool // no more faults are injected
	nextID    int
}

// New returns a simulation in which all processes and endpoints have just started.
func New(o Options) *Simulation {
	o = o.withDefaults()
	sim := &Simulation{options: o, rng: rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15))}
	sim.Net = newNetwork(sim)
	sim.Checks = newChecks(sim)
	var peers []coordination.Peer
	for d := range o.Domains {
		domain := fmt.Sprintf("d%d", d+1)
		sim.domains = append(sim.domains, domain)
		for i := range o.PerDomain {
			disk := !(d < o.Diskless && i == o.PerDomain-1)
			peers = append(peers, coordination.Peer{
				Member: state.Member{
					Name: fmt.Sprintf("%s-p%d", domain, i+1), Domain: domain, Disk: disk,
					Address: fmt.Sprintf("10.0.%d.%d:7000", d+1, i+1),
				},
				Region: "r1", PublicAddress: fmt.Sprintf("10.0.%d.%d:8000", d+1, i+1),
			})
		}
	}
	for _, p := range peers {
		sim.Processes = append(sim.Processes, newProcess(sim, p, peers))
	}
	for _, d := range sim.domains {
		sim.addEndpoints(d)
	}
	for _, p := range sim.Processes {
		p.Start()
	}
	return sim
}

func (sim *Simulation) addEndpoints(domain string) {
	for i := range sim.options.Runners {
		sim.Endpoints = append(sim.Endpoints, newEndpoint(sim, fmt.Sprintf("%s-r%d", domain, i+1), domain, state.KindRunner, state.Resources{Slots: 4}))
	}
	for i := range sim.options.Workers {
		sim.Endpoints = append(sim.Endpoints, newEndpoint(sim, fmt.Sprintf("%s-w%d", domain, i+1), domain, state.KindWorker, state.Resources{MilliCores: 8000, MemoryMB: 8000}))
	}
}

// At schedules f to run at a simulated time.
func (sim *Simulation) At(at time.Duration, f func()) {
	sim.order++
	heap.Push(&sim.events, timedEvent{max(at, sim.Now), sim.order, f})
}

// After schedules f to run after a delay of simulated time.
func (sim *Simulation) After(d time.Duration, f func()) { sim.At(sim.Now+d, f) }

// RunUntil processes events until a simulated time or the first violation of an
// invariant.
func (sim *Simulation) RunUntil(end time.Duration) error {
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(timedEvent)
		sim.Now = e.at
		e.run()
		if sim.Checks.Err != nil {
			return sim.Checks.Err
		}
	}
	sim.Now = max(sim.Now, end)
	return sim.Checks.Err
}

// RunFor runs the simulation for a duration from now.
func (sim *Simulation) RunFor(d time.Duration) error { return sim.RunUntil(sim.Now + d) }

// RunWhile processes events while cond holds, for at most d. It reports whether cond
// became false.
func (sim *Simulation) RunWhile(d time.Duration, cond func() bool) (bool, error) {
	end := sim.Now + d
	for cond() {
		if len(sim.events) == 0 || sim.events[0].at > end {
			return false, sim.Checks.Err
		}
		if err := sim.RunUntil(sim.events[0].at); err != nil {
			return false, err
		}
	}
	return true, sim.Checks.Err
}

func (sim *Simulation) wallMS() int64 { return wallStartMS + sim.Now.Milliseconds() }

// randomBetween draws a duration from [lo, hi).
func (sim *Simulation) randomBetween(lo, hi time.Duration) time.Duration {
	if hi <= lo {
		return lo
	}
	return lo + time.Duration(sim.rng.Int64N(int64(hi-lo)))
}

func (sim *Simulation) chance(p float64) bool { return p > 0 && sim.rng.Float64() < p }

// Process returns the process with a name, or nil.
func (sim *Simulation) Process(name string) *Process {
	for _, p := range sim.Processes {
		if p.Peer.Name == name {
			return p
		}
	}
	return nil
}

// Leader returns the process that holds the leader lease of a group now, or nil.
// Paused processes are ignored.
func (sim *Simulation) Leader(group string) *Process {
	for _, p := range sim.Processes {
		if p.Running() && p.Paused == 0 {
			for _, v := range p.node.Views(p.clock().Now) {
				if v.Group == group && v.Leads {
					return p
				}
			}
		}
	}
	return nil
}

type timedEvent struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = timedEvent{}
	*h = old[:len(old)-1]
	return e
}
