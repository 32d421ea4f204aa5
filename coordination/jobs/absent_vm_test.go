package jobs

import (
	"testing"
	"time"
)

// checkWave runs a wave to its end, and fails the test if it is said to be completed before the maintenance of a
// VM has begun.
func (sim *simulation) checkWave(number int, vm string, limit time.Duration) {
	sim.t.Helper()
	for end := sim.now + limit; sim.now < end && !sim.t.Failed(); sim.run(sim.now + 100*time.Millisecond) {
		if sim.isWaveCompleted(number) {
			if sim.vms.waveOf[vm] != number {
				sim.errorf("wave %d is said to be completed, and the maintenance of %s has not begun", number, vm)
			}
			return
		}
	}
	sim.errorf("wave %d is not completed after %v", number, limit)
}

// Guards against a wave that is said to be completed although one of its VMs, which was off or cut off for a
// while, never has its maintenance.
func TestWaveWaitsForAVMWithoutAWorker(t *testing.T) {
	const duration = 40 * time.Second
	for name, returns := range map[string]func(sim *simulation, x *fakeWorker){
		"on during the wave": func(sim *simulation, x *fakeWorker) {
			sim.after(35*time.Second, func() { x.startIncarnation(x.id + "n") })
		},
		"on after the wave": func(sim *simulation, x *fakeWorker) {
			sim.after(2*duration, func() { x.startIncarnation(x.id + "n") })
		},
		"on after changes of leader": func(sim *simulation, x *fakeWorker) {
			for at := 5 * time.Second; at < duration; at += 9 * time.Second {
				sim.after(at, sim.changeLeader)
			}
			sim.after(35*time.Second, func() { x.startIncarnation(x.id + "n") })
		},
		"on, with lost answers": func(sim *simulation, x *fakeWorker) {
			sim.vms.lostAnswers = 4
			sim.after(30*time.Second, func() { x.startIncarnation(x.id + "n") })
		},
		"on while cut off": func(sim *simulation, x *fakeWorker) {
			sim.after(25*time.Second, func() { x.startIncarnation(x.id + "n"); x.partitioned = true })
			sim.after(50*time.Second, func() { x.partitioned = false })
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newReadySimulation(t, 71, 3, nil)
			sim.addVMs()
			x := sim.workers["w1:1"]
			x.stopped = true
			sim.run(sim.now + removeAfter + 5*time.Second)
			returns(sim, x)
			sim.startWave(1, 1, duration, "vm-w0", "vm-w1")
			sim.checkWave(1, "vm-w1", 3*duration)
			sim.run(sim.now + 60*time.Second)
			if w := sim.leader.workers[x.id]; w == nil || !sim.leader.usable(w) {
				t.Error("the worker on the VM gets no work after its maintenance")
			}
		})
	}
}

// Guards against a wave that is never completed because the platform does not know one of its VMs any more, and
// against one that asks the platform about it all the time.
func TestWaveLeavesOutAVMThatIsGone(t *testing.T) {
	sim := newReadySimulation(t, 72, 3, nil)
	sim.addVMs()
	sim.vms.refuse = map[string]OrderResult{"vm-gone": OrderInvalid}
	sim.startWave(1, 1, 40*time.Second, "vm-gone", "vm-w0")
	sim.run(sim.now + 20*time.Second)
	if !sim.isWaveCompleted(1) || sim.vms.waveOf["vm-w0"] != 1 || sim.vms.calls > 3 {
		t.Errorf("wave completed: %v, maintained %v, %d requests", sim.isWaveCompleted(1), sim.vms.waveOf, sim.vms.calls)
	}
}

// Guards against requests about a VM that is off which use up the rate that the platform allows, and hold up the
// other VMs of the wave.
func TestWaveAsksSeldomAboutAVMThatIsOff(t *testing.T) {
	sim := newReadySimulation(t, 73, 3, nil)
	sim.addVMs()
	sim.startWave(1, 1, 40*time.Second, "vm-off", "vm-w0", "vm-w1")
	sim.run(sim.now + 20*time.Second)
	if sim.vms.waveOf["vm-w0"] != 1 || sim.vms.waveOf["vm-w1"] != 1 {
		t.Errorf("maintained after 20 s: %v", sim.vms.waveOf)
	}
	sim.run(sim.now + 100*time.Second)
	if n := sim.vms.calls; n > 2+120/int((5*time.Second)/time.Second) {
		t.Errorf("%d requests in 2 minutes", n)
	}
}
