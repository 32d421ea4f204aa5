package jobs

import (
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// fakeVMs simulates the platform's VM service. A VM is back as another worker, at the same
// address, after Bounds.MaintenanceTime.
type fakeVMs struct {
	waveOf      map[string]int           // number of the wave of the last maintenance, by VM
	downUntil   map[string]time.Duration // end of the last maintenance, by VM
	calls       int                      // requests that were received
	lostAnswers int                      // number of requests that are executed and not answered from now on
	answerTime  time.Duration            // time until a request is answered
	onStart     func(vm string)          // called when the maintenance of a VM begins, may be nil
	onReturn    func(x *fakeWorker)      // starts the next worker of a VM after its maintenance; nil for another ID at the same address
	refuse      map[string]OrderResult   // VMs whose maintenance never begins, and the answer to each request
}

const vmTimeout = 2 * time.Second // time after which a request counts as unanswered

// maintain executes a request for maintenance, and answers it unless the answer is lost.
func (v *fakeVMs) maintain(sim *simulation, e StartMaintenance) {
	v.calls++
	if v.waveOf == nil {
		v.waveOf, v.downUntil = map[string]int{}, map[string]time.Duration{}
	}
	result, delay := OrderDone, v.answerTime
	refusal, refused := v.refuse[e.VM]
	switch {
	case refused:
		result = refusal
	case v.waveOf[e.VM] == e.Wave:
	case sim.now < v.downUntil[e.VM] || !sim.isUp(e.VM):
		result = OrderBusy
	default:
		v.takeDown(sim, e)
	}
	if v.lostAnswers > 0 {
		v.lostAnswers--
		result, delay = OrderUnanswered, vmTimeout
	}
	term := sim.term
	sim.after(delay, func() {
		if sim.term == term {
			sim.handle(MaintenanceAnswered{Start: e, Result: result})
		}
	})
}

// takeDown starts the maintenance of a VM. It fails the test if too many VMs of the wave are down.
func (v *fakeVMs) takeDown(sim *simulation, e StartMaintenance) {
	down := 0
	for vm, wave := range v.waveOf {
		if wave == e.Wave && sim.now < v.downUntil[vm] {
			down++
		}
	}
	if limit := sim.state.Wave(e.Wave).MaxDown; down >= limit {
		sim.errorf("the maintenance of %s starts while %d VMs of wave %d are down, at most %d may be", e.VM, down, e.Wave, limit)
	}
	v.waveOf[e.VM], v.downUntil[e.VM] = e.Wave, sim.now+sim.bounds.MaintenanceTime
	for _, x := range sim.sorted() {
		if x.vm == e.VM && !x.stopped {
			x.stopped, x.runs = true, map[job.TaskRef]*fakeRun{}
			sim.after(sim.bounds.MaintenanceTime, func() { v.startNext(x) })
		}
	}
	if v.onStart != nil {
		v.onStart(e.VM)
	}
}

// isUp reports whether a worker is on a VM, which the leader may not know.
func (sim *simulation) isUp(vm string) bool {
	for _, x := range sim.workers {
		if x.vm == vm && !x.stopped {
			return true
		}
	}
	return false
}

func (v *fakeVMs) startNext(x *fakeWorker) {
	if v.onReturn != nil {
		v.onReturn(x)
		return
	}
	x.startIncarnation(fmt.Sprint(x.id, "m"))
}

// addVMs gives each worker a VM and a rack of its own, and restarts it there.
func (sim *simulation) addVMs() {
	for _, x := range sim.sorted() {
		x.vm, x.labels = "vm-"+x.id, []string{"rack-" + x.id}
		x.startIncarnation(x.id + "v")
	}
	sim.run(sim.now + 2*time.Second)
}

// startWave requests maintenance of VMs, at most maxDown at a time, within a duration.
func (sim *simulation) startWave(number, maxDown int, d time.Duration, vms ...string) {
	sim.token++
	sim.handle(StartWave{Token: sim.token, Wave: job.Wave{Number: number, VMs: vms, DurationMS: d.Milliseconds(), MaxDown: maxDown}})
}

// isWaveCompleted reports whether the leader says that a wave is completed.
func (sim *simulation) isWaveCompleted(number int) bool {
	sim.token++
	sim.handle(ReadWave{Token: sim.token, Number: number})
	return sim.answers[sim.token].WaveCompleted
}
