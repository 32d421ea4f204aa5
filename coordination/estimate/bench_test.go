package estimate

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
)

// filled returns an estimator with full windows at the two-year size.
func filled(kinds, endpoints int) *Estimator {
	r := rand.New(rand.NewSource(1))
	e := New()
	for n := range windowSize + minSamples {
		for k := range kinds {
			e.Observe(0, Observation{Team: fmt.Sprintf("team-%03d", k/4), Kind: fmt.Sprintf("kind-%d", k%4), DeclaredMS: 1000, RunMS: logNormal(r, 1000)})
		}
		for i := range endpoints {
			if n >= minSamples && kinds > 0 {
				e.Observe(0, Observation{Team: "team-000", Kind: "kind-0", Endpoint: fmt.Sprintf("worker-%04d", i), RunMS: logNormal(r, 1000)})
			}
		}
	}
	return e
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports the heap per (team, kind) at 400 teams with 4 kinds, and
// per endpoint at 1,500 endpoints.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		h0 := heapBytes()
		kinds := filled(1600, 0)
		h1 := heapBytes()
		both := filled(1600, 1500)
		h2 := heapBytes()
		b.ReportMetric((h1-h0)/1600, "B/team-kind")
		b.ReportMetric((h2-h1-(h1-h0))/1500, "B/endpoint")
		runtime.KeepAlive(kinds)
		runtime.KeepAlive(both)
	}
}

func BenchmarkObserve(b *testing.B) {
	e := filled(1600, 1500)
	r := rand.New(rand.NewSource(2))
	b.ReportAllocs()
	for b.Loop() {
		e.Observe(0, Observation{Team: "team-007", Kind: "kind-1", Endpoint: "worker-0042", DeclaredMS: 1000, RunMS: 500 + r.Int63n(1000)})
	}
}

func BenchmarkPredict(b *testing.B) {
	e := filled(1600, 0)
	b.ReportAllocs()
	for b.Loop() {
		e.Predict("team-007", "kind-1", 1000)
	}
}
