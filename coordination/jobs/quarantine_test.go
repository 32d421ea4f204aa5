package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Guards against jobs that can never be done and put all workers in quarantine, so that a sound job
// waits although all workers are idle.
func TestHopelessJobsDoNotQuarantineAllWorkers(t *testing.T) {
	sim := newReadySimulation(t, 91, 6, nil)
	for i := range 3 {
		hopeless := tasks(6, 4, 500)
		hopeless.MaxPerWorker = 1
		id := job.ID(fmt.Sprint("hopeless", i))
		sim.hopeless[id] = true
		sim.submit("/u/", job.Submission{ID: id, Steps: []job.Step{hopeless}})
	}
	quarantined := func() int {
		n := 0
		for _, w := range sim.leader.byID {
			if w.failures.quarantined(sim.now) {
				n++
			}
		}
		return n
	}
	for i := 0; sim.now < 15*time.Second && !t.Failed(); i++ {
		sim.run(sim.now + 100*time.Millisecond)
		if n := quarantined(); n > 1 { // 30 percent of six workers
			sim.errorf("%d of 6 workers are in quarantine", n)
		}
		if i%20 != 0 {
			continue
		}
		id := job.ID(fmt.Sprint("sound", i))
		sim.submit("/u/", job.Submission{ID: id, Steps: []job.Step{tasks(1, 4, 500)}})
		if d := sim.startedAfter(id, 2*idleLimit); d > idleLimit {
			sim.errorf("a sound job has nothing running for %v", d)
		}
	}
}

// Guards against a worker that fails all that it starts and is not put in quarantine.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	sim := newReadySimulation(t, 92, 6, nil)
	sim.workers["w0:1"].failShare = 1
	for i := range 8 {
		sim.submit("/u/", job.Submission{ID: job.ID(fmt.Sprint("a", i)), Steps: []job.Step{tasks(6, 2, 500)}})
	}
	for sim.now < 5*time.Second {
		sim.run(sim.now + 50*time.Millisecond)
		if sim.leader.workers["w0"].failures.quarantined(sim.now) {
			return
		}
	}
	t.Error("the worker is not in quarantine")
}
