package scheduling

import (
	"fmt"

	"github.com/primrosereach/primrosereach/state"
)

// expiryRepeatMS is the delay after which an expiry that was not committed is proposed
// again.
const expiryRepeatMS = 5000

// admittedWaitQuarters is the part of the bound, in quarters, up to which the expected wait
// of deferrable work is accepted. The rest is a margin for demand for slots that rises
// after the work was accepted.
const admittedWaitQuarters = 3

// joiningRetryMS is the retry delay that callers are given while no endpoint of the kind
// that their request needs is known.
const joiningRetryMS = 10_000

// Admit implements Scheduler.
func (s *planner) Admit(c Clock, r *state.Request) Verdict {
	s.updateClock(c)
	if v := s.admitQuota(r); !v.Admit {
		return v
	}
	if reason := s.cannotRun(r); reason != "" && s.joinPeriodOver(c) {
		v := Verdict{Reason: reason}
		if s.poolOf(r.Class).Len() == 0 {
			v.RetryAfterMS = joiningRetryMS
		}
		return v
	}
	return s.opt.Admitter.Admit(c, r, s.opt.Estimator.Estimate(r), func(class state.Class) Load { return s.load(r, class) })
}

// admitQuota refuses requests that do not fit in the quota even if all of it is unused:
// the team's share or, for repeatable work, which may borrow, the shares of all teams. A
// gang must fit with all of its tasks, other work with one.
func (s *planner) admitQuota(r *state.Request) Verdict {
	need := r.PerTask
	if r.Class == state.ClassGang {
		need = need.Scale(max(1, r.Tasks))
	}
	share := s.ledger.team(r.Team).share
	if need.FitsIn(share) || r.Repeatable && need.FitsIn(s.ledger.total) {
		return Verdict{Admit: true}
	}
	return Verdict{Reason: fmt.Sprintf("needs %s, the team's share in this domain is %s", describe(need), describe(share))}
}

// cannotRun returns why the known endpoints could not run the request even if they were
// empty, or "" if they could.
func (s *planner) cannotRun(r *state.Request) string {
	p := s.poolOf(r.Class)
	if r.Class == state.ClassGang {
		n := max(1, r.Tasks)
		if possible := p.CapacityInTasks(r.PerTask, n); possible < n {
			return fmt.Sprintf("needs %d tasks of %s at once, all known endpoints together have room for %d", n, describe(r.PerTask), possible)
		}
		return ""
	}
	if p.CapacityInTasks(r.PerTask, 1) == 0 {
		return fmt.Sprintf("asks for %s, more than any known endpoint has", describe(r.PerTask))
	}
	return ""
}

func describe(r state.Resources) string {
	if r.MilliCores == 0 && r.MemoryMB == 0 && r.Accelerators == 0 {
		return fmt.Sprintf("%d slots", r.Slots)
	}
	return fmt.Sprintf("%.1f cores, %d MB, %d accelerators", float64(r.MilliCores)/1000, r.MemoryMB, r.Accelerators)
}

// load returns the load of a class for the admission of request r. The capacity is
// counted in tasks of the request's size or, for another class than its own, of one slot.
// For the deferrable class it is the number of slots that long work of the class may use.
// Urgent work counts as waiting ahead of interactive work.
func (s *planner) load(r *state.Request, class state.Class) Load {
	need := r.PerTask
	if class != r.Class {
		need = state.Resources{Slots: 1}
	}
	q := s.queues[queueOf(class)]
	l := Load{Waiting: q.Len(), WaitingMS: q.Cost(), Running: s.running[class], Capacity: s.poolOf(class).CapacityInTasks(need, 1<<20)}
	switch class {
	case state.ClassUrgent:
		l.BoundMS = urgentStartMS
	case state.ClassInteractive:
		l.BoundMS = interactiveWaitMS
		urgent := s.queues[queueUrgent]
		l.Waiting += urgent.Len()
		l.WaitingMS += urgent.Cost()
	case state.ClassDeferrable:
		l.BoundMS = s.bound(r) * admittedWaitQuarters / 4
		l.Capacity = s.deferrableSlots(true)
		promoted := s.queues[queuePromoted]
		l.Waiting += promoted.Len()
		l.WaitingMS += promoted.Cost()
	}
	return l
}

// watchExpiry schedules the check of a waiting job by Expired, unless one is scheduled:
// at the deadline of interactive work, or after joinPeriod if no known endpoint can run
// the job.
func (s *planner) watchExpiry(c Clock, j *job) {
	r := &j.rec.Request
	switch {
	case j.expiryWatched:
	case r.Class == state.ClassInteractive && r.DeadlineMS > 0:
		j.expiryWatched = true
		s.expiry.Set(r.Key, r.DeadlineMS)
	case s.cannotRun(r) != "":
		j.expiryWatched = true
		s.expiry.Set(r.Key, c.WallMS+joinPeriod.Milliseconds())
	}
}

// Expired implements Scheduler. Only interactive work expires at its deadline, since a
// late result of other work is still useful. Work that no known endpoint can run expires
// whatever its class.
func (s *planner) Expired(c Clock) []*state.Expire {
	s.updateClock(c)
	var out []*state.Expire
	for {
		k, ok := s.expiry.PopDue(c.WallMS)
		if !ok {
			return out
		}
		j := s.jobs[k]
		if j == nil || !isWaiting(j) {
			continue
		}
		reason := s.cannotRun(&j.rec.Request)
		if d := j.rec.DeadlineMS; reason == "" && d > 0 && d <= c.WallMS && j.rec.Class == state.ClassInteractive {
			reason = "its deadline passed before it could start"
		}
		if reason == "" {
			j.expiryWatched = false
			continue
		}
		s.expiry.Set(k, c.WallMS+expiryRepeatMS)
		out = append(out, &state.Expire{Key: k, AtMS: c.WallMS, Reason: reason})
	}
}

// isWaiting reports whether a task of the job is queued or delayed.
func isWaiting(j *job) bool {
	if j.gang != nil {
		return j.gang.wait == queued || j.gang.wait == delayed
	}
	for i := range j.tasks {
		if w := j.tasks[i].wait; w == queued || w == delayed {
			return true
		}
	}
	return false
}

// WhyWaiting implements Scheduler.
func (s *planner) WhyWaiting(k state.Key) string {
	j := s.jobs[k]
	if j == nil {
		return "the request is not waiting"
	}
	if reason := s.cannotRun(&j.rec.Request); reason != "" {
		return reason
	}
	if r := s.gangs.reservation; r != nil && r.Key == k {
		return fmt.Sprintf("workers are being kept free for it, expected to be ready in %d s", max(0, r.StartMS-s.clock.WallMS)/1000)
	}
	t := j.gang
	for i := 0; t == nil && i < len(j.tasks); i++ {
		if j.tasks[i].wait != notWaiting {
			t = &j.tasks[i]
		}
	}
	if t == nil {
		return "the request is not waiting"
	}
	return s.whyTaskWaits(t)
}

func (s *planner) whyTaskWaits(t *task) string {
	switch t.wait {
	case planned:
		return "it is being started"
	case delayed:
		return "it is tried again after a delay"
	case queued:
		l := t.item.Lane()
		switch {
		case l.Parked():
			return l.Reason
		case l.Group().Blocked():
			return l.Group().Reason
		}
		return "earlier work of its class is started first"
	}
	return "the request is not waiting"
}
