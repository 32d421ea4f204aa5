// Package queue orders waiting tasks. A Queue holds the tasks of one class in lanes.
// The tasks of a lane have the same team, kind and size, so that a lane that cannot
// be served now is skipped as a whole. Lanes of equal size form a group, which waits
// for capacity as a unit. The cost of each operation is logarithmic in the number of
// tasks, lanes or groups.
package queue

import (
	"github.com/google/btree"

	"github.com/primrosereach/primrosereach/state"
)

// degree is the degree of the B-trees. Most lanes are short, so small nodes save
// memory.
const degree = 8

// Item is a waiting task.
type Item struct {
	Key  state.Key
	Task int   // index of the task, or AllTasks
	Due  int64 // Unix milliseconds; earlier is served first within a lane
	Cost int64 // expected use of capacity, milliseconds

	lane *Lane
	seq  uint64 // order of insertion, which decides between equal due times
}

// AllTasks as Item.Task stands for all queued tasks of a gang.
const AllTasks = -1

// Lane returns the lane in which the item waits, or nil.
func (it *Item) Lane() *Lane { return it.lane }

func itemLess(a, b *Item) bool {
	if a.Due != b.Due {
		return a.Due < b.Due
	}
	return a.seq < b.seq
}

// LaneKey identifies a lane.
type LaneKey struct {
	Team       string
	Kind       string
	PerTask    state.Resources
	Repeatable bool
}

// Lane holds items that are equivalent for placement and for the quota.
type Lane struct {
	LaneKey
	Reason string // why the lane was last parked

	id      uint64
	group   *Group
	account *account
	items   *btree.BTreeG[*Item]
	tier    uint8 // 1 if the lane borrows
	parked  bool  // excluded from service until Unpark
	listed  bool  // the lane is in Group.lanes, which holds only lanes that can be served
	rank    rank
}

// Group returns the group of lanes whose tasks have the same size.
func (l *Lane) Group() *Group { return l.group }

// Head returns the item that is due first, or nil if the lane is empty.
func (l *Lane) Head() *Item {
	it, _ := l.items.Min()
	return it
}

// Last returns the item that is due last, or nil if the lane is empty.
func (l *Lane) Last() *Item {
	it, _ := l.items.Max()
	return it
}

// Len returns the number of items.
func (l *Lane) Len() int { return l.items.Len() }

// Borrows reports whether the lane has used up its team's share and is served
// after the lanes that have not.
func (l *Lane) Borrows() bool { return l.tier > 0 }

// Parked reports whether the lane is excluded from service until Unpark.
func (l *Lane) Parked() bool { return l.parked }

// Group is the set of lanes whose tasks have the same size.
type Group struct {
	PerTask state.Resources
	Reason  string // why the group was last blocked

	lanes   *btree.BTreeG[*Lane]
	members int // number of lanes, including those that cannot be served now
	blocked bool
	listed  bool // the group is in Queue.ready
	rank    rank
}

// Blocked reports whether the group is excluded from service until Unblock finds
// capacity for it.
func (g *Group) Blocked() bool { return g.blocked }

// rank orders lanes, and groups by their first lane.
type rank struct {
	tier          uint8 // 1 for lanes that borrow
	first, second int64 // ByDue: due time, 0; ByTeam: virtual time of the team, due time
	id            uint64
}

func (a rank) less(b rank) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	if a.first != b.first {
		return a.first < b.first
	}
	if a.second != b.second {
		return a.second < b.second
	}
	return a.id < b.id
}

// account tracks the service that a team has received from a queue, for start-time
// fair queueing.
type account struct {
	virtualTime int64 // service received, in costUnit per unit of cost, divided by weight
	weight      int64
	waiting     int // number of waiting items
	lanes       []*Lane
}
