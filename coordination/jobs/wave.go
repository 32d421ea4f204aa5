package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

const (
	// waveMargin is the part of a wave's time that is kept for retries.
	waveMargin = 2 * time.Second
	// serviceRetry is the pause before a refused maintenance call is sent again.
	serviceRetry = 500 * time.Millisecond
	// vmGoneAfter is how long a VM without a worker keeps a wave open. A VM that left
	// for good cannot be maintained.
	vmGoneAfter = 12 * time.Second
)

// waves follows the maintenance that is under way. It is rebuilt by each leader.
type waves struct {
	calling map[string]int           // VMs for which a call is under way, with their wave
	down    map[string]time.Duration // VMs that were taken down, with the time of it
	cordon  map[string]bool          // VMs that get no new work because their turn is next
	retry   map[string]time.Duration
	absent  map[string]time.Duration // VMs without a worker, since when
}

// cordons reports whether a VM gets no new work.
func (w *waves) cordons(vm string) bool { return vm != "" && w.cordon[vm] }

func (l *Leader) startWave(e StartWave) {
	if l.state.Wave(e.Wave.Number) != nil {
		l.host.Reply(e.Token, Answer{Code: CodeOK}) // a resend
		return
	}
	w := e.Wave
	w.AcceptedMS = l.wallMS
	ok := l.propose(&job.Command{Wave: &w}, func(_ job.Applied, committed bool) {
		if !committed {
			l.host.Reply(e.Token, Answer{Code: CodeUnknown, Message: "leadership changed while the wave was being stored"})
			return
		}
		l.host.Reply(e.Token, Answer{Code: CodeOK})
	})
	if !ok {
		l.host.Reply(e.Token, unavailable("the log takes no entries now"))
	}
}

func (l *Leader) readWave(e ReadWave) {
	w := l.state.Wave(e.Number)
	if w == nil {
		l.host.Reply(e.Token, Answer{Code: CodeNoJob, Message: "no such wave"})
		return
	}
	l.host.Reply(e.Token, Answer{Code: CodeOK, WaveCompleted: w.Completed()})
}

// workWaves takes the next VMs of each wave down, at most its cap at a time.
func (l *Leader) workWaves() {
	all := l.state.Waves()
	if len(all) == 0 {
		return
	}
	if l.waves.calling == nil {
		l.waves = waves{calling: map[string]int{}, down: map[string]time.Duration{}, retry: map[string]time.Duration{}, absent: map[string]time.Duration{}}
	}
	l.waves.cordon = map[string]bool{}
	for _, w := range all {
		if !w.Completed() {
			l.workWave(w)
		}
	}
}

func (l *Leader) workWave(wave *job.Wave) {
	busy := 0
	var open []string
	for _, vm := range wave.VMs {
		switch {
		case l.isDown(vm):
			busy++
		case !contains(wave.Done, vm):
			open = append(open, vm)
		}
	}
	if len(open) == 0 {
		return
	}
	left := time.Duration(wave.AcceptedMS+wave.DurationMS-l.wallMS)*time.Millisecond - waveMargin
	rounds := time.Duration((len(open) + max(1, wave.Cap) - 1) / max(1, wave.Cap))
	slack := left/rounds - l.bounds.MaintenanceTime - time.Second // until the next VM has to go
	for _, vm := range open {
		if busy >= max(1, wave.Cap) {
			return
		}
		w := l.workerOf(vm)
		if w == nil {
			l.noteAbsent(wave, vm)
			continue
		}
		delete(l.waves.absent, vm)
		busy++
		l.waves.cordon[vm] = true
		if l.mayService(w, slack) && l.now >= l.waves.retry[vm] {
			l.waves.calling[vm] = wave.Number
			l.waves.down[vm] = l.now
			l.host.Emit(StartMaintenance{VM: vm, Wave: wave.Number, Term: l.term})
		}
	}
}

// isDown reports whether a VM is being taken down or has not come back yet.
func (l *Leader) isDown(vm string) bool {
	if _, calling := l.waves.calling[vm]; calling {
		return true
	}
	at, ok := l.waves.down[vm]
	return ok && (l.now-at < l.bounds.MaintenanceTime || l.workerOf(vm) == nil && l.now-at < vmGoneAfter)
}

// noteAbsent lets a wave go on without a VM that has had no worker for long.
func (l *Leader) noteAbsent(wave *job.Wave, vm string) {
	since, ok := l.waves.absent[vm]
	if !ok {
		l.waves.absent[vm] = l.now
		return
	}
	if l.now-since > vmGoneAfter {
		l.waves.absent[vm] = l.now
		l.propose(&job.Command{MaintenanceStarted: &job.MaintenanceStarted{Wave: wave.Number, VM: vm}}, nil)
	}
}

// mayService reports whether a VM can go down now: it is empty, or time is running out
// and no service loses more tasks than it allows.
func (l *Leader) mayService(w *worker, slack time.Duration) bool {
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

// mayDisrupt reports whether the tasks of a service on a worker may be ended: with
// those that are away already they must stay within what the service allows.
func (l *Leader) mayDisrupt(s *step, w *worker) bool {
	away, here := 0, 0
	for i := 0; i < s.spec.Count; i++ {
		r := s.runs[i]
		switch {
		case r != nil && l.holder(r) == w:
			here++
		case r == nil || r.phase != running || r.percent < 100 || l.now-r.progressAt < l.bounds.MinAvailableTime:
			away++
		}
	}
	return away+here <= s.spec.Disruptions
}

func (l *Leader) workerOf(vm string) *worker {
	for _, w := range l.byID {
		if w.rec.VM == vm {
			return w
		}
	}
	return nil
}

func (l *Leader) maintenanceAnswered(e MaintenanceAnswered) {
	vm := e.Start.VM
	delete(l.waves.calling, vm)
	if e.Result != OrderDone {
		if e.Result != OrderUnanswered {
			delete(l.waves.down, vm)
		}
		l.waves.retry[vm] = l.now + serviceRetry
		l.log("info", "maintenance", "", vm, "the VM was not taken down", "result", e.Result.String())
		return
	}
	l.waves.down[vm] = l.now
	l.log("info", "maintenance", "", vm, "the VM is down for maintenance", "wave", e.Start.Wave)
	l.propose(&job.Command{MaintenanceStarted: &job.MaintenanceStarted{Wave: e.Start.Wave, VM: vm}}, nil)
	if w := l.workerOf(vm); w != nil {
		l.endWorker(w, false)
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
