package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

const (
	// waveMargin is the part of a wave's duration that is reserved for retries.
	waveMargin = 2 * time.Second
	// vmAbsenceLimit is how long a VM of a wave may have no worker before the platform is asked to take
	// it down all the same, and the pause before it is asked again.
	vmAbsenceLimit = 12 * time.Second
)

// waves is the state of the maintenance in progress. The maps have names of VMs as keys.
// Each leader builds this state anew from the requests in the replicated state.
type waves struct {
	inFlight    map[string]int           // number of the wave, for VMs with a maintenance request in flight
	downSince   map[string]time.Duration // time at which the VM was taken down, or at which that was requested
	cordoned    map[string]bool          // VMs that get no new work because they are next
	requested   map[string]bool          // VMs whose maintenance has been requested for an open wave and is not known to have started
	released    map[string]time.Duration // time until which a VM gets new work although it is next
	nextAttempt map[string]time.Duration // earliest time of the next maintenance request
	refused     map[string]bool          // VMs whose last maintenance request was refused, and that no earlier one can have taken down
	unanswered  map[string]time.Duration // time of the last maintenance request without an answer, which may have been executed
	absentSince map[string]time.Duration // time since which the VM has had no worker
	unrecorded  map[string]int           // number of the wave, for VMs that were taken down while the log took no entry that says so
}

func newWaves() waves {
	return waves{
		inFlight: map[string]int{}, downSince: map[string]time.Duration{}, nextAttempt: map[string]time.Duration{},
		released: map[string]time.Duration{}, refused: map[string]bool{}, unanswered: map[string]time.Duration{},
		absentSince: map[string]time.Duration{}, unrecorded: map[string]int{},
	}
}

// isCordoned reports whether a VM gets no new work.
func (w *waves) isCordoned(vm string) bool { return vm != "" && w.cordoned[vm] }

// isNext reports whether a VM is cordoned because its turn in a wave is next: it may still get work.
func (w *waves) isNext(vm string) bool { return w.isCordoned(vm) && !w.requested[vm] }

// release lets a VM that is next in a wave get new work until a time. Other VMs are not changed.
func (w *waves) release(vm string, until time.Duration) {
	if w.isNext(vm) {
		w.released[vm] = until
		delete(w.cordoned, vm)
	}
}

func (l *Leader) startWave(e StartWave) {
	if l.state.Wave(e.Wave.Number) != nil {
		l.host.Reply(e.Token, Answer{Code: CodeOK}) // the wave was sent again
		return
	}
	w := e.Wave
	w.AcceptedMS = l.wallMS
	l.proposeForCall(e.Token, &job.Command{Wave: &w}, "wave", func() { l.host.Reply(e.Token, Answer{Code: CodeOK}) })
}

func (l *Leader) readWave(e ReadWave) {
	w := l.state.Wave(e.Number)
	if w == nil {
		l.host.Reply(e.Token, Answer{Code: CodeNoJob, Message: "no such wave"})
		return
	}
	l.host.Reply(e.Token, Answer{Code: CodeOK, WaveCompleted: w.Completed()})
}

// advanceWaves starts maintenance of the next VMs of each wave, such that at most MaxDown VMs
// of a wave are down or about to be taken down at a time.
func (l *Leader) advanceWaves() {
	all := l.state.Waves()
	if len(all) == 0 {
		return
	}
	if l.waves.inFlight == nil {
		l.waves = newWaves()
		l.takeOverWaves(all)
	}
	for _, vm := range slices.Sorted(maps.Keys(l.waves.unrecorded)) {
		l.recordMaintenance(l.waves.unrecorded[vm], vm)
	}
	l.waves.cordoned, l.waves.requested = map[string]bool{}, map[string]bool{}
	for _, w := range all {
		for i := range w.Requests {
			if vm := w.Requests[i].VM; !slices.Contains(w.Done, vm) {
				l.waves.requested[vm] = true
			}
		}
	}
	for _, w := range all {
		if !w.Completed() {
			l.advanceWave(w)
		}
	}
}

// takeOverWaves assumes that all VMs which an earlier leader has requested maintenance for have just
// been taken down. When each of them was is not known, nor whether a worker that has started since is
// still on it.
func (l *Leader) takeOverWaves(all []*job.Wave) {
	for _, wave := range all {
		if wave.Completed() {
			continue
		}
		for _, r := range wave.Requests {
			l.waves.downSince[r.VM] = l.now
			l.waves.unanswered[r.VM] = l.now
			l.waves.nextAttempt[r.VM] = l.now + earlierMaintenanceTime
		}
	}
}

// advanceWave cordons the next VMs of a wave, and starts maintenance of those that can be
// taken down now.
func (l *Leader) advanceWave(wave *job.Wave) {
	busy := 0
	var open []string
	for _, vm := range wave.VMs {
		done := slices.Contains(wave.Done, vm)
		if !done && wave.Request(vm) != nil {
			// The platform may execute a request without an answer, or repeat its answer to one
			// that it has executed, while a new worker is on the VM.
			l.waves.cordoned[vm] = true
		}
		switch {
		case l.isDown(vm):
			busy++
		case l.waves.unrecorded[vm] == wave.Number: // it has had its maintenance
		case !done:
			open = append(open, vm)
		}
	}
	if len(open) == 0 {
		return
	}
	slack := l.waveSlack(wave, l.presentVMs(wave, open))
	for _, vm := range open {
		if busy >= max(1, wave.MaxDown) {
			return
		}
		w := l.workerOf(vm)
		if w == nil {
			if l.askAboutAbsentVM(wave, vm) {
				busy++
			}
			continue
		}
		delete(l.waves.absentSince, vm)
		if l.waves.refused[vm] && l.now < l.waves.nextAttempt[vm] {
			continue // the VM is up; the next one takes its turn until the next attempt
		}
		busy++
		if !l.waves.requested[vm] && l.now < l.waves.released[vm] && slack > 0 {
			continue // it gets work that has room nowhere else, and then its turn
		}
		l.waves.cordoned[vm] = true
		if l.mayStartMaintenance(w, slack) && l.now >= l.waves.nextAttempt[vm] {
			l.requestMaintenance(wave, vm, w.Incarnation)
		}
	}
}

// waveSlack returns the time until the next of the open VMs has to be taken down. VMs that run
// services are taken down one after the other, since their tasks must be available elsewhere before
// the next one ends.
func (l *Leader) waveSlack(wave *job.Wave, open []string) time.Duration {
	const reserve = time.Second // for requests and for the return of the worker
	left := time.Duration(wave.AcceptedMS+wave.DurationMS-l.wallMS)*time.Millisecond - waveMargin
	rounds := max(1, time.Duration((len(open)+max(1, wave.MaxDown)-1)/max(1, wave.MaxDown)))
	slack := left/rounds - l.bounds.MaintenanceTime - reserve
	withService := 0
	for _, vm := range open {
		if w := l.workerOf(vm); w != nil && l.runsService(w) {
			withService++
		}
	}
	inTurn := time.Duration(withService) * (l.bounds.MaintenanceTime + l.bounds.MinAvailableTime + reserve)
	return min(slack, left-inTurn)
}

// runsService reports whether a task of a service is assigned to a worker.
func (l *Leader) runsService(w *worker) bool {
	for ref := range w.runs {
		if s := l.steps[ref.StepRef]; s != nil && s.spec.Service {
			return true
		}
	}
	return false
}

// mayStartMaintenance reports whether a VM can be taken down now: its worker has no runs,
// or no time is left to wait and no service loses more tasks than it allows.
func (l *Leader) mayStartMaintenance(w *worker, slack time.Duration) bool {
	if len(w.runs) == 0 {
		return true
	}
	for ref := range w.runs {
		if s := l.steps[ref.StepRef]; s != nil && s.spec.Service && !l.mayDisrupt(s, w) {
			return false
		}
	}
	return slack <= 0
}

// mayDisrupt reports whether the tasks of a service on a worker may be ended. Together with
// the tasks that are unavailable already, or on a VM that is being taken down, they must not exceed
// the disruptions that the service allows.
func (l *Leader) mayDisrupt(s *step, w *worker) bool {
	unavailableTasks, tasksOnWorker := 0, 0
	for i := 0; i < s.spec.Count; i++ {
		r := s.runs[i]
		var on *worker
		if r != nil {
			on = l.holder(r)
		}
		switch {
		case r != nil && on == w:
			tasksOnWorker++
		case l.isBeingTakenDown(on) || on != nil && !on.answers():
			unavailableTasks++
		case r == nil || r.phase != running || r.percent < 100 || l.now-r.progressAt < l.bounds.MinAvailableTime:
			unavailableTasks++
		}
	}
	return unavailableTasks+tasksOnWorker <= s.spec.Disruptions
}

// answers reports whether a worker has answered its last orders. Otherwise the runs that are assigned to it
// may have ended, although they stay assigned until its lease has expired.
func (w *worker) answers() bool { return w.misses == 0 && !w.unresponsive && !w.replaced }
