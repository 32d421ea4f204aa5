package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// maintainVMOfService takes down the VM on which the only task of a service runs, after prepare was called with
// the worker, and returns the time until the task runs again. onReturn starts the next worker of the VM.
func maintainVMOfService(t *testing.T, seed uint64, bounds Bounds, prepare, onReturn func(sim *simulation, x *fakeWorker)) time.Duration {
	sim := readySimulation(newSimulationWithBounds(t, seed, bounds), 4, nil)
	sim.addVMs()
	service := tasks(1, 4, 1000)
	service.Service, service.Disruptions = true, 1
	sim.submit("/u/", job.Submission{ID: "s", Steps: []job.Step{service}})
	sim.run(sim.now + 20*time.Second)
	var x *fakeWorker
	for _, y := range sim.sorted() {
		if len(y.runs) == 1 {
			x = y
		}
	}
	if x == nil {
		t.Fatal("the service does not run")
	}
	prepare(sim, x)
	sim.vms.onReturn = func(x *fakeWorker) { onReturn(sim, x) }
	sim.startWave(1, 1, 6*time.Second, x.vm)
	if !sim.runUntil(20*time.Second, func() bool { return x.stopped }) {
		t.Fatal("the VM is not taken down")
	}
	gap, _ := sim.startsElsewhere(40 * time.Second)
	sim.run(sim.now + 30*time.Second) // the simulation fails the test if a task runs twice
	return gap
}

// Guards against a task of a service that waits for a lease although the answer to a request for maintenance
// proves that its worker has ended, and the next worker of the VM that nothing runs there any more: a start of an
// earlier leader, or one that was not answered, may be in flight.
func TestServiceRunsAgainInTimeAfterMaintenance(t *testing.T) {
	prepared := map[string]func(sim *simulation, x *fakeWorker){
		"nothing": func(*simulation, *fakeWorker) {},
		"change of leader": func(sim *simulation, _ *fakeWorker) {
			sim.replaceLeader()
			sim.run(sim.now + time.Second)
		},
		"start without an answer": func(sim *simulation, x *fakeWorker) {
			for _, r := range sim.leader.workers[x.id].runs {
				r.unanswered = true
			}
		},
		"maintenance without an answer": func(sim *simulation, _ *fakeWorker) {
			sim.replaceLeader()
			sim.vms.lostAnswers = 2
		},
	}
	returns := map[string]func(sim *simulation, x *fakeWorker){
		"other ID": func(_ *simulation, x *fakeWorker) { x.startIncarnation(x.id + "m") },
		"other ID and address": func(sim *simulation, x *fakeWorker) {
			sim.moveTo(x, x.address+"1")
			x.startIncarnation(x.id + "m")
		},
		"same ID": func(_ *simulation, x *fakeWorker) { x.startIncarnation(x.id) },
		"same ID, other address": func(sim *simulation, x *fakeWorker) {
			sim.moveTo(x, x.address+"1")
			x.startIncarnation(x.id)
		},
	}
	for i, bounds := range serviceGapBounds() {
		for before, prepare := range prepared {
			for next, onReturn := range returns {
				t.Run(fmt.Sprintf("deployment %d/%s/%s", i, before, next), func(t *testing.T) {
					if gap := maintainVMOfService(t, uint64(120+i), bounds, prepare, onReturn); gap > maxServiceGap {
						t.Errorf("nothing of the service ran for %v, allowed are %v", gap, maxServiceGap)
					}
				})
			}
		}
	}
}
