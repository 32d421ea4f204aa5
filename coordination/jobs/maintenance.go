package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// This file requests the maintenance of VMs from the platform, and handles the answers. Which VM of a wave is
// next is decided in wave.go.

const (
	// MaintenanceTimeout is the time after which a request for maintenance without an answer is given up, and
	// its connection is reset, so that it does not reach the platform any more.
	MaintenanceTimeout = 2 * time.Second
	// earlierMaintenanceTime is the time from the election of a leader until an earlier leader has given up its
	// last request for maintenance, which it sent before its lease ended. Platforms that do not compare fencing
	// tokens would carry out that request after one of the new leader.
	earlierMaintenanceTime = maxOrderAge + MaintenanceTimeout + 150*time.Millisecond
	// maintenanceRetry is the delay before a maintenance request that failed is sent again.
	maintenanceRetry = 500 * time.Millisecond
)

// requestMaintenance asks the platform to take down a VM. Which worker is on the VM, none if on is
// zero, is committed before the first request: the answer to a repeated request does not say when the
// VM was taken down, and another worker may run there by then.
func (l *Leader) requestMaintenance(wave *job.Wave, vm string, on job.Incarnation) {
	l.waves.inFlight[vm] = wave.Number
	if r := wave.Request(vm); r != nil {
		l.waves.downSince[vm] = l.now
		l.host.Emit(StartMaintenance{VM: vm, Wave: wave.Number, Term: l.term, Worker: l.workerToEnd(r, on)})
		return
	}
	ok := l.propose(&job.Command{RequestMaintenance: &job.MaintenanceRequest{Wave: wave.Number, VM: vm, Worker: on}}, func(_ job.Applied, committed bool) {
		delete(l.waves.inFlight, vm)
		if committed {
			l.nextPeriodicCheck = l.now // takes down the VM if that is still allowed and the leader still holds its lease
		}
	})
	if !ok {
		delete(l.waves.inFlight, vm)
	}
}

// isDown reports whether a VM is being taken down or has not recovered yet. A VM without a
// worker counts as down until both Bounds.MaintenanceTime and vmAbsenceLimit have passed.
func (l *Leader) isDown(vm string) bool {
	if _, inFlight := l.waves.inFlight[vm]; inFlight {
		return true
	}
	at, ok := l.waves.downSince[vm]
	return ok && (l.now-at < l.bounds.MaintenanceTime || l.workerOf(vm) == nil && l.now-at < vmAbsenceLimit)
}

// recordMaintenance replicates that the maintenance of a VM has started, or that the wave passes it over. It
// returns false if the log takes no entry now; the next check tries again. The platform is not asked again
// meanwhile, since the answer to a repeated request does not say when the VM was taken down.
func (l *Leader) recordMaintenance(wave int, vm string) bool {
	if !l.propose(&job.Command{MaintenanceStarted: &job.MaintenanceStarted{Wave: wave, VM: vm}}, nil) {
		l.waves.unrecorded[vm] = wave
		return false
	}
	delete(l.waves.unrecorded, vm)
	return true
}

// isBeingTakenDown reports whether maintenance of the VM of a worker is being requested or has
// started. w may be nil.
func (l *Leader) isBeingTakenDown(w *worker) bool {
	return w != nil && w.rec.VM != "" && l.isDown(w.rec.VM)
}

// workerOf returns the worker on a VM, or nil. Of several incarnations it returns the last one:
// the others have ended, but their leases have not expired yet.
func (l *Leader) workerOf(vm string) *worker {
	var last *worker
	for _, w := range l.byID {
		if w.rec.VM == vm && (last == nil || w.StartedMS > last.StartedMS) {
			last = w
		}
	}
	return last
}

func (l *Leader) maintenanceAnswered(e MaintenanceAnswered) {
	if e.Start.Term != l.term {
		return // this process sent the request in an earlier term and does not track it
	}
	vm := e.Start.VM
	delete(l.waves.inFlight, vm)
	if e.Result == OrderUnanswered {
		l.waves.unanswered[vm] = l.now
	}
	at, unanswered := l.waves.unanswered[vm]
	l.waves.refused[vm] = e.Result != OrderDone && (!unanswered || l.now-at >= vmAbsenceLimit)
	if e.Result == OrderInvalid && l.workerOf(vm) == nil {
		delete(l.waves.downSince, vm)
		l.leaveOutVM(e.Start.Wave, vm)
		return
	}
	if e.Result != OrderDone {
		if e.Result != OrderUnanswered {
			delete(l.waves.downSince, vm)
		}
		l.waves.nextAttempt[vm] = l.now + maintenanceRetry
		l.log("info", "maintenance", "", vm, "the VM was not taken down", "result", e.Result.String())
		return
	}
	l.waves.downSince[vm] = l.now
	l.log("info", "maintenance", "", vm, "the VM is down for maintenance", "wave", e.Start.Wave)
	l.recordMaintenance(e.Start.Wave, vm)
	l.vmWasDown(vm, e.Start.Worker)
}

// vmWasDown handles the proof that a VM was taken down at some time after maintenance was first
// requested. The worker that was on it then has ended. A later worker may have started before or
// after that time, so it is polled at once.
func (l *Leader) vmWasDown(vm string, ended job.Incarnation) {
	if w := l.workers[ended.ID]; w != nil && w.Incarnation == ended {
		l.markReplaced(w, "its VM was taken down for maintenance")
		return
	}
	if w := l.workerOf(vm); w != nil {
		w.observeAtOnce, w.observeAt = true, l.now
		l.markForReconcile(w)
	}
}
