package jobs

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// submitOn submits a job with one task that runs on a worker of newBusyPool only.
func (sim *simulation) submitOn(id job.ID, worker string, cores int, estimateMS int64) {
	s := tasks(1, cores, estimateMS)
	s.PerTask.MemoryMB = cores * 4000 // a pool counts as used by the lesser of its shares of cores and memory
	s.RequiredLabel = "rack-" + worker
	sim.submit("/b/", job.Submission{ID: id, Steps: []job.Step{s}})
}

// newBusyPool returns a simulation in which a service runs on w0, which is full like w1 and w2, and w3 has 15
// of 16 cores idle.
func newBusyPool(t *testing.T, seed uint64) (sim *simulation, service job.TaskRef) {
	const long = 200_000 // ms
	sim = newReadySimulation(t, seed, 4, nil)
	sim.addVMs()
	sim.submitOn("a", "w0", 14, long)
	sim.submitOn("b", "w1", 16, long)
	sim.submitOn("c", "w2", 16, long)
	sim.submitOn("d", "w3", 1, long)
	sim.submitOn("short", "w3", 15, 1000)
	sim.run(sim.now + 300*time.Millisecond)
	s := tasks(1, 2, 1000)
	s.Service = true
	sim.submit("/u/", job.Submission{ID: "s", Steps: []job.Step{s}})
	sim.run(sim.now + 4*time.Second)
	service = job.TaskRef{StepRef: job.StepRef{Job: "s"}}
	if sim.workers["w0:1"].runs[service] == nil {
		t.Fatal("the service does not run on w0")
	}
	return sim, service
}

// failService ends the task of the service on w0 as failed. Another job takes its room.
func (sim *simulation) failService(service job.TaskRef) {
	sim.submitOn("e", "w0", 2, 200_000)
	sim.run(sim.now + 100*time.Millisecond)
	sim.workers["w0:1"].end(service, job.EndFailed)
}

// Guards against a service without a run beside idle room, however full its pool is: the room is on a VM that
// a wave takes down next, or on a worker in quarantine.
func TestServiceGetsWithheldWorkersInABusyPool(t *testing.T) {
	for name, withhold := range map[string]func(sim *simulation){
		"wave":       func(sim *simulation) { sim.startWave(1, 1, 60*time.Second, "vm-w3") },
		"quarantine": func(sim *simulation) { sim.leader.workers["w3v"].failures.until = sim.now + maxQuarantine },
	} {
		t.Run(name, func(t *testing.T) {
			sim, service := newBusyPool(t, 95)
			withhold(sim)
			sim.run(sim.now + 2*time.Second)
			sim.failService(service)
			failedAt := sim.now
			runs := func() bool { return sim.workers["w3:1"].runs[service] != nil }
			if !sim.runUntil(20*time.Second, runs) || sim.now-failedAt > idleLimit {
				t.Errorf("the service has no run for %v", sim.now-failedAt)
			}
		})
	}
}
