package jobs

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/resource"
)

// schedulingPass is one pass over the waiting steps. The usable workers are determined once
// for all steps.
type schedulingPass struct {
	reservation  *reservation                // room that is planned for an earlier gang that lacks room, nil for none
	kept         map[*worker]resource.Amount // free capacity that the gang needs, for tasks that run beyond its start
	plans        int                         // number of gangs for which a reservation was planned
	keepsRoom    bool                        // other steps must leave that room free; otherwise they use it last
	backfills    bool                        // the step that is being tried may use that room
	shares       poolShares                  // computed on demand
	held         map[*worker][]heldAmount    // capacity held for gangs
	placing      *step                       // gang that is being placed, which can use what is held for it
	usable       []*worker                   // sorted by ID
	runs         map[*worker]*workerRuns     // computed on demand
	limitedTeams map[string]bool             // teams whose limit lacks room for a gang that comes before other work of the team
	maxFree      resource.Amount             // largest free amount of each resource on any usable worker, holds included
}

func (l *Leader) newPass() *schedulingPass {
	p := &schedulingPass{shares: poolShares{}, held: map[*worker][]heldAmount{}, runs: map[*worker]*workerRuns{}, limitedTeams: map[string]bool{}}
	for _, w := range l.byID {
		if l.usable(w) && !l.waves.isCordoned(w.rec.VM) {
			p.usable = append(p.usable, w)
			p.maxFree = p.maxFree.Max(p.free(w))
		}
	}
	l.dropExpiredHolds()
	for _, s := range l.holding {
		p.addHold(l, s)
	}
	return p
}

// free returns the capacity of a worker that is neither assigned, nor kept from the step that is
// being tried, nor held for a gang other than the one that is being placed.
func (p *schedulingPass) free(w *worker) resource.Amount {
	free := w.rec.Free().Sub(w.pendingAmount)
	if p.keepsRoom && !p.backfills {
		free = free.Sub(p.kept[w])
	}
	for _, h := range p.held[w] {
		if h.step != p.placing {
			free = free.Sub(h.amount)
		}
	}
	return free
}

// waitingStep is a step that may have tasks that can be placed.
type waitingStep struct {
	*step
	missesDeadline int  // 1 if the step comes last, since the job cannot be done by its deadline, else 0
	late           bool // the step comes after work in time, since the job cannot be done by its objective
	borrowed       bool // the step comes after all work that was accepted at the rate of its team
	overShare      bool // the step comes after the work of other teams, since its team uses more than its share
}

// Bounds of one pass. A step that cannot be placed in full costs a search through many workers,
// and under overload hundreds of steps wait. Each pass tries the first steps in order until a
// number of them were not placed in full, then those with new advice, and then the rest
// round-robin. While the leader's process keeps up, the numbers are large: a step whose turn comes
// late has lost its tickets by then, and workers stay idle although there is work for them. When
// orders take long, passes must leave time for the other work of the process.
const (
	maxUnplaced           = 100
	minUnplaced           = 16
	maxUnplacedRoundRobin = 100
	minUnplacedRoundRobin = 6
	// maxUnplacedWithAdvice bounds the steps with new advice that are tried out of turn.
	maxUnplacedWithAdvice = 32
	// keepsUpOrderDelay and fullOrderDelay are the average times from the decision to start a
	// task to the worker's answer at which the bounds begin to fall and reach their minimum.
	keepsUpOrderDelay = 25 * time.Millisecond
	fullOrderDelay    = 50 * time.Millisecond
)

// passLimit returns the bound of a pass between least and most that fits the measured delay of
// orders.
func (o *overload) passLimit(least, most int) int {
	if o.orderDelay <= keepsUpOrderDelay {
		return most
	}
	left := max(0, float64(fullOrderDelay-o.orderDelay)/float64(fullOrderDelay-keepsUpOrderDelay))
	return least + int(left*float64(most-least))
}

const (
	// scheduleTimePerStep is added to scheduleInterval for each waiting step, up to
	// maxScheduleInterval: a pass over many steps takes longer, and passes must leave time
	// for the orders and calls that the same process handles.
	scheduleTimePerStep = 200 * time.Microsecond
	maxScheduleInterval = 40 * time.Millisecond
	// gangRetryInterval is the time after which a gang that lacks room is tried again. A try
	// looks at all workers that may run the gang.
	gangRetryInterval = 40 * time.Millisecond
)

// schedule runs one scheduling pass: it places waiting steps in order and requests missing
// advice.
func (l *Leader) schedule() {
	untried := l.placeWaiting()
	l.overload.adjust(l.now, l.queuesBehind(untried))
}

// placeWaiting tries to place the waiting steps. It returns those that it may not have tried,
// because the window of starts was full or others could not be placed.
func (l *Leader) placeWaiting() (untried []waitingStep) {
	list := l.waitingSteps()
	if len(list) == 0 {
		return nil
	}
	over := l.teamsOverShare(list)
	for i := range list {
		list[i].overShare = over[list[i].job.Team]
	}
	slices.SortFunc(list, compareWaiting)
	l.nextSchedule = l.now + min(maxScheduleInterval, scheduleInterval+time.Duration(len(list))*scheduleTimePerStep)
	p := l.newPass()
	l.starts.expire(l.now)
	tried := l.tryPlace(p, list, l.overload.passLimit(minUnplaced, maxUnplaced))
	rest := list[tried:]
	if len(rest) == 0 {
		return nil
	}
	l.tryPlace(p, withNewAdvice(rest), maxUnplacedWithAdvice)
	if !l.startsFull() {
		l.roundRobinOffset %= len(rest)
		l.roundRobinOffset += l.tryPlace(p, rest[l.roundRobinOffset:], l.overload.passLimit(minUnplacedRoundRobin, maxUnplacedRoundRobin))
	}
	l.needsSchedule = true // the other steps are tried in the next passes
	return rest
}

// withNewAdvice returns the steps for which an answer of the advice service has arrived that no
// pass has used yet. Tickets expire within two seconds: while hundreds of steps wait, they would
// expire before it is the step's turn, the call would be wasted, and workers would stay idle.
func withNewAdvice(list []waitingStep) []waitingStep {
	var out []waitingStep
	for i := range list {
		if list[i].advice.isNew {
			out = append(out, list[i])
		}
	}
	return out
}

// tryPlace tries steps in order until limit of them could not be placed in full, or the window
// of starts is full. It skips steps that await advice, and gangs some of whose tasks are
// assigned or done or that lacked room within gangRetryInterval. It returns the number of
// steps that it tried or skipped.
func (l *Leader) tryPlace(p *schedulingPass, list []waitingStep, limit int) int {
	unplaced := 0
	for i := range list {
		if unplaced >= limit || l.startsFull() {
			return i
		}
		s := &list[i]
		s.triedAt = l.now
		if s.awaitsAdvice(l.now) {
			s.lastTry = awaitingAdvice
			continue
		}
		s.advice.isNew = false
		p.backfills = l.backfills(p, s.step)
		tasks := s.waiting()
		switch {
		case len(tasks) == 0:
		case !s.spec.Gang:
			if !l.placeTasks(p, s.step, tasks) {
				unplaced++
			}
		case len(tasks) < s.spec.Count:
			s.lastTry = runsNotEnded
		case l.now < s.nextTry:
			l.reserve(p, s.step)
		default:
			if !l.placeGang(p, s.step, tasks) {
				unplaced++
			}
		}
	}
	return len(list)
}

// waitingSteps returns the steps that may have tasks that can be placed, and deletes the steps
// that need no more work. It looks at no single task: a pass tries only the first of many steps.
func (l *Leader) waitingSteps() []waitingStep {
	var list []waitingStep
	shares := poolShares{}
	for ref, s := range l.steps {
		if s.isRemovable() {
			l.dropHold(s)
			delete(l.steps, ref)
			continue
		}
		if s.job.Phase.Final() {
			continue
		}
		if s.mayHaveWaiting() {
			missesDeadline, late := l.missesDeadline(s), l.isLate(s)
			if late && s.spec.Gang && shares.of(l, s.queue.Pool).highest < lateGangShare {
				missesDeadline, late = 0, false
			}
			list = append(list, waitingStep{step: s, missesDeadline: missesDeadline, late: late, borrowed: s.job.Borrowed})
		}
	}
	return list
}
