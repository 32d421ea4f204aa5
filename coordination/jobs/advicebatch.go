package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Load pattern: the pool is full, dozens of steps wait, and all agents are busy. Room appears on one
// or two workers at a time. A call that renews their tickets only takes nearly as long as one about
// dozens of workers, and the tickets of the next room need the next call: the calls, not the room,
// decide when work starts. While agents are scarce, a renewal therefore names further workers that
// are expected to have room soon, and the step uses up these tickets before it asks again.

const (
	// batchShare is the part of a call's fixed time that a renewal may spend on further workers.
	batchShare = 0.5
	// scarceShare is the share of the agents that are busy from which agents are scarce.
	scarceShare = 0.5
	// renewalPause is the time until the next renewal of a step that has valid tickets of other
	// workers, while agents are scarce.
	renewalPause = 200 * time.Millisecond
)

// batchSize returns the number of workers that a renewal names while agents are scarce.
func batchSize(a *job.Advice) int {
	if a.PerWorkerMS <= 0 {
		return cheapRequestWorkers
	}
	return int(min(max(minRequestWorkers, batchShare*a.PerCallMS/a.PerWorkerMS), maxRequestWorkers))
}

// scarce reports whether most of the responsive agents that may make a call of the expected duration
// cost are busy.
func (a *agents) scarce(now, cost time.Duration) bool {
	all := len(a.available(now, cost, time.Hour))
	idle := len(a.available(now, cost, 0))
	return float64(all-idle) > scarceShare*float64(all)
}

// validTickets returns the number of workers for which a step has a valid ticket.
func (s *step) validTickets(now time.Duration) int {
	n := 0
	for _, v := range s.advice.verdicts {
		if v.approved && now < v.validUntil {
			n++
		}
	}
	return n
}

// addWorkersWithRoomSoon adds approved workers to those whose tickets a call renews, up to n in all:
// those on which a run is expected to end first.
func (l *Leader) addWorkersWithRoomSoon(p *schedulingPass, s *step, ask []string, n int) []string {
	type option struct {
		id string
		at time.Duration
	}
	var options []option
	for _, w := range p.usable {
		if s.avoided[w.ID] || !s.approves(w) || !matchesWorker(s, w) || slices.Contains(ask, w.ID) || l.tasksThatFit(w.rec.Capacity, s, w) == 0 {
			continue
		}
		if at, ok := l.firstExpectedEnd(w); ok {
			options = append(options, option{w.ID, at})
		}
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	for _, o := range options[:max(0, min(len(options), n-len(ask)))] {
		ask = append(ask, o.id)
	}
	return ask
}

// firstExpectedEnd returns when the first of the runs on a worker is expected to end.
func (l *Leader) firstExpectedEnd(w *worker) (at time.Duration, known bool) {
	speed := l.speeds.Speed(w.ID)
	for _, r := range w.runs {
		s := l.steps[r.ref.StepRef]
		if s == nil {
			continue
		}
		if end, ok := l.expectedEndOf(r, s, speed); ok && (!known || end < at) {
			at, known = end, true
		}
	}
	return at, known
}
