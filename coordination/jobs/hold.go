package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// A gang starts only if all its tasks fit at the same moment, each on a worker with a valid
// ticket. Tickets expire within seconds, and the call that renews them takes a large part of
// that time. A gang therefore holds room for all its tasks before it preempts others or
// renews tickets, and keeps it until the tickets have expired. A gang for which there is not
// enough room holds nothing, so that steps after it can use what is free.

// hold is capacity of workers that is kept for all waiting tasks of a gang.
type hold struct {
	tasks map[string]int // number of tasks by worker ID
	until time.Duration  // expiry
	renew []string       // IDs of the workers whose tickets the next calls are to renew
}

const (
	// stopWait is how long a hold lasts for a gang that needs no tickets. It is long enough for
	// the runs that the gang preempts to be stopped.
	stopWait = 2 * time.Second
	// spareShare is the number of tasks of a gang for which room for one more task is held, if
	// there is enough: some workers fail, or do not stop their runs in time.
	spareShare = 5
	// minTicketTime is the remaining validity from which tickets are used without a renewal
	// for a gang that preempts tasks, which takes up to Bounds.StopTime and a commit.
	minTicketTime = 700 * time.Millisecond
)

// holds reports whether capacity is held for the step.
func (s *step) holds(now time.Duration) bool { return s.hold != nil && now < s.hold.until }

// heldAmount is the capacity of a worker that is held for one gang.
type heldAmount struct {
	step   *step
	amount resource.Amount
}

// addHold makes the capacity that is held for a step unavailable to other steps of the pass.
func (p *schedulingPass) addHold(l *Leader, s *step) {
	for id, n := range s.hold.tasks {
		if w := l.workers[id]; w != nil {
			p.held[w] = append(p.held[w], heldAmount{s, s.spec.Reserved().Scale(n)})
		}
	}
}

// setHold holds capacity for a step until a time, and for the rest of the pass.
func (l *Leader) setHold(p *schedulingPass, s *step, tasks map[string]int, until time.Duration) {
	s.hold = &hold{tasks: tasks, until: until}
	l.holding[s.ref] = s
	p.addHold(l, s)
}

// dropHold ends the hold of a step, if there is one.
func (l *Leader) dropHold(s *step) {
	s.hold = nil
	delete(l.holding, s.ref)
}

// dropExpiredHolds ends the holds that have expired, or whose steps need no more room.
func (l *Leader) dropExpiredHolds() {
	for _, s := range l.holding {
		if !s.holds(l.now) || s.job.Phase.Final() {
			l.waitingStats.holdsExpired++
			l.dropHold(s)
		}
	}
}

// offer is the room of a worker for tasks of a gang, and the runs there that can be preempted
// so that more fit.
type offer struct {
	w                   *worker
	tasksThatFit        int // tasks that fit without preemption, after runs that are being stopped have ended
	roomAfterPreemption int // tasks that fit after all victims have been stopped as well
	victims             []*run
}

// holdForGang holds room for all need waiting tasks of a gang on workers that may run it,
// preempts tasks of lower priority if that is necessary, and renews the tickets of these
// workers. It reports false, and changes nothing, if there is not enough room, or if the tickets
// cannot be renewed now, or not all before the first of them expire.
func (l *Leader) holdForGang(p *schedulingPass, s *step, need int) bool {
	chosen := l.chooseRoom(p, s, need+need/spareShare+1)
	if chosen == nil {
		chosen = l.chooseRoom(p, s, need)
	}
	if chosen == nil {
		s.lastTry = lacksRoom
		return false
	}
	tasks, preempts := map[string]int{}, false
	for _, c := range chosen {
		tasks[c.w.ID] = c.take
		preempts = preempts || c.take > c.tasksThatFit
	}
	until := l.now + stopWait
	var rest []string
	if s.queue.Advice != nil {
		if validUntil := s.ticketsValidUntil(tasks); validUntil-l.now >= minTicketTime {
			until = validUntil
		} else {
			ids := make([]string, 0, len(chosen))
			for _, c := range chosen {
				ids = append(ids, c.w.ID)
			}
			n := min(len(ids), l.workersAtOnce(s))
			rest = ids[n:]
			if !renewsInTime(s.queue.Advice, len(rest)) {
				s.lastTry = ticketsTooLate
				return false
			}
			if !l.sendAdviceCalls(s, ids[:n]) {
				return false
			}
			until = s.advice.lastDeadline()
		}
	}
	l.setHold(p, s, tasks, until)
	s.hold.renew = rest
	if preempts {
		for _, c := range chosen {
			l.stopVictims(p, s, c)
		}
	}
	return true
}

// renewsInTime reports whether the calls that renew the tickets of a number of workers end before
// tickets that are issued now expire, even if no agents are idle by then and one call is made after
// another.
func renewsInTime(a *job.Advice, workers int) bool {
	left := time.Duration(a.ValidMS)*time.Millisecond - ticketMargin
	for workers > 0 {
		n := min(workers, maxRequestWorkers)
		left -= callTime(a, n) + maxAgentBacklog
		workers -= n
	}
	return left > 0
}

// ticketsRenewed handles the last answer to the calls that renewed tickets of workers on which a gang
// holds room. It renews those of the other workers, or else keeps the room until the tickets expire.
func (l *Leader) ticketsRenewed(s *step) {
	h := s.hold
	n := min(len(h.renew), l.workersAtOnce(s))
	next := h.renew[:n]
	h.renew = h.renew[n:]
	if n == 0 || slices.ContainsFunc(next, l.isUnknownWorker) || !l.sendAdviceCalls(s, next) {
		h.until = s.ticketsValidUntil(h.tasks)
		return
	}
	h.until = s.advice.lastDeadline()
}

// ticketsValidUntil returns the time until which the step has a valid ticket for each of the
// workers.
func (s *step) ticketsValidUntil(tasks map[string]int) time.Duration {
	until := time.Duration(1<<63 - 1)
	for id := range tasks {
		until = min(until, s.advice.verdicts[id].validUntil)
	}
	return until
}

// chosenRoom is the number of tasks that a gang takes of an offer.
type chosenRoom struct {
	offer
	take int
}

// chooseRoom returns workers with room for need tasks of a gang: without preemption if
// possible, on one rack if the gang is rack-sensitive and one has room. It returns nil if
// there is not enough room.
func (l *Leader) chooseRoom(p *schedulingPass, s *step, need int) []chosenRoom {
	offers := l.offers(p, s)
	groups := [][]offer{offers}
	if s.spec.RackSensitive {
		groups = append(groupByRack(offers, func(o offer) *worker { return o.w }), offers)
	}
	for _, g := range groups {
		if c := takeRoom(g, need, func(o *offer) int { return o.tasksThatFit }); c != nil {
			return c
		}
	}
	if !l.mayPreempt(s) {
		return nil
	}
	return takeRoom(offers, need, func(o *offer) int { return o.roomAfterPreemption })
}

// takeRoom takes the room of offers in order until it suffices for need tasks. It returns nil
// if it does not.
func takeRoom(offers []offer, need int, room func(*offer) int) []chosenRoom {
	var out []chosenRoom
	for i := range offers {
		if n := min(need, room(&offers[i])); n > 0 {
			out = append(out, chosenRoom{offers[i], n})
			need -= n
		}
	}
	if need > 0 {
		return nil
	}
	return out
}

// offers returns the offers of the workers that are known to be allowed to run a gang, those
// with the most room without preemption first. Workers that have not started a member come last, or are
// left out while the gang must avoid them: those that start nothing have the most room. Workers on which
// a member has failed are offered like others, since many gangs would lack room without them in a busy pool.
func (l *Leader) offers(p *schedulingPass, s *step) []offer {
	var out []offer
	avoids := l.mustAvoid(p, s)
	for _, w := range p.usable {
		if !matchesWorker(s, w) || s.queue.Advice != nil && !s.approves(w) || avoids && s.failedStarts[w.ID] {
			continue
		}
		free := l.freeAfterPendingStops(p, w)
		o := offer{w: w, tasksThatFit: l.tasksThatFit(free, s, w), victims: l.victims(p, s, w)}
		for _, r := range o.victims {
			free = free.Add(l.steps[r.ref.StepRef].spec.Reserved())
		}
		if o.roomAfterPreemption = l.tasksThatFit(free, s, w); o.roomAfterPreemption > 0 {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b offer) int {
		return cmp.Or(compareBool(s.failedStarts[a.w.ID], s.failedStarts[b.w.ID]), cmp.Compare(b.tasksThatFit, a.tasksThatFit), cmp.Compare(a.w.ID, b.w.ID))
	})
	return out
}

// roomWhenIdle returns how many tasks of a step fit on the workers that are known to be
// allowed to run it, if nothing else runs there.
func (l *Leader) roomWhenIdle(p *schedulingPass, s *step) int {
	n := 0
	for _, w := range p.usable {
		if matchesWorker(s, w) && (s.queue.Advice == nil || s.approves(w)) {
			n += l.tasksThatFit(w.rec.Capacity, s, w)
		}
	}
	return n
}
