package placement

import (
	"sort"

	"github.com/primrosereach/primrosereach/state"
)

// Part is the share of a reservation on one node.
type Part struct {
	Node  *Node
	Tasks int
}

// Reservation keeps capacity on a set of nodes free for one job.
type Reservation struct {
	Key     state.Key
	PerTask state.Resources
	Parts   []Part
	StartMS int64 // expected start, Unix milliseconds
	// PromiseMS is the earliest plausible start when the reservation was made. Shorter
	// work may use the held capacity until then; it is never moved back, since each
	// delay would otherwise admit work that causes the next one.
	PromiseMS int64
	LateMS    int64 // when all parts are free at the latest unless a node is far slower than known
}

type opening struct {
	atMS  int64
	node  *Node
	tasks int
}

// PlanReservation chooses the nodes on which the given number of tasks fit
// earliest, judged by the upper estimates of what runs there: the start is decided by
// the last task to end, which outlives its mean. It returns nil if even all work
// that ends leaves too little room. The cost is that of a scan over the nodes and
// their tasks, so it is meant for the holder of a reservation only.
func (p *Pool) PlanReservation(k state.Key, perTask state.Resources, tasks int, nowMS int64) *Reservation {
	var all []opening
	for _, n := range p.nodes {
		if n.indexed && n.tier != TierStraggler {
			all = openings(all, n, perTask, nowMS)
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
	r.PromiseMS = r.freeAt(nowMS, func(t *Running) int64 { return min(t.EarlyMS, t.remainsUntil(nowMS)) })
	r.LateMS = r.freeAt(nowMS, func(t *Running) int64 { return max(t.LateMS, t.remainsUntil(nowMS)) })
	return r
}

// openings appends the times at which more tasks fit on the node.
func openings(out []opening, n *Node, perTask state.Resources, nowMS int64) []opening {
	free := n.Available()
	fit := count(free, perTask)
	if fit > 0 {
		out = append(out, opening{nowMS, n, fit})
	}
	ends := make([]Running, 0, len(n.Running))
	for _, r := range n.Running {
		if r.EndMS != Forever {
			r.EndMS = max(r.LateMS, r.remainsUntil(nowMS))
			ends = append(ends, r)
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].EndMS < ends[j].EndMS })
	for _, r := range ends {
		free = free.Add(r.PerTask)
		if more := count(free, perTask); more > fit {
			out = append(out, opening{r.EndMS, n, more - fit})
			fit = more
		}
	}
	return out
}

// Acquire holds the capacity of a reservation.
func (p *Pool) Acquire(r *Reservation) {
	for _, part := range r.Parts {
		p.Hold(part.Node, r.PerTask.Scale(part.Tasks))
	}
}

// Drop returns the capacity of a reservation.
func (p *Pool) Drop(r *Reservation) {
	for _, part := range r.Parts {
		p.Hold(part.Node, state.Resources{}.Sub(r.PerTask.Scale(part.Tasks)))
	}
}

// Ready reports whether every part has its capacity free now.
func (r *Reservation) Ready() bool {
	for _, part := range r.Parts {
		if !part.Node.indexed || !r.PerTask.Scale(part.Tasks).FitsIn(part.Node.Free()) {
			return false
		}
	}
	return true
}

// Broken reports whether a node of the reservation takes no work any more.
func (r *Reservation) Broken() bool {
	for _, part := range r.Parts {
		if !part.Node.indexed {
			return true
		}
	}
	return false
}

// Expected returns when all parts are expected to be free, judged by what runs on
// them now.
func (r *Reservation) Expected(nowMS int64) int64 {
	return r.freeAt(nowMS, func(t *Running) int64 { return t.remainsUntil(nowMS) })
}

// freeAt returns when all parts are free if the tasks on them end as given.
func (r *Reservation) freeAt(nowMS int64, end func(*Running) int64) int64 {
	at := nowMS
	for _, part := range r.Parts {
		at = max(at, part.fitsAt(r.PerTask, nowMS, end))
	}
	return at
}

func (part Part) fitsAt(perTask state.Resources, nowMS int64, end func(*Running) int64) int64 {
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

// Backfill returns a node of the reservation on which a short task may use the
// held capacity: the task must end, by a careful estimate, before the promised start.
// runMS is the estimate at speed 1.
func (r *Reservation) Backfill(need state.Resources, runMS, nowMS int64, f Filter) *Node {
	if nowMS+runMS/2 > r.PromiseMS {
		return nil // too late even for the fastest nodes
	}
	limit := min(len(r.Parts), backfillNodes)
	for i := 0; i < limit; i++ {
		n := r.Parts[i].Node
		if !n.indexed || !need.FitsIn(n.Free()) || !f.Allows(n) {
			continue
		}
		if nowMS+int64(float64(runMS)/n.Speed) <= r.PromiseMS {
			return n
		}
	}
	return nil
}

// backfillNodes bounds the nodes of a reservation that one search looks at.
const backfillNodes = 64
