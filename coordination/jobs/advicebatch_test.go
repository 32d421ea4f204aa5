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
func TestScarceAgentsServeBusyPool(t *testing.T) {
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

// Guards against a renewal that names only the worker that has room now while agents are scarce, and
// against one that names others while agents are idle.
func TestRenewalNamesWorkersWithRoomSoonWhileAgentsAreScarce(t *testing.T) {
	for _, scarce := range []bool{true, false} {
		t.Run(fmt.Sprint("scarce ", scarce), func(t *testing.T) {
			a := &job.Advice{PerCallMS: 100, PerWorkerMS: 1.4, ValidMS: 2000}
			sim := newAdviceSimulation(t, 95, 40, a)
			sim.approvals["f"], sim.approvals["j"] = 1, 1
			sim.submitNow("/b/", "fill", sized(37, 64, 3600, 60_000, false))
			sim.run(sim.now + 4*time.Second)
			l := sim.leader
			for _, x := range l.agents.list { // the step cannot ask, so it is not placed
				x.busyUntil = sim.now + time.Hour
			}
			sim.submitNow("/b/", "j", sized(30, 64, 3600, 1000, false))
			s := l.steps[job.StepRef{Job: "j"}]
			s.advice = advice{verdicts: map[string]verdict{}}
			for _, w := range l.byID {
				s.advice.verdicts[w.ID] = verdict{startedMS: w.StartedMS, approved: true}
			}
			for _, x := range l.agents.list {
				x.busyUntil = 0
				if scarce && x != l.agents.list[0] {
					x.busyUntil = sim.now + time.Second
				}
			}
			p := l.newPass()
			room, _ := l.workersToRenew(p, s, 30)
			if len(room) != 3 {
				t.Fatalf("%d workers have room", len(room))
			}
			l.requestAdvice(p, s, 30)
			if len(s.advice.calls) != 1 {
				t.Fatalf("%d calls", len(s.advice.calls))
			}
			cost := l.agents.find(s.advice.calls[0].agent).busyUntil - sim.now
			want := callTime(a, len(room))
			if scarce {
				want = callTime(a, batchSize(a))
			}
			if (cost - want).Abs() > time.Millisecond {
				t.Errorf("the call takes %v, want %v", cost, want)
			}
		})
	}
}
