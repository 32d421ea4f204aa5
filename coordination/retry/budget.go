package retry

import "time"

// Retries may add a tenth to the load of first attempts, so a failure of everything
// at once raises the load by at most that. The minimum rates let a team with little
// traffic retry at all. The rates of all teams together may exceed the rate of the
// system, which is then the limit.
const (
	creditPerStart = 0.1
	teamMinRate    = 0.1 // retries per second
	teamCapacity   = 10  // retries at once
	systemMinRate  = 2   // retries per second
	systemCapacity = 100 // retries at once
	// maxBudgetWait is the longest time for which a retry may wait for the budget. If
	// the retry would have to wait longer, the job fails, because a retry that late is
	// rarely of use to the caller.
	maxBudgetWait = 10 * time.Minute
)

// bucket is a token bucket for retries. It may be overdrawn: the retry then waits
// until the minimum rate has refilled it, so accepted work is delayed and not
// dropped.
type bucket struct {
	tokens float64
	at     time.Duration // time of the latest refill
}

func (b *bucket) refill(now time.Duration, rate, capacity float64) {
	if now > b.at {
		b.tokens = min(capacity, b.tokens+rate*(now-b.at).Seconds())
		b.at = now
	}
}

// wait returns how long a retry that takes a token now has to wait.
func (b *bucket) wait(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// budgets holds the retry budget of the whole system and of each team.
type budgets struct {
	system bucket
	teams  map[string]*bucket
}

func newBudgets() budgets {
	return budgets{system: bucket{tokens: systemCapacity}, teams: map[string]*bucket{}}
}

// refilled refills the buckets of the system and of a team up to now and returns the
// bucket of the team.
func (b *budgets) refilled(now time.Duration, team string) *bucket {
	t := b.teams[team]
	if t == nil {
		t = &bucket{tokens: teamCapacity, at: now}
		b.teams[team] = t
	}
	t.refill(now, teamMinRate, teamCapacity)
	b.system.refill(now, systemMinRate, systemCapacity)
	return t
}

// credit adds the retry share of a first attempt to the buckets of its team and of
// the system.
func (b *budgets) credit(now time.Duration, team string) {
	t := b.refilled(now, team)
	t.tokens = min(teamCapacity, t.tokens+creditPerStart)
	b.system.tokens = min(systemCapacity, b.system.tokens+creditPerStart)
}

// take takes a token of the team and of the system and returns how long the retry
// must wait for them. If that exceeds maxBudgetWait, it takes nothing and ok is
// false.
func (b *budgets) take(now time.Duration, team string) (wait time.Duration, ok bool) {
	t := b.refilled(now, team)
	wait = max(t.wait(teamMinRate), b.system.wait(systemMinRate))
	if wait > maxBudgetWait {
		return 0, false
	}
	t.tokens--
	b.system.tokens--
	return wait, true
}
