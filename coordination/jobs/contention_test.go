package jobs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// mergePattern returns the load of the merge service: previews, statement runs, which are
// wide gangs, and notices, which statement runs may preempt. scale multiplies workers and
// traffic. A gang needs at most a quarter of the workers, so that those that may run it
// have room for it once they are idle.
func mergePattern(scale float64) loadPattern {
	return loadPattern{
		workers: int(350 * scale), burst: 2.2, length: 20 * time.Second,
		classes: []workClass{
			{path: "/m/", perSecond: 3.35 * scale, steps: 1.2, width: 20, gangShare: 1, checkpointing: true, milliCores: 18_000, memoryMB: 68_000, runMS: 5300, maxRoomShare: 0.25},
			{path: "/u/", perSecond: 121 * scale, steps: 1, width: 3, milliCores: 9900, memoryMB: 11_000, runMS: 540},
			{path: "/b/", perSecond: 6.94 * scale, steps: 1.5, width: 25, checkpointing: true, milliCores: 6900, memoryMB: 11_000, runMS: 2900},
		},
	}
}

// runMerge runs the merge service's load, multiplied by overload, with calls for advice
// that take as long as at the users' service.
func runMerge(t *testing.T, seed uint64, scale, overload float64) *simulation {
	sim := newSimulation(t, seed)
	p := mergePattern(scale).overload(overload)
	sim.approvalShare = 0.45
	sim.advisors = max(3, int(39*scale))
	sim.configureLoad()
	for i := range p.workers {
		x := sim.addWorker(fmt.Sprintf("w%03d", i), 64)
		x.capacity.MemoryMB = 256_000
		x.domain = fmt.Sprint("d", i%5)
	}
	sim.heartbeats()
	sim.run(300 * time.Millisecond)
	for i := range p.classes {
		sim.scheduleArrival(&p, &p.classes[i], 0)
	}
	sim.run(p.length)
	return sim
}

// preemptionRounds returns, for each gang, how often it has preempted tasks, from the log
// lines. Tasks that are preempted at the same time count once.
func (sim *simulation) preemptionRounds() map[string]int {
	out := map[string]int{}
	seen := map[string]bool{}
	for _, line := range sim.logLines {
		_, rest, ok := strings.Cut(line, ": preempted by ")
		if !ok {
			continue
		}
		gang, at := strings.Fields(rest)[0], strings.Fields(line)[0]
		if !seen[gang+at] {
			seen[gang+at] = true
			out[gang]++
		}
	}
	return out
}

// waitingJobs returns the open jobs of which no task is assigned.
func (sim *simulation) waitingJobs() []job.ID {
	var out []job.ID
	sim.state.Jobs(func(j *job.Job) bool {
		if !j.Phase.Final() && j.AssignedTasks == 0 {
			out = append(out, j.ID)
		}
		return true
	})
	return out
}

// usedShare returns the share of the workers' cores that is assigned.
func (sim *simulation) usedShare() float64 {
	used, all := 0, 0
	for _, w := range sim.state.Workers() {
		used += w.Reserved.MilliCores
		all += w.Capacity.MilliCores
	}
	return float64(used) / float64(all)
}

// starvedJob runs the simulation for a time and returns a job that waits for long without a
// break while under half of the cores are used, or "".
func (sim *simulation) starvedJob(long, during time.Duration) job.ID {
	const interval = 250 * time.Millisecond
	waited := map[job.ID]time.Duration{}
	for end := sim.now + during; sim.now < end && !sim.t.Failed(); sim.run(sim.now + interval) {
		before := waited
		waited = map[job.ID]time.Duration{}
		if sim.usedShare() >= 0.5 {
			continue
		}
		for _, id := range sim.waitingJobs() {
			waited[id] = before[id] + interval
			if waited[id] > long {
				return id
			}
		}
	}
	return ""
}

// maxPreemptionRounds is how often a gang may preempt before it starts: once, and twice
// more if workers fail or an answer is lost.
const maxPreemptionRounds = 3

// Guards against gangs that preempt tasks again and again, or keep room idle, and do not
// start: the tickets or the reserved room end before the gang is complete.
func TestGangsStartAfterOverload(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := runMerge(t, seed, 0.2, 2.2)
			sim.run(sim.now + 14*time.Second)
			if id := sim.starvedJob(3*time.Second, 6*time.Second); id != "" {
				t.Errorf("from 14 s after the last arrival job %s waits for 3 s while under half of the cores are used", id)
			}
			for gang, rounds := range sim.preemptionRounds() {
				if rounds > maxPreemptionRounds {
					t.Errorf("%s preempted tasks %d times", gang, rounds)
				}
			}
			r := sim.loadResult(20 * time.Second)
			t.Logf("in time: gangs %.2f, urgent %.2f, batch %.2f", r.share("/m/"), r.share("/u/"), r.share("/b/"))
		})
	}
}

// Guards against a gang that holds room, and preempts for it, although the calls for advice cannot
// renew all its tickets before the first of them expire.
func TestGangWiderThanItsCallsHoldsNothing(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.approvalShare, sim.advisors = 1, 3
	sim.configureLoad()
	for i := range 2*maxRequestWorkers + 20 {
		sim.addWorker(fmt.Sprintf("w%03d", i), 4)
	}
	sim.heartbeats()
	sim.run(300 * time.Millisecond)
	sim.submit("/u/", job.Submission{ID: "first", Steps: []job.Step{tasks(2*maxRequestWorkers+20, 3, 3000)}})
	sim.run(sim.now + time.Second)
	wide := tasks(2*maxRequestWorkers+10, 3, 1000)
	wide.Gang = true
	sim.submit("/m/", job.Submission{ID: "wide", Steps: []job.Step{wide}})
	for range 100 {
		sim.run(sim.now + 100*time.Millisecond)
		if len(sim.leader.holding) > 0 {
			t.Fatal("the gang holds room that it cannot use")
		}
	}
}
