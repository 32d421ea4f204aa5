package health

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const size = 1500

func worker(i int) *state.Endpoint {
	return &state.Endpoint{Name: fmt.Sprintf("worker-%04d", i), Kind: state.KindWorker, Incarnation: 1, Status: state.EndpointReady}
}

// BenchmarkHeartbeat is the cost of one heartbeat answer among 1,500 endpoints that
// answer every 2 s, with the calls that the control goroutine makes for it.
func BenchmarkHeartbeat(b *testing.B) {
	t := New()
	names := make([]string, size)
	for i := range names {
		e := worker(i)
		names[i] = e.Name
		t.Changed(0, e)
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 2 * time.Second / size
		t.Answered(now, names[i%size])
		t.Transitions(now)
		t.NextDeadline()
	}
}

// BenchmarkMemory reports the heap per endpoint at 1,500 endpoints.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var m0, m1 runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m0)
		t := New()
		for i := range size {
			t.Changed(0, worker(i))
		}
		t.Transitions(0)
		runtime.GC()
		runtime.ReadMemStats(&m1)
		b.ReportMetric(float64(m1.HeapAlloc-m0.HeapAlloc)/size, "B/endpoint")
		runtime.KeepAlive(t)
	}
}
