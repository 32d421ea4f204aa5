package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

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
