// Package placement finds endpoints for tasks. A Pool indexes the endpoints of one
// kind by learned speed, free capacity and rack, so that the cost of a placement
// grows with the logarithm of their number. Policies are expressed by a Filter, a
// Scorer and the search method.
package placement

import (
	"github.com/primrosereach/primrosereach/state"
)

// Tier is a class of endpoint speed. Endpoints are searched tier by tier, so slow
// ones get work only when faster ones are full.
type Tier uint8

// Tiers, by speed relative to the typical endpoint.
const (
	TierFast      Tier = iota // from 1.25 times
	TierNormal                // from 0.7 times
	TierSlow                  // from 0.35 times
	TierStraggler             // below: only work that it cannot make late
	tierCount
)

// TierOf returns the tier of a speed, where 1 is the typical endpoint.
func TierOf(speed float64) Tier {
	switch {
	case speed >= 1.25:
		return TierFast
	case speed >= 0.7:
		return TierNormal
	case speed >= 0.35:
		return TierSlow
	default:
		return TierStraggler
	}
}

// Forever as Running.EndMS marks a task that does not end by itself.
const Forever = int64(1) << 62

// Running is a task that reserves capacity on a node.
type Running struct {
	Key     state.Key
	Task    int
	PerTask state.Resources
	StartMS int64 // Unix milliseconds
	EndMS   int64 // expected, Unix milliseconds, or Forever
	EarlyMS int64 // earliest plausible end; EndMS if the estimate is reliable
	LateMS  int64 // end that is exceeded rarely
}

// remainsUntil returns when the task is expected to end. A task that has outlived
// its estimate is expected to need as long again as it has run.
func (r *Running) remainsUntil(nowMS int64) int64 {
	if r.EndMS > nowMS {
		return r.EndMS
	}
	return nowMS + max(1, nowMS-r.StartMS)
}

// Node is an endpoint with what the scheduler has planned on it.
type Node struct {
	Endpoint *state.Endpoint
	Speed    float64         // learned, 1 is typical
	Pending  state.Resources // of plans that are not settled
	Held     state.Resources // kept free for the holder of a reservation
	Running  []Running

	tier      Tier
	level     int
	secondary int64
	counted   state.Resources // part of the pool's total
	id        uint64
	rack      *rack
	indexed   bool
}

// Name returns the endpoint's name.
func (n *Node) Name() string { return n.Endpoint.Name }

// Tier returns the speed class in which the node is indexed.
func (n *Node) Tier() Tier { return n.tier }

// Free returns the capacity that neither running nor planned work uses.
func (n *Node) Free() state.Resources { return n.Endpoint.Free().Sub(n.Pending) }

// Available returns the free capacity that is not held for a reservation.
func (n *Node) Available() state.Resources { return n.Free().Sub(n.Held) }

// Rack returns the name of the node's rack. An endpoint without one counts as a
// rack of its own.
func (n *Node) Rack() string {
	if n.Endpoint.Rack == "" {
		return n.Endpoint.Name
	}
	return n.Endpoint.Rack
}

// AddRunning notes a task that reserves capacity.
func (n *Node) AddRunning(r Running) { n.Running = append(n.Running, r) }

// RemoveRunning forgets a task. A scan is enough: a node runs a few tens of tasks.
func (n *Node) RemoveRunning(k state.Key, task int) {
	for i := range n.Running {
		if n.Running[i].Task == task && n.Running[i].Key == k {
			last := len(n.Running) - 1
			n.Running[i] = n.Running[last]
			n.Running = n.Running[:last]
			return
		}
	}
}

// Filter excludes nodes from a search.
type Filter interface{ Allows(n *Node) bool }

// FilterFunc adapts a function to Filter.
type FilterFunc func(n *Node) bool

// Allows calls f.
func (f FilterFunc) Allows(n *Node) bool { return f(n) }

// Scorer rates a node that has room for the task; the lowest score is chosen.
type Scorer interface {
	Score(n *Node, need state.Resources) float64
}

// Reserver sets capacity aside for plans.
type Reserver interface {
	Reserve(n *Node, r state.Resources)
	Release(n *Node, r state.Resources)
}

// TightFit prefers the node with the least and the most even remainder. An uneven
// one, for example cores without memory, cannot be used by later tasks.
type TightFit struct{}

// Score implements Scorer.
func (TightFit) Score(n *Node, need state.Resources) float64 {
	left, size := n.Available().Sub(need), n.Endpoint.Capacity
	cores, memory := fraction(left.MilliCores, size.MilliCores), fraction(left.MemoryMB, size.MemoryMB)
	uneven := cores - memory
	if uneven < 0 {
		uneven = -uneven
	}
	return cores + memory + 2*uneven + fraction(left.Accelerators, size.Accelerators)
}

func fraction(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// count returns how many tasks of the given size fit.
func count(free, perTask state.Resources) int {
	n := 1 << 30
	for _, d := range [...][2]int{{free.Slots, perTask.Slots}, {free.MilliCores, perTask.MilliCores}, {free.MemoryMB, perTask.MemoryMB}, {free.Accelerators, perTask.Accelerators}} {
		if d[0] < 0 {
			return 0
		}
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return n
}

// Ready reports whether searches may return the node.
func (n *Node) Ready() bool { return n.indexed }
