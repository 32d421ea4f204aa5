package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/state/resource"
)

// candidate is a worker that may run a step now.
type candidate struct {
	w            *worker
	tasksThatFit int     // number of tasks of the step that fit
	speed        float64 // estimated speed of the worker
	nearData     bool    // the worker is in the rack of the step's data
	takesPlanned bool    // the tasks take room that is planned for a gang
}

// candidates returns the workers among the given ones that pass a filter and have room for
// a task of the step, best first: not avoided by the step, then near the data, then beside the room
// that is planned for a gang, then by speed, then with the least free cores, so that large tasks find
// room on other workers. A worker with room both beside and within what is planned is listed twice. For
// best-effort steps the order is: not avoided by the step, then with the highest pace, then
// with the most idle cores.
func (l *Leader) candidates(p *schedulingPass, s *step, among []*worker, allowed func(*worker) bool) []candidate {
	if !s.spec.Reserved().FitsIn(p.maxFree) {
		return nil
	}
	var out []candidate
	for _, w := range among {
		if !matchesWorker(s, w) || !allowed(w) {
			continue
		}
		if tasksThatFit := l.tasksThatFit(p.free(w), s, w); tasksThatFit > 0 {
			c := candidate{w: w, tasksThatFit: tasksThatFit, speed: l.speeds.Speed(w.ID), nearData: w.rec.HasLabel(s.spec.DataRack)}
			beside := l.roomBeside(p, s, w, tasksThatFit)
			if beside > 0 {
				c.tasksThatFit = beside
				out = append(out, c)
			}
			if beside < tasksThatFit {
				c.tasksThatFit, c.takesPlanned = tasksThatFit-beside, true
				out = append(out, c)
			}
		}
	}
	if s.spec.BestEffort {
		slices.SortFunc(out, func(a, b candidate) int {
			return cmp.Or(
				compareBool(s.avoided[a.w.ID], s.avoided[b.w.ID]),
				cmp.Compare(b.w.bestEffortPace.percent(), a.w.bestEffortPace.percent()),
				cmp.Compare(l.idleCores(p, b.w), l.idleCores(p, a.w)),
				cmp.Compare(a.w.ID, b.w.ID),
			)
		})
		return out
	}
	canWait := l.canWait(s)
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(
			compareBool(s.avoided[a.w.ID], s.avoided[b.w.ID]),
			-compareBool(a.nearData, b.nearData),
			compareBool(a.takesPlanned, b.takesPlanned),
			cmp.Compare(speedRank(a.speed, canWait), speedRank(b.speed, canWait)),
			cmp.Compare(p.free(a.w).MilliCores, p.free(b.w).MilliCores),
			cmp.Compare(a.w.ID, b.w.ID),
		)
	})
	return out
}

const (
	// waitFactor and waitMargin define a step that can wait: its job meets its objective even if
	// the rest of it takes waitFactor times the expected time, and waitMargin more. Slow workers
	// take about twice as long, and a task may have to run again.
	waitFactor = 2.5
	waitMargin = time.Second
	// tasksAtOnce is the number of tasks of a step for which the expected time counts once more:
	// the tasks of a wide step run in several rounds.
	tasksAtOnce = 32
)

// canWait reports whether the job of a step meets its objective on slow workers as well. Such
// steps use slow workers first and leave the others to work that is in a hurry: with most
// workers busy, short jobs otherwise find room on slow workers only, and are late. Gangs are as
// slow as their slowest member and do not wait.
func (l *Leader) canWait(s *step) bool {
	if s.spec.Service || s.spec.Gang {
		return false
	}
	rounds := 1 + float64(s.spec.Count)/tasksAtOnce
	return l.wallMS+int64(waitFactor*rounds*float64(s.remainingMS))+waitMargin.Milliseconds() <= s.objectiveMS
}

// speedRank orders speeds: the fastest first or, for a step that can wait, the slowest first.
// Stragglers are always last.
func speedRank(speed float64, canWait bool) int {
	tier := placement.TierOf(speed)
	if canWait && tier != placement.TierStraggler {
		return int(placement.TierStraggler) - 1 - int(tier)
	}
	return int(tier)
}

// idleCores returns the thousandths of a core that no task on a worker reserves, less
// those that its best-effort tasks can use.
func (l *Leader) idleCores(p *schedulingPass, w *worker) int {
	idle := p.free(w).MilliCores
	for ref := range w.runs {
		if s := l.steps[ref.StepRef]; s != nil && s.spec.BestEffort {
			idle -= s.spec.PerTask.MilliCores
		}
	}
	return idle
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// matchesWorker reports whether a worker is in the pool and has the label that a step
// requires. It does not check room, tickets or earlier failures.
func matchesWorker(s *step, w *worker) bool {
	return w.rec.Pool == s.queue.Pool && w.rec.HasLabel(s.spec.RequiredLabel)
}

// tasksThatFit returns how many tasks of a step fit into the free capacity of a worker and
// the step's limit of tasks per worker.
func (l *Leader) tasksThatFit(free resource.Amount, s *step, w *worker) int {
	n := fits(free, s.spec.Reserved(), s.spec.Count)
	if s.spec.MaxPerWorker == 0 {
		return n
	}
	return min(n, s.spec.MaxPerWorker-s.onWorker(w.ID))
}

// onWorker counts the tasks of a step that are assigned to a worker, or whose assignment
// to it is being committed.
func (s *step) onWorker(id string) int {
	n := 0
	for i := range s.runs {
		if s.pendingAssignments[i] == "" && s.task(i).Worker == id {
			n++
		}
	}
	for _, worker := range s.pendingAssignments {
		if worker == id {
			n++
		}
	}
	return n
}

// fits returns how many times an amount fits into free capacity, at most limit.
func fits(free, need resource.Amount, limit int) int {
	n := limit
	for _, x := range [...][2]int{{free.MilliCores, need.MilliCores}, {free.MemoryMB, need.MemoryMB}, {free.Accelerators, need.Accelerators}, {free.Slots, need.Slots}} {
		if x[1] > 0 {
			n = min(n, x[0]/x[1])
		}
	}
	return max(0, n)
}
