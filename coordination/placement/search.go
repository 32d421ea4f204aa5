package placement

import "github.com/primrosereach/primrosereach/state"

// BestFit returns the node with the lowest score in the first of the given tiers
// that has room, or nil. It looks at the fullest nodes with room first.
func (p *Pool) BestFit(need state.Resources, order []Tier, f Filter, s Scorer) *Node {
	for _, t := range order {
		if n := p.bestFit(&p.tiers[t], need, f, s); n != nil {
			return n
		}
	}
	return nil
}

func (p *Pool) bestFit(sh *shelf, need state.Resources, f Filter, s Scorer) *Node {
	var best *Node
	var bestScore float64
	found := 0
	pivot := &Node{secondary: int64(need.MemoryMB)}
	visit := func(n *Node) bool {
		p.Visited++
		if !need.FitsIn(n.Available()) || !f.Allows(n) {
			return true
		}
		if score := s.Score(n, need); best == nil || score < bestScore {
			best, bestScore = n, score
		}
		found++
		return found < candidates
	}
	from := min(levels-1, p.primary(need))
	for lv := sh.above(from); lv >= 0 && lv < levels && found < candidates; {
		sh.trees[lv].AscendGreaterOrEqual(pivot, visit)
		if lv == levels-1 {
			break
		}
		lv = sh.above(lv + 1)
	}
	return best
}

// MostFree returns the node with the most free capacity, the fastest of equal
// ones, in the first of the given tiers that has room, or nil.
func (p *Pool) MostFree(need state.Resources, order []Tier, f Filter) *Node {
	for _, t := range order {
		if n := p.mostFree(&p.tiers[t], need, f); n != nil {
			return n
		}
	}
	return nil
}

func (p *Pool) mostFree(sh *shelf, need state.Resources, f Filter) *Node {
	var found *Node
	visit := func(n *Node) bool {
		p.Visited++
		if need.FitsIn(n.Available()) && f.Allows(n) {
			found = n
		}
		return found == nil
	}
	lowest := min(levels-1, p.primary(need))
	for lv := sh.below(levels - 1); lv >= lowest && lv >= 0 && found == nil; {
		sh.trees[lv].Descend(visit)
		if lv == 0 {
			break
		}
		lv = sh.below(lv - 1)
	}
	return found
}
