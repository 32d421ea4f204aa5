package estimate

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
)

// filled returns an estimator with full windows for the given number of kinds and
// endpoints.
func filled(kinds, endpoints int) *Estimator {
	r := rand.New(rand.NewSource(1))
	e := New()
	for n := range windowSize + minSamples {
		for k := range kinds {
			e.Observe(0, Observation{Team: fmt.Sprintf("team-%03d", k/4), Kind: fmt.Sprintf("kind-%d", k%4), DeclaredMS: 1000, RunMS: logNormal(r, 1000)})
		}
		for i := range endpoints {
			if n >= minSamples {
				e.Observe(0, Observation{Team: "team-000", Kind: "kind-0", Endpoint: fmt.Sprintf("worker-%04d", i), RunMS: logNormal(r, 1000)})
			}
		}
	}
	return e
}

// BenchmarkMemory reports the heap per (team, kind) with 400 teams of 4 kinds each, and
// per endpoint with 1,500 endpoints, the size that is expected in two years.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var m [3]runtime.MemStats
		var keep [2]*Estimator
		for i := range m {
			runtime.GC()
			runtime.ReadMemStats(&m[i])
			if i < len(keep) {
				keep[i] = filled(1600, 1500*i)
			}
		}
		kinds := float64(m[1].HeapAlloc - m[0].HeapAlloc)
		b.ReportMetric(kinds/1600, "B/team-kind")
		b.ReportMetric((float64(m[2].HeapAlloc-m[1].HeapAlloc)-kinds)/1500, "B/endpoint")
		runtime.KeepAlive(&keep)
	}
}

func BenchmarkObserveAndPredict(b *testing.B) {
	e := filled(1600, 1500)
	r := rand.New(rand.NewSource(2))
	b.ReportAllocs()
	for b.Loop() {
		e.Observe(0, Observation{Team: "team-007", Kind: "kind-1", Endpoint: "worker-0042", DeclaredMS: 1000, RunMS: 500 + r.Int63n(1000)})
		e.Predict("team-007", "kind-1", 1000)
	}
}
