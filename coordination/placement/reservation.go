package placement

import (
	"sort"

	"github.com/primrosereach/primrosereach/state"
)

// Part is the part of a reservation that is on one node.
type Part struct {
	Node  *Node
	Tasks int
}

// Reservation withholds capacity on a set of nodes from searches until one job can
// start on it.
type Reservation struct {
	Key     state.Key
	PerTask state.Resources
	Parts   []Part
	StartMS int64 // expected start, Unix milliseconds
	// BackfillUntilMS is the earliest plausible start, in Unix milliseconds, as estimated
	// when the reservation was made. Short work that ends by then may use the held capacity.
	// The value is never raised, since each delay would admit work that causes the next
	// delay.
	BackfillUntilMS int64
	// LateMS is the time, in Unix milliseconds, by which all parts are free unless a node is
	// far slower than its learned speed.
	LateMS int64
}

// vacancy is the number of tasks that fit on a node from a point in time on, in addition
// to those of the node's earlier vacancies.
type vacancy struct {
	atMS  int64 // Unix milliseconds
	node  *Node
	tasks int
}

// PlanReservation chooses the nodes on which the given number of tasks fit earliest. It
// uses the upper estimates of the running tasks, since the start depends on the last of
// them to end, which usually runs longer than the mean. It returns nil if there is too
// little room even after all tasks with an expected end have ended. The cost is that of a
// scan over all nodes and their tasks, so only the holder of the domain's single
// reservation may cause it.
func (p *Pool) PlanReservation(k state.Key, perTask state.Resources, tasks int, nowMS int64) *Reservation {
	var all []vacancy
	for _, n := range p.nodes {
		if n.indexed && n.tier != TierStraggler {
			all = vacancies(all, n, perTask, nowMS)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].atMS != all[j].atMS {
			return all[i].atMS < all[j].atMS
		}
		return all[i].node.id < all[j].node.id
	})
	r := &Reservation{Key: k, PerTask: perTask}
	at := map[*Node]int{}
	for _, o := range all {
		if tasks == 0 {
			break
		}
		n := min(tasks, o.tasks)
		tasks -= n
		if i, ok := at[o.node]; ok {
			r.Parts[i].Tasks += n
			continue
		}
		at[o.node] = len(r.Parts)
		r.Parts = append(r.Parts, Part{Node: o.node, Tasks: n})
	}
	if tasks > 0 {
		return nil
	}
	r.StartMS = r.Expected(nowMS)
	r.BackfillUntilMS = r.allFreeAt(nowMS, func(t *Running) int64 { return min(t.EarlyMS, t.expectedEnd(nowMS)) })
	r.LateMS = r.allFreeAt(nowMS, func(t *Running) int64 { return max(t.LateMS, t.expectedEnd(nowMS)) })
	return r
}

// vacancies appends the points in time from which more tasks fit on the node.
func vacancies(out []vacancy, n *Node, perTask state.Resources, nowMS int64) []vacancy {
	free := n.Available()
	fit := count(free, perTask)
	if fit > 0 {
		out = append(out, vacancy{nowMS, n, fit})
	}
	ends := make([]Running, 0, len(n.Running))
	for _, r := range n.Running {
		if r.EndMS != Forever {
			r.EndMS = max(r.LateMS, r.expectedEnd(nowMS))
			ends = append(ends, r)
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].EndMS < ends[j].EndMS })
	for _, r := range ends {
		free = free.Add(r.PerTask)
		if more := count(free, perTask); more > fit {
			out = append(out, vacancy{r.EndMS, n, more - fit})
			fit = more
		}
	}
	return out
}

// HoldReservation withholds the capacity of a reservation from searches.
func (p *Pool) HoldReservation(r *Reservation) {
	for _, part := range r.Parts {
		p.Hold(part.Node, r.PerTask.Scale(part.Tasks))
	}
}

// ReleaseReservation returns the capacity of a reservation.
func (p *Pool) ReleaseReservation(r *Reservation) {
	for _, part := range r.Parts {
		p.Hold(part.Node, state.Resources{}.Sub(r.PerTask.Scale(part.Tasks)))
	}
}

// Ready reports whether the capacity of every part is free now.
func (r *Reservation) Ready() bool {
	for _, part := range r.Parts {
		if !part.Node.indexed || !r.PerTask.Scale(part.Tasks).FitsIn(part.Node.Free()) {
			return false
		}
	}
	return true
}

// Unusable reports whether an endpoint of the reservation is no longer ready, so that it
// takes no work.
func (r *Reservation) Unusable() bool {
	for _, part := range r.Parts {
		if !part.Node.indexed {
			return true
		}
	}
	return false
}

// Expected returns the time, in Unix milliseconds, at which all parts are expected to be
// free, given the tasks that run on their nodes now.
func (r *Reservation) Expected(nowMS int64) int64 {
	return r.allFreeAt(nowMS, func(t *Running) int64 { return t.expectedEnd(nowMS) })
}

// allFreeAt returns the time, in Unix milliseconds, at which all parts are free if the
// running tasks end at the times that end returns, or Forever if a part does not become
// free then either.
func (r *Reservation) allFreeAt(nowMS int64, end func(*Running) int64) int64 {
	at := nowMS
	for _, part := range r.Parts {
		at = max(at, part.availableAt(r.PerTask, nowMS, end))
	}
	return at
}

// availableAt is allFreeAt for one part.
func (part Part) availableAt(perTask state.Resources, nowMS int64, end func(*Running) int64) int64 {
	n := part.Node
	need := perTask.Scale(part.Tasks)
	free := n.Free()
	if need.FitsIn(free) {
		return nowMS
	}
	ends := append([]Running(nil), n.Running...)
	sort.Slice(ends, func(i, j int) bool { return end(&ends[i]) < end(&ends[j]) })
	for i := range ends {
		free = free.Add(ends[i].PerTask)
		if need.FitsIn(free) {
			return end(&ends[i])
		}
	}
	return Forever
}

// Backfill returns a node of the reservation on which a short task may use the held
// capacity, or nil. The task must end by BackfillUntilMS; runMS is an upper estimate of
// its run time at speed 1.
func (r *Reservation) Backfill(need state.Resources, runMS, nowMS int64, f Filter) *Node {
	if nowMS+runMS/2 > r.BackfillUntilMS {
		return nil // too late even on a node of speed 2, about the fastest
	}
	limit := min(len(r.Parts), backfillNodes)
	for i := 0; i < limit; i++ {
		n := r.Parts[i].Node
		if !n.indexed || !need.FitsIn(n.Free()) || !f.Allows(n) {
			continue
		}
		if nowMS+int64(float64(runMS)/n.Speed) <= r.BackfillUntilMS {
			return n
		}
	}
	return nil
}

// backfillNodes bounds the number of nodes of a reservation that one search examines.
const backfillNodes = 64
