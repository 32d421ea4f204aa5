// Package placement finds endpoints for tasks. A Pool indexes the endpoints of one
// kind by learned speed, free capacity and rack, so that the cost of a placement
// grows with the logarithm of their number. The caller expresses a policy by its choice
// of Filter, Scorer and search method.
package placement

import (
	"github.com/primrosereach/primrosereach/state"
)

// Tier is a class of endpoint speed. Endpoints are searched tier by tier, in the
// order that the caller chooses, so a tier gets work only when the tiers before it have
// no suitable endpoint with room.
type Tier uint8

// Tiers, by speed relative to a typical endpoint.
const (
	TierFast      Tier = iota // speed at least 1.25
	TierNormal                // speed at least 0.7
	TierSlow                  // speed at least 0.35
	TierStraggler             // any lower speed; for work that still ends in time at that speed
	tierCount
)

// TierOf returns the tier of a speed; a typical endpoint has speed 1.
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

// Forever as Running.EndMS means that the task does not end by itself.
const Forever = int64(1) << 62

// Running is a task that reserves capacity on a node.
type Running struct {
	Key     state.Key
	Task    int
	PerTask state.Resources
	StartMS int64 // start, Unix milliseconds
	EndMS   int64 // expected end, Unix milliseconds, or Forever
	EarlyMS int64 // earliest plausible end, Unix milliseconds; close to EndMS for a reliable estimate
	LateMS  int64 // end that is exceeded rarely, Unix milliseconds
}

// expectedEnd returns the time, in Unix milliseconds, at which the task is expected to
// end. A task that has exceeded its estimate is expected to run on for as long as it has
// run so far.
func (r *Running) expectedEnd(nowMS int64) int64 {
	if r.EndMS > nowMS {
		return r.EndMS
	}
	return nowMS + max(1, nowMS-r.StartMS)
}

// Node is an endpoint with the work that runs and is planned on it.
type Node struct {
	Endpoint *state.Endpoint
	Speed    float64         // learned speed; a typical endpoint has 1
	Pending  state.Resources // capacity used by plans that are not settled
	Held     state.Resources // capacity withheld for the holder of a reservation
	Running  []Running

	tier        Tier
	level       int             // level of available capacity; negative if that capacity is negative
	secondary   int64           // order within the level: available memory of workers, speed of runners
	countedFree state.Resources // available capacity that is included in Pool.free
	id          uint64
	rack        *rack
	indexed     bool // searches may return the node
}

// Name returns the endpoint's name.
func (n *Node) Name() string { return n.Endpoint.Name }

// Tier returns the speed class in which the node is indexed.
func (n *Node) Tier() Tier { return n.tier }

// Free returns the capacity that neither running nor planned tasks use.
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

// AddRunning records a task that reserves capacity.
func (n *Node) AddRunning(r Running) { n.Running = append(n.Running, r) }

// RemoveRunning removes a task. A linear scan is sufficient, since a node runs a few tens
// of tasks.
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

// Scorer rates a node that has room for the task. The node with the lowest score is
// chosen.
type Scorer interface {
	Score(n *Node, need state.Resources) float64
}

// Reserver reserves and releases capacity for plans.
type Reserver interface {
	Reserve(n *Node, r state.Resources)
	Release(n *Node, r state.Resources)
}

// TightFit prefers the node on which the task leaves the smallest and most balanced
// remainder of cores and memory. Later tasks cannot use an unbalanced remainder, for
// example cores without memory.
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

// count returns the number of tasks of the given size that fit into the free capacity.
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
