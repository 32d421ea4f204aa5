package jobs

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// The tests in this file replay what operators of similar systems have reported.

// Guards against a worker that sends no heartbeats and no answers for a while, shorter than its
// lease, and whose running work is then started elsewhere or given up.
func TestSilentWorkerKeepsItsRuns(t *testing.T) {
	sim := newReadySimulation(t, 21, 3, nil)
	x, ref := startLongTask(t, sim)
	x.partitioned = true
	sim.run(sim.now + 4*time.Second) // the lease is 6 s
	x.partitioned = false
	sim.run(sim.now + 15*time.Second)
	if p := sim.phase("long"); p != job.Completed {
		t.Errorf("the job is %q", p)
	}
	if run := sim.highestStart[ref]; run != 1 {
		t.Errorf("the task was started %d times", run)
	}
}

// Guards against the same while every answer and heartbeat of the worker is slow or lost now and
// then, and the leader changes meanwhile.
func TestSlowlyReportingWorkerKeepsItsRuns(t *testing.T) {
	sim := newReadySimulation(t, 22, 3, nil)
	x, ref := startLongTask(t, sim)
	for i := range 3 {
		x.partitioned = true
		sim.run(sim.now + time.Second)
		x.partitioned = false
		if i == 1 {
			sim.endTerm()
			sim.run(sim.now + 800*time.Millisecond)
			sim.elect()
		}
		sim.run(sim.now + 500*time.Millisecond)
	}
	sim.run(sim.now + 15*time.Second)
	if p := sim.phase("long"); p != job.Completed {
		t.Errorf("the job is %q", p)
	}
	if run := sim.highestStart[ref]; run != 1 {
		t.Errorf("the task was started %d times", run)
	}
}

// Guards against two leaders that both send orders around a hand-over: a start that the former
// leader sends after its successor has taken over must not run beside one of the successor.
func TestOrdersOfTheFormerLeaderAreRejected(t *testing.T) {
	sim := newReadySimulation(t, 23, 2, nil)
	x, ref := startLongTask(t, sim)
	former := sim.term
	sim.endTerm()
	sim.run(sim.now + 500*time.Millisecond)
	sim.elect()
	sim.run(sim.now + 500*time.Millisecond)
	late := StartRun{Order: Order{Worker: x.record().Incarnation, Address: x.address, Term: former}, TaskRef: ref, Run: 2, UntilMS: x.clock() + 5000}
	for _, w := range sim.sorted() {
		late.Worker, late.Address = w.record().Incarnation, w.address
		if r := w.start(&late); r == OrderDone {
			t.Errorf("%s starts a run for the former leader", w.id)
		}
	}
	sim.run(sim.now + 15*time.Second)
	if run := sim.highestStart[ref]; run != 1 {
		t.Errorf("the task was started %d times", run)
	}
}

// Guards against a worker that has left and is used again after a late copy of one of its
// heartbeats, also by the next leader.
func TestWorkerThatHasLeftDoesNotReturn(t *testing.T) {
	sim := newReadySimulation(t, 24, 2, nil)
	x := sim.workers["w0:1"]
	late := WorkerHeartbeat{Worker: x.record(), ClockMS: x.clock(), Sequence: x.sequence + 1}
	sim.handle(DeregisterWorker{Token: 900, ID: x.id})
	x.stopped = true
	sim.run(sim.now + removeAfter + 2*time.Second)
	if sim.state.Worker(x.id) != nil {
		t.Fatal("the worker is still known")
	}
	sim.handle(late)
	sim.run(sim.now + time.Second)
	sim.endTerm()
	sim.run(sim.now + 500*time.Millisecond)
	sim.elect()
	late.Token = 901
	sim.handle(late)
	sim.run(sim.now + time.Second)
	if w := sim.state.Worker(x.id); w != nil {
		t.Errorf("the worker has joined again: %+v", w)
	}
}
