package jobs

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// startLongTask starts a task that runs for 8 s and returns the worker that runs it.
func startLongTask(t *testing.T, sim *simulation) (*fakeWorker, job.TaskRef) {
	sim.submit("/b/", job.Submission{ID: "long", Steps: []job.Step{tasks(1, 2, 8000)}})
	sim.run(sim.now + 300*time.Millisecond)
	for _, x := range sim.workers {
		for ref := range x.runs {
			return x, ref
		}
	}
	t.Fatal("the task does not run")
	return nil, job.TaskRef{}
}

// oddHeartbeat sends a heartbeat in a worker's name after change has altered it.
func (sim *simulation) oddHeartbeat(x *fakeWorker, change func(e *WorkerHeartbeat)) Token {
	sim.token++
	e := WorkerHeartbeat{Token: sim.token, Worker: x.record(), ClockMS: x.clock(), Sequence: x.sequence + 1}
	change(&e)
	sim.handle(e)
	return e.Token
}

// Guards against an entry of another writer that takes the ID, address, start time, sequence
// number or clock of a running worker: its task must neither be started elsewhere nor given up.
func TestOddHeartbeatsLeaveRunningWorkersAlone(t *testing.T) {
	changes := map[string]func(e *WorkerHeartbeat){
		"later start":                 func(e *WorkerHeartbeat) { e.Worker.StartedMS++ },
		"latest start":                func(e *WorkerHeartbeat) { e.Worker.StartedMS = math.MaxInt64 },
		"later start, other address":  func(e *WorkerHeartbeat) { e.Worker.StartedMS++; e.Worker.Address = "nowhere:1" },
		"other ID at the address":     func(e *WorkerHeartbeat) { e.Worker.ID = "odd"; e.Worker.StartedMS = math.MaxInt64 },
		"other address":               func(e *WorkerHeartbeat) { e.Worker.Address = "nowhere:1" },
		"other pool":                  func(e *WorkerHeartbeat) { e.Worker.Pool = "other" },
		"draining at another address": func(e *WorkerHeartbeat) { e.Worker.Address = "nowhere:1"; e.Draining = true },
		"largest sequence number":     func(e *WorkerHeartbeat) { e.Sequence = math.MaxInt64 },
		"smallest sequence number":    func(e *WorkerHeartbeat) { e.Sequence = math.MinInt64 },
		"largest clock":               func(e *WorkerHeartbeat) { e.ClockMS = math.MaxInt64 },
		"smallest clock":              func(e *WorkerHeartbeat) { e.ClockMS = math.MinInt64 },
		"capacity that overflows in sum": func(e *WorkerHeartbeat) {
			e.Worker.ID, e.Worker.Address = "odd", "nowhere:1"
			e.Worker.Capacity.MilliCores = math.MaxInt64
		},
	}
	for name, change := range changes {
		sim := newReadySimulation(t, 11, 3, nil)
		x, ref := startLongTask(t, sim)
		sim.oddHeartbeat(x, change)
		sim.submit("/u/", job.Submission{ID: "other", Steps: []job.Step{tasks(12, 3, 500)}})
		sim.run(sim.now + 20*time.Second)
		for _, id := range []job.ID{"long", "other"} {
			if p := sim.phase(id); p != job.Completed {
				t.Errorf("%s: job %s is %q", name, id, p)
			}
		}
		if run := sim.highestStart[ref]; run != 1 {
			t.Errorf("%s: the task was started %d times", name, run)
		}
		if n := len(sim.state.Workers()); n != 3 {
			t.Errorf("%s: %d workers are known", name, n)
		}
		if w := sim.leader.workers[x.id]; w == nil || !sim.leader.usable(w) {
			t.Errorf("%s: the worker gets no new work afterwards", name)
		}
	}
}

// Guards against a worker whose own heartbeats count as late for good after one with the
// largest sequence number.
func TestHeartbeatsCountAfterAnOddSequenceNumber(t *testing.T) {
	sim := newReadySimulation(t, 12, 1, nil)
	x := sim.workers["w0:1"]
	sim.oddHeartbeat(x, func(e *WorkerHeartbeat) { e.Sequence = math.MaxInt64 })
	before := sim.leader.workers["w0"].lastContact
	sim.run(sim.now + 2*time.Second)
	if w := sim.leader.workers["w0"]; w.lastContact <= before {
		t.Errorf("last contact %v at %v", w.lastContact, sim.now)
	}
}

// Guards against a lease that ends later on the worker than the leader counts: the clock in a
// heartbeat that another process has received was taken for an older reading than it is.
func TestHeartbeatClockIsALowerBound(t *testing.T) {
	now := 100 * time.Second
	w := &worker{}
	w.recordAnswer(now-2*time.Second, 50_000)
	w.recordHeartbeat(now-contactAge, now, 52_000) // received just before now
	if got := w.clock(now); got > 52_000 {
		t.Errorf("the clock is taken for %d ms, the worker read 52000 ms at most now", got)
	}
	w.recordHeartbeat(now, now, 60_000)
	if got := w.clock(now); got > 52_000 {
		t.Errorf("a clock 8 s ahead of the worker's own answers counts: %d ms", got)
	}
	for ahead := int64(0); ahead < 100; ahead++ { // each is a little ahead of the one before
		w.recordHeartbeat(now, now, 52_000+ahead*900)
	}
	if got := w.clock(now); got > 54_000 {
		t.Errorf("many heartbeats have set the clock to %d ms", got)
	}
}

// Guards against work that is assigned to an address at which nobody answers.
func TestWorkerJoinsOnceItAnswers(t *testing.T) {
	sim := newReadySimulation(t, 13, 1, nil)
	x := sim.workers["w0:1"]
	token := sim.oddHeartbeat(x, func(e *WorkerHeartbeat) {
		e.Worker.ID, e.Worker.Address, e.Worker.Capacity = "odd", "nowhere:1", resource.Amount{MilliCores: 900_000, MemoryMB: 900_000}
	})
	sim.run(sim.now + 2*time.Second)
	if a := sim.answers[token]; a.Code != CodeUnavailable || sim.state.Worker("odd") != nil {
		t.Errorf("answer %+v, record %+v", a, sim.state.Worker("odd"))
	}
	if n := len(sim.leader.joinChecks); n != 0 {
		t.Errorf("%d polls are still tracked", n)
	}
}

// Guards against a running worker that gets no work for the rest of its time after a late or
// odd deregistration.
func TestDeregisteredWorkerThatAnswersIsUsedAgain(t *testing.T) {
	sim := newReadySimulation(t, 14, 1, nil)
	sim.handle(DeregisterWorker{Token: 900, ID: "w0"})
	w := sim.leader.workers["w0"]
	if sim.leader.usable(w) {
		t.Error("a worker that has deregistered is used at once")
	}
	sim.run(sim.now + departureTime + time.Second)
	if !sim.leader.usable(w) {
		t.Error("a worker that runs on is not used again")
	}
}

// Guards against work that is assigned to a worker that has deregistered, has answered the poll that
// follows and has stopped then: it would wait there until the lease expires.
func TestDeregisteredWorkerThatAnswersOnceIsNotUsed(t *testing.T) {
	sim := newReadySimulation(t, 16, 2, nil)
	x := sim.workers["w0:1"]
	sim.handle(DeregisterWorker{Token: 900, ID: "w0"})
	sim.run(sim.now + 100*time.Millisecond)
	x.stopped = true
	for end := sim.now + 3*staleAfter; sim.now < end; {
		sim.run(sim.now + 100*time.Millisecond)
		if sim.leader.usable(sim.leader.workers["w0"]) {
			t.Fatalf("the worker can get work %v after it has stopped", sim.now)
		}
	}
}

// Guards against work for a worker that has stopped after its deregistration.
func TestDeregisteredWorkerThatStopsIsNotUsed(t *testing.T) {
	sim := newReadySimulation(t, 15, 1, nil)
	sim.handle(DeregisterWorker{Token: 900, ID: "w0"})
	sim.workers["w0:1"].stopped = true
	for until := sim.now + 10*time.Second; sim.now < until; {
		sim.run(sim.now + 50*time.Millisecond)
		if w := sim.leader.workers["w0"]; w != nil && sim.leader.usable(w) {
			t.Fatalf("the worker is used at %v", sim.now)
		}
	}
}

// Guards against records beyond the limits, which earlier versions stored, that overflow sums or
// use up the memory: the next leader removes them and serves all other jobs.
func TestStoredRecordsBeyondTheLimitsAreRemoved(t *testing.T) {
	sim := newReadySimulation(t, 16, 3, nil)
	sim.endTerm()
	odd := job.Worker{Incarnation: job.Incarnation{ID: "odd", StartedMS: math.MaxInt64}, Address: "nowhere:1", Pool: "p", Capacity: resource.Amount{MilliCores: math.MaxInt64, MemoryMB: math.MaxInt64}}
	sim.apply(&job.Command{Join: &odd})
	for i, s := range []job.Step{{Count: 1_000_000_000_000, EstimateMS: 1}, {Count: 1, EstimateMS: math.MaxInt64}, {Count: 1, PerTask: resource.Amount{MilliCores: math.MaxInt64}}} {
		id := job.ID(fmt.Sprint("odd", i))
		sim.apply(&job.Command{Submit: &job.Submit{Submission: job.Submission{ID: id, Steps: []job.Step{s}}, Queue: "batch", AtMS: sim.wallMS()}})
	}
	sim.elect()
	sim.submit("/u/", job.Submission{ID: "good", Steps: []job.Step{tasks(3, 2, 500)}})
	sim.run(sim.now + 10*time.Second)
	if p := sim.phase("good"); p != job.Completed {
		t.Errorf("the other job is %q", p)
	}
	if sim.state.Worker("odd") != nil {
		t.Error("the worker is still stored")
	}
	for i := range 3 {
		if p := sim.phase(job.ID(fmt.Sprint("odd", i))); p != job.Cancelled {
			t.Errorf("job odd%d is %q", i, p)
		}
	}
}

// Guards against violations of the invariants while another program sends odd heartbeats,
// deregistrations, contacts and results of orders among the ordinary events.
func TestInvariantsHoldWithOddEvents(t *testing.T) {
	seeds := uint64(24)
	if testing.Short() {
		seeds = 6
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", 9000+seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, 9000+seed, int(seed%2)*3, func(sim *simulation) { sim.after(300*time.Millisecond, sim.sendOddEvents) })
		})
	}
}

// sendOddEvents sends one odd event and schedules the next one, for as long as faults are
// injected.
func (sim *simulation) sendOddEvents() {
	if sim.now > 26*time.Second {
		return
	}
	sim.sendOddEvent(sim.pickWorker())
	if err := sim.unknownWorkers(); err != "" {
		sim.errorf("%s", err)
	}
	sim.after(sim.between(20*time.Millisecond, 300*time.Millisecond), sim.sendOddEvents)
}

func (sim *simulation) sendOddEvent(x *fakeWorker) {
	extremes := []int64{math.MinInt64, -1, 0, 1, 1 << 53, math.MaxInt64}
	extreme := extremes[sim.rng.IntN(len(extremes))]
	address := []string{"nowhere:1", x.address, sim.pickWorker().address}[sim.rng.IntN(3)]
	switch sim.rng.IntN(8) {
	case 0:
		sim.oddHeartbeat(x, func(e *WorkerHeartbeat) { e.Worker.StartedMS, e.Worker.Address = extreme, address })
	case 1:
		sim.oddHeartbeat(x, func(e *WorkerHeartbeat) { e.Worker.ID, e.Worker.StartedMS, e.Worker.Address = "odd", extreme, address })
	case 2:
		sim.oddHeartbeat(x, func(e *WorkerHeartbeat) { e.Sequence = extreme })
	case 3:
		sim.oddHeartbeat(x, func(e *WorkerHeartbeat) { e.ClockMS = extreme })
	case 4:
		sim.oddHeartbeat(x, func(e *WorkerHeartbeat) {
			e.Worker.ID, e.Worker.Address, e.Worker.Capacity = "odd", "nowhere:1", resource.Amount{MilliCores: int(extreme), MemoryMB: int(extreme)}
		})
	case 5:
		sim.handle(DeregisterWorker{ID: x.id})
	case 6:
		sim.handle(ProcessHeartbeat{Name: "odd", Address: "agent", Workers: []WorkerContact{{Worker: x.record().Incarnation, ClockMS: extreme, Sequence: extreme}}})
	case 7:
		sim.handle(OrderReported{ID: uint64(extreme), Term: sim.term, Result: OrderDone, ClockMS: extreme})
		sim.handle(Observed{Observe: Observe{Order: Order{Worker: job.Incarnation{ID: "odd", StartedMS: extreme}, Address: address}}, Result: OrderDone, ClockMS: extreme})
	}
}

// unknownWorkers describes the first stored worker that has never run at its address, or
// returns "".
func (sim *simulation) unknownWorkers() string {
	for _, w := range sim.state.Workers() {
		if x := sim.workers[w.Address]; x == nil || !x.incarnations[w.Incarnation] {
			return fmt.Sprintf("worker %s (%d) at %s is stored, and never ran there", w.ID, w.StartedMS, w.Address)
		}
	}
	return ""
}
