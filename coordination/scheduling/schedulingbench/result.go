package schedulingbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primrosereach/primrosereach/state"
)

// Result holds the measurements of one run.
type Result struct {
	Scenario  string
	Shape     string
	Scheduler string

	Wait  map[string]*hdrhistogram.Histogram // time from submission to first start by kind, microseconds
	Crest map[string]*hdrhistogram.Histogram // the same for requests submitted at the crest

	Submitted    map[state.Class]int
	Refused      map[state.Class]int
	RefusedCrest map[state.Class]int
	Done         map[state.Class]int
	Failed       map[state.Class]int
	Late         map[state.Class]int // requests done after their deadline

	Packing float64 // mean of reserved to total capacity of the scarcest resource of workers

	Placements, Rejected, Cancelled, Expired, Transitions, Borrowed int
	Checks, Violations                                              int
	Allocations, Plans, Events, Visits                              float64 // number per placement
	OnBroken                                                        int     // tasks started on broken endpoints
	OnStragglers                                                    int     // tasks started on stragglers
	WorstStragglerRun                                               time.Duration
	Unstarted                                                       map[state.Class]int           // tasks that were never assigned and are still queued at the end
	OldestUnstarted                                                 map[state.Class]time.Duration // longest wait of the tasks in Unstarted

	sc      Scenario
	total   state.Resources // total capacity of all workers
	samples int             // number of samples in Packing
}

// maxWaitUS is the longest wait that the histograms hold: one hour, in microseconds.
const maxWaitUS = 3600 * 1_000_000

func newResult(sc Scenario, scheduler string) *Result {
	return &Result{
		Scenario: sc.Name, Shape: sc.Shape.Name, Scheduler: scheduler, sc: sc,
		Wait: map[string]*hdrhistogram.Histogram{}, Crest: map[string]*hdrhistogram.Histogram{},
		Submitted: map[state.Class]int{}, Refused: map[state.Class]int{}, RefusedCrest: map[state.Class]int{},
		Done: map[state.Class]int{}, Failed: map[state.Class]int{}, Late: map[state.Class]int{},
		Unstarted: map[state.Class]int{}, OldestUnstarted: map[state.Class]time.Duration{},
	}
}

func record(m map[string]*hdrhistogram.Histogram, kind string, d time.Duration) {
	h := m[kind]
	if h == nil {
		h = hdrhistogram.New(1, maxWaitUS, 3)
		m[kind] = h
	}
	// A wait beyond the range of the histogram is recorded as its maximum.
	_ = h.RecordValue(min(maxWaitUS, max(1, d.Microseconds())))
}

func (r *Result) observeCapacity(ms []*simEndpoint) {
	for _, m := range ms {
		if m.endpoint.Kind == state.KindWorker {
			r.total = r.total.Add(m.endpoint.Capacity)
		}
	}
}

func (r *Result) submitted(c state.Class) { r.Submitted[c]++ }

func (r *Result) refused(c state.Class, crest bool) {
	r.Refused[c]++
	if crest {
		r.RefusedCrest[c]++
	}
}

func (r *Result) waited(st *Stream, wait time.Duration, crest bool, submitted time.Duration) {
	if submitted < r.sc.WarmUp {
		return
	}
	record(r.Wait, st.Kind, wait)
	if crest {
		record(r.Crest, st.Kind, wait)
	}
}

func (r *Result) started(st *Stream, m *simEndpoint, run time.Duration) {
	if m.broken {
		r.OnBroken++
	}
	if m.speed == stragglerSpeed && !m.broken {
		r.OnStragglers++
		if st.Class != state.ClassService {
			r.WorstStragglerRun = max(r.WorstStragglerRun, run)
		}
	}
}

func (r *Result) outcome(rec *state.Record, w *work, now time.Duration) {
	switch rec.Outcome() {
	case state.OutcomeDone:
		r.Done[rec.Class]++
		if rec.DeadlineMS > 0 && epochMS+now.Milliseconds() > rec.DeadlineMS {
			r.Late[rec.Class]++
		}
	case state.OutcomeFailed, state.OutcomeUnknown:
		r.Failed[rec.Class]++
	}
}

// Percentile returns the percentile q, from 0 to 100, of the waits of a kind, or 0 if there are none.
func Percentile(m map[string]*hdrhistogram.Histogram, kind string, q float64) time.Duration {
	h := m[kind]
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtPercentile(q)) * time.Microsecond
}

// Worst returns the longest wait of a kind.
func Worst(m map[string]*hdrhistogram.Histogram, kind string) time.Duration {
	h := m[kind]
	if h == nil {
		return 0
	}
	return time.Duration(h.Max()) * time.Microsecond
}

func (r *Result) unstarted(st *Stream, age time.Duration, crest bool, submitted time.Duration) {
	r.Unstarted[st.Class]++
	r.OldestUnstarted[st.Class] = max(r.OldestUnstarted[st.Class], age)
	r.waited(st, age, crest, submitted)
}

// packed adds a sample to the mean in Packing.
func (r *Result) packed(reserved state.Resources) {
	part := max(float64(reserved.MilliCores)/float64(max(1, r.total.MilliCores)), float64(reserved.MemoryMB)/float64(max(1, r.total.MemoryMB)))
	r.samples++
	r.Packing += (part - r.Packing) / float64(r.samples)
}

func (r *Result) setCost(m *meter) {
	placed := float64(max(1, r.Placements))
	r.Plans, r.Events = float64(m.plan.n)/placed, float64(m.events())/placed
	r.Allocations = m.allocations() / placed
	if v, ok := m.Scheduler.(interface{ Visited() uint64 }); ok {
		r.Visits = float64(v.Visited()) / placed
	}
}
