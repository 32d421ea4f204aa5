package jobs

import (
	"slices"

	"github.com/primrosereach/primrosereach/state/resource"
)

// pass is one pass over the waiting steps. Whether a worker can take work at all is
// found out once for all steps.
type pass struct {
	held   map[*worker]resource.Amount // for steps that come earlier and cannot start yet
	usable []*worker                   // by ID
	most   resource.Amount             // the most of each resource that a usable worker has free
}

func (l *Leader) newPass() *pass {
	p := &pass{held: map[*worker]resource.Amount{}}
	for _, w := range l.byID {
		if l.usable(w) && !l.waves.cordons(w.rec.VM) {
			p.usable = append(p.usable, w)
			p.most = p.most.Max(p.free(w))
		}
	}
	return p
}

func (p *pass) free(w *worker) resource.Amount {
	free := w.rec.Free().Sub(w.pending)
	if len(p.held) == 0 {
		return free
	}
	return free.Sub(p.held[w])
}

// waitingStep is a step with tasks that can be placed.
type waitingStep struct {
	*step
	tasks   []int
	useless int
}

// Bounds of one pass. A step that cannot be placed in full costs a look at many workers,
// and under overload hundreds wait: looking at all of them in each pass would take the
// leader's whole time. The first ones in order are tried in each pass, of the rest some in
// turn.
const (
	maxUnplaced       = 16
	maxUnplacedInTurn = 6
)

// schedule places what can be placed, in order, and asks for the advice that is
// missing.
func (l *Leader) schedule() {
	list := l.waitingSteps()
	if len(list) == 0 {
		return
	}
	slices.SortFunc(list, compareWaiting)
	p := l.newPass()
	tried := l.tryPlace(p, list, maxUnplaced)
	rest := list[tried:]
	if len(rest) == 0 {
		return
	}
	l.turn %= len(rest)
	l.turn += l.tryPlace(p, rest[l.turn:], maxUnplacedInTurn)
	l.dirty = true // the others have their turn in the next passes, which are further apart
	l.nextSchedule = l.now + 2*scheduleInterval
}

// tryPlace places steps until a number of them could not be placed in full. It returns
// how many it has tried.
func (l *Leader) tryPlace(p *pass, list []waitingStep, most int) int {
	unplaced := 0
	for i := range list {
		if unplaced >= most {
			return i
		}
		s := &list[i]
		switch {
		case s.awaitsAdvice(l.now):
		case !s.spec.Gang:
			if !l.placeTasks(p, s.step, s.tasks) {
				unplaced++
			}
		case len(s.tasks) == s.spec.Count:
			if !l.placeGang(p, s.step, s.tasks) {
				unplaced++
			}
		}
	}
	return len(list)
}

// waitingSteps returns the steps with tasks that can be placed and forgets those that
// need no more work.
func (l *Leader) waitingSteps() []waitingStep {
	var list []waitingStep
	for ref, s := range l.steps {
		if s.over() {
			delete(l.steps, ref)
			continue
		}
		if s.job.Phase.Final() {
			continue
		}
		if tasks := s.waiting(); len(tasks) > 0 {
			list = append(list, waitingStep{s, tasks, l.useless(s)})
		}
	}
	return list
}
