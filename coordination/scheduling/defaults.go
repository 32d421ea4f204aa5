package scheduling

import (
	"fmt"
	"math"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// averages is the default Estimator. It keeps moving averages of the run time for
// each team and kind, and of the ratio of expected to observed run time for each
// endpoint.
type averages struct {
	kinds  map[kindKey]*kindAverage
	speeds map[string]float64
}

type kindKey struct{ team, kind string }

type kindAverage struct {
	n      int     // number of observations
	run    float64 // median, milliseconds at speed 1
	spread float64 // mean absolute deviation of the logarithm of the run time from the prediction
}

const (
	averageWeight  = 0.1  // weight of a new observation; about the last 20 observations count
	defaultRunMS   = 1000 // run time assumed for a kind that declares none, milliseconds
	declaredMargin = 10   // upper estimate relative to a declared run time, which is wrong by up to a factor of 10
	learnedAfter   = 5    // number of observations from which the average replaces the declared value
	minSpeed       = 0.01 // lower bound of learned speeds, since run times are divided by the speed
	// deviationOfSpread is the standard deviation of a normal distribution relative to
	// its mean absolute deviation. The mean of a log-normal run time exceeds its median
	// accordingly.
	deviationOfSpread = 1.25
	spreadAllowance   = 3 // number of deviations between the median and the upper run time
)

func newAverages() *averages {
	return &averages{kinds: map[kindKey]*kindAverage{}, speeds: map[string]float64{}}
}

func (a *averages) Estimate(r *state.Request) Estimate {
	k := a.kinds[kindKey{r.Team, r.Kind}]
	if k == nil || k.n < learnedAfter {
		declared := r.EstimateMS
		if declared == 0 {
			declared = defaultRunMS
		}
		return Estimate{RunMS: declared, UpperMS: declared * declaredMargin}
	}
	deviation := k.spread * deviationOfSpread
	return Estimate{
		RunMS:       int64(k.run * math.Exp(deviation*deviation/2)),
		UpperMS:     int64(k.run * math.Exp(spreadAllowance*k.spread)),
		Reliability: math.Exp(-k.spread),
	}
}

func (a *averages) Speed(endpoint string) float64 {
	if s, ok := a.speeds[endpoint]; ok {
		return s
	}
	return 1
}

func (a *averages) Observe(_ Clock, o Observation) {
	if o.Status != state.TaskDone || o.RunMS <= 0 || o.Record.Class == state.ClassService {
		return
	}
	speed := a.Speed(o.Endpoint)
	key := kindKey{o.Record.Team, o.Record.Kind}
	k := a.kinds[key]
	if k == nil {
		k = &kindAverage{run: float64(o.RunMS) * speed, spread: 1}
		a.kinds[key] = k
	}
	ratio := math.Log(float64(o.RunMS) * speed / k.run)
	k.n++
	k.spread += averageWeight * (math.Abs(ratio) - k.spread)
	k.run *= math.Exp(averageWeight * ratio)
	if k.n > learnedAfter {
		a.speeds[o.Endpoint] = max(minSpeed, speed*math.Exp(-averageWeight*ratio))
	}
}

// boundedWait is the default Admitter. It refuses work whose expected wait exceeds
// the bound of its class, and work that has to wait and would miss its deadline.
type boundedWait struct{}

// Configure implements Admitter.
func (boundedWait) Configure(state.Configuration) {}

// Admit implements Admitter.
func (boundedWait) Admit(c Clock, r *state.Request, e Estimate, loads Loads) Verdict {
	l := loads(r.Class)
	wait := l.WaitMS()
	if l.BoundMS > 0 && wait > l.BoundMS {
		return Verdict{Reason: fmt.Sprintf("%s work would wait %d ms, the limit is %d ms", r.Class, wait, l.BoundMS), RetryAfterMS: wait - l.BoundMS}
	}
	if late := c.WallMS + wait + e.RunMS - r.DeadlineMS; r.DeadlineMS > 0 && wait > 0 && late > 0 {
		return Verdict{Reason: fmt.Sprintf("would finish %d ms after its deadline", late), RetryAfterMS: max(1, min(wait, late))}
	}
	return Verdict{Admit: true}
}

// fixedDelay is the default RetryPolicy. It retries after a constant delay.
type fixedDelay struct{}

// badEndpointTries is the number of attempts that work gets in addition to the job's
// retries if it has failed only on endpoints that were at fault. Without a bound, work
// that always fails would keep the endpoints of a small domain in quarantine and never
// end.
const badEndpointTries = 2

// retryDelayMS is the delay before a retry. It gives an endpoint on which a task has
// just failed the time to recover or to be quarantined.
const retryDelayMS = 1000

func (fixedDelay) Advise(c Clock, o Observation, endpointAtFault bool) FailureAdvice {
	var a FailureAdvice
	switch {
	case o.Status == state.TaskNotRun:
		a.Requeue = true
	case o.Status == state.TaskFailed && o.Record.Repeatable:
		t := &o.Record.State[o.Task]
		a.EndpointAtFault = endpointAtFault && t.Failures == 0 && t.Attempt-t.Declined <= o.Record.Retries+badEndpointTries
		a.Requeue = a.EndpointAtFault || t.Failures < o.Record.Retries
	}
	if a.Requeue {
		a.NotBeforeMS = c.WallMS + retryDelayMS
	}
	return a
}

// failureStreaks is the default HealthTracker. When failuresInRow different jobs have
// failed on an endpoint without a success in between, it quarantines the endpoint. The
// quarantine ends when a task succeeds there.
type failureStreaks struct {
	endpoints map[string]*failureStreak
	changes   []Transition // not yet returned by Transitions
}

type failureStreak struct {
	failed      map[state.Key]bool // jobs that failed since the last success
	quarantined bool
	trialAt     time.Duration // monotonic time of the next trial
	interval    time.Duration // time to the next trial, doubled by each trial
}

const (
	failuresInRow    = 3                // failed jobs that lead to quarantine; different ones, so that one bad job does not suffice
	firstTrial       = 10 * time.Second // time from quarantine to the first trial
	longestTrialWait = 10 * time.Minute // upper bound of the interval between trials
)

func newFailureStreaks() *failureStreaks {
	return &failureStreaks{endpoints: map[string]*failureStreak{}}
}

func (f *failureStreaks) Observe(c Clock, o Observation) bool {
	e := f.endpoints[o.Endpoint]
	switch o.Status {
	case state.TaskDone:
		if e != nil {
			if e.quarantined {
				f.changes = append(f.changes, Transition{o.Endpoint, state.EndpointReady})
			}
			delete(f.endpoints, o.Endpoint)
		}
		return false
	case state.TaskFailed:
	default:
		return false
	}
	if e == nil {
		e = &failureStreak{failed: map[state.Key]bool{}, interval: firstTrial}
		f.endpoints[o.Endpoint] = e
	}
	e.failed[o.Record.Key] = true
	if len(e.failed) >= failuresInRow && !e.quarantined {
		e.quarantined, e.trialAt = true, c.Now+e.interval
		f.changes = append(f.changes, Transition{o.Endpoint, state.EndpointQuarantined})
	}
	return e.quarantined
}

func (f *failureStreaks) Transitions(Clock) []Transition {
	out := f.changes
	f.changes = nil
	return out
}

func (f *failureStreaks) TrialAt(endpoint string) time.Duration {
	if e := f.endpoints[endpoint]; e != nil {
		return e.trialAt
	}
	return 0
}

func (f *failureStreaks) TrialStarted(c Clock, endpoint string) {
	e := f.endpoints[endpoint]
	if e == nil {
		// The endpoint was quarantined before this scheduler was created.
		e = &failureStreak{failed: map[state.Key]bool{}, quarantined: true, interval: firstTrial}
		f.endpoints[endpoint] = e
	}
	e.interval = min(longestTrialWait, 2*e.interval)
	e.trialAt = c.Now + e.interval
}
