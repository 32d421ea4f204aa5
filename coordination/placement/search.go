package placement

import "github.com/primrosereach/primrosereach/state"

// BestFit returns the node with the lowest score in the first of the given tiers in which
// a node that the filter allows has room, or nil. It scores the nodes with room that have
// the least available capacity, up to maxCandidates.
func (p *Pool) BestFit(need state.Resources, order []Tier, f Filter, s Scorer) *Node {
	for _, t := range order {
		if n := p.bestFit(&p.tiers[t], need, f, s); n != nil {
			return n
		}
	}
	return nil
}

// search is the state of one search. The pool reuses it, and its visitors are created
// once, since a closure costs an allocation.
type search struct {
	pool  *Pool
	need  state.Resources
	f     Filter
	s     Scorer
	pivot Node // artificial node at which searches of a level start: the first in the order of nodeLess with enough memory

	best  *Node
	score float64
	found int // number of nodes scored

	scoreNode func(*Node) bool
	takeFirst func(*Node) bool
}

func newSearch(p *Pool) *search {
	x := &search{pool: p}
	x.scoreNode = func(n *Node) bool {
		if !x.admits(n) {
			return true
		}
		if score := x.s.Score(n, x.need); x.best == nil || score < x.score {
			x.best, x.score = n, score
		}
		x.found++
		return x.found < maxCandidates
	}
	x.takeFirst = func(n *Node) bool {
		if x.admits(n) {
			x.best = n
		}
		return x.best == nil
	}
	return x
}

func (x *search) start(need state.Resources, f Filter, s Scorer) {
	x.need, x.f, x.s = need, f, s
	x.best, x.found = nil, 0
}

func (x *search) admits(n *Node) bool {
	x.pool.Visited++
	return x.need.FitsIn(n.Available()) && x.f.Allows(n)
}

func (p *Pool) bestFit(sh *tierIndex, need state.Resources, f Filter, s Scorer) *Node {
	x := p.search
	x.start(need, f, s)
	x.pivot.secondary = int64(need.MemoryMB)
	for lv := sh.above(min(levels-1, p.levelOf(need))); lv >= 0 && x.found < maxCandidates; lv = sh.above(lv + 1) {
		sh.trees[lv].AscendGreaterOrEqual(&x.pivot, x.scoreNode)
	}
	return x.best
}

// MostFree returns the node with the most available capacity in the first of the given
// tiers in which a node that the filter allows has room, or nil. Among runners with equal
// available capacity it returns the fastest.
func (p *Pool) MostFree(need state.Resources, order []Tier, f Filter) *Node {
	for _, t := range order {
		if n := p.mostFree(&p.tiers[t], need, f); n != nil {
			return n
		}
	}
	return nil
}

func (p *Pool) mostFree(sh *tierIndex, need state.Resources, f Filter) *Node {
	x := p.search
	x.start(need, f, nil)
	lowest := min(levels-1, p.levelOf(need))
	for lv := sh.below(levels - 1); lv >= lowest && lv >= 0 && x.best == nil; lv = sh.below(lv - 1) {
		sh.trees[lv].Descend(x.takeFirst)
	}
	return x.best
}
