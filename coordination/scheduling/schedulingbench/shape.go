// Package schedulingbench runs a scheduler in virtual time with simulated endpoints and
// a real state.Domain. It measures waiting time, packing, the cost of planning, waits
// at the crest of a swing of the demand, and head-of-line blocking. Every run is
// determined by its seed.
package schedulingbench

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/primrosereach/primrosereach/state"
)

// Shape is the size of a cell.
type Shape struct {
	Name       string
	Domains    int
	Runners    int
	Slots      int // slots of a runner
	Workers    int
	Rack       int // number of workers in a rack
	Teams      int
	Stragglers int     // number of stragglers among the runners, and among the workers
	Quota      float64 // sum of the teams' quotas relative to the capacity
}

// Shapes of docs/design.md 1.6. All domains are treated as one cell.
var (
	Claims  = Shape{Name: "claims", Domains: 3, Runners: 50, Slots: 8, Workers: 50, Rack: 8, Teams: 4, Stragglers: 2, Quota: 2}
	Mail    = Shape{Name: "mail", Domains: 4, Runners: 50, Slots: 8, Workers: 50, Rack: 6, Teams: 12, Stragglers: 2, Quota: 3}
	TwoYear = Shape{Name: "two years", Domains: 7, Runners: 50, Slots: 8, Workers: 1500, Rack: 8, Teams: 400, Stragglers: 10, Quota: 4}
)

const (
	workerMilliCores = 64_000
	workerMemoryMB   = 256 * 1024
	// stragglerSpeed makes a straggler take twenty times as long as the rest.
	stragglerSpeed = 0.05
	// speedSpread is the standard deviation of the logarithm of the other speeds:
	// about two thirds are within a factor of 1.35 of the typical one.
	speedSpread = 0.3
)

// simEndpoint is a simulated endpoint.
type simEndpoint struct {
	endpoint state.Endpoint
	domain   int
	speed    float64
	broken   bool // every task that starts on it fails
	lost     bool // its failure domain is lost
}

// simEndpoints returns the endpoints of a shape, first the runners and then the workers.
// The stragglers are spread evenly.
func (s Shape) simEndpoints(rng *rand.Rand) []*simEndpoint {
	var out []*simEndpoint
	add := func(i, n int, e state.Endpoint) {
		m := &simEndpoint{endpoint: e, domain: i % s.Domains, speed: math.Exp(speedSpread * rng.NormFloat64())}
		if every := n / max(1, s.Stragglers); s.Stragglers > 0 && i%every == every/2 {
			m.speed = stragglerSpeed
		}
		m.endpoint.Incarnation, m.endpoint.Status = 1, state.EndpointReady
		out = append(out, m)
	}
	for i := range s.Runners {
		add(i, s.Runners, state.Endpoint{Name: fmt.Sprintf("runner-%04d", i), Kind: state.KindRunner, Capacity: state.Resources{Slots: s.Slots}})
	}
	for i := range s.Workers {
		// A rack lies within one domain.
		rack := fmt.Sprintf("rack-%d-%03d", i%s.Domains, i/s.Domains/s.Rack)
		add(i, s.Workers, state.Endpoint{Name: fmt.Sprintf("worker-%04d", i), Kind: state.KindWorker, Rack: rack,
			Capacity: state.Resources{MilliCores: workerMilliCores, MemoryMB: workerMemoryMB}})
	}
	return out
}

// capacity returns the total capacity of the cell.
func (s Shape) capacity() state.Resources {
	return state.Resources{
		Slots:      s.Runners * s.Slots,
		MilliCores: s.Workers * workerMilliCores,
		MemoryMB:   s.Workers * workerMemoryMB,
	}
}

// shares returns the quota of each team. All teams have the same, with at least 8 slots.
func (s Shape) shares() map[string]state.Resources {
	c := s.capacity()
	part := func(n int) int { return int(float64(n) * s.Quota / float64(s.Teams)) }
	out := map[string]state.Resources{}
	for i := range s.Teams {
		out[teamName(i)] = state.Resources{Slots: max(8, part(c.Slots)), MilliCores: part(c.MilliCores), MemoryMB: part(c.MemoryMB)}
	}
	return out
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }
