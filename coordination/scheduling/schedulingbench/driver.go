package schedulingbench

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

const (
	// epochMS is the wall-clock time at the start of a run, in Unix milliseconds.
	epochMS = int64(1_800_000_000_000)
	// commitDelay is the time from proposing a command to applying it: a round trip
	// between failure domains, 1.5 ms each way.
	commitDelay = 3 * time.Millisecond
	// checkEvery is the interval between checks of all invariants.
	checkEvery = 2 * time.Second
	// failAfter is the run time of a task on a broken endpoint until it fails.
	failAfter = 200 * time.Millisecond
	// packingEvery is the interval between samples of the packing.
	packingEvery = 100 * time.Millisecond
)

// event is an action at a point in virtual time. Events of the same time run in the order
// of seq.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// driver runs one scenario.
type driver struct {
	sc           Scenario
	sched        *meter
	domain       *state.Domain
	rng          *rand.Rand // arrivals and run times; the same for every scheduler
	now          time.Duration
	events       eventHeap
	seq          uint64 // number of events scheduled so far
	index        uint64 // index of the latest command
	ids          int    // number of requests submitted so far
	simEndpoints map[string]*simEndpoint
	order        []*simEndpoint // simEndpoints in the order of creation
	work         map[state.Key]*work
	waiting      []state.Key   // requests that cancelWave cancels
	nextPlanAt   time.Duration // time of the next plan without an event, 0 for none
	needsPlan    bool          // something changed since the last plan
	res          *Result
	err          error
}

// work holds what the driver needs to simulate a request and the scheduler must not know.
type work struct {
	stream    *Stream
	submitted time.Duration
	runs      []float64 // run time of each task, milliseconds on a typical endpoint
}

// Run runs the scenario with a scheduler and returns the measurements. The error is the
// first violated invariant.
func Run(sc Scenario, name string, s scheduling.Scheduler) (*Result, error) {
	d := &driver{
		sc:           sc,
		sched:        &meter{Scheduler: s, allocate: sc.Allocations},
		domain:       state.NewDomain("cell"),
		rng:          rand.New(rand.NewPCG(sc.Seed, 1)),
		simEndpoints: map[string]*simEndpoint{},
		work:         map[state.Key]*work{},
		res:          newResult(sc, name),
	}
	d.setUp()
	for len(d.events) > 0 && d.err == nil {
		if d.events[0].at > d.now {
			d.step()
			d.advance(d.events[0].at)
			continue
		}
		if d.now > sc.Length {
			break
		}
		heap.Pop(&d.events).(event).do()
	}
	d.check()
	d.finishResult()
	return d.res, d.err
}

// advance moves the virtual time to the next event or to the time of the next plan that
// the scheduler has requested, whichever is earlier.
func (d *driver) advance(next time.Duration) {
	if d.nextPlanAt > 0 && d.nextPlanAt < next {
		next, d.nextPlanAt, d.needsPlan = d.nextPlanAt, 0, true
	}
	d.now = next
}

func (d *driver) at(at time.Duration, do func()) {
	d.seq++
	heap.Push(&d.events, event{at: at.Truncate(time.Millisecond), seq: d.seq, do: do})
}

func (d *driver) after(delay time.Duration, do func()) { d.at(d.now+delay, do) }

func (d *driver) clock() scheduling.Clock {
	return scheduling.Clock{Now: d.now + time.Second, WallMS: epochMS + d.now.Milliseconds()}
}

func (d *driver) setUp() {
	cfg := state.Configuration{Teams: map[string]state.TeamConfig{}}
	shares := d.sc.Shape.shares()
	for name, q := range shares {
		kinds := map[string]state.KindConfig{}
		for i := range d.sc.Streams {
			st := &d.sc.Streams[i]
			kinds[st.Kind] = state.KindConfig{Class: st.Class, Repeatable: st.Repeatable, MaxWaitMS: st.MaxWaitMS}
		}
		cfg.Teams[name] = state.TeamConfig{Quota: q, Kinds: kinds}
	}
	d.apply(state.Command{Adopt: &state.AdoptConfiguration{Config: state.VersionedConfiguration{Version: 1, Configuration: cfg}, Shares: shares}})
	d.sched.Configure(cfg, shares)
	d.order = d.sc.Shape.simEndpoints(d.rng)
	for i, m := range d.order {
		m.broken = d.sc.Broken > 0 && m.endpoint.Kind == state.KindWorker && i%d.sc.Broken == 0
		d.simEndpoints[m.endpoint.Name] = m
		d.apply(state.Command{RegisterEndpoint: &state.RegisterEndpoint{AtMS: d.clock().WallMS, Endpoint: m.endpoint}})
	}
	d.res.observeCapacity(d.order)
	for i := range d.sc.Streams {
		d.startStream(&d.sc.Streams[i])
	}
	d.scheduleFaults()
	d.after(checkEvery, d.periodic)
	d.at(d.sc.WarmUp, d.samplePacking)
}

func (d *driver) startStream(st *Stream) {
	if st.Count > 0 {
		d.at(st.From, func() {
			for range st.Count {
				d.submit(st)
			}
		})
		return
	}
	// next holds the exact time of the next arrival, while events are rounded down to
	// milliseconds. Adding up rounded intervals would raise high rates.
	next := st.From
	var arrive func()
	arrive = func() {
		d.submit(st)
		next += st.next(d.rng, d.sc.Swing, d.now)
		d.at(next, arrive)
	}
	next += st.next(d.rng, d.sc.Swing, 0)
	d.at(next, arrive)
}

// submit creates a request of the stream. If the scheduler admits it, the command that
// accepts it is applied after commitDelay.
func (d *driver) submit(st *Stream) {
	d.ids++
	team := st.Team
	if team == "" {
		team = teamName(d.rng.IntN(d.sc.Shape.Teams))
	}
	clock := d.clock()
	r := state.Request{
		Key:  state.Key{Team: team, ID: state.NewRequestID("cell", clock.WallMS/1000, fmt.Sprint(d.ids))},
		Kind: st.Kind, Class: st.Class, Repeatable: st.Repeatable, Tasks: max(1, st.Tasks),
		PerTask: st.size(d.rng), AcceptedMS: clock.WallMS, Retries: 3,
	}
	if st.DeadlineMS > 0 {
		r.DeadlineMS = clock.WallMS + st.DeadlineMS
	}
	w := &work{stream: st, submitted: d.now}
	for range r.Tasks {
		w.runs = append(w.runs, st.run(d.rng))
	}
	wrong := 1.0
	if d.sc.WrongBy > 0 {
		wrong = math.Pow(d.sc.WrongBy, 2*d.rng.Float64()-1)
	}
	r.EstimateMS = max(1, int64(st.RunMS*wrong))
	cancel := d.sc.CancelPart > 0 && d.rng.Float64() < d.sc.CancelPart
	d.res.submitted(st.Class)
	if v := d.sched.Admit(clock, &r); !v.Admit {
		d.res.refused(st.Class, d.sc.Swing.crest(d.now))
		return
	}
	d.work[r.Key] = w
	if cancel {
		d.waiting = append(d.waiting, r.Key)
	}
	d.after(commitDelay, func() { d.apply(state.Command{Accept: &state.Accept{Request: r}}) })
}

// apply applies a command to the state and passes the changes to the scheduler.
func (d *driver) apply(c state.Command) state.Applied {
	d.index++
	a := d.domain.Apply(d.index, c)
	// The state returns the records of a lost endpoint in random order.
	sort.Slice(a.Records, func(i, j int) bool { return a.Records[i].ID < a.Records[j].ID })
	for _, r := range a.Records {
		d.sched.RecordChanged(d.clock(), r)
		if r.Final() {
			d.ended(r)
		}
	}
	if a.Endpoint != nil {
		d.sched.EndpointChanged(d.clock(), a.Endpoint)
	}
	d.needsPlan = true
	return a
}

// step requests plans from the scheduler, as the control goroutine does after events.
func (d *driver) step() {
	if !d.needsPlan || d.err != nil {
		return
	}
	d.needsPlan = false
	clock := d.clock()
	for _, p := range d.sched.Plan(clock) {
		d.after(commitDelay, func() { d.commitPlan(p) })
	}
	for _, e := range d.sched.EndpointTransitions(clock) {
		d.res.Transitions++
		d.after(commitDelay, func() { d.apply(state.Command{EndpointStatus: e}) })
	}
	for _, e := range d.sched.Expired(clock) {
		d.res.Expired++
		d.after(commitDelay, func() { d.apply(state.Command{Expire: e}) })
	}
	if at := d.sched.NextPlanTime(); at > 0 {
		d.nextPlanAt = max(at-time.Second, d.now+time.Millisecond)
	} else {
		d.nextPlanAt = 0
	}
}

// commitPlan applies a plan and starts its tasks, or counts its rejection.
func (d *driver) commitPlan(p *state.Assign) {
	d.checkBorrowing(p)
	a := d.apply(state.Command{Assign: p})
	if a.Rejected != nil {
		d.res.Rejected++
		d.sched.PlanSettled(p, false)
		return
	}
	for _, it := range p.Items {
		d.sched.EndpointChanged(d.clock(), d.domain.Endpoint(it.Endpoint))
	}
	d.sched.PlanSettled(p, true)
	for _, ref := range a.Assigned {
		d.startTask(ref)
	}
}

// startTask simulates an attempt on the endpoint to which the task is assigned, and
// schedules the report of the attempt's end.
func (d *driver) startTask(ref state.TaskRef) {
	t := &d.domain.Record(ref.Key).State[ref.Task]
	m := d.simEndpoints[t.Endpoint]
	w := d.work[ref.Key]
	if t.Attempt == 1 {
		d.res.waited(w.stream, d.now-w.submitted, d.sc.Swing.crest(w.submitted), w.submitted)
	}
	d.res.Placements++
	run, status := time.Duration(w.runs[ref.Task]/m.speed*float64(time.Millisecond)), state.TaskDone
	if m.broken {
		run, status = failAfter, state.TaskFailed
	}
	d.res.started(w.stream, m, run)
	incarnation := t.Incarnation
	d.after(run, func() { d.report(ref, m, incarnation, status) })
}

// report reports the end of an attempt, unless its endpoint was lost or restarted, or the
// attempt is no longer the current one.
func (d *driver) report(ref state.TaskRef, m *simEndpoint, incarnation uint64, status state.TaskStatus) {
	r := d.domain.Record(ref.Key)
	if r == nil || m.lost || m.endpoint.Incarnation != incarnation {
		return
	}
	t := &r.State[ref.Task]
	if t.Attempt != ref.Attempt || t.Status != state.TaskAssigned {
		return
	}
	if r.CancelRequested && status == state.TaskDone {
		status = state.TaskCancelled
	}
	clock := d.clock()
	advice := d.sched.Observe(clock, scheduling.Observation{Record: r, Task: ref.Task, Endpoint: t.Endpoint, RunMS: clock.WallMS - t.AssignedMS, Status: status})
	c := &state.Report{TaskRef: ref, AtMS: clock.WallMS, Endpoint: t.Endpoint, Incarnation: t.Incarnation, Status: status,
		Requeue: advice.Requeue, EndpointAtFault: advice.EndpointAtFault, NotBeforeMS: advice.NotBeforeMS}
	d.after(commitDelay, func() { d.apply(state.Command{Report: c}) })
}

func (d *driver) ended(r *state.Record) {
	w := d.work[r.Key]
	if w == nil {
		return
	}
	d.res.outcome(r, w, d.now)
	delete(d.work, r.Key)
}

// periodic checks the invariants and prunes ended requests from the state.
func (d *driver) periodic() {
	d.check()
	var keys []state.Key
	d.domain.Records(func(r *state.Record) bool {
		if r.Final() && d.work[r.Key] == nil {
			keys = append(keys, r.Key)
		}
		return true
	})
	d.index++
	d.domain.Apply(d.index, state.Command{Prune: &state.Prune{Keys: keys}})
	d.after(checkEvery, d.periodic)
}

// samplePacking records how much of the workers' capacity is reserved.
func (d *driver) samplePacking() {
	var reserved state.Resources
	for _, m := range d.order {
		if m.endpoint.Kind == state.KindWorker {
			reserved = reserved.Add(d.domain.Endpoint(m.endpoint.Name).Reserved)
		}
	}
	d.res.packed(reserved)
	d.after(packingEvery, d.samplePacking)
}

// finishResult records tasks that never started with the time that they have waited so
// far. Otherwise a scheduler that leaves work waiting would look better.
func (d *driver) finishResult() {
	d.domain.Records(func(r *state.Record) bool {
		w := d.work[r.Key]
		for i := range r.State {
			if t := &r.State[i]; w != nil && t.Status == state.TaskQueued && t.Attempt == 0 {
				d.res.unstarted(w.stream, d.now-w.submitted, d.sc.Swing.crest(w.submitted), w.submitted)
			}
		}
		return true
	})
	d.res.setCost(d.sched)
}
