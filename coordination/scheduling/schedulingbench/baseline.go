package schedulingbench

import (
	"sort"
	"time"

	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

// Baseline is a simple Scheduler for comparison. It serves all requests in the order of
// their arrival, each on the first endpoint by name that has room. It has no admission
// limit, does not borrow quota and never quarantines endpoints.
type Baseline struct {
	tries     int // number of requests that do not fit after which a plan stops
	names     []string
	endpoints map[string]*state.Endpoint
	pending   map[string]state.Resources // reserved capacity, by endpoint, of plans that are not settled
	waiting   []state.Key
	queued    map[state.Key]bool
	records   map[state.Key]*state.Record
	planned   map[state.TaskRef]bool
	shares    map[string]state.Resources
	own       map[string]state.Resources
	plans     map[*state.Assign]*state.Record
	visits    uint64
}

// baselineTries is the number of requests that do not fit after which a plan of the
// first-fit baseline stops. It keeps the runs short.
const baselineTries = 16

// NewFCFS returns the first come, first served baseline, in which a request that does not
// fit blocks all later ones.
func NewFCFS() *Baseline { return newBaseline(1) }

// NewFirstFit returns the baseline in which later requests may overtake one that does not
// fit.
func NewFirstFit() *Baseline { return newBaseline(baselineTries) }

func newBaseline(tries int) *Baseline {
	return &Baseline{
		tries: tries, endpoints: map[string]*state.Endpoint{}, pending: map[string]state.Resources{},
		queued: map[state.Key]bool{}, records: map[state.Key]*state.Record{}, planned: map[state.TaskRef]bool{},
		shares: map[string]state.Resources{}, own: map[string]state.Resources{}, plans: map[*state.Assign]*state.Record{},
	}
}

// Visited returns the number of endpoints that the searches have examined.
func (b *Baseline) Visited() uint64 { return b.visits }

// Configure implements scheduling.Scheduler.
func (b *Baseline) Configure(_ state.Configuration, shares map[string]state.Resources) {
	b.shares = shares
}

// Admit implements scheduling.Scheduler.
func (b *Baseline) Admit(scheduling.Clock, *state.Request) scheduling.Verdict {
	return scheduling.Verdict{Admit: true}
}

// RecordChanged implements scheduling.Scheduler.
func (b *Baseline) RecordChanged(_ scheduling.Clock, r *state.Record) {
	b.count(b.records[r.Key], -1)
	b.count(r, 1)
	b.records[r.Key] = r
	if r.Final() {
		if !held(r) {
			delete(b.records, r.Key)
		}
		return
	}
	if !b.queued[r.Key] && b.next(r) >= 0 {
		b.queued[r.Key] = true
		b.waiting = append(b.waiting, r.Key)
	}
}

func held(r *state.Record) bool {
	for i := range r.State {
		if r.State[i].HoldsCapacity {
			return true
		}
	}
	return false
}

// count adds the tasks of a record that reserve capacity to the team's use (n is 1), or
// removes them (n is -1).
func (b *Baseline) count(r *state.Record, n int) {
	if r == nil {
		return
	}
	for i := range r.State {
		if r.State[i].Reserves() {
			b.own[r.Team] = b.own[r.Team].Add(r.PerTask.Scale(n))
		}
	}
}

// next returns the first queued task that is not planned, or -1.
func (b *Baseline) next(r *state.Record) int {
	for i := range r.State {
		if r.State[i].Status == state.TaskQueued && !r.CancelRequested && !b.planned[ref(r, i)] {
			return i
		}
	}
	return -1
}

func ref(r *state.Record, i int) state.TaskRef { return state.TaskRef{Key: r.Key, Task: i} }

// EndpointChanged implements scheduling.Scheduler.
func (b *Baseline) EndpointChanged(_ scheduling.Clock, e *state.Endpoint) {
	if b.endpoints[e.Name] == nil {
		b.names = append(b.names, e.Name)
		sort.Strings(b.names)
	}
	b.endpoints[e.Name] = e
}

// EndpointRemoved implements scheduling.Scheduler.
func (b *Baseline) EndpointRemoved(name string) {}

// Plan implements scheduling.Scheduler.
func (b *Baseline) Plan(c scheduling.Clock) []*state.Assign {
	var out []*state.Assign
	var kept []state.Key // requests that did not fit
	i, failed := 0, 0
	for ; i < len(b.waiting) && failed < b.tries; i++ {
		k := b.waiting[i]
		r := b.records[k]
		if r != nil && b.next(r) >= 0 {
			if a := b.place(c, r); a != nil {
				out = append(out, a)
			}
			if b.next(r) >= 0 {
				kept = append(kept, k)
				failed++
				continue
			}
		}
		delete(b.queued, k)
	}
	// The requests that did not fit are put back in front of the rest.
	i -= len(kept)
	copy(b.waiting[i:], kept)
	b.waiting = b.waiting[i:]
	return out
}

// place returns a plan for the queued tasks of a request that fit, or nil if there are
// none. It plans either all queued tasks of a gang or none.
func (b *Baseline) place(c scheduling.Clock, r *state.Record) *state.Assign {
	a := &state.Assign{AtMS: c.WallMS}
	for i := b.next(r); i >= 0; i = b.next(r) {
		e := b.firstFit(r)
		if e == nil {
			break
		}
		a.Items = append(a.Items, state.Assignment{Key: r.Key, Task: i, Endpoint: e.Name, Incarnation: e.Incarnation})
		b.use(r, e.Name, i, 1)
	}
	if r.Class == state.ClassGang && b.next(r) >= 0 {
		b.releasePlan(a, r)
		return nil
	}
	if len(a.Items) == 0 {
		return nil
	}
	b.plans[a] = r
	return a
}

// use adds a planned task to the use of its endpoint and its team (n is 1), or removes it
// (n is -1).
func (b *Baseline) use(r *state.Record, endpoint string, task, n int) {
	b.pending[endpoint] = b.pending[endpoint].Add(r.PerTask.Scale(n))
	b.own[r.Team] = b.own[r.Team].Add(r.PerTask.Scale(n))
	if n > 0 {
		b.planned[ref(r, task)] = true
	} else {
		delete(b.planned, ref(r, task))
	}
}

// releasePlan removes all assignments of a plan from the use of the endpoints and the
// team.
func (b *Baseline) releasePlan(a *state.Assign, r *state.Record) {
	for _, it := range a.Items {
		b.use(r, it.Endpoint, it.Task, -1)
	}
}

func (b *Baseline) firstFit(r *state.Record) *state.Endpoint {
	if !b.own[r.Team].Add(r.PerTask).FitsIn(b.shares[r.Team]) {
		return nil
	}
	for _, name := range b.names {
		e := b.endpoints[name]
		b.visits++
		if e.Status == state.EndpointReady && r.PerTask.FitsIn(e.Free().Sub(b.pending[name])) {
			return e
		}
	}
	return nil
}

// PlanSettled implements scheduling.Scheduler.
func (b *Baseline) PlanSettled(p *state.Assign, applied bool) {
	b.releasePlan(p, b.plans[p])
	delete(b.plans, p)
	if applied || len(p.Items) == 0 {
		return
	}
	if k := p.Items[0].Key; b.records[k] != nil && !b.queued[k] {
		b.queued[k] = true
		b.waiting = append(b.waiting, k)
	}
}

// Observe implements scheduling.Scheduler.
func (b *Baseline) Observe(c scheduling.Clock, o scheduling.Observation) scheduling.FailureAdvice {
	retry := o.Status == state.TaskFailed && o.Record.Repeatable && o.Record.State[o.Task].Failures < o.Record.Retries
	return scheduling.FailureAdvice{Requeue: retry || o.Status == state.TaskNotRun}
}

// Expired implements scheduling.Scheduler.
func (b *Baseline) Expired(scheduling.Clock) []*state.Expire { return nil }

// EndpointTransitions implements scheduling.Scheduler.
func (b *Baseline) EndpointTransitions(scheduling.Clock) []*state.SetEndpointStatus { return nil }

// WhyWaiting implements scheduling.Scheduler.
func (b *Baseline) WhyWaiting(state.Key) string { return "" }

// NextPlanTime implements scheduling.Scheduler.
func (b *Baseline) NextPlanTime() time.Duration { return 0 }

// admitAll is the Admitter of the baseline without an admission limit.
type admitAll struct{}

// Configure implements scheduling.Admitter.
func (admitAll) Configure(state.Configuration) {}

// Admit implements scheduling.Admitter.
func (admitAll) Admit(scheduling.Clock, *state.Request, scheduling.Estimate, scheduling.Loads) scheduling.Verdict {
	return scheduling.Verdict{Admit: true}
}

// NewUnlimited returns the project's scheduler without an admission limit.
func NewUnlimited() scheduling.Scheduler {
	return scheduling.New(scheduling.Options{Admitter: admitAll{}})
}
