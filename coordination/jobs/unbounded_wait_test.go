package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// The tests of this file play answers that decisions wait for and that do not come, or that are
// negative each time. A wait must end within a bound that follows from the platform's pages.

// workBound is the time within which work starts for which there is room.
const workBound = 3 * time.Second

// joinBound is the time after its start within which a worker has joined that nothing else keeps
// away: it reports every 1.5 s at most, its first report may find the record of an earlier
// incarnation, and the next one is accepted.
const joinBound = 2 * 1500 * time.Millisecond

// restartAt starts a new incarnation of a worker under an ID, whose clock for the time of day differs
// by step from that of the other processes.
func (x *fakeWorker) restartAt(id string, step time.Duration) {
	x.startIncarnation(id)
	delete(x.incarnations, job.Incarnation{ID: x.id, StartedMS: x.startedMS})
	x.startedMS += step.Milliseconds()
	x.incarnations[job.Incarnation{ID: x.id, StartedMS: x.startedMS}] = true
}

// isUsed reports whether the leader knows the present incarnation of a worker and may give it work.
func (sim *simulation) isUsed(x *fakeWorker) bool {
	w := sim.leader.workers[x.id]
	return w != nil && w.StartedMS == x.startedMS && sim.leader.usable(w)
}

// runUntil runs the simulation until a condition holds, at most for a time. It reports whether the
// condition holds.
func (sim *simulation) runUntil(limit time.Duration, holds func() bool) bool {
	for end := sim.now + limit; sim.now < end && !sim.t.Failed(); sim.run(sim.now + 10*time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// Guards against a worker that is not let in until the record of its previous incarnation has been
// idle for 30 s: the clock of its VM was set back before it restarted, so that it reports an earlier start.
func TestWorkerWithAnEarlierStartTimeJoins(t *testing.T) {
	cases := map[string]string{"same ID": "w0", "another ID at the same address": "w0b"}
	for name, id := range cases {
		for _, step := range []time.Duration{-5 * time.Second, -time.Minute} {
			t.Run(fmt.Sprint(name, step), func(t *testing.T) {
				sim := newReadySimulation(t, 301, 2, nil)
				sim.run(3 * time.Second)
				x := sim.workers["w0:1"]
				x.restartAt(id, step)
				began := sim.now
				if !sim.runUntil(60*time.Second, func() bool { return sim.isUsed(x) }) {
					t.Fatalf("the worker is not used within %v of its start", sim.now-began)
				}
				if took := sim.now - began; took > joinBound {
					t.Errorf("the worker is used %v after its start, %v are allowed", took, joinBound)
				}
			})
		}
	}
}

// Guards against the same if the worker starts at another address: the previous incarnation answers no
// poll, and no other one answers in its place.
func TestWorkerWithAnEarlierStartTimeJoinsAtAnotherAddress(t *testing.T) {
	sim := newReadySimulation(t, 300, 2, nil)
	sim.run(3 * time.Second)
	x := sim.workers["w0:1"]
	sim.moveTo(x, "w0:2")
	x.restartAt("w0", -5*time.Second)
	began := sim.now
	if !sim.runUntil(60*time.Second, func() bool { return sim.isUsed(x) }) {
		t.Fatalf("the worker is not used within %v of its start", sim.now-began)
	}
	const bound = joinBound + 1500*time.Millisecond // a report more, since the previous one has to miss two polls
	if took := sim.now - began; took > bound {
		t.Errorf("the worker is used %v after its start, %v are allowed", took, bound)
	} else {
		t.Log("used after", took)
	}
}

// Guards against the same while the previous incarnation runs a task.
func TestBusyWorkerWithAnEarlierStartTimeJoins(t *testing.T) {
	for _, id := range []string{"w0", "w0b"} {
		t.Run(id, func(t *testing.T) {
			sim := newReadySimulation(t, 302, 1, nil)
			x, ref := sim.startOne("r", 3000)
			sim.run(sim.now + time.Second)
			x.restartAt(id, -5*time.Second)
			began := sim.now
			if !sim.runUntil(60*time.Second, func() bool { return sim.isUsed(x) && x.runs[ref] != nil }) {
				t.Fatalf("the task does not run again within %v", sim.now-began)
			}
			if took := sim.now - began; took > joinBound+testStop+time.Second {
				t.Errorf("the task runs again %v after the start of the worker", took)
			}
		})
	}
}

// Guards against a worker whose heartbeat is acknowledged although its record was rejected: it
// would report nothing new for as long as the other record exists.
func TestRejectedJoinIsNotAcknowledged(t *testing.T) {
	sim := newReadySimulation(t, 303, 1, nil)
	sim.run(3 * time.Second)
	x := sim.workers["w0:1"]
	x.restartAt("w0b", -5*time.Second)
	x.sequence++
	sim.handle(WorkerHeartbeat{Token: 900, Worker: x.record(), ClockMS: x.clock(), Sequence: x.sequence})
	sim.run(sim.now + 200*time.Millisecond)
	if a, ok := sim.answers[900]; ok && a.Code == CodeOK && sim.state.Worker("w0b") == nil {
		t.Errorf("the heartbeat is answered with %q, and the worker is not known", a.Code)
	}
}

// Guards against a worker that is never let in again by the same leader: a second heartbeat arrives
// while the join is being committed, the poll that it causes is answered after the commit, and the
// claim stays open. The worker is cut off until its record is removed, and returns.
func TestPollThatIsAnsweredAfterTheJoinIsClosed(t *testing.T) {
	for seed := uint64(310); seed < 330 && !t.Failed(); seed++ {
		sim := newSimulation(t, seed)
		sim.configure(2, nil)
		x := sim.addWorker("w", 8)
		report := func() Token {
			x.sequence++
			sim.token++
			sim.handle(WorkerHeartbeat{Token: sim.token, Worker: x.record(), ClockMS: x.clock(), Sequence: x.sequence})
			return sim.token
		}
		report()
		key := claim{x.record().Incarnation, x.address}
		if !sim.runUntil(time.Second, func() bool { return sim.leader.joinChecks[key] == nil }) {
			t.Fatalf("seed %d: the poll is not answered", seed)
		}
		sim.run(sim.now + time.Duration(seed%15)*time.Millisecond)
		second := report() // the join is being committed, or just was
		sim.run(sim.now + time.Second)
		if !sim.isUsed(x) {
			t.Fatalf("seed %d: the worker has not joined", seed)
		}
		x.partitioned = true
		sim.run(sim.now + removeAfter + time.Second)
		if sim.state.Worker("w") != nil {
			sim.errorf("the record of the absent worker is not removed: %+v", sim.leader.workers["w"])
		}
		x.partitioned = false
		report()
		sim.run(sim.now + time.Second)
		if !sim.isUsed(x) {
			t.Errorf("seed %d: the worker is not let in again", seed)
		}
		if a := sim.answers[second]; a.Code != CodeOK {
			t.Errorf("seed %d: the second heartbeat is answered with %q", seed, a.Code)
		}
	}
}

// Guards against a worker whose drain is acknowledged although it is not recorded, and gets work: it
// reports that it drains while its join is being committed.
func TestDrainReportedDuringTheJoinIsRecorded(t *testing.T) {
	for seed := uint64(330); seed < 350 && !t.Failed(); seed++ {
		sim := newSimulation(t, seed)
		sim.configure(2, nil)
		x := sim.addWorker("w", 8)
		report := func() Token {
			x.sequence++
			sim.token++
			sim.handle(WorkerHeartbeat{Token: sim.token, Worker: x.record(), Draining: x.isDraining, ClockMS: x.clock(), Sequence: x.sequence})
			return sim.token
		}
		report()
		sim.run(sim.now + time.Duration(4+seed%20)*time.Millisecond)
		x.isDraining = true
		token := report()
		sim.run(sim.now + time.Second)
		a, answered := sim.answers[token]
		if !answered || a.Code == CodeOK && !sim.state.Worker("w").Draining {
			t.Errorf("seed %d: the report is answered with %q, the record is %+v", seed, a.Code, sim.state.Worker("w"))
		}
	}
}

// Guards against a worker that is never used because the poll before its join is answered with the
// clock reading 0: the leader waits for a later reading, and polls no worker without runs.
func TestWorkerWhoseFirstClockReadingIsZeroIsUsed(t *testing.T) {
	sim := newReadySimulation(t, 304, 1, nil)
	x := sim.addWorker("new", 8)
	rec := x.record()
	sim.leader.SetClock(sim.now, sim.wallMS())
	c := &joinCheck{worker: rec, replies: []func(bool){func(bool) {}}}
	sim.leader.join(c, &Observed{Observe: Observe{Order: Order{Worker: rec.Incarnation, Address: rec.Address}}, Result: OrderDone})
	if !sim.runUntil(joinBound, func() bool { return sim.isUsed(x) }) {
		t.Errorf("the worker is not used %v after its join", joinBound)
	}
}

// Guards against a step that asks the advice service about a worker again and again and ignores
// each answer: the worker has restarted with an earlier start time than the incarnation that the step
// has asked about before.
func TestAdviceCountsForAnIncarnationWithAnEarlierStartTime(t *testing.T) {
	sim := newSimulation(t, 305)
	sim.approvalShare = 1
	readySimulation(sim, 1, &job.Advice{PerCallMS: 10, PerWorkerMS: 0.2, ValidMS: 1500})
	x, ref := sim.startOne("r", 3000)
	sim.run(sim.now + time.Second)
	x.restartAt("w0", -5*time.Second)
	if !sim.runUntil(40*time.Second, func() bool { return sim.isUsed(x) }) {
		t.Fatal("the worker is not let in")
	}
	began := sim.now
	if !sim.runUntil(20*time.Second, func() bool { return x.runs[ref] != nil }) {
		t.Fatalf("the task does not start within %v beside an idle worker", sim.now-began)
	}
	if took := sim.now - began; took > workBound {
		t.Errorf("the task starts after %v", took)
	}
}

// Guards against a gang that is never placed beside room: one of the workers that may run it rejects
// every start, has the most room, and is held and renewed first each time.
func TestGangAvoidsAWorkerThatRejectsStarts(t *testing.T) {
	for _, result := range []OrderResult{OrderUnavailable, OrderNoRoom, OrderInvalid} {
		for _, a := range []*job.Advice{nil, {PerCallMS: 300, PerWorkerMS: 5, ValidMS: 1000}} {
			t.Run(fmt.Sprint(result, " advice ", a != nil), func(t *testing.T) {
				sim := newSimulation(t, 306)
				sim.approvalShare = 1
				readySimulation(sim, 12, a)
				bad := sim.workers["w0:1"]
				bad.startResult = result
				bad.capacity = resource.Amount{MilliCores: 32_000, MemoryMB: 64000}
				bad.startIncarnation("w0")
				sim.run(sim.now + 2*time.Second)
				gang := tasks(8, 12, 2000)
				gang.Gang = true
				sim.submit("/u/", job.Submission{ID: "g", Steps: []job.Step{gang}})
				began := sim.now
				started := func() bool {
					n := 0
					for _, x := range sim.workers {
						n += len(x.runs)
					}
					return n == 8
				}
				if !sim.runUntil(30*time.Second, started) {
					t.Fatalf("the gang has not started within %v", sim.now-began)
				}
				if took := sim.now - began; took > 2*workBound {
					t.Errorf("the gang has started after %v", took)
				}
			})
		}
	}
}

// Guards against a run that goes on for good, and a gang that waits for it, because its worker does
// not confirm stops although it answers polls: each poll extends the lease.
func TestRunEndsIfItsStopIsNeverConfirmed(t *testing.T) {
	for _, result := range []OrderResult{OrderUnanswered, OrderUnavailable, OrderInvalid, OrderLost} {
		t.Run(result.String(), func(t *testing.T) {
			sim := newReadySimulation(t, 307, 4, nil)
			gang := tasks(4, 12, 60_000)
			gang.Gang = true
			sim.submit("/u/", job.Submission{ID: "g", Steps: []job.Step{gang}})
			sim.run(sim.now + time.Second)
			if n := len(sim.leader.steps[job.StepRef{Job: "g"}].runs); n != 4 {
				t.Fatalf("%d members run", n)
			}
			sim.workers["w0:1"].stopResult = result
			began := sim.now
			sim.leader.SetClock(sim.now, sim.wallMS())
			for _, w := range sim.leader.byID {
				for _, r := range w.sortedRuns() {
					sim.leader.stopRun(w, r, "test")
				}
			}
			bound := time.Duration(float64(testMaxLease)*(1+clockDrift)) + testStop + workBound
			if !sim.runUntil(60*time.Second, func() bool { return sim.highestStart[job.TaskRef{StepRef: job.StepRef{Job: "g"}}] > 1 }) {
				t.Fatalf("the gang does not run again within %v", sim.now-began)
			}
			if took := sim.now - began; took > bound {
				t.Errorf("the gang runs again after %v, %v are allowed", took, bound)
			}
		})
	}
}

// Guards against work that waits for the end of a quarantine although the only workers that may run
// it are idle.
func TestWorkThatOnlyQuarantinedWorkersCanRunStarts(t *testing.T) {
	sim := newReadySimulation(t, 308, 10, nil)
	sim.quarantineGPUWorkers()
	sim.checkGPUTaskStarts()
}

// Guards against the same beside another idle worker that may run the work but starts nothing.
func TestQuarantinedWorkersAreUsedIfTheOthersStartNothing(t *testing.T) {
	for _, result := range failedStartResults {
		t.Run(result.String(), func(t *testing.T) {
			sim := newReadySimulation(t, 308, 10, nil)
			sim.quarantineGPUWorkers()
			x := sim.addWorker("idle", 16)
			x.labels, x.startResult = []string{"gpu"}, result
			x.sequence++
			sim.handle(WorkerHeartbeat{Worker: x.record(), ClockMS: x.clock(), Sequence: x.sequence})
			for _, id := range []string{"w0", "w1"} {
				sim.leader.workers[id].failures.until = sim.now + maxQuarantine
			}
			if !sim.runUntil(joinBound, func() bool { return sim.isUsed(x) }) {
				t.Fatal("the worker is not used")
			}
			sim.checkGPUTaskStarts()
		})
	}
}

// quarantineGPUWorkers labels two workers and runs jobs there that fail until both are in quarantine.
func (sim *simulation) quarantineGPUWorkers() {
	t := sim.t
	for _, id := range []string{"w0", "w1"} {
		x := sim.workers[id+":1"]
		x.labels = []string{"gpu"}
		x.startIncarnation(id)
	}
	sim.run(sim.now + 2*time.Second)
	for i := range 4 {
		hopeless := tasks(4, 1, 200)
		hopeless.RequiredLabel = "gpu"
		id := job.ID(fmt.Sprint("hopeless", i))
		sim.hopeless[id] = true
		sim.submit("/u/", job.Submission{ID: id, Steps: []job.Step{hopeless}})
	}
	quarantined := func() bool {
		return sim.leader.workers["w0"].failures.quarantined(sim.now) && sim.leader.workers["w1"].failures.quarantined(sim.now)
	}
	if !sim.runUntil(10*time.Second, quarantined) {
		t.Fatal("the workers are not in quarantine")
	}
	sim.run(sim.now + 20*time.Millisecond)
}

// checkGPUTaskStarts fails the test if a task for labelled workers does not start within workBound.
func (sim *simulation) checkGPUTaskStarts() {
	t := sim.t
	good := tasks(1, 1, 500)
	good.RequiredLabel = "gpu"
	sim.submit("/u/", job.Submission{ID: "good", Steps: []job.Step{good}})
	began := sim.now
	ref := job.TaskRef{StepRef: job.StepRef{Job: "good"}}
	if !sim.runUntil(40*time.Second, func() bool { return sim.highestStart[ref] > 0 }) {
		t.Fatal("the task does not start")
	}
	if took := sim.now - began; took > workBound {
		t.Errorf("the task starts after %v beside idle workers", took)
	} else {
		t.Log("started after", took)
	}
}

// Guards against a task that runs on for good after its job was cancelled: its worker does not confirm
// the stop although it answers polls, and each poll extends the lease.
func TestCancelledTaskEndsIfItsStopIsNeverConfirmed(t *testing.T) {
	for _, result := range []OrderResult{OrderUnanswered, OrderUnavailable, OrderInvalid, OrderNoRoom} {
		t.Run(result.String(), func(t *testing.T) {
			sim := newReadySimulation(t, 309, 2, nil)
			service := tasks(1, 12, 1000)
			service.Service = true
			sim.submit("/u/", job.Submission{ID: "s", Steps: []job.Step{service}})
			sim.run(sim.now + time.Second)
			var x *fakeWorker
			for _, y := range sim.sorted() {
				if len(y.runs) > 0 {
					x = y
				}
			}
			if x == nil {
				t.Fatal("the service does not run")
			}
			x.stopResult = result
			began := sim.now
			sim.cancelJob("s")
			if !sim.runUntil(25*time.Second, func() bool { return len(x.runs) == 0 }) {
				t.Fatalf("the task still runs %v after the job was cancelled", sim.now-began)
			}
			bound := workBound + time.Duration(float64(testMaxLease)*(1+clockDrift)) + testStop
			if took := sim.now - began; took > bound {
				t.Errorf("the task ends after %v, %v are allowed", took, bound)
			} else {
				t.Log("ends after", took)
			}
			if !sim.runUntil(workBound, func() bool { return len(sim.leader.workers[x.id].runs) == 0 }) {
				t.Error("the room of the task is not free")
			}
			x.stopResult = OrderDone
			if !sim.runUntil(workBound, func() bool { return sim.isUsed(x) }) {
				t.Error("the worker gets no new work afterwards")
			}
		})
	}
}

// Guards against a service task that has no run although its worker is known to run: the worker has
// confirmed the start and lists neither the run nor its end. Stalled tasks are stopped, but a service
// makes no progress that could stop.
func TestServiceTaskThatItsWorkerDoesNotListIsStartedAgain(t *testing.T) {
	sim := newReadySimulation(t, 320, 2, nil)
	service := tasks(1, 12, 1000)
	service.Service = true
	sim.submit("/u/", job.Submission{ID: "s", Steps: []job.Step{service}})
	sim.run(sim.now + 5*time.Second)
	ref := job.TaskRef{StepRef: job.StepRef{Job: "s"}}
	for _, x := range sim.workers {
		delete(x.runs, ref) // without an end
	}
	began := sim.now
	if !sim.runUntil(30*time.Second, func() bool { return sim.highestStart[ref] > 1 }) {
		t.Fatalf("the task has no run for %v", sim.now-began)
	}
	if took := sim.now - began; took > maxServiceGap {
		t.Errorf("the task runs again after %v", took)
	} else {
		t.Log("runs again after", took)
	}
}

// Guards against a wave that stops at a VM whose maintenance the platform refuses each time: the other VMs
// wait for good, and the VM gets no new work.
func TestWaveGoesOnBesideAVMThatThePlatformRefuses(t *testing.T) {
	for _, result := range []OrderResult{OrderBusy, OrderInvalid} {
		t.Run(result.String(), func(t *testing.T) {
			sim := newReadySimulation(t, 321, 4, nil)
			sim.addVMs()
			sim.vms.refuse = map[string]OrderResult{"vm-w0": result}
			sim.startWave(1, 1, 20*time.Second, "vm-w0", "vm-w1", "vm-w2")
			sim.run(sim.now + 20*time.Second)
			for _, vm := range []string{"vm-w1", "vm-w2"} {
				if sim.vms.waveOf[vm] != 1 {
					t.Errorf("the maintenance of %s has not begun at the end of the wave's time", vm)
				}
			}
		})
	}
}

// Guards against a task that waits beside an idle worker for as long as a wave lasts: the VM is next in
// the wave, and another task there runs on until the last moment at which the wave allows that.
func TestTaskIsPlacedOnAWorkerThatAWaveReserves(t *testing.T) {
	sim := newReadySimulation(t, 322, 2, nil)
	sim.addVMs()
	long := tasks(2, 4, 60_000)
	long.MaxPerWorker = 1
	sim.submit("/b/", job.Submission{ID: "long", Steps: []job.Step{long}})
	sim.run(sim.now + time.Second)
	sim.startWave(1, 2, 25*time.Second, "vm-w0", "vm-w1")
	sim.run(sim.now + 500*time.Millisecond)
	sim.submit("/u/", job.Submission{ID: "short", Steps: []job.Step{tasks(1, 4, 500)}})
	began := sim.now
	ref := job.TaskRef{StepRef: job.StepRef{Job: "short"}}
	if !sim.runUntil(40*time.Second, func() bool { return sim.highestStart[ref] > 0 }) {
		t.Fatal("the task does not start")
	}
	if took := sim.now - began; took > workBound {
		t.Errorf("the task starts after %v, half of each worker was free", took)
	} else {
		t.Log("starts after", took)
	}
}

// Guards against a step whose calls for advice fail each time and leave no process for the calls of the
// others: each failure pauses the process that made the call for 2 s.
func TestFailingCallsForOneStepLeaveProcessesForOthers(t *testing.T) {
	for _, agents := range []int{3, 10} {
		t.Run(fmt.Sprint(agents, " agents"), func(t *testing.T) {
			sim := newSimulation(t, 323)
			sim.advisors, sim.approvalShare = agents, 1
			readySimulation(sim, 4, &job.Advice{PerCallMS: 10, PerWorkerMS: 0.2, ValidMS: 1500})
			sim.adviceFails = map[job.ID]bool{"odd": true}
			sim.submit("/u/", job.Submission{ID: "odd", Steps: []job.Step{tasks(1, 2, 500)}})
			sim.run(sim.now + 3*time.Second)
			for i := range 10 {
				id := job.ID(fmt.Sprint("good", i))
				sim.submit("/u/", job.Submission{ID: id, Steps: []job.Step{tasks(1, 2, 500)}})
				began := sim.now
				ref := job.TaskRef{StepRef: job.StepRef{Job: id}}
				if !sim.runUntil(20*time.Second, func() bool { return sim.highestStart[ref] > 0 }) {
					t.Fatal("the task does not start")
				}
				if took := sim.now - began; took > workBound {
					t.Errorf("task %d starts after %v beside idle workers", i, took)
					return
				} else {
					t.Log("starts after", took)
				}
				sim.run(sim.now + 500*time.Millisecond)
			}
		})
	}
}
