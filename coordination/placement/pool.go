package placement

import (
	"math/bits"

	"github.com/google/btree"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// levels is the number of levels of free capacity in the index.
	levels = 128
	// milliCoresPerLevel is the width of a level for workers. The need of a task of whole
	// or half cores is the lower bound of a level, so every node of that level has enough
	// cores.
	milliCoresPerLevel = 500
	// maxCandidates bounds the number of nodes with room that one search scores.
	maxCandidates = 8
	treeDegree    = 8 // degree of the B-trees
)

// Pool indexes the ready endpoints of one kind. Endpoints that are not ready are known
// to it, but searches do not return them.
type Pool struct {
	kind     state.EndpointKind
	nodes    map[string]*Node
	tiers    [tierCount]tierIndex
	racks    map[string]*rack
	rackTree *btree.BTreeG[*rack]
	capacity state.Resources         // total capacity of the indexed nodes
	sizes    map[state.Resources]int // number of known nodes by capacity
	free     state.Resources         // total available capacity of the indexed nodes
	ids      uint64                  // number of nodes created, the source of Node.id
	search   *search

	// Visited counts the nodes and racks that searches have examined.
	Visited uint64
}

// tierIndex holds the nodes of one tier by level of free capacity.
type tierIndex struct {
	trees [levels]*btree.BTreeG[*Node]
	used  [levels / 64]uint64 // one bit for each level that has nodes
}

// nodeLess orders the nodes of a level by their secondary key.
func nodeLess(a, b *Node) bool {
	if a.secondary != b.secondary {
		return a.secondary < b.secondary
	}
	return a.id < b.id
}

// NewPool returns an empty pool.
func NewPool(kind state.EndpointKind) *Pool {
	p := &Pool{
		kind:     kind,
		nodes:    map[string]*Node{},
		racks:    map[string]*rack{},
		rackTree: btree.NewG(treeDegree, rackLess),
		sizes:    map[state.Resources]int{},
	}
	p.search = newSearch(p)
	return p
}

// Node returns the named node, or nil.
func (p *Pool) Node(name string) *Node { return p.nodes[name] }

// Len returns the number of known nodes.
func (p *Pool) Len() int { return len(p.nodes) }

// Capacity returns the total capacity of the nodes that take work.
func (p *Pool) Capacity() state.Resources { return p.capacity }

// Available returns the total available capacity of the nodes that take work.
func (p *Pool) Available() state.Resources { return p.free }

// Nodes calls f for each node. The order is random.
func (p *Pool) Nodes(f func(*Node)) {
	for _, n := range p.nodes {
		f(n)
	}
}

// Update adds an endpoint or replaces its earlier version. Searches return only ready
// endpoints.
func (p *Pool) Update(e *state.Endpoint, speed float64) *Node {
	n := p.nodes[e.Name]
	if n == nil {
		p.ids++
		n = &Node{id: p.ids}
		p.nodes[e.Name] = n
	} else {
		if n.indexed && n.onlyReservationsChanged(e, speed) {
			n.Endpoint, n.Speed = e, speed
			p.reindex(n)
			return n
		}
		p.unindex(n)
		p.removeSize(n.Endpoint.Capacity)
	}
	n.Endpoint, n.Speed = e, speed
	p.sizes[e.Capacity]++
	p.index(n)
	return n
}

// onlyReservationsChanged reports whether status, capacity and rack of an indexed
// endpoint are unchanged and the new speed is in the same tier, so that the node only has
// to be moved within its tier.
func (n *Node) onlyReservationsChanged(e *state.Endpoint, speed float64) bool {
	o := n.Endpoint
	return e.Status == o.Status && e.Capacity == o.Capacity && e.Rack == o.Rack && TierOf(speed) == n.tier
}

// Remove deletes an endpoint from the pool.
func (p *Pool) Remove(name string) {
	if n := p.nodes[name]; n != nil {
		p.unindex(n)
		p.removeSize(n.Endpoint.Capacity)
		delete(p.nodes, name)
	}
}

// SetSpeed sets the learned speed of a node and moves it to the tier of that speed.
func (p *Pool) SetSpeed(n *Node, speed float64) {
	if TierOf(speed) == n.tier {
		n.Speed = speed
		return
	}
	p.unindex(n)
	n.Speed = speed
	p.index(n)
}

// Reserve reserves capacity of a node for a plan.
func (p *Pool) Reserve(n *Node, r state.Resources) {
	n.Pending = n.Pending.Add(r)
	p.reindex(n)
}

// Release returns to the node the capacity that Reserve reserved for a plan that is now
// settled.
func (p *Pool) Release(n *Node, r state.Resources) {
	n.Pending = n.Pending.Sub(r)
	p.reindex(n)
}

// Hold withholds capacity of a node from searches, for the holder of a reservation. A
// negative r makes withheld capacity available again.
func (p *Pool) Hold(n *Node, r state.Resources) {
	n.Held = n.Held.Add(r)
	p.reindex(n)
}

// CapacityInTasks returns the number of tasks of the given size that the known endpoints
// could run at once if they were empty, up to limit.
func (p *Pool) CapacityInTasks(perTask state.Resources, limit int) int {
	total := 0
	for size, n := range p.sizes {
		total += min(limit, count(size, perTask)) * n
		if total >= limit {
			return limit
		}
	}
	return total
}

func (p *Pool) removeSize(size state.Resources) {
	p.sizes[size]--
	if p.sizes[size] == 0 {
		delete(p.sizes, size)
	}
}

// levelOf returns the level of the given resources: the number of slots for runners, the
// number of half cores for workers.
func (p *Pool) levelOf(r state.Resources) int {
	if p.kind == state.KindRunner {
		return r.Slots
	}
	if r.MilliCores < 0 {
		return -1
	}
	return r.MilliCores / milliCoresPerLevel
}

func (p *Pool) index(n *Node) {
	n.tier = TierOf(n.Speed)
	if n.Endpoint.Status != state.EndpointReady {
		return
	}
	n.indexed = true
	p.capacity = p.capacity.Add(n.Endpoint.Capacity)
	p.insert(n)
	p.addToRack(n)
}

func (p *Pool) unindex(n *Node) {
	if !n.indexed {
		return
	}
	n.indexed = false
	p.capacity = p.capacity.Sub(n.Endpoint.Capacity)
	p.delete(n)
	p.removeFromRack(n)
}

func (p *Pool) reindex(n *Node) {
	if !n.indexed {
		return
	}
	p.delete(n)
	p.insert(n)
	p.updateRack(n.rack)
}

func (p *Pool) insert(n *Node) {
	free := n.Available()
	n.countedFree = free
	p.free = p.free.Add(free)
	n.level = min(levels-1, p.levelOf(free))
	if n.level < 0 {
		return
	}
	n.secondary = int64(free.MemoryMB)
	if p.kind == state.KindRunner {
		n.secondary = int64(n.Speed * 1000)
	}
	s := &p.tiers[n.tier]
	t := s.trees[n.level]
	if t == nil {
		t = btree.NewG(treeDegree, nodeLess)
		s.trees[n.level] = t
	}
	t.ReplaceOrInsert(n)
	s.used[n.level/64] |= 1 << (n.level % 64)
}

func (p *Pool) delete(n *Node) {
	p.free = p.free.Sub(n.countedFree)
	if n.level < 0 {
		return
	}
	s := &p.tiers[n.tier]
	t := s.trees[n.level]
	t.Delete(n)
	if t.Len() == 0 {
		s.used[n.level/64] &^= 1 << (n.level % 64)
	}
}

// above returns the lowest level that is at least from and has nodes, or -1.
func (s *tierIndex) above(from int) int {
	if from >= levels {
		return -1
	}
	for w := from / 64; w < len(s.used); w++ {
		m := s.used[w]
		if w == from/64 {
			m &= ^uint64(0) << (from % 64)
		}
		if m != 0 {
			return w*64 + bits.TrailingZeros64(m)
		}
	}
	return -1
}

// below returns the highest level that is at most from and has nodes, or -1.
func (s *tierIndex) below(from int) int {
	if from < 0 {
		return -1
	}
	for w := from / 64; w >= 0; w-- {
		m := s.used[w]
		if w == from/64 {
			m &= ^uint64(0) >> (63 - from%64)
		}
		if m != 0 {
			return w*64 + 63 - bits.LeadingZeros64(m)
		}
	}
	return -1
}
