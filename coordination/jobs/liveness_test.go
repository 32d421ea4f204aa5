package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// settleTime is the time after the last fault within which every wait that the fault has caused ends:
// the leases of workers that were lost have expired, and their last run was stopped. The next
// incarnation of a worker joins before that, and work for which there is room starts within workBound.
func (sim *simulation) settleTime() time.Duration {
	return time.Duration(float64(sim.bounds.MaxLease)*(1+clockDrift)) + sim.bounds.StopTime + joinBound
}

// Guards against waits that do not end after random faults: a worker that runs is not let in or gets no
// work, or a step waits beside room for it. In addition to the faults of the other histories, workers restart after
// their clock was set back, and refuse starts or stops for a while.
func TestNothingWaitsLongAfterTheLastFault(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 8
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", 11_000+seed), func(t *testing.T) {
			t.Parallel()
			runUntilSettled(t, 11_000+seed)
		})
	}
}

func runUntilSettled(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed)
	sim.injectLogOutages(20 * time.Second)
	var advice *job.Advice
	if seed%2 == 0 {
		advice = &job.Advice{PerCallMS: 10, PerWorkerMS: 0.2, ValidMS: 1500}
	}
	sim.configure(3, advice)
	for i := range 8 {
		sim.addWorker(fmt.Sprint("w", i), 16).domain = fmt.Sprint("d", i%2)
	}
	if seed%3 == 0 {
		for i := range 3 {
			sim.addRelay(fmt.Sprint("d", i+1))
		}
	}
	sim.heartbeats()
	jobs := 0
	submit := func() {
		sim.submitRandomJob(jobs)
		jobs++
	}
	for at := 200 * time.Millisecond; at < 20*time.Second && !t.Failed(); at += sim.between(50*time.Millisecond, 400*time.Millisecond) {
		sim.run(at)
		submit()
		switch {
		case sim.rng.IntN(10) == 0:
			sim.injectFault()
		case sim.rng.IntN(20) == 0:
			sim.injectRefusals()
		}
	}
	sim.run(sim.now + 12*time.Second) // the last restart that injectFault schedules is over
	sim.healFaults()
	if !sim.leaderActive {
		sim.elect()
	}
	settled := sim.now + sim.settleTime()
	for end := settled + 15*time.Second; sim.now < end && !t.Failed(); {
		sim.run(sim.now + sim.between(50*time.Millisecond, 400*time.Millisecond))
		submit()
		if sim.now >= settled {
			sim.checkWorkersAreUsed()
		}
		if sim.now >= settled+workBound {
			sim.checkNoStepWaitsBesideRoom()
		}
	}
}

// injectRefusals lets a worker restart with an earlier start time, or refuse starts or stops for a while.
func (sim *simulation) injectRefusals() {
	x := sim.pickWorker()
	length := sim.between(500*time.Millisecond, 6*time.Second)
	results := []OrderResult{OrderUnavailable, OrderInvalid, OrderUnanswered}
	result := results[sim.rng.IntN(len(results))]
	switch sim.rng.IntN(3) {
	case 0:
		if !x.stopped {
			x.restartAt([]string{x.id, x.id + "y"}[sim.rng.IntN(2)], -sim.between(time.Second, 20*time.Second))
		}
	case 1:
		x.startResult = result
		sim.after(length, func() { x.startResult = OrderDone })
	case 2:
		x.stopResult = result
		sim.after(length, func() { x.stopResult = OrderDone })
	}
}

// checkWorkersAreUsed fails the test if a worker that runs is not known, or gets no work other than for
// a quarantine.
func (sim *simulation) checkWorkersAreUsed() {
	for _, x := range sim.sorted() {
		if x.stopped || x.isDraining {
			continue
		}
		w := sim.leader.workers[x.id]
		switch {
		case w == nil || w.StartedMS != x.startedMS:
			sim.errorf("worker %s of %d is not let in: %+v", x.id, x.startedMS, w)
		case w.misses == 0 && !sim.leader.usableAfterQuarantine(w):
			sim.errorf("worker %s gets no work: %+v", x.id, w)
		}
	}
}

// checkNoStepWaitsBesideRoom fails the test if no task of a step has run for workBound although less
// than half of the cores are used and the workers that may run the step have twice the room that it needs.
func (sim *simulation) checkNoStepWaitsBesideRoom() {
	sim.checkNoStepWaitsBesideRoomOf(func(*fakeWorker) bool { return true }, workBound)
}

// checkNoStepWaitsBesideRoomOf makes the check for another time than workBound. Only the room of the workers
// that counts returns true for is counted as free.
func (sim *simulation) checkNoStepWaitsBesideRoomOf(counts func(*fakeWorker) bool, bound time.Duration) {
	free := map[string]resource.Amount{}
	used, all := 0, 0
	for _, x := range sim.sorted() {
		free[x.id] = x.capacity
		for _, r := range x.runs {
			free[x.id] = free[x.id].Sub(r.need)
			used += r.need.MilliCores
		}
		all += x.capacity.MilliCores
	}
	if used*2 >= all {
		return
	}
	for _, s := range sim.leader.sortedSteps() {
		since, idle := s.idleSince()
		if !idle || sim.now-since <= bound {
			continue
		}
		room := 0
		for _, x := range sim.sorted() {
			if counts(x) && (s.queue.Advice == nil || sim.mayRun(s.ref, x.id)) {
				room += fits(free[x.id], s.spec.Reserved(), s.spec.Count)
			}
		}
		need := 1
		if s.spec.Gang {
			need = s.spec.Count
		}
		if room >= 2*need {
			sim.errorf("step %s waits for %v beside room for %d tasks, it needs %d; last try: %s, runs %v", s.ref, sim.now-since, room, need, s.lastTry, s.runs)
		}
	}
}

// Guards against a task that runs on two workers at once: a start is sent again to a worker that does not
// answer, and carries a lease that the leader does not count. The worker is cut off after that, and its runs are
// taken as ended when the earlier lease expires.
func TestLeaseOfARepeatedStartCounts(t *testing.T) {
	sim := newReadySimulation(t, 331, 2, nil)
	sim.workers["w1:1"].partitioned = true
	sim.run(sim.now + 8*time.Second) // w0 is the only usable worker
	x := sim.workers["w0:1"]
	ref := job.TaskRef{StepRef: job.StepRef{Job: "r"}}
	sim.submit("/b/", job.Submission{ID: "r", Steps: []job.Step{tasks(1, 2, 60_000)}})
	tracked := func() *run { return sim.leader.workers["w0"].runs[ref] }
	for s := sim.leader.steps; s[ref.StepRef] == nil || len(s[ref.StepRef].pendingAssignments) == 0; {
		sim.run(sim.now + time.Millisecond)
	}
	x.partitioned = true
	if !sim.runUntil(time.Second, func() bool { return tracked() != nil && tracked().tries == 2 && !tracked().orderInFlight }) {
		t.Fatal("the start is not tried twice")
	}
	tracked().nextAttempt = sim.now + 2*relayTimeout // as if relays had lost the first two
	sim.run(tracked().nextAttempt - 10*time.Millisecond)
	if !sim.leader.workers["w0"].unresponsive {
		t.Fatal("the worker answers")
	}
	x.partitioned = false
	if !sim.runUntil(time.Second, func() bool { return x.runs[ref] != nil }) {
		t.Fatal("the start does not arrive")
	}
	x.partitioned = true
	sim.workers["w1:1"].partitioned = false
	sim.run(sim.now + 15*time.Second)
	if n := sim.highestStart[ref]; n < 2 {
		t.Errorf("the task has been started %d times", n)
	}
	// The simulation fails the test if the task runs on two workers.
}
