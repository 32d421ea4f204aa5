package retry

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/primrosereach/primrosereach/state"
)

func newPolicy(seed int64) *Policy { return New(rand.New(rand.NewSource(seed))) }

func key(i int) state.Key { return state.Key{Team: "a", ID: state.RequestID(fmt.Sprint("d.1.", i))} }

func failure(job int, endpoint string) Attempt {
	return Attempt{Key: key(job), Kind: "k", Endpoint: endpoint, Status: state.TaskFailed, Repeatable: true, Retries: 5}
}

// Guards against repeating work that may have started and is not repeatable, and
// against dropping work that never ran.
func TestOutcomeDecidesAboutRepeating(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Attempt)
		want   bool
	}{
		{"repeatable", func(*Attempt) {}, true},
		{"unrepeatable", func(a *Attempt) { a.Repeatable = false }, false},
		{"unrepeatable in quarantine", func(a *Attempt) { a.Repeatable, a.Trial = false, true }, false},
		{"unrepeatable, declined", func(a *Attempt) { a.Repeatable, a.Status = false, state.TaskNotRun }, true},
		{"cancelled", func(a *Attempt) { a.Status = state.TaskCancelled }, false},
		{"no retries left", func(a *Attempt) { a.Failures = 5 }, false},
		{"failed on two others", func(a *Attempt) { a.Failures, a.FailedOn = 2, []string{"x", "y"} }, false},
		{"failed twice on the same", func(a *Attempt) { a.Failures, a.FailedOn = 2, []string{"x", "x"} }, true},
		{"trial without retries left", func(a *Attempt) { a.Failures, a.Trial = 5, true }, true},
		{"endpoint at fault too often", func(a *Attempt) { a.Failures, a.Trial, a.EndpointFaults = 5, true, maxEndpointFaults }, false},
	} {
		a := failure(1, "e")
		c.change(&a)
		adv := newPolicy(1).Ended(0, a)
		if adv.Requeue != c.want || adv.Reason == "" || (adv.Delay > 0) != adv.Requeue {
			t.Errorf("%s: %+v, want requeue %v", c.name, adv, c.want)
		}
	}
}

// Guards against a wrong decision between job and endpoint: good jobs would lose
// their retries, or bad ones would be retried without end.
func TestJobOrEndpointAtFault(t *testing.T) {
	elsewhere := func(p *Policy, at time.Duration) { p.Succeeded(at, "a", "k", "good") }
	for _, c := range []struct {
		name  string
		setup func(p *Policy)
		jobs  []int
		want  bool // the endpoint is at fault for the last failure
	}{
		{"different jobs, kind succeeds elsewhere", func(p *Policy) { elsewhere(p, 0) }, []int{1, 2, 3}, true},
		{"two jobs", func(p *Policy) { elsewhere(p, 0) }, []int{1, 2}, false},
		{"one job", func(p *Policy) { elsewhere(p, 0) }, []int{1, 1, 1, 1}, false},
		{"kind succeeds nowhere", func(*Policy) {}, []int{1, 2, 3}, false},
		{"kind succeeded only here", func(p *Policy) { p.Succeeded(0, "a", "k", "e") }, []int{1, 2, 3}, false},
		{"succeeded here last", func(p *Policy) { elsewhere(p, 0); p.Succeeded(0, "a", "k", "e") }, []int{1, 2, 3}, true},
		{"success long ago", func(p *Policy) { elsewhere(p, -maxEvidenceAge) }, []int{1, 2, 3}, false},
		{"success between", func(p *Policy) {
			elsewhere(p, 0)
			p.Ended(0, failure(8, "e"))
			p.Ended(0, failure(9, "e"))
			p.Succeeded(0, "a", "k", "e")
		}, []int{1, 2}, false},
	} {
		p := newPolicy(2)
		c.setup(p)
		var adv Advice
		for _, j := range c.jobs {
			adv = p.Ended(0, failure(j, "e"))
		}
		if adv.EndpointAtFault != c.want {
			t.Errorf("%s: %+v, want endpoint at fault %v", c.name, adv, c.want)
		}
	}
}

// Guards against multiplying the load when everything fails at once: the retries
// started by any time are bounded by the number of first attempts and the minimum
// rate.
func TestBudgetBoundsRetries(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(31)
	params.MinSuccessfulTests = 100
	props := gopter.NewProperties(params)
	props.Property("bound", prop.ForAll(func(seed int64, teams int, startsPerSecond float64) (bool, error) {
		r := rand.New(rand.NewSource(seed))
		p := New(r)
		now, firsts := time.Duration(0), 0
		perTeam := make([]int, teams)
		retries := make([][]time.Duration, teams+1) // the last for the system
		for i := range 1500 {
			now += time.Duration(r.ExpFloat64() / startsPerSecond * float64(time.Second))
			team := r.Intn(teams)
			p.Started(now, fmt.Sprint(team))
			firsts++
			perTeam[team]++
			a := failure(i, fmt.Sprint("e", i))
			a.Key.Team = fmt.Sprint(team)
			if adv := p.Ended(now, a); adv.Requeue {
				retries[teams] = append(retries[teams], now+adv.Delay)
				retries[team] = append(retries[team], now+adv.Delay)
			}
		}
		if err := bounded(retries[teams], now, systemCapacity+creditPerStart*float64(firsts), systemMinRate); err != nil {
			return false, fmt.Errorf("system: %w", err)
		}
		for i, n := range perTeam {
			if err := bounded(retries[i], now, teamCapacity+creditPerStart*float64(n), teamMinRate); err != nil {
				return false, fmt.Errorf("team: %w", err)
			}
		}
		return true, nil
	}, gen.Int64(), gen.IntRange(1, 60), gen.Float64Range(0.5, 200)))
	props.TestingRun(t)
}

// bounded returns an error if, up to now or up to 1 or 5 minutes later, more retries
// start than base plus rate (per second) allows.
func bounded(retries []time.Duration, now time.Duration, base, rate float64) error {
	for _, end := range []time.Duration{now, now + time.Minute, now + 5*time.Minute} {
		n := 0
		for _, at := range retries {
			if at <= end {
				n++
			}
		}
		if limit := base + rate*end.Seconds() + 1; float64(n) > limit {
			return fmt.Errorf("%d retries by %v, limit %.0f", n, end, limit)
		}
	}
	return nil
}

// Guards against a budget that drops retries as soon as it is used up, which loses
// work that could still run.
func TestBudgetDelaysBeforeItRefuses(t *testing.T) {
	p := newPolicy(3)
	refused := 0
	var last time.Duration
	for i := range 200 {
		adv := p.Ended(0, failure(i, fmt.Sprint("e", i)))
		if !adv.Requeue {
			refused++
			continue
		}
		if i >= teamCapacity+5 && adv.Delay <= backoffBase {
			t.Fatalf("retry %d beyond the budget after %v", i, adv.Delay)
		}
		last = max(last, adv.Delay)
	}
	// 10 at once, then one each 10 s for 10 minutes.
	if granted := 200 - refused; granted < 69 || granted > 71 {
		t.Errorf("%d retries granted, want about 70", granted)
	}
	if last < maxBudgetWait-20*time.Second || last > 2*maxBudgetWait {
		t.Errorf("longest delay %v", last)
	}
	if adv := p.Ended(0, Attempt{Key: state.Key{Team: "b"}, Endpoint: "x", Status: state.TaskFailed, Repeatable: true, Retries: 1}); !adv.Requeue || adv.Delay > backoffBase {
		t.Errorf("another team's retry: %+v", adv)
	}
}

// Guards against delays that do not grow, which overload a failed dependency, and
// against delays without jitter, which repeat together what failed together.
func TestBackoffGrowsWithJitter(t *testing.T) {
	for failures := range 12 {
		want := min(backoffMax, backoffBase<<failures)
		seen := map[time.Duration]bool{}
		for seed := range int64(20) {
			a := failure(1, "e")
			a.Failures, a.Retries = failures, 20
			d := newPolicy(seed).Ended(0, a).Delay
			seen[d] = true
			if d < want/2 || d > want {
				t.Errorf("delay %v after %d failures, want %v to %v", d, failures, want/2, want)
			}
		}
		if len(seen) < 15 {
			t.Errorf("only %d different delays in 20", len(seen))
		}
	}
}

// Guards against fields of a record that do not reach the decision: with a wrong
// count of endpoint faults, a harmful job would be repeated without end.
func TestAttemptOf(t *testing.T) {
	r := &state.Record{Request: state.Request{Key: key(1), Kind: "k", Repeatable: true, Retries: 2}}
	r.State = []state.Task{{}, {Endpoint: "e", Attempt: 7, Failures: 1, FailedOn: []string{"x"}, Declined: 2}}
	a := AttemptOf(r, 1, state.TaskFailed, false)
	if a.EndpointFaults != 3 || a.Failures != 1 || a.Declined != 2 || a.Endpoint != "e" || a.Retries != 2 || !a.Repeatable {
		t.Errorf("%+v", a)
	}
}

// Guards against evidence and budgets of removed teams, kinds and endpoints that
// accumulate.
func TestConfigureAndDeleteEndpointReleaseMemory(t *testing.T) {
	p := newPolicy(4)
	for i := range 100 {
		p.Started(0, fmt.Sprint(i))
		p.Succeeded(0, fmt.Sprint(i), "k", "e")
		p.Ended(0, failure(i, fmt.Sprint("e", i)))
		p.DeleteEndpoint(fmt.Sprint("e", i))
	}
	p.Configure(state.Configuration{Teams: map[string]state.TeamConfig{"1": {Kinds: map[string]state.KindConfig{"k": {}}}}})
	if len(p.budget.teams) != 1 || len(p.faultEvidence.kinds) != 1 || len(p.faultEvidence.endpoints) != 0 {
		t.Errorf("%d teams, %d kinds, %d endpoints", len(p.budget.teams), len(p.faultEvidence.kinds), len(p.faultEvidence.endpoints))
	}
}

// BenchmarkEnded measures the decision on a retry. It also reports the heap per
// team-kind (400 teams with 4 kinds) and per endpoint with a failure (1,500).
func BenchmarkEnded(b *testing.B) {
	var m [3]runtime.MemStats
	p := newPolicy(5)
	for step := range m {
		runtime.GC()
		runtime.ReadMemStats(&m[step])
		for i := 0; step == 0 && i < 1600; i++ {
			p.Succeeded(0, fmt.Sprintf("team-%03d", i/4), fmt.Sprint("kind-", i%4), "e0")
			p.Started(0, fmt.Sprintf("team-%03d", i/4))
		}
		for i := 0; step == 1 && i < 1500; i++ {
			p.Ended(0, failure(i, fmt.Sprintf("worker-%04d", i)))
		}
	}
	a := failure(1, "e")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * 20 * time.Second
		p.Started(now, "a")
		p.Ended(now, a)
	}
	b.ReportMetric(float64(m[1].HeapAlloc-m[0].HeapAlloc)/1600, "B/team-kind")
	b.ReportMetric(float64(m[2].HeapAlloc-m[1].HeapAlloc)/1500, "B/endpoint")
}
