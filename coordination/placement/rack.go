package placement

import "github.com/primrosereach/primrosereach/state"

// rack is a group of nodes that may fail together.
type rack struct {
	name  string
	nodes []*Node
	best  int // highest level of available capacity among the rack's nodes, or -1
}

// rackLess orders racks by rack.best, the highest first.
func rackLess(a, b *rack) bool {
	if a.best != b.best {
		return a.best > b.best
	}
	return a.name < b.name
}

func (p *Pool) addToRack(n *Node) {
	name := n.Rack()
	r := p.racks[name]
	if r == nil {
		r = &rack{name: name}
		p.racks[name] = r
		p.rackTree.ReplaceOrInsert(r)
	}
	n.rack = r
	r.nodes = append(r.nodes, n)
	p.updateRack(r)
}

func (p *Pool) removeFromRack(n *Node) {
	r := n.rack
	n.rack = nil
	for i, o := range r.nodes {
		if o == n {
			r.nodes = append(r.nodes[:i], r.nodes[i+1:]...)
			break
		}
	}
	if len(r.nodes) == 0 {
		p.rackTree.Delete(r)
		delete(p.racks, r.name)
		return
	}
	p.updateRack(r)
}

func (p *Pool) updateRack(r *rack) {
	best := -1
	for _, n := range r.nodes {
		best = max(best, n.level)
	}
	if best != r.best {
		p.rackTree.Delete(r)
		r.best = best
		p.rackTree.ReplaceOrInsert(r)
	}
}

// Spread returns a node with room in the rack with the fewest tasks of a service, or nil.
// used gives the service's number of tasks by rack. Among racks with equal numbers, the
// one whose best node has the highest level of available capacity is chosen. The cost
// grows with the number of racks in used, not with the number of racks in the pool.
func (p *Pool) Spread(need state.Resources, used map[string]int, f Filter) *Node {
	var best *Node
	bestUsed := 0
	lowest := min(levels-1, p.levelOf(need))
	p.rackTree.Ascend(func(r *rack) bool {
		p.Visited++
		if r.best < lowest {
			return false
		}
		if best != nil && used[r.name] >= bestUsed {
			return true
		}
		if n := p.inRack(r, need, f); n != nil {
			best, bestUsed = n, used[r.name]
		}
		return best == nil || bestUsed > 0
	})
	return best
}

// inRack returns the node with the highest level of available capacity among the nodes of
// the rack that have room, are not stragglers and are allowed by the filter, or nil.
func (p *Pool) inRack(r *rack, need state.Resources, f Filter) *Node {
	var best *Node
	for _, n := range r.nodes {
		p.Visited++
		if n.tier == TierStraggler || !need.FitsIn(n.Available()) || !f.Allows(n) {
			continue
		}
		if best == nil || n.level > best.level {
			best = n
		}
	}
	return best
}
