package jobs

import (
	"slices"
	"time"
)

// Workers are withheld from new work that could run there: in quarantine after failures, or because a wave
// takes down their VM next. The platform counts their room all the same. Work for which there is room
// has to start within 3 s, so a step that has room nowhere else gets these workers.

const (
	// maxWithheldWait is how long a step waits for which only withheld workers have room. The rest of the
	// 3 s is for a call for advice, a commit and the start.
	maxWithheldWait = time.Second
	// releaseTime is how long a worker stays released whose VM is next in a wave.
	releaseTime = time.Second
	// maxWithheldChecks bounds the steps that one check looks at, in turn: it looks at all workers for each
	// of them, and hundreds of steps may wait. Few steps wait in a pool that is mostly idle.
	maxWithheldChecks = 32
)

// releaseWithheldWorkers releases workers to steps that have waited for maxWithheldWait without a running task, and to
// tasks of services, for which no other workers have room. In a pool that is mostly in use, where steps wait for
// other reasons as well, it does so for services only: those run again beside room however full the pool is.
func (l *Leader) releaseWithheldWorkers() {
	if !slices.ContainsFunc(l.byID, func(w *worker) bool { return l.isWithheld(w) }) {
		return
	}
	shares := poolShares{}
	var waiting []*step
	for _, s := range l.sortedSteps() {
		switch {
		case s.job.Phase.Final() || !s.spec.Service && !l.waitsInIdlePool(shares, s):
			s.withheldWait = 0
		case s.mayHaveWaiting(): // else its tasks are being started, and the starts may fail: the wait goes on
			waiting = append(waiting, s)
		}
	}
	for range min(len(waiting), maxWithheldChecks) {
		l.withheldOffset %= len(waiting)
		l.releaseFor(waiting[l.withheldOffset])
		l.withheldOffset++
	}
}

// waitsInIdlePool reports whether no task of a step is known to run, and less than busyShare of its pool is used.
func (l *Leader) waitsInIdlePool(shares poolShares, s *step) bool {
	_, idle := s.idleSince()
	return idle && shares.of(l, s.queue.Pool).lowest < busyShare
}

// releaseFor releases the withheld workers that a step needs, if it has waited for maxWithheldWait.
func (l *Leader) releaseFor(s *step) {
	needed := l.neededWithheldWorkers(s)
	switch {
	case len(needed) == 0:
		s.withheldWait = 0
	case s.withheldWait == 0:
		s.withheldWait = l.now
	case l.now-s.withheldWait >= maxWithheldWait:
		for _, w := range needed {
			w.failures.until = min(w.failures.until, l.now) // the next failure of another job starts a longer quarantine
			l.waves.release(w.rec.VM, l.now+releaseTime)
		}
		s.withheldWait = 0
		l.needsSchedule = true
		l.log("warn", "release workers", s.ref.String(), needed[0].ID, "a step has room only on workers in quarantine or on VMs that are next in a wave, and gets them", "workers", len(needed))
	}
}

// isWithheld reports whether a worker gets no work only because it is in quarantine or its VM is next in
// a wave.
func (l *Leader) isWithheld(w *worker) bool {
	if l.waves.isCordoned(w.rec.VM) && !l.waves.isNext(w.rec.VM) {
		return false // its maintenance has been requested
	}
	return (w.failures.quarantined(l.now) || l.waves.isNext(w.rec.VM)) && l.usableAfterQuarantine(w)
}

// neededWithheldWorkers returns the withheld workers that have room for a step, if the others do not have
// enough for it to start and both together do. Others that the step avoids do not count: they may start nothing.
func (l *Leader) neededWithheldWorkers(s *step) []*worker {
	need := 1
	if s.spec.Gang {
		need = s.spec.Count
	}
	var out []*worker
	others, withheld := 0, 0
	for _, w := range l.byID {
		v, asked := s.advice.verdicts[w.ID]
		if !matchesWorker(s, w) || s.queue.Advice != nil && asked && v.startedMS == w.StartedMS && !v.approved {
			continue
		}
		n := l.tasksThatFit(w.rec.Free().Sub(w.pendingAmount), s, w)
		switch {
		case n <= 0:
		case l.isWithheld(w):
			withheld += n
			out = append(out, w)
		case l.usable(w) && !l.waves.isCordoned(w.rec.VM) && !s.avoided[w.ID]:
			others += n
		}
	}
	if others >= need || others+withheld < need {
		return nil
	}
	return out
}
