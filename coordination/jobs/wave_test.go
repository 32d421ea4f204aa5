package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// submitNearData submits a job with one task whose data is in a rack.
func (sim *simulation) submitNearData(id job.ID, rack string) {
	s := tasks(1, 2, 2500)
	s.DataRack = rack
	sim.submit("/u/", job.Submission{ID: id, Steps: []job.Step{s}})
}

// submitNearDataUntil submits such a job every 100 ms until a time.
func (sim *simulation) submitNearDataUntil(prefix, rack string, until time.Duration) {
	for i := 0; sim.now < until && !sim.t.Failed(); i++ {
		sim.submitNearData(job.ID(fmt.Sprint(prefix, i)), rack)
		sim.run(sim.now + 100*time.Millisecond)
	}
}

// Guards against tasks that run twice at a time: a request for maintenance is executed and its
// answer is lost; when the platform answers the repeated request, another worker is on the VM.
func TestRepeatedMaintenanceKeepsRunsOfNextWorker(t *testing.T) {
	sim := newReadySimulation(t, 31, 4, nil)
	sim.addVMs()
	sim.vms.lostAnswers, sim.vms.answerTime = 1, 700*time.Millisecond
	sim.startWave(1, 1, 20*time.Second, "vm-w0")
	sim.submitNearDataUntil("d", "rack-w0v", sim.now+12*time.Second)
	sim.run(sim.now + 15*time.Second)
	if !sim.isWaveCompleted(1) || sim.vms.calls != 2 {
		t.Errorf("wave completed: %v, %d requests", sim.isWaveCompleted(1), sim.vms.calls)
	}
	for id := range sim.specs {
		if p := sim.phase(id); p != job.Completed {
			t.Errorf("job %s is %q", id, p)
		}
	}
}

// Guards against the same when the repeated request is sent by the next leader, which did not send
// the first one.
func TestMaintenanceRepeatedByNextLeaderKeepsRunsOfNextWorker(t *testing.T) {
	sim := newReadySimulation(t, 32, 4, nil)
	sim.addVMs()
	sim.vms.lostAnswers, sim.vms.answerTime = 1, 700*time.Millisecond
	sim.vms.onStart = func(string) {
		sim.after(time.Millisecond, func() {
			sim.endTerm()
			sim.after(2500*time.Millisecond, sim.elect) // the next worker is on the VM by then
		})
	}
	sim.startWave(1, 1, 20*time.Second, "vm-w0")
	sim.submitNearDataUntil("d", "rack-w0v", sim.now+12*time.Second)
	sim.run(sim.now + 15*time.Second)
	if !sim.isWaveCompleted(1) || sim.vms.calls != 2 {
		t.Errorf("wave completed: %v, %d requests", sim.isWaveCompleted(1), sim.vms.calls)
	}
}

// Guards against a task whose run is not ended although its VM was certainly taken down: the task
// would wait until the lease of the worker expires.
func TestMaintenanceEndsRunsOfItsWorker(t *testing.T) {
	sim := newReadySimulation(t, 33, 4, nil)
	sim.addVMs()
	sim.submitNearData("long", "rack-w0v")
	sim.run(sim.now + 500*time.Millisecond)
	sim.startWave(1, 1, time.Second, "vm-w0") // no time is left to wait for the task
	sim.run(sim.now + time.Second)
	if run := sim.highestStart[job.TaskRef{StepRef: job.StepRef{Job: "long"}}]; run != 2 {
		t.Errorf("the task was started %d times within a second", run)
	}
}

// Guards against a wave that ends both tasks of a service at once, one of which may be missing: the
// maintenance of their VMs is requested in the same moment.
func TestWaveKeepsTheTasksThatAServiceNeeds(t *testing.T) {
	for _, maxDown := range []int{1, 2, 4} {
		t.Run(fmt.Sprint("at most ", maxDown, " down"), func(t *testing.T) {
			sim := newReadySimulation(t, 34, 6, nil)
			sim.addVMs()
			service := tasks(2, 4, 1000)
			service.Service, service.Disruptions, service.MaxPerWorker = true, 1, 1
			sim.submit("/u/", job.Submission{ID: "s", Steps: []job.Step{service}})
			sim.run(sim.now + 2*sim.bounds.MinAvailableTime)
			running := func() int {
				n := 0
				for _, x := range sim.workers {
					n += len(x.runs)
				}
				return n
			}
			if n := running(); n != 2 {
				t.Fatalf("%d tasks run", n)
			}
			var vms []string
			for _, x := range sim.sorted() {
				vms = append(vms, x.vm)
			}
			sim.startWave(1, maxDown, 60*time.Second, vms...)
			for end := sim.now + 60*time.Second; sim.now < end && !sim.isWaveCompleted(1); {
				sim.run(sim.now + 20*time.Millisecond)
				if running() == 0 {
					t.Fatalf("no task of the service runs at %v", sim.now)
				}
			}
			if !sim.isWaveCompleted(1) {
				t.Error("the wave is not completed")
			}
		})
	}
}

// Guards against a wave that takes down more VMs at a time than it may after a change of leader: the
// next leader has not sent the request for the VM that is down.
func TestNextLeaderCountsTheVMsThatAreDown(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(fmt.Sprint("elected after ", pause), func(t *testing.T) {
			sim := newReadySimulation(t, 35, 6, nil)
			sim.addVMs()
			changed := false
			sim.vms.onStart = func(string) {
				if changed {
					return
				}
				changed = true
				sim.after(200*time.Millisecond, func() {
					sim.endTerm()
					sim.after(pause, sim.elect)
				})
			}
			sim.startWave(1, 1, 40*time.Second, "vm-w0", "vm-w1", "vm-w2", "vm-w3")
			sim.run(sim.now + 40*time.Second)
			if !sim.isWaveCompleted(1) {
				t.Error("the wave is not completed")
			}
		})
	}
}

// Guards against violations of the invariants, and of the limit of VMs that are down, while waves
// overlap with all faults of the histories, and against waves that are never completed.
func TestInvariantsHoldWithWaves(t *testing.T) {
	seeds := uint64(24)
	if testing.Short() {
		seeds = 6
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", 11000+seed), func(t *testing.T) {
			t.Parallel()
			var sim *simulation
			waves := 0
			runHistory(t, 11000+seed, int(seed%2)*3, func(s *simulation) {
				sim = s
				returned := 0
				sim.vms.onReturn = func(x *fakeWorker) { // every third one under the same ID
					if returned++; returned%3 == 0 {
						x.startIncarnation(x.id)
					} else {
						x.startIncarnation(x.id + "m")
					}
				}
				var vms []string
				for _, x := range sim.sorted() {
					x.vm = "vm-" + x.id
					x.startIncarnation(x.id + "v")
					vms = append(vms, x.vm)
				}
				for at := 2 * time.Second; at < 24*time.Second; at += sim.between(2*time.Second, 6*time.Second) {
					sim.after(at, func() {
						sim.vms.lostAnswers = sim.rng.IntN(3)
						sim.vms.answerTime = sim.between(0, time.Second)
						if !sim.leaderActive {
							return
						}
						waves++
						sim.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
						n := 1 + sim.rng.IntN(3)
						sim.startWave(waves, 1+sim.rng.IntN(2), sim.between(3*time.Second, 15*time.Second), append([]string(nil), vms[:n]...)...)
					})
				}
			})
			for _, w := range sim.state.Waves() {
				if !w.Completed() {
					sim.errorf("wave %d is not completed: %+v", w.Number, w)
				}
			}
		})
	}
}

// Guards against a wave that ends a task of a service while another one is on a worker that does not answer
// any more, and counts as running until the lease of that worker has expired.
func TestWaveCountsTasksOnWorkersThatDoNotAnswer(t *testing.T) {
	for seed := uint64(38); seed < 44 && !t.Failed(); seed++ {
		sim := newReadySimulation(t, seed, 4, nil)
		sim.addVMs()
		service := tasks(3, 4, 1000)
		service.Service, service.Disruptions, service.MaxPerWorker = true, 1, 1
		sim.submit("/u/", job.Submission{ID: "s", Steps: []job.Step{service}})
		sim.run(sim.now + 2*sim.bounds.MinAvailableTime)
		running := func() (n int, last *fakeWorker) {
			for _, x := range sim.sorted() {
				if len(x.runs) > 0 {
					n, last = n+1, x
				}
			}
			return n, last
		}
		n, lost := running()
		if n != 3 {
			t.Fatalf("%d tasks run", n)
		}
		sim.vms.onStart = func(vm string) {
			if n, _ := running(); n < 2 {
				sim.errorf("%d of 3 tasks run once %s has been taken down", n, vm)
			}
		}
		lost.stopped, lost.runs = true, map[job.TaskRef]*fakeRun{}
		var vms []string
		for _, x := range sim.sorted() {
			if x != lost {
				vms = append(vms, x.vm)
			}
		}
		sim.run(sim.now + 2*time.Second)
		sim.startWave(1, 1, 20*time.Second, vms...)
		sim.run(sim.now + 30*time.Second)
	}
}
