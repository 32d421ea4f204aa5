package jobs

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// fakeWorker keeps to the protocol of workers: leases on a clock of its own, fencing
// tokens, run numbers, ends that are listed until they are noted.
type fakeWorker struct {
	w        *world
	id       string
	address  string
	born     int64
	bornAt   time.Duration
	slow     float64 // of its clock
	capacity resource.Amount
	labels   []string
	domain   string
	sequence int64
	fence    uint64
	until    int64 // end of the lease, on its own clock
	runs     map[job.TaskRef]*fakeRun
	highest  map[job.TaskRef]int // run number of the last end or stop
	ended    []EndedRun
	void     int64 // ends up to this number do not count any more: the lease expired before they were noted
	number   int64

	cut, dead, leaving bool
	leavingSince       time.Duration
	failShare          float64
	hang               bool
	speed              float64
}

type fakeRun struct {
	number  int
	need    resource.Amount
	started time.Duration
	work    time.Duration
	begun   time.Duration // 0 until the whole gang is present
	fails   bool
	stopAt  time.Duration // 0 unless it is being stopped
	gang    int
	slowed  int // percent taken off its pace
}

func (w *world) addWorker(id string, cores int) *fakeWorker {
	x := &fakeWorker{w: w, id: id, address: id + ":1", slow: 0.98 + 0.02*w.rng.Float64(), speed: 1, capacity: resource.Amount{MilliCores: cores * 1000, MemoryMB: 64000}}
	x.begin(id)
	w.workers[x.address] = x
	return x
}

// begin starts a new life.
func (x *fakeWorker) begin(id string) {
	x.id, x.bornAt, x.born = id, x.w.now, x.w.wallMS()+1
	x.fence, x.until, x.number, x.sequence, x.void = 0, 0, 0, 0, 0
	x.runs, x.highest, x.ended = map[job.TaskRef]*fakeRun{}, map[job.TaskRef]int{}, nil
	x.dead, x.leaving, x.leavingSince = false, false, 0
}

func (x *fakeWorker) record() job.Worker {
	return job.Worker{Incarnation: job.Incarnation{ID: x.id, StartedMS: x.born}, Address: x.address, Pool: "p", Domain: x.domain, Capacity: x.capacity, Labels: x.labels}
}

// clock is never 0, so that 0 can mean "not told".
func (x *fakeWorker) clock() int64 {
	return 1 + int64(float64((x.w.now-x.bornAt).Milliseconds())*x.slow)
}

// accepts checks what a worker checks: an order names its ID, but not its life, and a
// restarted worker may have the same ID.
func (x *fakeWorker) accepts(o Order) OrderResult {
	if o.Worker.ID != x.id {
		return OrderWrongIncarnation
	}
	if o.Term < x.fence {
		return OrderFenced
	}
	x.fence = o.Term
	return OrderDone
}

// answer returns the result that the caller of an order sees: it compares the life that
// answered with the one that it meant.
func (x *fakeWorker) answer(o Order, r OrderResult) OrderResult {
	if o.Worker.StartedMS != x.born {
		return OrderWrongIncarnation
	}
	return r
}

func (x *fakeWorker) extend(until int64) {
	x.until = max(x.until, min(until, x.clock()+testMaxLease.Milliseconds()))
}

func (x *fakeWorker) start(e *StartRun) OrderResult {
	if r := x.accepts(e.Order); r != OrderDone {
		return r
	}
	if r := x.runs[e.TaskRef]; r != nil && r.number == e.Run {
		x.extend(e.UntilMS)
		return OrderDone
	}
	if e.UntilMS <= x.clock() {
		return OrderLeaseExpired
	}
	x.extend(e.UntilMS)
	if r := x.runs[e.TaskRef]; e.Run <= x.highest[e.TaskRef] || r != nil && e.Run < r.number {
		return OrderSuperseded
	}
	if x.w.advice && (e.Ticket != e.StepRef.String()+x.id || !x.w.good[e.Ticket]) {
		return OrderNoTicket
	}
	x.checkStart(e)
	spec := x.w.specs[e.Job].Steps[e.Step]
	r := &fakeRun{number: e.Run, need: spec.Reserved(), started: x.w.now, fails: x.w.rng.Float64() < x.failShare}
	r.work = time.Duration(float64(spec.EstimateMS)*(0.5+x.w.rng.Float64())/x.speed) * time.Millisecond
	if spec.Gang {
		r.gang = spec.Count
		run := gangRun{e.StepRef, e.Run}
		x.w.gangs[run] = append(x.w.gangs[run], member{x, e.TaskRef})
	} else {
		r.begun = x.w.now
	}
	x.runs[e.TaskRef] = r
	return OrderDone
}

// checkStart looks for starts that break a promise.
func (x *fakeWorker) checkStart(e *StartRun) {
	w := x.w
	if w.done[e.TaskRef] {
		w.errorf("task %s starts after its end was noted as done", e.TaskRef)
	}
	spec := w.specs[e.Job].Steps[e.Step]
	if n := w.state.QueueOf(w.state.Job(e.Job)).MaxAttempts; !spec.Service && w.failed[e.TaskRef] >= n {
		w.errorf("task %s starts after %d failed attempts", e.TaskRef, n)
	}
	for _, a := range spec.After {
		for i := range w.specs[e.Job].Steps[a].Count {
			if !w.finished[job.TaskRef{StepRef: job.StepRef{Job: e.Job, Occurrence: e.Occurrence, Step: a}, Index: i}] {
				w.errorf("task %s starts before step %d is done", e.TaskRef, a)
			}
		}
	}
	if x.leavingSince > 0 && w.now-x.leavingSince > 2*time.Second && e.SentAt > x.leavingSince+2*time.Second {
		w.errorf("task %s starts on %s, which is draining since %v", e.TaskRef, x.id, x.leavingSince)
	}
	if at, ok := w.gone[e.Job]; ok && e.SentAt > at+3*time.Second {
		w.errorf("task %s is started %v after its job was cancelled", e.TaskRef, w.now-at)
	}
}

func (x *fakeWorker) stop(e *StopRun) OrderResult {
	if r := x.accepts(e.Order); r != OrderDone {
		return r
	}
	x.highest[e.TaskRef] = max(x.highest[e.TaskRef], e.Run)
	if r := x.runs[e.TaskRef]; r != nil && r.number <= e.Run && r.stopAt == 0 {
		r.stopAt = x.w.now + x.w.between(50*time.Millisecond, testStop)
	}
	return OrderDone
}

func (x *fakeWorker) observe(e *Observe) Event {
	if r := x.accepts(e.Order); r != OrderDone {
		return Observed{Observe: *e, Result: r, ClockMS: x.clock()}
	}
	if r := x.answer(e.Order, OrderDone); r != OrderDone {
		return Observed{Observe: *e, Result: r, ClockMS: x.clock()}
	}
	if e.UntilMS > 0 {
		x.extend(e.UntilMS)
	}
	for len(x.ended) > 0 && x.ended[0].Number <= e.AckedEnd {
		x.noted(&x.ended[0])
		x.ended = x.ended[1:]
	}
	out := Observed{Observe: *e, Result: OrderDone, ClockMS: x.clock(), Ended: append([]EndedRun(nil), x.ended...)}
	for _, ref := range x.refs() {
		r := x.runs[ref]
		out.Running = append(out.Running, RunningTask{TaskRef: ref, Run: r.number, Percent: x.percent(r), Usage: x.usage(ref)})
	}
	return out
}

// usage returns the tail of a service task, which rises with the pace of each task that
// fills on the worker.
func (x *fakeWorker) usage(ref job.TaskRef) int {
	if !x.w.specs[ref.Job].Steps[ref.Step].Service {
		return 0
	}
	tail := x.w.serviceTail
	for other, r := range x.runs {
		if x.w.specs[other.Job].Steps[other.Step].BestEffort {
			tail += x.w.fillHarm * float64(100-r.slowed) / 100
		}
	}
	return int(tail)
}

func (x *fakeWorker) pace(e *PaceRun) OrderResult {
	if r := x.accepts(e.Order); r != OrderDone {
		return r
	}
	r := x.runs[e.TaskRef]
	if r == nil || r.number != e.Run {
		return OrderSuperseded
	}
	r.slowed = 100 - e.Percent
	return OrderDone
}

func (x *fakeWorker) percent(r *fakeRun) int {
	if r.begun == 0 || x.hang {
		return 0
	}
	return int(min(100, 100*(x.w.now-r.begun)/max(1, r.work)))
}

// noted follows an end that the leader has acknowledged.
func (x *fakeWorker) noted(e *EndedRun) {
	switch {
	case e.Number <= x.void:
	case e.Kind == job.EndDone:
		x.w.done[e.TaskRef] = true
	case e.Kind == job.EndFailed:
		x.w.failed[e.TaskRef]++
	}
}

func (x *fakeWorker) end(ref job.TaskRef, kind job.EndKind) {
	r := x.runs[ref]
	delete(x.runs, ref)
	x.highest[ref] = max(x.highest[ref], r.number)
	if kind == job.EndDone {
		x.w.finished[ref] = true
	}
	x.number++
	x.ended = append(x.ended, EndedRun{Number: x.number, RunEnd: job.RunEnd{TaskRef: ref, Run: r.number, Kind: kind}})
}

// advance lets time pass on the worker.
func (x *fakeWorker) advance() {
	if x.dead {
		return
	}
	now := x.w.now
	if x.until > 0 && x.clock() >= x.until && len(x.ended) > 0 {
		x.void = x.number
	}
	for _, ref := range x.refs() {
		r := x.runs[ref]
		if r == nil {
			continue // it ended with another member of its gang
		}
		switch {
		case x.clock() >= x.until:
			x.end(ref, job.EndLeaseExpired)
		case r.stopAt > 0 && now >= r.stopAt:
			x.end(ref, job.EndStopped)
		case r.gang > 0 && r.begun == 0:
			x.joinGang(ref, r)
		case r.gang > 0 && r.begun > 0 && len(x.w.gang(ref, r.number)) < r.gang:
			x.end(ref, job.EndGangBroken)
		case r.begun > 0 && !x.hang && now-r.begun >= r.work && !x.w.specs[ref.Job].Steps[ref.Step].Service:
			x.finish(ref, r)
		}
	}
}

// refs returns the tasks that run, in a fixed order.
func (x *fakeWorker) refs() []job.TaskRef {
	return (&job.Worker{Tasks: x.numbers()}).SortedTasks()
}

func (x *fakeWorker) numbers() map[job.TaskRef]int {
	out := map[job.TaskRef]int{}
	for ref, r := range x.runs {
		out[ref] = r.number
	}
	return out
}

func (x *fakeWorker) finish(ref job.TaskRef, r *fakeRun) {
	kind := job.EndDone
	if r.fails {
		kind = job.EndFailed
	}
	if r.gang == 0 {
		x.end(ref, kind)
		return
	}
	for _, m := range x.w.gang(ref, r.number) {
		switch {
		case kind == job.EndDone || m.ref == ref:
			m.x.end(m.ref, kind)
		default:
			m.x.end(m.ref, job.EndGangBroken)
		}
	}
}

// joinGang begins the work of a gang when all its members are present.
func (x *fakeWorker) joinGang(ref job.TaskRef, r *fakeRun) {
	members := x.w.gang(ref, r.number)
	if len(members) == r.gang {
		for _, m := range members {
			m.x.runs[m.ref].begun = x.w.now
		}
		return
	}
	if x.w.now-r.started > testGangWait {
		x.w.alone++
		x.end(ref, job.EndGangIncomplete)
	}
}

type member struct {
	x   *fakeWorker
	ref job.TaskRef
}

// gangRun identifies one run of a gang.
type gangRun struct {
	job.StepRef
	number int
}

// gang returns the members of a gang's run that are present, by task.
func (w *world) gang(ref job.TaskRef, number int) []member {
	var out []member
	for _, m := range w.gangs[gangRun{ref.StepRef, number}] {
		if r := m.x.runs[m.ref]; r != nil && r.number == number && !m.x.dead {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b member) int { return job.CompareTasks(a.ref, b.ref) })
	return out
}
