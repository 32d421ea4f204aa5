package jobs

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Guards against a task that runs on two workers at once: its start reaches a worker that has
// restarted under the same ID, and the task is placed on another worker before a stop has
// ended the run on the restarted worker.
// The soak test found this with seeds 100 and 123.
func TestStartThatReachesNextIncarnationIsStoppedFirst(t *testing.T) {
	sim := newReadySimulation(t, 7, 2, nil)
	x := sim.workers["w0:1"]
	sim.workers["w1:1"].partitioned = true // w0 is the only usable worker
	sim.run(8 * time.Second)
	sim.submit("/b/", job.Submission{ID: "r", Steps: []job.Step{tasks(1, 2, 3000)}})
	for x.sim.leader.steps[job.StepRef{Job: "r"}] == nil || len(x.sim.leader.steps[job.StepRef{Job: "r"}].runs) == 0 {
		sim.run(sim.now + time.Millisecond)
	}
	x.startIncarnation(x.id) // the start is in flight
	sim.workers["w1:1"].partitioned = false
	sim.run(sim.now + 20*time.Second)
	if p := sim.phase("r"); p != job.Completed {
		t.Errorf("the job is %q", p)
	}
	// The simulation fails the test if a task runs on two workers.
}
