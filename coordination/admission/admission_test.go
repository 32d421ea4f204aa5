package admission

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

// config returns a configuration in which each team has one kind, k.
func config(rates map[string]state.KindConfig) state.Configuration {
	cfg := state.Configuration{Teams: map[string]state.TeamConfig{}}
	for team, k := range rates {
		cfg.Teams[team] = state.TeamConfig{Kinds: map[string]state.KindConfig{"k": k}}
	}
	return cfg
}

func kind(c state.Class, perSecond int) state.KindConfig {
	return state.KindConfig{Class: c, MaxPerSecond: perSecond}
}

// queued returns the load of n waiting tasks of 1 s each, with all capacity in use.
func queued(n, capacity int) Load {
	return Load{Queued: n, QueuedWork: time.Duration(n) * time.Second, Running: capacity, Capacity: capacity}
}

// Guards against a wrong decision, and against a refusal without a reason or a usable
// retry time.
func TestDecisions(t *testing.T) {
	const C, s = state.ClassInteractive, time.Second
	for _, c := range []struct {
		name  string
		r     Request
		l     Load
		admit bool
		after time.Duration // least retry time
	}{
		{"idle", Request{Class: C, Tasks: 1, Run: s, Slack: 2 * s}, Load{Capacity: 4}, true, 0},
		{"unknown class", Request{Class: "x", Tasks: 1}, Load{}, false, 0},
		{"runs longer than its deadline", Request{Class: C, Tasks: 1, Run: 3 * s, Slack: 2 * s}, Load{Capacity: 4}, false, 0},
		{"tasks take several rounds", Request{Class: C, Tasks: 9, Run: s, Slack: 2 * s}, Load{Capacity: 4}, false, 0},
		{"in time behind the queue", Request{Class: C, Tasks: 1, Run: s, Slack: 5 * s}, queued(10, 4), true, 0},
		{"late behind the queue", Request{Class: C, Tasks: 1, Run: s, Slack: 3 * s}, queued(10, 4), false, 700 * time.Millisecond},
		{"no deadline", Request{Class: C, Tasks: 1, Run: s}, queued(15, 1), true, 0},
		{"queue full of work", Request{Class: C, Tasks: 1, Run: s}, queued(40, 4), false, s},
		{"queue full of tasks", Request{Class: C, Tasks: 1}, Load{Queued: 2048, Capacity: 4000}, false, minRetry},
		{"no capacity yet", Request{Class: C, Tasks: 1, Run: s, Slack: 2 * s}, Load{Queued: 100}, true, 0},
	} {
		d := New().Decide(0, c.r, Loads{c.r.Class: c.l})
		after := time.Duration(d.RetryAfterMS) * time.Millisecond
		if d.Admit != c.admit || d.Admit != (d.Reason == "") || after < c.after || (after > 0) != (c.after > 0) {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}

// Guards against counting time without waiting work, which reflects demand and not
// capacity: a class that was idle would look slow at the first burst.
func TestIdleTimeDoesNotCount(t *testing.T) {
	d := New().Decide(time.Hour, Request{Class: state.ClassInteractive, Tasks: 1, Run: time.Second, Slack: 5 * time.Second}, Loads{state.ClassInteractive: queued(10, 4)})
	if !d.Admit {
		t.Errorf("%+v", d)
	}
}

// Guards against retry times that make callers who were refused together retry
// together.
func TestRetryTimesAreSpreadAndBounded(t *testing.T) {
	c, seen := New(), map[int64]bool{}
	for range retrySteps {
		d := c.Decide(0, Request{Class: state.ClassBatch, Tasks: 1}, Loads{state.ClassBatch: {Queued: 1 << 20, QueuedWork: 1 << 60, Capacity: 1}})
		seen[d.RetryAfterMS] = true
		if d.Admit || d.RetryAfterMS < minRetry.Milliseconds() || d.RetryAfterMS > 3*maxRetry.Milliseconds()/2 {
			t.Errorf("%+v", d)
		}
	}
	if len(seen) != retrySteps {
		t.Errorf("%d different retry times of %d", len(seen), retrySteps)
	}
}

// Guards against admitting deferrable work while urgent work is refused, whatever the
// reason for the refusal.
func TestDeferrableIsRefusedBeforeUrgent(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(41)
	params.MinSuccessfulTests = 100
	props := gopter.NewProperties(params)
	refusals := 0
	props.Property("order", prop.ForAll(func(seed int64) (bool, error) {
		r := rand.New(rand.NewSource(seed))
		c := New()
		c.Configure(0, config(map[string]state.KindConfig{"u1": kind(state.ClassUrgent, 5), "u2": kind(state.ClassUrgent, 5), "d": kind(state.ClassDeferrable, 1000)}))
		now, n := time.Duration(0), 0
		for range 500 {
			now += time.Duration(r.Int63n(int64(100 * time.Millisecond)))
			n = max(0, n+r.Intn(100)-50)
			loads := Loads{state.ClassUrgent: queued(n, 1+r.Intn(20)), state.ClassDeferrable: queued(r.Intn(30), 2)}
			for range r.Intn(20) {
				c.Completed(now, state.ClassUrgent, time.Duration(r.Int63n(int64(time.Second))))
			}
			urgent := Request{Team: []string{"u1", "u2"}[r.Intn(2)], Kind: "k", Class: state.ClassUrgent, Tasks: 1, Run: time.Second}
			deferrable := Request{Team: "d", Kind: "k", Class: state.ClassDeferrable, Tasks: 1, Run: time.Second}
			if r.Intn(2) == 0 {
				urgent.Slack = time.Second + time.Duration(r.Int63n(int64(20*time.Second)))
			}
			before := c.Decide(now, deferrable, loads)
			u := c.Decide(now, urgent, loads)
			after := c.Decide(now, deferrable, loads)
			if u.Admit {
				continue
			}
			refusals++
			if after.Admit || before.Admit && urgent.Slack == 0 {
				return false, fmt.Errorf("urgent refused (%s), deferrable admitted before %v, after %v", u.Reason, before.Admit, after.Admit)
			}
		}
		return true, nil
	}, gen.Int64()))
	props.TestingRun(t)
	if refusals < 1000 {
		t.Errorf("only %d urgent requests were refused: the property was hardly tested", refusals)
	}
}

// Guards against borrowing that leaves idle rate unused or takes a team's own rate,
// and against admitting more than all rates together allow.
func TestRatesAndBorrowing(t *testing.T) {
	c := New()
	c.Configure(0, config(map[string]state.KindConfig{"flood": kind(state.ClassInteractive, 10), "steady": kind(state.ClassInteractive, 40)}))
	ask := func(now time.Duration, team string) Decision {
		return c.Decide(now, Request{Team: team, Kind: "k", Class: state.ClassInteractive, Tasks: 1}, nil)
	}
	const step, phase = 10 * time.Millisecond, 20 * time.Second
	var flood, steady [2]int
	for now := time.Duration(0); now < 2*phase; now += step {
		p := int(now / phase)
		for range 3 { // 300 a second
			if d := ask(now, "flood"); d.Admit {
				flood[p]++
			} else if d.RetryAfterMS <= 0 {
				t.Fatalf("%+v", d)
			}
		}
		if p == 1 && now%(25*time.Millisecond) < step {
			if d := ask(now, "steady"); !d.Admit {
				t.Fatalf("%v: a team within its rate was refused: %s", now, d.Reason)
			}
			steady[p]++
		}
	}
	t.Logf("flood: %d while the other team is idle, %d while it is not (%d of its own)", flood[0], flood[1], steady[1])
	seconds := int(phase / time.Second)
	if flood[0] < 45*seconds || flood[0] > 50*seconds+150 {
		t.Errorf("%d admitted while the other team was idle, want about 50 a second", flood[0])
	}
	if total := flood[1] + steady[1]; flood[1] < 10*seconds || total > 50*seconds+200 {
		t.Errorf("%d of the flooding team, %d in total", flood[1], total)
	}
}

// Guards against a configuration change that gives a new burst or loses a rate.
func TestConfigureKeepsBuckets(t *testing.T) {
	c := New()
	cfg := config(map[string]state.KindConfig{"a": kind(state.ClassInteractive, 10)})
	admitted := 0
	for range 20 {
		c.Configure(0, cfg)
		for range 10 {
			if c.Decide(0, Request{Team: "a", Kind: "k", Class: state.ClassInteractive, Tasks: 1}, nil).Admit {
				admitted++
			}
		}
	}
	if admitted != 20 {
		t.Errorf("%d admitted at once at 10 a second, want a burst of 20", admitted)
	}
}
