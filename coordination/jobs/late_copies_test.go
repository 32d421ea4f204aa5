package jobs

import (
	"testing"
	"time"
)

// Guards against a wave that is carried out a second time: a copy of its request arrives after it is completed.
func TestLateCopyOfAWaveChangesNothing(t *testing.T) {
	sim := newReadySimulation(t, 61, 3, nil)
	sim.addVMs()
	sim.startWave(1, 1, 30*time.Second, "vm-w0", "vm-w1")
	sim.run(sim.now + 12*time.Second)
	calls := sim.vms.calls
	for range 2 {
		sim.startWave(1, 1, 30*time.Second, "vm-w0", "vm-w1")
		sim.run(sim.now + 5*time.Second)
		sim.replaceLeader()
	}
	if !sim.isWaveCompleted(1) || sim.vms.calls != calls {
		t.Errorf("wave completed: %v, %d requests after %d", sim.isWaveCompleted(1), sim.vms.calls, calls)
	}
}

// Guards against a worker that counts as in contact because another process's report of an earlier heartbeat is late.
func TestLateContactsChangeNothing(t *testing.T) {
	sim := newSimulation(t, 62)
	sim.configure(2, nil)
	x := sim.addWorker("w", 8)
	sim.handle(WorkerHeartbeat{Worker: x.record(), ClockMS: x.clock(), Sequence: 1})
	sim.run(100 * time.Millisecond)
	late := ProcessHeartbeat{Name: "member", Address: "member", Workers: []WorkerContact{{Worker: x.record().Incarnation, ClockMS: x.clock(), Sequence: 2}}}
	sim.handle(WorkerHeartbeat{Worker: x.record(), ClockMS: x.clock(), Sequence: 3})
	x.partitioned = true
	sim.run(sim.now + 2*staleAfter)
	contact := sim.leader.workers["w"].lastContact
	sim.handle(late)
	if got := sim.leader.workers["w"].lastContact; got != contact {
		t.Errorf("last contact %v after the late report, %v before", got, contact)
	}
}
