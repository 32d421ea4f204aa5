package site

import (
	"context"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/protocol/settings"
	"github.com/primrosereach/primrosereach/transport/control"
	"github.com/primrosereach/primrosereach/transport/peer"
)

// countingVMs counts the requests for maintenance that are sent.
type countingVMs struct{ requests int }

// Maintain implements VMs.
func (v *countingVMs) Maintain(context.Context, jobs.StartMaintenance, string) jobs.OrderResult {
	v.requests++
	return jobs.OrderDone
}

// Guards against a request for maintenance that a process sends after it was frozen: the next leader may have
// sent one meanwhile.
func TestOldMaintenanceRequestsAreNotSent(t *testing.T) {
	vms := &countingVMs{}
	m := &member{process: &process{platform: Platform{VMs: vms}, settings: &settings.Site{}}, runCtx: context.Background()}
	if a := m.maintain(jobs.StartMaintenance{VM: "m"}, 10*time.Millisecond); a.Result != jobs.OrderDone || vms.requests != 1 {
		t.Errorf("a request of 10 ms: %v, %d sent", a.Result, vms.requests)
	}
	if a := m.maintain(jobs.StartMaintenance{VM: "m"}, time.Minute); a.Result != jobs.OrderNotSent || vms.requests != 1 {
		t.Errorf("a request of a minute: %v, %d sent", a.Result, vms.requests)
	}
}

// countingWorkers counts the starts that are sent.
type countingWorkers struct {
	Workers
	starts int
}

func (w *countingWorkers) Start(_ context.Context, o jobs.StartRun) jobs.StartAnswered {
	w.starts++
	return jobs.StartAnswered{Start: o}
}

// Guards against a start that a process sends after it was frozen: the worker may have been
// replaced, and the task may be done.
func TestOldOrdersAreNotSent(t *testing.T) {
	now := time.Minute
	workers := &countingWorkers{}
	m := &member{
		process: &process{
			platform: Platform{Workers: workers}, metrics: newMetrics(func() bool { return true }),
			peers: &peer.Client{Self: peer.Self{Now: func() time.Duration { return now }}},
		},
		loop: control.NewLoop(), runCtx: context.Background(),
	}
	m.executeOrder(jobs.StartRun{}, now-10*time.Millisecond)
	if workers.starts != 1 {
		t.Errorf("%d starts were sent for an order of 10 ms", workers.starts)
	}
	m.executeOrder(jobs.StartRun{}, now-3*time.Second)
	if workers.starts != 1 {
		t.Error("a start of 3 s was sent")
	}
}

// Guards against an order that waits for its deadline although its relay cannot send it.
func TestOrderForUnknownRelayIsReportedAsNotSent(t *testing.T) {
	m := &member{
		process: &process{peers: &peer.Client{Self: peer.Self{Now: func() time.Duration { return 0 }}}},
		loop:    control.NewLoop(), runCtx: context.Background(),
	}
	m.startOrder(jobs.StartRun{Order: jobs.Order{ID: 1, Relay: "10.0.0.2:7000"}})
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if n, _ := m.loop.QueueLength(); n == 1 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("no report after 5 s")
		}
	}
}
