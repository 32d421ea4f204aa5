package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/primrosereach/primrosereach/state"
)

var everywhere = FilterFunc(func(*Node) bool { return true })

var allTiers = []Tier{TierFast, TierNormal, TierSlow, TierStraggler}

func worker(i int, reserved state.Resources) *state.Endpoint {
	return &state.Endpoint{
		Name: fmt.Sprintf("w%03d", i), Kind: state.KindWorker, Rack: fmt.Sprint("rack", i/8), Status: state.EndpointReady, Incarnation: 1,
		Capacity: state.Resources{MilliCores: 64_000, MemoryMB: 256_000, Accelerators: i % 3}, Reserved: reserved,
	}
}

func randomNeed(rng *rand.Rand) state.Resources {
	return state.Resources{MilliCores: rng.IntN(30_000), MemoryMB: rng.IntN(120_000), Accelerators: rng.IntN(12) / 10}
}

// Guards against a search that misses a node with room, or returns one without room,
// after a random sequence of reservations, releases, holds, speed and endpoint changes.
func TestSearchesFindRoomIfThereIsAny(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	p := NewPool(state.KindWorker)
	const nodes = 40
	for i := range nodes {
		p.Update(worker(i, state.Resources{}), 1)
	}
	for range 20_000 {
		changePool(rng, p, nodes)
		need := randomNeed(rng)
		room, roomExceptStragglers := false, false
		p.Nodes(func(n *Node) {
			if n.Ready() && need.FitsIn(n.Available()) {
				room = true
				roomExceptStragglers = roomExceptStragglers || n.Tier() != TierStraggler
			}
		})
		for name, n := range map[string]*Node{"best fit": p.BestFit(need, allTiers, everywhere, TightFit{}), "most free": p.MostFree(need, allTiers, everywhere)} {
			if (n != nil) != room || n != nil && !need.FitsIn(n.Available()) {
				t.Fatalf("%s found %v, room %v", name, n, room)
			}
		}
		if n := p.Spread(need, nil, everywhere); (n != nil) != roomExceptStragglers {
			t.Fatalf("spread found %v, room %v", n, roomExceptStragglers)
		}
	}
}

func changePool(rng *rand.Rand, p *Pool, nodes int) {
	i := rng.IntN(nodes)
	n := p.Node(fmt.Sprintf("w%03d", i))
	switch rng.IntN(7) {
	case 0, 1:
		if need := randomNeed(rng); n != nil && need.FitsIn(n.Available()) {
			p.Reserve(n, need)
		}
	case 2:
		if n != nil {
			p.Release(n, n.Pending)
		}
	case 3:
		p.Update(worker(i, state.Resources{MilliCores: rng.IntN(64_000), MemoryMB: rng.IntN(256_000)}), 0.1+2*rng.Float64())
	case 4:
		e := worker(i, state.Resources{})
		e.Status = state.EndpointSuspect
		p.Update(e, 1)
	case 5:
		if n != nil {
			p.Hold(n, state.Resources{MilliCores: 32_000}.Sub(n.Held))
			p.SetSpeed(n, 0.1+2*rng.Float64())
		}
	case 6:
		p.Remove(fmt.Sprintf("w%03d", i))
	}
}

// Guards against tasks of a service that share a rack while another rack has room.
func TestSpreadUsesAllRacks(t *testing.T) {
	p := NewPool(state.KindWorker)
	for i := range 50 {
		p.Update(worker(i, state.Resources{}), 1)
	}
	used := map[string]int{}
	for range 14 {
		n := p.Spread(state.Resources{MilliCores: 2000}, used, everywhere)
		p.Reserve(n, state.Resources{MilliCores: 2000})
		used[n.Rack()]++
	}
	for rack, n := range used {
		if n != 2 || len(used) != 7 {
			t.Errorf("%s has %d of 14 tasks, %d of 7 racks are used", rack, n, len(used))
		}
	}
}

// Guards against backfill that delays the holder of a reservation: work that may run
// beyond BackfillUntilMS, even if the expected start has been delayed since.
func TestBackfillEndsBeforePlannedStart(t *testing.T) {
	p := NewPool(state.KindWorker)
	for i := range 2 {
		n := p.Update(worker(i, state.Resources{MilliCores: 32_000}), 1)
		n.AddRunning(Running{PerTask: state.Resources{MilliCores: 32_000}, EndMS: 20_000, EarlyMS: 10_000, LateMS: 40_000})
	}
	need := state.Resources{MilliCores: 64_000}
	r := p.PlanReservation(state.Key{Team: "g"}, need, 2, 0)
	if r == nil || r.BackfillUntilMS != 10_000 || r.StartMS != 20_000 {
		t.Fatalf("reservation %+v, want backfill until 10 s and start 20 s", r)
	}
	p.HoldReservation(r)
	small := state.Resources{MilliCores: 8000}
	if n := p.BestFit(small, allTiers, everywhere, TightFit{}); n != nil {
		t.Errorf("held capacity of %s was used by other work", n.Name())
	}
	for _, c := range []struct {
		run, now int64
		want     bool
	}{{10_000, 0, true}, {10_001, 0, false}, {4000, 6000, true}, {4001, 6000, false}, {1, 10_000, false}} {
		if n := r.Backfill(small, c.run, c.now, everywhere); (n != nil) != c.want {
			t.Errorf("a task of %d ms at %d ms: backfilled %v, want %v", c.run, c.now, n != nil, c.want)
		}
	}
	p.ReleaseReservation(r)
	if n := p.BestFit(small, allTiers, everywhere, TightFit{}); n == nil {
		t.Error("the capacity of a dropped reservation is not available")
	}
}

// Guards against searches whose cost grows with the pool: with 30 times as many nodes they
// may examine at most three times as many.
func TestVisitsDoNotGrow(t *testing.T) {
	visits := func(nodes int) uint64 {
		p := NewPool(state.KindWorker)
		for i := range nodes {
			p.Update(worker(i, state.Resources{MilliCores: i * 500 % 64_000, MemoryMB: i * 1777 % 256_000}), 1)
		}
		for range 100 {
			p.BestFit(state.Resources{MilliCores: 8000, MemoryMB: 16_000}, allTiers, everywhere, TightFit{})
			p.MostFree(state.Resources{MilliCores: 8000}, allTiers, everywhere)
			p.Spread(state.Resources{MilliCores: 8000}, nil, everywhere)
		}
		return p.Visited
	}
	if small, large := visits(50), visits(1500); large > 3*small {
		t.Errorf("%d visits with 1,500 nodes, %d with 50", large, small)
	}
}
