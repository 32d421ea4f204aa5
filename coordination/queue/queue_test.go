package queue

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/primrosereach/primrosereach/state"
)

func laneKey(team string, slots int) LaneKey {
	return LaneKey{Team: team, Kind: "k", PerTask: state.Resources{Slots: slots}}
}

func push(q *Queue, k LaneKey, id int, due int64) *Item {
	it := &Item{Key: state.Key{Team: k.Team, ID: state.RequestID(fmt.Sprint(id))}, Due: due, Cost: 1}
	q.Push(k, it)
	return it
}

// Guards against an order other than by due time over all lanes, after any sequence
// of pushes, removals, blocked groups and parked lanes.
func TestByDueMatchesReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	q := New(ByDue)
	waiting := map[*Item]bool{}
	for step := range 3000 {
		k := laneKey(fmt.Sprint(rng.IntN(5)), 1+rng.IntN(4))
		switch rng.IntN(6) {
		case 0, 1, 2:
			waiting[push(q, k, step, int64(rng.IntN(1000)))] = true
		case 3:
			for it := range waiting {
				q.Remove(it)
				delete(waiting, it)
				break
			}
		case 4:
			if l := q.Best(); l != nil && rng.IntN(2) == 0 {
				q.Block(l.Group(), "test")
			} else if l != nil {
				q.Park(l, "test")
			}
		case 5:
			q.Unblock(func(r state.Resources) bool { return r.Slots <= 2 })
			for _, l := range q.TeamLanes(k.Team) {
				q.Unpark(l, false)
			}
		}
		checkBest(t, q, waiting)
	}
}

func checkBest(t *testing.T, q *Queue, waiting map[*Item]bool) {
	t.Helper()
	want, ready := int64(0), false
	for it := range waiting {
		if l := it.Lane(); !l.Parked() && !l.Group().Blocked() && (!ready || it.Due < want) {
			want, ready = it.Due, true
		}
	}
	l := q.Best()
	if (l != nil) != ready || ready && l.Head().Due != want {
		t.Fatalf("best lane %+v, want due %d, ready %v", l, want, ready)
	}
	if q.Len() != len(waiting) || q.Cost() != int64(len(waiting)) {
		t.Fatalf("length %d and cost %d, want %d", q.Len(), q.Cost(), len(waiting))
	}
}

// Guards against a team that gets more than its weight by submitting more.
func TestByTeamSharesByWeight(t *testing.T) {
	q := New(ByTeam)
	q.SetWeight("a", 3)
	for i := range 1000 {
		push(q, laneKey("a", 1), i, 1)
	}
	for i := range 10_000 {
		push(q, laneKey("b", 1), i, 0)
	}
	served := map[string]int{}
	for range 400 {
		l := q.Best()
		served[l.Team]++
		q.Take(l.Head(), 1)
	}
	if served["a"] < 299 || served["a"] > 301 {
		t.Errorf("served %v, want 300 of team a with three times the weight", served)
	}
}

// Guards against a team that accumulates credit while it has nothing waiting and then
// displaces the others.
func TestByTeamGivesNoCreditForIdleTime(t *testing.T) {
	q := New(ByTeam)
	push(q, laneKey("late", 1), 0, 0)
	q.Take(q.Best().Head(), 1)
	for i := range 500 {
		push(q, laneKey("busy", 1), i, 0)
	}
	for range 200 {
		q.Take(q.Best().Head(), 1)
	}
	for i := range 500 {
		push(q, laneKey("late", 1), i, 0)
	}
	served := map[string]int{}
	for range 100 {
		l := q.Best()
		served[l.Team]++
		q.Take(l.Head(), 1)
	}
	if served["late"] > 52 {
		t.Errorf("served %v, want equal parts", served)
	}
}

// Guards against a cancel whose cost grows with the length of the queue. The test
// counts allocations of a removal, because wall time depends on the machine.
func TestRemoveCostIndependentOfLength(t *testing.T) {
	cost := func(n int) float64 {
		q := New(ByDue)
		items := make([]*Item, n)
		for i := range items {
			items[i] = push(q, laneKey("a", 1), i, int64(i*7919%n))
		}
		next := 0
		return testing.AllocsPerRun(100, func() {
			q.Remove(items[next*3+1])
			next++
		})
	}
	if short, long := cost(1000), cost(20_000); long > short {
		t.Errorf("%.1f allocations for a removal from 20,000 items, %.1f from 1,000", long, short)
	}
}

// BenchmarkCancel measures a cancel at two lengths of the queue.
func BenchmarkCancel(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := New(ByDue)
			for i := range n {
				push(q, laneKey("a", 1), i, int64(i))
			}
			for i := 0; b.Loop(); i++ {
				q.Remove(push(q, laneKey("a", 1), n+i, int64(i%n)))
			}
		})
	}
}
