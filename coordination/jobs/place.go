package jobs

import (
	"cmp"
	"slices"
	"strings"

	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/state/job"
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
	if s.spec.Filler {
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
		if s := l.steps[ref.StepRef]; s != nil && s.spec.Filler {
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

// placeTasks assigns as many waiting tasks as fit and reports whether that was all.
func (l *Leader) placeTasks(p *pass, s *step, waiting []int) bool {
	var items []job.Assignment
	rest := waiting
	for _, c := range l.candidates(p, s, l.admitted(p, s), s.admits(l.now)) {
		for n := 0; n < c.room && len(rest) > 0; n++ {
			items = append(items, job.Assignment{Index: rest[0], Run: s.task(rest[0]).Run + 1, Worker: c.w.ID, BornMS: c.w.BornMS})
			rest = rest[1:]
		}
	}
	if len(items) > 0 {
		l.assign(s, items)
	}
	if len(rest) > 0 {
		l.consult(p, s, len(rest))
	}
	return len(rest) == 0
}

// placeGang assigns all tasks of a gang or none. If they do not fit, it keeps room for
// them free of steps that come later. It reports whether the gang was assigned.
func (l *Leader) placeGang(p *pass, s *step, waiting []int) bool {
	items := l.planGang(p, s, waiting)
	if items != nil {
		l.assign(s, items)
		return true
	}
	l.preempt(p, s, len(waiting))
	l.consult(p, s, len(waiting))
	l.reserve(p, s, len(waiting))
	return false
}

// planGang returns workers for all tasks of a gang, or nil. A gang that is sensitive
// to racks goes onto one rack if any has room.
func (l *Leader) planGang(p *pass, s *step, waiting []int) []job.Assignment {
	all := l.candidates(p, s, l.admitted(p, s), s.admits(l.now))
	if s.spec.RackSensitive {
		for _, rack := range racksOf(all) {
			if items := fillGang(s, waiting, rack); items != nil {
				return items
			}
		}
	}
	return fillGang(s, waiting, all)
}

func fillGang(s *step, waiting []int, all []candidate) []job.Assignment {
	run := 0
	for _, i := range waiting {
		run = max(run, s.task(i).Run+1) // all members carry the same number
	}
	var items []job.Assignment
	for _, c := range all {
		for n := 0; n < c.room && len(items) < len(waiting); n++ {
			items = append(items, job.Assignment{Index: waiting[len(items)], Run: run, Worker: c.w.ID, BornMS: c.w.BornMS})
		}
	}
	if len(items) < len(waiting) {
		return nil
	}
	return items
}

// racksOf groups candidates by their labels other than the kind, in a fixed order.
func racksOf(all []candidate) [][]candidate {
	byRack := map[string][]candidate{}
	var names []string
	for _, c := range all {
		rack := rackOf(c.w.rec)
		if byRack[rack] == nil {
			names = append(names, rack)
		}
		byRack[rack] = append(byRack[rack], c)
	}
	slices.Sort(names)
	var out [][]candidate
	for _, n := range names {
		out = append(out, byRack[n])
	}
	return out
}

// rackOf returns the last label of a worker, which names its rack.
func rackOf(w *job.Worker) string {
	if len(w.Labels) == 0 {
		return w.ID
	}
	return w.Labels[len(w.Labels)-1]
}

// reserve keeps the free room of workers that may run a gang for it, the ones with the
// most room first, up to what it needs.
func (l *Leader) reserve(p *pass, s *step, need int) {
	if l.now < s.claimedUntil {
		l.holdClaims(p, s)
		return
	}
	known := s.knownGood()
	all := l.candidates(p, s, p.usable, func(w *worker) bool { return len(known) == 0 || known[w.ID] })
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(b.room, a.room) })
	for _, c := range all {
		if need <= 0 {
			return
		}
		n := min(need, c.room)
		p.held[c.w] = p.held[c.w].Add(s.spec.Reserved().Scale(n))
		need -= n
	}
}

// maxNamed bounds the workers that a log line names.
const maxNamed = 6

// namesOf lists the workers of an assignment for the log.
func namesOf(items []job.Assignment) string {
	var names []string
	for _, it := range items {
		if !slices.Contains(names, it.Worker) {
			names = append(names, it.Worker)
		}
	}
	if len(names) > maxNamed {
		names = append(names[:maxNamed], "...")
	}
	return strings.Join(names, ",")
}

// holdClaims keeps what is free on claimed workers, also if it is too little for a task
// yet: more is about to be freed there.
func (l *Leader) holdClaims(p *pass, s *step) {
	for _, w := range l.byID {
		if n := s.claims[w.ID]; n > 0 {
			p.held[w] = p.held[w].Add(p.free(w).Positive().Min(s.spec.Reserved().Scale(n)))
		}
	}
}

// assign commits an assignment; the starts are sent after that.
func (l *Leader) assign(s *step, items []job.Assignment) {
	need := s.spec.Reserved()
	release := func() {
		for _, it := range items {
			delete(s.planned, it.Index)
			if w := l.workers[it.Worker]; w != nil && w.BornMS == it.BornMS {
				w.pending = w.pending.Sub(need)
			}
		}
	}
	for _, it := range items {
		s.planned[it.Index] = it.Worker
		w := l.workers[it.Worker]
		w.pending = w.pending.Add(need)
	}
	cmd := &job.Command{Assign: &job.Assign{StepRef: s.ref, AtMS: l.wallMS, Items: items}}
	ok := l.propose(cmd, func(a job.Applied, committed bool) {
		release()
		l.dirty = true
		switch {
		case committed && a.Rejected == nil:
			l.log("info", "assign", s.ref.String(), "", "tasks were assigned", "tasks", len(items), "workers", namesOf(items), "queue", s.queue.Name, "ready_ms", (l.now - s.ready).Milliseconds(), "age_ms", l.wallMS-s.job.AcceptedMS)
			l.host.Emit(Measure{Metric: MetricWait, Queue: s.queue.Name, Value: l.now - s.ready})
			l.startRuns(s, items)
		case committed:
			l.log("info", "assign", s.ref.String(), "", "the assignment no longer holds", "reason", a.Rejected.Error())
		}
	})
	if !ok {
		release()
	}
}
