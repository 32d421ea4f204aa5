package health

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/primrosereach/primrosereach/state"
)

func runner(i int) *state.Endpoint {
	return &state.Endpoint{Name: fmt.Sprintf("r%02d", i), Kind: state.KindRunner, Incarnation: 1, Status: state.EndpointReady}
}

func job(i int) state.Key { return state.Key{Team: "a", ID: state.RequestID(fmt.Sprint("d.1.", i))} }

// ready returns a tracker with n runners that were registered at time 0.
func ready(n int) *Tracker {
	t := New()
	for i := range n {
		t.UpdateEndpoint(0, runner(i))
	}
	t.Transitions(0)
	return t
}

// answerAll answers heartbeats of the first n endpoints every 2 s, starting at from,
// until end.
func answerAll(t *Tracker, n int, from, end time.Duration) {
	for now := from; now <= end; now += 2 * time.Second {
		for i := range n {
			t.HeartbeatAnswered(now, runner(i).Name)
		}
		t.Transitions(now)
	}
}

func wantStatus(tb testing.TB, t *Tracker, name string, want state.EndpointStatus) {
	tb.Helper()
	if got := t.Status(name); got != want {
		tb.Errorf("%s is %s, want %s", name, got, want)
	}
}

// Guards against wrong bounds on the time without contact: a stopped endpoint would
// get new work, or its work would be started again while it may still run.
func TestTimeWithoutContact(t *testing.T) {
	tr := ready(2)
	tr.HeartbeatAnswered(4*time.Second, "r01")
	for _, step := range []struct {
		at   time.Duration
		want []Transition
		next time.Duration
	}{
		{SuspectAfter - 1, nil, 6 * time.Second},
		{SuspectAfter, []Transition{{"r00", 1, state.EndpointSuspect}}, 10 * time.Second},
		{LostAfter - 1, []Transition{{"r01", 1, state.EndpointSuspect}}, 11 * time.Second},
		{LostAfter, []Transition{{"r00", 1, state.EndpointLost}}, 15 * time.Second},
		{15 * time.Second, []Transition{{"r01", 1, state.EndpointLost}}, 0},
	} {
		got := tr.Transitions(step.at)
		if fmt.Sprint(got) != fmt.Sprint(step.want) {
			t.Errorf("at %v: %v, want %v", step.at, got, step.want)
		}
		if next, ok := tr.NextDeadline(); next != step.next || ok != (step.next != 0) {
			t.Errorf("at %v: next deadline %v, want %v", step.at, next, step.next)
		}
	}
}

// Guards against a new leader that measures time without contact from before its
// term, which would lose endpoints that answered its predecessor, and against one
// that counts a change of the replicated state as contact, which would never lose
// them.
func TestTermStart(t *testing.T) {
	const start = time.Hour
	tr := New()
	for i, s := range []state.EndpointStatus{state.EndpointReady, state.EndpointSuspect, state.EndpointLost, state.EndpointLeaving, state.EndpointQuarantined, state.EndpointFlapping} {
		e := runner(i)
		e.Status = s
		tr.UpdateEndpoint(start, e)
	}
	if got := tr.Transitions(start); got != nil {
		t.Errorf("transitions without evidence: %v", got)
	}
	tr.UpdateEndpoint(start+5*time.Second, runner(0))
	if got := tr.Transitions(start + LostAfter - 1); len(got) != 3 {
		t.Errorf("before the lease has surely ended: %v, want three suspect endpoints", got)
	}
	if got := tr.Transitions(start + LostAfter); len(got) != 5 {
		t.Errorf("after the lease: %v, want five lost endpoints", got)
	}
}

// Guards against an endpoint that repeatedly disconnects and returns and keeps
// getting work, which it then loses.
func TestFlapping(t *testing.T) {
	tr := ready(1)
	now := time.Duration(0)
	for i := range FlappingReturns {
		wantStatus(t, tr, "r00", state.EndpointReady)
		now += 20 * time.Second
		tr.Transitions(now)
		wantStatus(t, tr, "r00", state.EndpointLost)
		if i == 1 { // a restart is a return as well
			e := runner(0)
			e.Incarnation = 2
			tr.UpdateEndpoint(now, e)
		}
		tr.HeartbeatAnswered(now, "r00")
		tr.Transitions(now)
	}
	wantStatus(t, tr, "r00", state.EndpointFlapping)
	answerAll(tr, 1, now, now+StableAfter-time.Second)
	wantStatus(t, tr, "r00", state.EndpointFlapping)
	if next, _ := tr.NextDeadline(); next != now+StableAfter {
		t.Errorf("next deadline %v, want the end of flapping at %v", next, now+StableAfter)
	}
	answerAll(tr, 1, now+StableAfter, now+StableAfter)
	wantStatus(t, tr, "r00", state.EndpointReady)
}

// Guards against ending flapping for an endpoint that was unresponsive and thus not
// stable, also when this leader has not seen the earlier returns.
func TestFlappingNeedsStableTime(t *testing.T) {
	for _, back := range []time.Duration{30 * time.Second, 70 * time.Second} {
		tr := New()
		e := runner(0)
		e.Status = state.EndpointFlapping
		tr.UpdateEndpoint(0, e)
		tr.Transitions(back)
		answerAll(tr, 1, back, back+StableAfter-time.Second)
		wantStatus(t, tr, "r00", state.EndpointFlapping)
		answerAll(tr, 1, back+StableAfter, back+StableAfter)
		wantStatus(t, tr, "r00", state.EndpointReady)
	}
}

// Guards against missing restarts that are too fast to make the endpoint suspect,
// which count as returns, and against counting returns that are far apart, which are
// ordinary restarts.
func TestRestartsCountByTheirDistance(t *testing.T) {
	for apart, want := range map[time.Duration]state.EndpointStatus{
		time.Second:                        state.EndpointFlapping,
		FlappingWindow/2 + time.Nanosecond: state.EndpointReady,
	} {
		tr := ready(1)
		for i := range FlappingReturns {
			wantStatus(t, tr, "r00", state.EndpointReady)
			e := runner(0)
			e.Incarnation = uint64(i + 2)
			tr.UpdateEndpoint(time.Duration(i)*apart, e)
		}
		wantStatus(t, tr, "r00", want)
	}
}

// Guards against excluding an endpoint because of one bad job, and against an
// endpoint that keeps failing different jobs without being excluded.
func TestQuarantineNeedsDifferentJobsInARow(t *testing.T) {
	for _, c := range []struct {
		name string
		jobs []int // -1 is a success
		want state.EndpointStatus
	}{
		{"one job", []int{1, 1, 1, 1, 1, 1}, state.EndpointReady},
		{"two jobs", []int{1, 2, 1, 2, 1, 2}, state.EndpointReady},
		{"success between", []int{1, 2, -1, 3, 4}, state.EndpointReady},
		{"three jobs", []int{1, 2, 3}, state.EndpointQuarantined},
		{"recovered", []int{1, 2, 3, -1}, state.EndpointReady},
	} {
		tr := ready(10)
		for _, j := range c.jobs {
			if j < 0 {
				tr.Succeeded("r00")
			} else {
				tr.Failed(0, "r00", job(j))
			}
		}
		if got := tr.Status("r00"); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against trials at a fixed interval, which waste jobs on a failed endpoint,
// and against trials that stop or whose interval has no bound, which never detect
// that it was repaired.
func TestTrialIntervals(t *testing.T) {
	const n = 10
	tr := ready(n)
	for j := range QuarantineAfter {
		tr.Failed(0, "r00", job(j))
	}
	var trials []time.Duration
	for now := time.Duration(0); now < 30*time.Minute; now += 2 * time.Second {
		answerAll(tr, n, now, now)
		if tr.TrialDue("r00") {
			tr.TrialStarted(now, "r00")
			if tr.TrialDue("r00") {
				t.Fatal("two trials at once")
			}
			tr.Failed(now, "r00", job(100+len(trials)))
			trials = append(trials, now)
		}
	}
	last := time.Duration(0)
	interval := FirstTrial
	for _, at := range trials {
		if at-last != interval {
			t.Errorf("trial after %v, want %v (all: %v)", at-last, interval, trials)
		}
		last, interval = at, min(2*interval, MaxTrial)
	}
	if len(trials) < 9 {
		t.Errorf("%d trials in 30 minutes", len(trials))
	}
	tr.Succeeded("r00")
	wantStatus(t, tr, "r00", state.EndpointReady)
}

// Guards against keeping a wrong status in the replicated state: a drained endpoint
// would get new work.
func TestLeavingIsKept(t *testing.T) {
	tr := ready(1)
	e := runner(0)
	e.Status = state.EndpointLeaving
	tr.UpdateEndpoint(0, e)
	tr.UpdateEndpoint(0, runner(0)) // an older change to ready is applied after it
	if got := tr.Transitions(0); len(got) != 1 || got[0].Status != state.EndpointLeaving {
		t.Errorf("%v, want leaving once more", got)
	}
	tr.Leaving("r00", false)
	if got := tr.Transitions(0); len(got) != 1 || got[0].Status != state.EndpointReady {
		t.Errorf("%v, want ready", got)
	}
}

// model recomputes the time without contact of every endpoint by scanning all
// endpoints, as a reference for the ordered lists of the tracker.
type model struct {
	lastAnswered map[string]time.Duration
}

func (m *model) check(tr *Tracker, now time.Duration, reported map[string]state.EndpointStatus) error {
	quarantined, present := 0, 0
	var first time.Duration
	for name, at := range m.lastAnswered {
		s := tr.Status(name)
		sinceContact := now - at
		if (s == state.EndpointLost) != (sinceContact >= LostAfter) || sinceContact < LostAfter && (s == state.EndpointSuspect) != (sinceContact >= SuspectAfter) {
			return fmt.Errorf("%s is %s after %v without contact", name, s, sinceContact)
		}
		if reported[name] != s {
			return fmt.Errorf("%s is %s, reported %s", name, s, reported[name])
		}
		if s != state.EndpointLost {
			present++
			due := at + SuspectAfter
			if sinceContact >= SuspectAfter {
				due = at + LostAfter
			}
			if first == 0 || due < first {
				first = due
			}
		}
		if tr.endpoints[name].quarantined && s != state.EndpointLost {
			quarantined++
		}
	}
	if limit := min(max(1, present/5), max(0, present-1)); quarantined > limit {
		return fmt.Errorf("%d of %d in quarantine", quarantined, present)
	}
	next, ok := tr.NextDeadline()
	if ok && next <= now || first != 0 && (!ok || next > first) {
		return fmt.Errorf("next deadline %v (%v) at %v, first contact deadline %v", next, ok, now, first)
	}
	return nil
}

// Guards against statuses, deadlines or a limit on quarantine that differ from a scan
// of all endpoints. A missed deadline keeps a failed endpoint in use, one in the past
// makes the caller spin, and excluding most endpoints stops the cell.
func TestTrackerMatchesScan(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(21)
	p.MinSuccessfulTests = 100
	props := gopter.NewProperties(p)
	props.Property("scan", prop.ForAll(func(seed int64) (bool, error) {
		r := rand.New(rand.NewSource(seed))
		n := 1 + r.Intn(25)
		tr, m, now := New(), &model{lastAnswered: map[string]time.Duration{}}, time.Duration(0)
		reported := map[string]state.EndpointStatus{}
		for range 600 {
			now += time.Duration(r.Int63n(int64(1500 * time.Millisecond)))
			e := runner(r.Intn(n))
			e.Incarnation = uint64(1 + r.Intn(60)/59)
			_, known := m.lastAnswered[e.Name]
			switch c := r.Intn(12); {
			case !known:
				tr.UpdateEndpoint(now, e)
				m.lastAnswered[e.Name], reported[e.Name] = now, state.EndpointReady
			case c < 6:
				tr.HeartbeatAnswered(now, e.Name)
				m.lastAnswered[e.Name] = now
			case c < 9:
				tr.Failed(now, e.Name, job(r.Intn(1000)))
			case c < 10:
				tr.Succeeded(e.Name)
			case c < 11:
				tr.TrialStarted(now, e.Name)
			case tr.endpoints[e.Name].incarnation != e.Incarnation:
				tr.UpdateEndpoint(now, e)
				m.lastAnswered[e.Name], reported[e.Name] = now, state.EndpointReady
			case r.Intn(20) == 0:
				tr.Remove(e.Name)
				delete(m.lastAnswered, e.Name)
			}
			for _, x := range tr.Transitions(now) {
				reported[x.Name] = x.Status
			}
			if err := m.check(tr, now, reported); err != nil {
				return false, err
			}
		}
		return true, nil
	}, gen.Int64()))
	props.TestingRun(t)
}

// Guards against quarantining most endpoints: if most of them fail, the jobs are at
// fault. The limit also holds after healthy endpoints were lost.
func TestQuarantineIsLimited(t *testing.T) {
	const n = 50
	tr := ready(n)
	for i := range n {
		for j := range QuarantineAfter {
			tr.Failed(0, runner(i).Name, job(j))
		}
	}
	count := func() (q int) {
		for i := range n {
			if tr.Status(runner(i).Name) == state.EndpointQuarantined {
				q++
			}
		}
		return q
	}
	if q := count(); q != 10 {
		t.Errorf("%d of %d in quarantine, want 10", q, n)
	}
	answerAll(tr, 20, 2*time.Second, 12*time.Second)
	if q := count(); q != 4 {
		t.Errorf("%d of 20 in quarantine after a loss, want 4", q)
	}
}
