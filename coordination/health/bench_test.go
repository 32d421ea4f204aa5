package health

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// size is the number of endpoints in the benchmark.
const size = 1500

func worker(i int) *state.Endpoint {
	return &state.Endpoint{Name: fmt.Sprintf("worker-%04d", i), Kind: state.KindWorker, Incarnation: 1, Status: state.EndpointReady}
}

// BenchmarkHeartbeat measures one heartbeat answer among 1,500 endpoints with a
// heartbeat interval of 2 s, including the calls that the control goroutine makes for
// it. It also reports the heap per endpoint.
func BenchmarkHeartbeat(b *testing.B) {
	endpoints := make([]*state.Endpoint, size)
	for i := range endpoints {
		endpoints[i] = worker(i)
	}
	var m0, m1 runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m0)
	t := New()
	for _, e := range endpoints {
		t.UpdateEndpoint(0, e)
	}
	runtime.GC()
	runtime.ReadMemStats(&m1)
	b.ReportAllocs()
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += 2 * time.Second / size
		t.HeartbeatAnswered(now, endpoints[i%size].Name)
		t.Transitions(now)
		t.NextDeadline()
	}
	b.ReportMetric(float64(m1.HeapAlloc-m0.HeapAlloc)/size, "B/endpoint")
}
