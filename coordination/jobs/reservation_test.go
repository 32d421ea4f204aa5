package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// idleLimit is how long a job may have nothing running although there is room for it twice over
// and less than half of the pool is used.
const idleLimit = 3 * time.Second

// newReservationSimulation returns a simulation with six workers of 64 cores and 256 GB.
func newReservationSimulation(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed)
	sim.configure(4, nil)
	for i := range 6 {
		x := sim.addWorker(fmt.Sprint("w", i), 64)
		x.capacity.MemoryMB = 256_000
	}
	sim.heartbeats()
	sim.run(200 * time.Millisecond)
	return sim
}

// sized returns a step with a number of tasks of the given size.
func sized(count, cores, memoryMB int, estimateMS int64, gang bool) job.Step {
	s := tasks(count, cores, estimateMS)
	s.PerTask = resource.Amount{MilliCores: cores * 1000, MemoryMB: memoryMB}
	s.Gang = gang
	return s
}

// submitNow submits a job of one step and gives it a moment to be stored.
func (sim *simulation) submitNow(path string, id job.ID, s job.Step) {
	sim.submit(path, job.Submission{ID: id, Steps: []job.Step{s}})
	sim.run(sim.now + 500*time.Millisecond)
}

// hasStarted reports whether a task of a job has been started.
func (sim *simulation) hasStarted(id job.ID) bool {
	return sim.highestStart[job.TaskRef{StepRef: job.StepRef{Job: id}}] > 0
}

// startedAfter runs the simulation until a job has started, or for a time. It returns how long that
// took.
func (sim *simulation) startedAfter(id job.ID, limit time.Duration) time.Duration {
	began := sim.now
	for sim.now < began+limit && !sim.hasStarted(id) && !sim.t.Failed() {
		sim.run(sim.now + 20*time.Millisecond)
	}
	return sim.now - began
}

// Guards against room that is kept idle for a gang that has to wait for a long task, while a small
// gang, which would end long before, has nothing running.
func TestSmallGangStartsBesideAGangThatHasToWait(t *testing.T) {
	sim := newReservationSimulation(t, 71)
	sim.submitNow("/u/", "long", sized(1, 18, 140_000, 56_000, true))
	sim.submitNow("/u/", "wide", sized(6, 30, 140_000, 20_000, true))
	sim.submitNow("/u/", "small", sized(2, 18, 120_000, 20_000, true))
	if d := sim.startedAfter("small", 10*time.Second); d > idleLimit {
		t.Errorf("the small gang has nothing running for %v", d)
	}
}

// Guards against the same beside a task that lasts: it is not known when the wide gang fits.
func TestSmallGangStartsBesideAGangThatWaitsForAService(t *testing.T) {
	sim := newReservationSimulation(t, 72)
	service := sized(1, 18, 140_000, 1000, false)
	service.Service = true
	sim.submitNow("/u/", "service", service)
	sim.submitNow("/u/", "wide", sized(6, 30, 140_000, 20_000, true))
	sim.submitNow("/u/", "small", sized(2, 18, 120_000, 60_000, true))
	if d := sim.startedAfter("small", 10*time.Second); d > idleLimit {
		t.Errorf("the small gang has nothing running for %v", d)
	}
}

// flow submits single tasks of 20 cores to a queue until a time, such that they use a share of all
// cores.
func (sim *simulation) flow(path string, runMS int64, share float64, until time.Duration) {
	perSecond := share * float64(len(sim.workers)) * 64 / 20 / (float64(runMS) / 1000)
	var next func()
	n := 0
	next = func() {
		if sim.now >= until {
			return
		}
		sim.submit(path, job.Submission{ID: job.ID(fmt.Sprint("f", n)), Steps: []job.Step{sized(1, 20, 80_000, runMS, false)}})
		n++
		sim.after(time.Duration(sim.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

// Guards against a gang that never starts because a flow of small tasks, which leaves half of the
// cores free, fills every worker again that has become free, also after the gang is late. The gang
// has to start before its deadline, three times its objective.
func TestGangStartsBesideAFlowOfSmallTasks(t *testing.T) {
	for _, path := range []string{"/u/", "/b/"} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprint(path, seed), func(t *testing.T) {
				sim := newReservationSimulation(t, 7300+seed)
				sim.flow(path, 4000, 0.5, 60*time.Second)
				sim.run(sim.now + 8*time.Second)
				sim.submitNow(path, "gang", sized(6, 40, 150_000, 3400, true))
				s := sim.leader.steps[job.StepRef{Job: "gang"}]
				limit := time.Duration(s.deadlineMS-s.remainingMS-sim.wallMS()) * time.Millisecond
				d := sim.startedAfter("gang", 40*time.Second)
				t.Logf("started after %v", d)
				if d > limit {
					t.Errorf("the gang is started after %v, its deadline allows %v", d, limit)
				}
			})
		}
	}
}

// Guards against small tasks that wait for too long while room is kept for a gang in a pool that is
// used by less than half.
func TestKeptRoomIsIdleForABoundedTime(t *testing.T) {
	for seed := range uint64(4) {
		sim := newReservationSimulation(t, 7400+seed)
		sim.flow("/b/", 8000, 0.4, 40*time.Second)
		sim.run(sim.now + 10*time.Second)
		sim.submitNow("/u/", "gang", sized(6, 50, 150_000, 3400, true))
		waiting := map[job.ID]time.Duration{}
		for sim.now < 40*time.Second && !t.Failed() {
			sim.run(sim.now + 50*time.Millisecond)
			used := poolShares{}.of(sim.leader, "p")
			for id := range sim.specs {
				j := sim.state.Job(id)
				if j == nil || id == "gang" || sim.hasStarted(id) || j.Phase.Final() || used.highest >= 0.5 {
					delete(waiting, id)
					continue
				}
				if waiting[id] += 50 * time.Millisecond; waiting[id] > idleLimit {
					sim.errorf("job %s has nothing running for %v while %.2f of the pool is used", id, waiting[id], used.highest)
				}
			}
		}
	}
}
