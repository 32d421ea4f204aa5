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

// wallStartMS is the wall-clock time at which every history begins.
const wallStartMS = 1_800_000_000_000

// Options describe a world.
type Options struct {
	Seed         uint64
	Domains      int     // failure domains, 3 by default
	PerDomain    int     // processes in each, 2 by default
	Runners      int     // in each domain, 3 by default
	Workers      int     // in each domain, 3 by default
	Diskless     int     // processes without a disk, the last of the first domains
	Drift        float64 // largest deviation of the rate of a process clock, 0.1 for 10%
	Guards       EndpointGuards
	NewScheduler func(*health.Tracker, []scheduling.Observation) scheduling.Scheduler // the daemon's if nil
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

// World is one history. It is used by one goroutine.
type World struct {
	opt       Options
	Now       time.Duration // true time
	rng       *rand.Rand
	events    eventHeap
	order     uint64
	Processes []*Process
	Endpoints []*Endpoint
	Net       *Network
	Checks    *Checks
	Callers   []*Caller
	Operators []*Operator
	domains   []string
	Steps     int // of all nodes
	settling  bool
	nextID    int
}

// New returns a world in which nothing has happened.
func New(o Options) *World {
	o = o.withDefaults()
	w := &World{opt: o, rng: rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15))}
	w.Net = newNetwork(w)
	w.Checks = newChecks(w)
	var peers []coordination.Peer
	for d := range o.Domains {
		domain := fmt.Sprintf("d%d", d+1)
		w.domains = append(w.domains, domain)
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
		w.Processes = append(w.Processes, newProcess(w, p, peers))
	}
	for _, d := range w.domains {
		w.addEndpoints(d)
	}
	for _, p := range w.Processes {
		p.Start()
	}
	return w
}

func (w *World) addEndpoints(domain string) {
	for i := range w.opt.Runners {
		w.Endpoints = append(w.Endpoints, newEndpoint(w, fmt.Sprintf("%s-r%d", domain, i+1), domain, state.KindRunner, state.Resources{Slots: 4}))
	}
	for i := range w.opt.Workers {
		w.Endpoints = append(w.Endpoints, newEndpoint(w, fmt.Sprintf("%s-w%d", domain, i+1), domain, state.KindWorker, state.Resources{MilliCores: 8000, MemoryMB: 8000}))
	}
}

// At runs f at a true time.
func (w *World) At(at time.Duration, f func()) {
	w.order++
	heap.Push(&w.events, timedEvent{max(at, w.Now), w.order, f})
}

// After runs f after a delay of true time.
func (w *World) After(d time.Duration, f func()) { w.At(w.Now+d, f) }

// RunUntil lets the world go on until a true time or the first violation.
func (w *World) RunUntil(end time.Duration) error {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(timedEvent)
		w.Now = e.at
		e.run()
		if w.Checks.Err != nil {
			return w.Checks.Err
		}
	}
	w.Now = max(w.Now, end)
	return w.Checks.Err
}

// RunFor is RunUntil for a duration from now.
func (w *World) RunFor(d time.Duration) error { return w.RunUntil(w.Now + d) }

// RunWhile lets the world go on while cond holds, at most for d. It reports
// whether cond ended.
func (w *World) RunWhile(d time.Duration, cond func() bool) (bool, error) {
	end := w.Now + d
	for cond() {
		if len(w.events) == 0 || w.events[0].at > end {
			return false, w.Checks.Err
		}
		if err := w.RunUntil(w.events[0].at); err != nil {
			return false, err
		}
	}
	return true, w.Checks.Err
}

func (w *World) wallMS() int64 { return wallStartMS + w.Now.Milliseconds() }

// between draws a duration.
func (w *World) between(lo, hi time.Duration) time.Duration {
	if hi <= lo {
		return lo
	}
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)))
}

func (w *World) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// Process returns the process of a name, or nil.
func (w *World) Process(name string) *Process {
	for _, p := range w.Processes {
		if p.Peer.Name == name {
			return p
		}
	}
	return nil
}

// Leader returns the process that may decide for a group now, or nil.
func (w *World) Leader(group string) *Process {
	for _, p := range w.Processes {
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
