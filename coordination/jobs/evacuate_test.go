package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// startService starts a service with one task and returns the worker that runs it.
func (sim *simulation) startService() *fakeWorker {
	service := tasks(1, 4, 1000)
	service.Service = true
	sim.submit("/u/", job.Submission{ID: "s", Steps: []job.Step{service}})
	sim.run(sim.now + 3*time.Second)
	for _, x := range sim.sorted() {
		if len(x.runs) > 0 {
			return x
		}
	}
	sim.errorf("the service does not run")
	return nil
}

// Guards against a task of a service that waits for the lease of a worker which has drained and left:
// it has to run elsewhere before the worker leaves.
func TestServiceMovesFromADrainingWorker(t *testing.T) {
	sim := newReadySimulation(t, 95, 4, nil)
	x := sim.startService()
	x.isDraining = true
	const drainTime = 2 * time.Second // shortest time from the acknowledgement until a worker leaves
	for end := sim.now + 5*time.Second; sim.now < end && x.drainingSince == 0; {
		sim.run(sim.now + 20*time.Millisecond)
	}
	sim.run(x.drainingSince + drainTime)
	if x.drainingSince == 0 || len(x.runs) > 0 {
		t.Errorf("the draining worker runs %d tasks", len(x.runs))
	}
	running := 0
	for _, y := range sim.workers {
		running += len(y.runs)
	}
	if running != 1 {
		t.Errorf("%d tasks of the service run when the worker leaves", running)
	}
}

// Guards against a service whose task is stopped on a draining worker although no other worker has
// room: it would be missing for longer than necessary.
func TestServiceStaysOnADrainingWorkerWithoutRoomElsewhere(t *testing.T) {
	sim := newReadySimulation(t, 96, 2, nil)
	x := sim.startService()
	for _, y := range sim.sorted() {
		if y != x {
			y.partitioned = true
		}
	}
	sim.run(sim.now + 8*time.Second)
	x.isDraining = true
	sim.run(sim.now + 5*time.Second)
	if len(x.runs) != 1 {
		t.Error("the task was stopped")
	}
}

// Guards against violations of the invariants while services run beside all faults of the histories:
// workers drain, restart, are partitioned and replaced, and leaders change.
func TestInvariantsHoldWithServices(t *testing.T) {
	seeds := uint64(24)
	if testing.Short() {
		seeds = 6
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", 12000+seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, 12000+seed, int(seed%2)*3, func(sim *simulation) {
				sim.approvalShare = 1
				for i := range 3 {
					service := tasks(3, 2, 1000)
					service.Service, service.Disruptions, service.MaxPerWorker = true, 1, 1
					id := job.ID(fmt.Sprint("s", i))
					sim.after(time.Second, func() { sim.submit("/u/", job.Submission{ID: id, Steps: []job.Step{service}}) })
					for at := 27 * time.Second; at < 60*time.Second; at += 3 * time.Second { // the leader may be absent
						sim.after(at, func() { sim.cancelJob(id) })
					}
				}
			})
		})
	}
}
