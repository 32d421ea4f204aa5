package jobs

import (
	"cmp"
	"slices"

	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/state/resource"
)

// candidate is a worker that may run a step now.
type candidate struct {
	w     *worker
	room  int // tasks of the step that fit
	speed float64
	near  bool // holds the step's data
}

// candidates returns those of some workers with room for a task of a step that pass a filter,
// the best first: near the data, then fast, then tightly filled, so that room for wide
// tasks is kept elsewhere.
func (l *Leader) candidates(p *pass, s *step, among []*worker, allowed func(*worker) bool) []candidate {
	if !s.spec.Reserved().FitsIn(p.most) {
		return nil
	}
	var out []candidate
	for _, w := range among {
		if !suits(s, w) || !allowed(w) {
			continue
		}
		if room := l.room(p.free(w), s, w); room > 0 {
			speed := l.speeds.Speed(w.ID)
			out = append(out, candidate{w: w, room: room, speed: speed, near: w.rec.HasLabel(s.spec.DataRack)})
		}
	}
	if s.spec.BestEffort {
		slices.SortFunc(out, func(a, b candidate) int {
			return cmp.Or(
				compareBool(s.avoid[a.w.ID], s.avoid[b.w.ID]),
				cmp.Compare(b.w.fill.percent(), a.w.fill.percent()),
				cmp.Compare(l.idleCores(p, b.w), l.idleCores(p, a.w)),
				cmp.Compare(a.w.ID, b.w.ID),
			)
		})
		return out
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(
			-compareBool(a.near, b.near),
			compareBool(s.avoid[a.w.ID], s.avoid[b.w.ID]),
			cmp.Compare(placement.TierOf(a.speed), placement.TierOf(b.speed)),
			cmp.Compare(p.free(a.w).MilliCores, p.free(b.w).MilliCores),
			cmp.Compare(a.w.ID, b.w.ID),
		)
	})
	return out
}

// idleCores returns the thousandths of a core that a worker's tasks leave idle, less
// what the tasks that fill there can use.
func (l *Leader) idleCores(p *pass, w *worker) int {
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

// suits reports whether a usable worker may run tasks of a step, leaving aside room,
// tickets and what is known against it.
func suits(s *step, w *worker) bool {
	return w.rec.Pool == s.queue.Pool && w.rec.HasLabel(s.spec.RequiredLabel)
}

// room returns how many tasks of a step fit into free capacity of a worker.
func (l *Leader) room(free resource.Amount, s *step, w *worker) int {
	n := fits(free, s.spec.Reserved(), s.spec.Count)
	if s.spec.MaxPerWorker == 0 {
		return n
	}
	return min(n, s.spec.MaxPerWorker-s.onWorker(w.ID))
}

// onWorker counts the tasks of a step that a worker holds or is about to get.
func (s *step) onWorker(id string) int {
	n := 0
	for i := range s.runs {
		if s.planned[i] == "" && s.task(i).Worker == id {
			n++
		}
	}
	for _, worker := range s.planned {
		if worker == id {
			n++
		}
	}
	return n
}

// fits returns how many times a need fits into free capacity, at most limit.
func fits(free, need resource.Amount, limit int) int {
	n := limit
	for _, x := range [...][2]int{{free.MilliCores, need.MilliCores}, {free.MemoryMB, need.MemoryMB}, {free.Accelerators, need.Accelerators}, {free.Slots, need.Slots}} {
		if x[1] > 0 {
			n = min(n, x[0]/x[1])
		}
	}
	return max(0, n)
}
