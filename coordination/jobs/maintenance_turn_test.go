package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Guards against a request for maintenance of an earlier leader that reaches the platform after one of the next
// leader, where the platform compares no fencing tokens: the next leader has to wait until the earlier one has
// given up its last request.
func TestNextLeaderWaitsForMaintenanceRequestsOfTheEarlierOne(t *testing.T) {
	for i, maintenance := range []time.Duration{100 * time.Millisecond, 6 * time.Second} {
		t.Run(fmt.Sprint("deployment ", i), func(t *testing.T) {
			bounds := defaultBounds()
			bounds.MaintenanceTime = maintenance
			sim := readySimulation(newSimulationWithBounds(t, 81, bounds), 3, nil)
			sim.addVMs()
			sim.vms.refuse = map[string]OrderResult{"vm-w1": OrderBusy}
			sim.startWave(1, 1, 60*time.Second, "vm-w1")
			sim.run(sim.now + 5*time.Second)
			for range 4 {
				calls := sim.vms.calls
				if calls == 0 {
					t.Fatal("the earlier leader has sent no request")
				}
				sim.replaceLeader()
				elected := sim.now
				if !sim.runUntil(20*time.Second, func() bool { return sim.vms.calls > calls }) {
					t.Fatal("the next leader sends no request")
				}
				if wait := sim.now - elected; wait < MaintenanceTimeout+maxOrderAge {
					t.Errorf("the next leader sends a request %v after its election", wait)
				}
			}
		})
	}
}

// heldCommit is a Host that reports the commit of a request for maintenance only when held is called.
type heldCommit struct {
	Host
	sim  *simulation
	held func()
}

// Propose implements Host.
func (h *heldCommit) Propose(c *job.Command, done func(a job.Applied, committed bool)) bool {
	if c.RequestMaintenance == nil {
		return h.Host.Propose(c, done)
	}
	h.held = func() {
		a := h.sim.apply(c)
		h.sim.leader.Applied(c, a)
		done(a, true)
	}
	return true
}

// Guards against a request for maintenance by a leader that has lost its lease: its process was paused, and then
// handles the commit that precedes the request. The next leader may have sent one meanwhile.
func TestNoMaintenanceIsRequestedWithoutALease(t *testing.T) {
	sim := newReadySimulation(t, 82, 3, nil)
	sim.addVMs()
	host := &heldCommit{Host: sim.leader.host, sim: sim}
	sim.leader.host = host
	sim.startWave(1, 1, 20*time.Second, "vm-w1")
	if !sim.runUntil(5*time.Second, func() bool { return host.held != nil }) {
		t.Fatal("no request is proposed")
	}
	sim.log.noLeaseUntil = sim.now + 3*time.Second
	host.held()
	sim.run(sim.log.noLeaseUntil - time.Millisecond)
	if sim.vms.calls != 0 {
		t.Error("maintenance was requested without a lease")
	}
	sim.run(sim.now + 10*time.Second)
	if !sim.isWaveCompleted(1) {
		t.Error("the wave is not completed")
	}
}
