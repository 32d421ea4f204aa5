package jobs

import "github.com/primrosereach/primrosereach/state/job"

// A VM of a wave may have no worker: it is off, its worker is cut off or has not joined yet, or it was removed
// for good. Only the platform knows which, so it is asked. While a VM is off it answers that the VM is busy, and
// the wave stays open, also beyond its duration.

// askAboutAbsentVM asks the platform to take down a VM that has had no worker for vmAbsenceLimit. It reports
// whether a request is in flight.
func (l *Leader) askAboutAbsentVM(wave *job.Wave, vm string) bool {
	since, known := l.waves.absentSince[vm]
	if !known {
		l.waves.absentSince[vm] = l.now
		return false
	}
	if l.now-since < vmAbsenceLimit || l.now < l.waves.nextAttempt[vm] {
		return false
	}
	if wave.Request(vm) != nil {
		l.waves.absentSince[vm] = l.now // otherwise the request is sent as soon as it is committed
	}
	l.requestMaintenance(wave, vm, job.Incarnation{})
	return true
}

// presentVMs returns the VMs that can have their turn now: those that have a worker, or may only have lost
// it for a moment.
func (l *Leader) presentVMs(wave *job.Wave, vms []string) []string {
	var out []string
	for _, vm := range vms {
		if l.workerOf(vm) != nil || wave.Request(vm) == nil {
			out = append(out, vm)
		}
	}
	return out
}

// workerToEnd returns the worker that a VM's maintenance ends, zero if it is not known. A request that was
// committed while the VM had no worker names none. If no such request can have taken down the VM, the present
// one ends the worker that is on the VM now.
func (l *Leader) workerToEnd(r *job.MaintenanceRequest, on job.Incarnation) job.Incarnation {
	if _, unanswered := l.waves.unanswered[r.VM]; r.Worker == (job.Incarnation{}) && !unanswered {
		return on
	}
	return r.Worker
}

// leaveOutVM replicates that a wave leaves out a VM that the platform does not know.
func (l *Leader) leaveOutVM(wave int, vm string) {
	l.log("warn", "maintenance", "", vm, "the wave leaves out a VM that the platform does not know", "wave", wave)
	l.recordMaintenance(wave, vm)
}
