//go:build !race

package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

const gap = 80 * time.Millisecond

// runBusyAdvice submits jobs of 25 short tasks to a pool that they fill, with few agents whose calls
// take long. It returns the number of jobs that are done by their objective, and the calls for advice.
func runBusyAdvice(t *testing.T, seed uint64, jobs int) (inTime, calls int) {
	sim := newAdviceSimulation(t, seed, 40, &job.Advice{PerCallMS: 100, PerWorkerMS: 1.4, ValidMS: 2000})
	sim.advisors, sim.approvals["j"], sim.stateCheckInterval = 3, 0.45, 50
	for i := range jobs {
		sim.after(time.Duration(i)*gap, func() {
			sim.submit("/b/", job.Submission{ID: job.ID(fmt.Sprint("j", i)), Steps: []job.Step{sized(25, 9, 3600, 1200, false)}})
		})
	}
	for i := range 40 {
		sim.run(time.Duration(i) * time.Second / 2)
		calls += sim.leader.waitingStats.adviceRequested
		sim.leader.waitingStats.adviceRequested = 0
	}
	r := sim.loadResult(time.Duration(jobs) * gap)
	return r.inTime["/b/"], calls
}

// Load pattern: the pool is full and dozens of steps wait for few agents. Guards against calls for the
// tickets of one or two workers at a time that use up the agents: work must be done in time as if
// the agents were not scarce, but for a tenth.
func TestLoadScarceAgentsServeBusyPool(t *testing.T) {
	const jobs = 60
	done := 0
	for seed := uint64(91); seed < 94; seed++ {
		n, calls := runBusyAdvice(t, seed, jobs)
		t.Logf("seed %d: %d of %d jobs in time, %d calls", seed, n, jobs, calls)
		done += n
	}
	if done < 3*jobs*9/10 {
		t.Errorf("%d of %d jobs in time", done, 3*jobs)
	}
}
