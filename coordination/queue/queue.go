package queue

import (
	"github.com/google/btree"

	"github.com/primrosereach/primrosereach/state"
)

// Order selects which lane of a queue is served first.
type Order uint8

// Orders.
const (
	ByDue  Order = iota // the earliest due time over all teams
	ByTeam              // the team with the least service for its weight, then due time
)

// maxIdleLanes is the number of lanes up to which empty ones are kept for reuse. It
// covers 400 teams with a few kinds each.
const maxIdleLanes = 2048

// costUnit is the virtual time charged for one unit of cost at weight 1.
const costUnit = 1 << 20

// Queue holds the waiting items of one class.
type Queue struct {
	order       Order
	lanes       map[LaneKey]*Lane
	groups      map[state.Resources]*Group
	accounts    map[string]*account
	ready       *btree.BTreeG[*Group] // groups that can be served
	blocked     map[*Group]struct{}
	freeList    *btree.FreeListG[*Item]
	virtualTime int64 // virtual time of the account served last
	seq         uint64
	laneIDs     uint64
	len         int
	cost        int64
}

// New returns an empty queue.
func New(order Order) *Queue {
	return &Queue{
		order:    order,
		lanes:    map[LaneKey]*Lane{},
		groups:   map[state.Resources]*Group{},
		accounts: map[string]*account{},
		ready:    btree.NewG(degree, func(a, b *Group) bool { return a.rank.less(b.rank) }),
		blocked:  map[*Group]struct{}{},
		freeList: btree.NewFreeListG[*Item](btree.DefaultFreeListSize),
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.len }

// Cost returns the sum of the costs of the waiting items, milliseconds.
func (q *Queue) Cost() int64 { return q.cost }

// SetWeight sets a team's weight for the order ByTeam; the least and the default is 1.
func (q *Queue) SetWeight(team string, weight int64) { q.account(team).weight = max(1, weight) }

// Push adds an item to the lane identified by k.
func (q *Queue) Push(k LaneKey, it *Item) {
	l := q.lane(k)
	q.seq++
	it.lane, it.seq = l, q.seq
	l.items.ReplaceOrInsert(it)
	q.len++
	q.cost += it.Cost
	a := l.account
	if a.waiting == 0 {
		// A team gains no credit while it has nothing waiting.
		a.virtualTime = max(a.virtualTime, q.virtualTime)
		q.updateTeam(a)
	}
	a.waiting++
	q.updateLane(l)
}

// Remove deletes an item. An item that is not waiting is ignored.
func (q *Queue) Remove(it *Item) {
	l := it.lane
	if l == nil {
		return
	}
	l.items.Delete(it)
	it.lane = nil
	q.len--
	q.cost -= it.Cost
	l.account.waiting--
	q.updateLane(l)
	if l.items.Len() == 0 && len(q.lanes) > maxIdleLanes {
		q.dropLane(l)
	}
}

// Take removes an item that is about to be started and charges cost to its team. The
// unit of cost is the caller's choice and need not be that of Item.Cost.
func (q *Queue) Take(it *Item, cost int64) {
	a := it.lane.account
	q.virtualTime = max(q.virtualTime, a.virtualTime)
	a.virtualTime += cost * costUnit / a.weight
	q.Remove(it)
	q.updateTeam(a)
}

// Best returns the lane to serve next, or nil if no lane can be served.
func (q *Queue) Best() *Lane {
	g, ok := q.ready.Min()
	if !ok {
		return nil
	}
	l, _ := g.lanes.Min()
	return l
}

// Scan calls f for the ready lanes in order, group by group, until f returns false.
func (q *Queue) Scan(f func(*Lane) bool) {
	q.ready.Ascend(func(g *Group) bool {
		more := true
		g.lanes.Ascend(func(l *Lane) bool {
			more = f(l)
			return more
		})
		return more
	})
}

// ScanBlocked calls f for the first lane of each blocked group. The order is random.
func (q *Queue) ScanBlocked(f func(*Lane)) {
	for g := range q.blocked {
		if l, ok := g.lanes.Min(); ok {
			f(l)
		}
	}
}

// Block excludes a group from service until Unblock finds capacity for it.
func (q *Queue) Block(g *Group, reason string) {
	g.blocked, g.Reason = true, reason
	q.blocked[g] = struct{}{}
	q.updateGroup(g)
}

// Blocked returns the number of blocked groups.
func (q *Queue) Blocked() int { return len(q.blocked) }

// Unblock makes the blocked groups whose task size fits eligible for service again.
func (q *Queue) Unblock(fits func(state.Resources) bool) {
	for g := range q.blocked {
		if fits(g.PerTask) {
			g.blocked = false
			delete(q.blocked, g)
			q.updateGroup(g)
		}
	}
}

// Park excludes a lane from service until Unpark.
func (q *Queue) Park(l *Lane, reason string) {
	l.parked, l.Reason = true, reason
	q.updateLane(l)
}

// Unpark makes a parked lane ready, in the given tier.
func (q *Queue) Unpark(l *Lane, borrows bool) {
	l.parked = false
	q.SetBorrows(l, borrows)
}

// SetBorrows moves a lane behind the lanes that are within their team's share, or
// back among them.
func (q *Queue) SetBorrows(l *Lane, borrows bool) {
	l.tier = 0
	if borrows {
		l.tier = 1
	}
	q.updateLane(l)
}

// TeamLanes returns the lanes of a team. The caller must not change the slice.
func (q *Queue) TeamLanes(team string) []*Lane {
	if a := q.accounts[team]; a != nil {
		return a.lanes
	}
	return nil
}

func (q *Queue) account(team string) *account {
	a := q.accounts[team]
	if a == nil {
		a = &account{weight: 1}
		q.accounts[team] = a
	}
	return a
}

func (q *Queue) lane(k LaneKey) *Lane {
	if l := q.lanes[k]; l != nil {
		return l
	}
	g := q.groups[k.PerTask]
	if g == nil {
		g = &Group{PerTask: k.PerTask, lanes: btree.NewG(degree, func(a, b *Lane) bool { return a.rank.less(b.rank) })}
		q.groups[k.PerTask] = g
	}
	q.laneIDs++
	l := &Lane{LaneKey: k, id: q.laneIDs, group: g, account: q.account(k.Team), items: btree.NewWithFreeListG(degree, itemLess, q.freeList)}
	g.members++
	l.account.lanes = append(l.account.lanes, l)
	q.lanes[k] = l
	return l
}

func (q *Queue) dropLane(l *Lane) {
	delete(q.lanes, l.LaneKey)
	a := l.account
	for i, o := range a.lanes {
		if o == l {
			a.lanes = append(a.lanes[:i], a.lanes[i+1:]...)
			break
		}
	}
	l.group.members--
	if l.group.members == 0 {
		delete(q.groups, l.PerTask)
		delete(q.blocked, l.group)
	}
}

// updateTeam recomputes the ranks of a team's lanes after the service that it
// received has changed.
func (q *Queue) updateTeam(a *account) {
	if q.order != ByTeam {
		return
	}
	for _, l := range a.lanes {
		q.updateLane(l)
	}
}

func (q *Queue) rankOf(l *Lane) rank {
	r := rank{tier: l.tier, id: l.id, first: l.Head().Due}
	if q.order == ByTeam {
		r.first, r.second = l.account.virtualTime, r.first
	}
	return r
}

// updateLane moves a lane to its place in its group, or removes it from the group if
// it cannot be served.
func (q *Queue) updateLane(l *Lane) {
	eligible := l.items.Len() > 0 && !l.parked
	var r rank
	if eligible {
		r = q.rankOf(l)
		if l.listed && r == l.rank {
			return
		}
	}
	g := l.group
	if l.listed {
		g.lanes.Delete(l)
	}
	l.listed, l.rank = eligible, r
	if eligible {
		g.lanes.ReplaceOrInsert(l)
	}
	q.updateGroup(g)
}

// updateGroup moves a group to its place among the ready groups, or removes it from
// them if it cannot be served.
func (q *Queue) updateGroup(g *Group) {
	first, ok := g.lanes.Min()
	eligible := ok && !g.blocked
	if g.listed && eligible && g.rank == first.rank {
		return
	}
	if g.listed {
		q.ready.Delete(g)
	}
	g.listed = eligible
	if eligible {
		g.rank = first.rank
		q.ready.ReplaceOrInsert(g)
	}
}
