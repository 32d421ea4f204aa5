package jobs

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// world runs leaders against fake workers in virtual time and checks after every event
// that no promise is broken.
type world struct {
	t       testing.TB
	checked time.Duration // time of the last check
	rng     *rand.Rand
	seed    uint64
	now     time.Duration
	queue   events
	order   int
	state   *job.State
	leader  *Leader
	term    uint64
	up      bool
	index   uint64

	workers map[string]*fakeWorker // by address
	good    map[string]bool        // step and worker
	answers map[Token]Answer
	token   Token
	done    map[job.TaskRef]bool // an end "done" was noted
	failed  map[job.TaskRef]int  // noted ends "failed"

	finished map[job.TaskRef]bool // ended as done, noted or not
	gone     map[job.ID]time.Duration
	specs    map[job.ID]job.Submission

	loseAnswers float64 // share of orders that are carried out late and not answered
	goodShare   float64
	serviceTail float64 // milliseconds, of a service task that is alone
	fillHarm    float64 // milliseconds that a task that fills adds at full pace
	advice      bool
	alone       int // members of gangs that waited in vain
	gangs       map[gangRun][]member
	leaderTime  time.Duration // that the leader's decisions have taken
	lines       []string
}

// checkInterval is the step in which time passes on the workers.
const checkInterval = 5 * time.Millisecond

const (
	testStop     = 400 * time.Millisecond
	testGangWait = 3 * time.Second
	testMaxLease = 6 * time.Second
	testTimeout  = 250 * time.Millisecond // of an order
	testEpochMS  = 1_700_000_000_000
)

type event struct {
	at    time.Duration
	order int
	f     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), state: job.New(), workers: map[string]*fakeWorker{},
		good: map[string]bool{}, answers: map[Token]Answer{}, done: map[job.TaskRef]bool{}, finished: map[job.TaskRef]bool{}, failed: map[job.TaskRef]int{},
		gone: map[job.ID]time.Duration{}, specs: map[job.ID]job.Submission{}, gangs: map[gangRun][]member{}, goodShare: 0.8,
	}
	w.elect()
	return w
}

// sorted returns the workers by address.
func (w *world) sorted() []*fakeWorker {
	var out []*fakeWorker
	for _, address := range slices.Sorted(maps.Keys(w.workers)) {
		out = append(out, w.workers[address])
	}
	return out
}

func (w *world) wallMS() int64 { return testEpochMS + w.now.Milliseconds() }

func (w *world) after(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, f})
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

// elect starts the next term. Commands of the last one that were not committed are lost.
func (w *world) elect() {
	w.term++
	w.up = true
	w.leader = NewLeader(&fakeHost{w: w, term: w.term}, w.state, w.bounds(), w.term, w.now, w.wallMS())
	w.after(time.Millisecond, func() { w.handle(ProcessHeartbeat{Name: "self", Address: "agent"}) })
}

// depose ends the term; nobody leads until elect.
func (w *world) depose() { w.up = false }

func (w *world) bounds() Bounds {
	return Bounds{
		MaxLease: testMaxLease, StopTime: testStop, GangWait: testGangWait, StatusRetention: 120 * time.Second,
		RemoteDataFactor: 2, CheckpointInterval: 500 * time.Millisecond, MinAvailableTime: 4 * time.Second, MaintenanceTime: 2 * time.Second,
	}
}

// handle passes an event to the leader.
func (w *world) handle(e Event) {
	if !w.up {
		return
	}
	began := time.Now()
	w.leader.Advance(w.now, w.wallMS())
	w.leader.Handle(e)
	w.leaderTime += time.Since(began)
	w.work()
}

func (w *world) work() {
	began := time.Now()
	w.leader.Advance(w.now, w.wallMS())
	w.leader.Work()
	w.leaderTime += time.Since(began)
}

// run plays until a time.
func (w *world) run(until time.Duration) {
	w.t.Helper()
	for w.now < until && !w.t.Failed() {
		next := until
		if w.up {
			next = min(next, max(w.leader.NextWake(), w.now+time.Millisecond))
		}
		if len(w.queue) > 0 && w.queue[0].at <= next {
			e := heap.Pop(&w.queue).(event)
			w.now = max(w.now, e.at)
			e.f()
		} else {
			w.now = next
			if w.up {
				w.work()
			}
		}
		if w.now-w.checked >= checkInterval {
			w.checked = w.now
			for _, x := range w.sorted() {
				x.advance()
			}
			w.check()
		}
	}
}

// heartbeats keeps the agent of the current leader and the workers' reports coming.
func (w *world) heartbeats() {
	w.handle(ProcessHeartbeat{Name: "self", Address: "agent"})
	for _, x := range w.sorted() {
		if !x.cut && !x.dead {
			x.sequence++
			w.handle(WorkerHeartbeat{Worker: x.record(), Leaving: x.leaving, ClockMS: x.clock(), Sequence: x.sequence})
			if x.leaving && x.leavingSince == 0 {
				x.leavingSince = w.now
			}
		}
	}
	w.after(700*time.Millisecond, w.heartbeats)
}

func (w *world) configure(attempts int, advice *job.Advice) {
	w.advice = advice != nil
	w.apply(&job.Command{Configure: &job.Configuration{
		Version: 1, Pools: []job.Pool{{Name: "p"}},
		Queues: []job.Queue{
			{Name: "urgent", Host: "h", Prefix: "/u/", Pool: "p", MaxAttempts: attempts, TimeoutMS: 3000, Stretch: 1.5, TargetLatencyMS: 250, Advice: advice},
			{Name: "batch", Host: "h", Prefix: "/b/", Pool: "p", Priority: 2, MaxAttempts: attempts, TimeoutMS: 3000, Stretch: 4, TargetLatencyMS: 3000, Advice: advice},
		},
	}})
}

func (w *world) apply(c *job.Command) job.Applied {
	w.index++
	a := w.state.Apply(w.index, c)
	if err := w.state.Check(); err != nil {
		w.errorf("invariant: %v", err)
	}
	return a
}

func (w *world) submit(path string, s job.Submission) Token {
	w.token++
	w.specs[s.ID] = s
	w.handle(Submit{Token: w.token, Host: "h", Path: path + string(s.ID), Submission: s})
	return w.token
}

func (w *world) errorf(format string, args ...any) {
	w.t.Helper()
	if w.t.Failed() {
		return
	}
	for _, l := range w.lines[max(0, len(w.lines)-60):] {
		w.t.Log(l)
	}
	w.t.Errorf("seed %d at %v: %s", w.seed, w.now, fmt.Sprintf(format, args...))
}

// check looks for broken promises that are visible on the workers.
func (w *world) check() {
	running := map[job.TaskRef]string{}
	for _, x := range w.workers {
		var used resource.Amount
		for ref, r := range x.runs {
			if other, twice := running[ref]; twice {
				w.errorf("task %s runs on %s and %s", ref, other, x.id)
			}
			running[ref] = x.id
			used = used.Add(r.need)
			if at, ok := w.gone[ref.Job]; ok && w.up && w.now-at > 30*time.Second {
				w.errorf("task %s runs %v after its job was cancelled", ref, w.now-at)
			}
		}
		if !used.FitsIn(x.capacity) {
			w.errorf("worker %s runs %+v of %+v", x.id, used, x.capacity)
		}
	}
}

// fakeHost commits commands after a while, unless the term has ended by then.
type fakeHost struct {
	w    *world
	term uint64
}

func (h *fakeHost) current() bool { return h.w.up && h.w.term == h.term }

func (h *fakeHost) Propose(c *job.Command, done func(a job.Applied, committed bool)) bool {
	if !h.current() {
		return false
	}
	w := h.w
	survives := w.rng.IntN(2) == 0
	w.after(w.between(8*time.Millisecond, 20*time.Millisecond), func() {
		if !h.current() {
			if survives && !w.up { // committed by the successor before it begins its term
				w.apply(c)
			}
			if done != nil {
				done(job.Applied{}, false)
			}
			return
		}
		a := w.apply(c)
		w.leader.Advance(w.now, w.wallMS())
		w.leader.Applied(c, a)
		if done != nil {
			done(a, true)
		}
		w.work()
	})
	return true
}

func (h *fakeHost) Reply(t Token, a Answer) { h.w.answers[t] = a }

func (h *fakeHost) Members() []string { return []string{"agent"} }

func (h *fakeHost) Log(l LogLine) {
	h.w.lines = append(h.w.lines, fmt.Sprintf("%v term %d %s %s %s: %s %v", h.w.now, h.term, l.Step, l.Request, l.Peer, l.Message, l.Fields))
}

func (h *fakeHost) Emit(e Effect) {
	w := h.w
	switch e := e.(type) {
	case RequestAdvice:
		w.after(w.between(10*time.Millisecond, 60*time.Millisecond), func() { w.handle(h.advise(e)) })
	case StartRun:
		w.deliver(e.Order, func(x *fakeWorker) Event {
			return StartAnswered{Start: e, Result: x.answer(e.Order, x.start(&e)), ClockMS: x.clock()}
		}, StartAnswered{Start: e, Result: OrderUnanswered})
	case StopRun:
		w.deliver(e.Order, func(x *fakeWorker) Event {
			return StopAnswered{Stop: e, Result: x.answer(e.Order, x.stop(&e)), ClockMS: x.clock()}
		}, StopAnswered{Stop: e, Result: OrderUnanswered})
	case PaceRun:
		w.deliver(e.Order, func(x *fakeWorker) Event {
			return PaceAnswered{Pace: e, Result: x.answer(e.Order, x.pace(&e))}
		}, PaceAnswered{Pace: e, Result: OrderUnanswered})
	case Observe:
		w.observe(e)
	}
}

func (h *fakeHost) advise(e RequestAdvice) Event {
	out := AdviceAnswered{Request: e, ValidMS: 1500}
	for _, id := range e.Workers {
		key := e.Step.String() + id
		if _, known := h.w.good[key]; !known {
			h.w.good[key] = h.w.rng.Float64() < h.w.goodShare
		}
		if h.w.good[key] {
			out.Good = append(out.Good, Ticket{Worker: id, Ticket: key})
		}
	}
	return out
}

// deliver carries an order to a worker. It may be lost, or carried out late.
func (w *world) deliver(o Order, f func(x *fakeWorker) Event, lost Event) {
	term := w.term
	answer := func(e Event) {
		if w.term == term {
			w.handle(e)
		}
	}
	w.after(w.between(time.Millisecond, 4*time.Millisecond), func() {
		x := w.workers[o.Address]
		if x == nil || x.cut || x.dead {
			w.after(testTimeout, func() { answer(lost) })
			return
		}
		if w.rng.Float64() < w.loseAnswers {
			life := x.born // the life that left the order unanswered carries it out, not the next one
			w.after(w.between(2*time.Second, 12*time.Second), func() {
				if !x.cut && !x.dead && x.id == o.Worker.ID && x.born == life {
					f(x)
				}
			})
			w.after(testTimeout, func() { answer(lost) })
			return
		}
		e := f(x)
		w.after(w.between(time.Millisecond, 3*time.Millisecond), func() { answer(e) })
	})
}

// observe carries an observation to a worker, which holds its answer back until a run
// has ended or the wait is over.
func (w *world) observe(o Observe) {
	term := w.term
	answer := func(e Event) {
		if w.term == term {
			w.handle(e)
		}
	}
	wait := time.Duration(o.WaitMS) * time.Millisecond
	lost := func() { w.after(testTimeout, func() { answer(Observed{Observe: o, Result: OrderUnanswered}) }) }
	reachable := func() *fakeWorker {
		x := w.workers[o.Address]
		if x == nil || x.cut || x.dead {
			return nil
		}
		return x
	}
	var poll func(until time.Duration)
	poll = func(until time.Duration) {
		x := reachable()
		switch {
		case x == nil:
			w.after(max(0, until-w.now), lost)
		case len(x.ended) == 0 && w.now < until && x.id == o.Worker.ID:
			w.after(10*time.Millisecond, func() { poll(until) })
		default:
			e := x.observe(&o)
			w.after(w.between(time.Millisecond, 3*time.Millisecond), func() { answer(e) })
		}
	}
	w.after(w.between(time.Millisecond, 4*time.Millisecond), func() {
		x := reachable()
		if x == nil || w.rng.Float64() < w.loseAnswers {
			w.after(wait, lost)
			return
		}
		if e := x.observe(&o); len(x.ended) > 0 || wait == 0 {
			w.after(w.between(time.Millisecond, 3*time.Millisecond), func() { answer(e) })
			return
		}
		poll(w.now + wait)
	})
}
