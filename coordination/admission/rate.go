package admission

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// burstTime sets the burst of a bucket: the number of requests that its rate
	// allows in this time.
	burstTime = 2 * time.Second
	// reserveShare is the share of the burst of a whole class that is kept for teams
	// within their own rates. Borrowing stops before it delays them.
	reserveShare = 0.5
)

type kindKey struct{ team, kind string }

// kindRate is the configured rate of a kind of a team.
type kindRate struct {
	class  state.Class
	rate   float64 // per second
	bucket bucket
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Duration // time of the latest refill
}

func (b *bucket) refill(now time.Duration, rate float64) {
	if now > b.at {
		b.tokens = min(burst(rate), b.tokens+rate*(now-b.at).Seconds())
		b.at = now
	}
}

func burst(rate float64) float64 { return max(1, rate*burstTime.Seconds()) }

// Configure applies the rates of a configuration. Buckets of kinds that were
// configured before in the same class keep their tokens, so a change gives no team a
// new burst.
func (c *Controller) Configure(now time.Duration, cfg state.Configuration) {
	rates := map[kindKey]*kindRate{}
	sums := map[state.Class]float64{}
	for team, tc := range cfg.Teams {
		for kind, k := range tc.Kinds {
			if k.MaxPerSecond <= 0 {
				continue
			}
			key := kindKey{team, kind}
			rates[key] = c.newRate(now, key, k)
			sums[k.Class] += float64(k.MaxPerSecond)
		}
	}
	c.rates = rates
	for name, cl := range c.classes {
		fresh := cl.rate == 0
		cl.rate = sums[name]
		cl.shared.refill(now, cl.rate)
		if fresh {
			cl.shared = bucket{tokens: burst(cl.rate), at: now}
		}
	}
}

func (c *Controller) newRate(now time.Duration, key kindKey, k state.KindConfig) *kindRate {
	rate := float64(k.MaxPerSecond)
	if old := c.rates[key]; old != nil && old.class == k.Class {
		old.bucket.refill(now, old.rate)
		return &kindRate{class: k.Class, rate: rate, bucket: bucket{tokens: min(burst(rate), old.bucket.tokens), at: now}}
	}
	return &kindRate{class: k.Class, rate: rate, bucket: bucket{tokens: burst(rate), at: now}}
}

// checkRate admits a request that is within its team's rate or that can use rate left
// idle by other teams. Urgent work is limited to its rate only while the urgent queue
// is contended. A kind without a configured rate is not limited.
func (c *Controller) checkRate(now time.Duration, cl *class, r Request, l Load) Decision {
	kr := c.rates[kindKey{r.Team, r.Kind}]
	if kr == nil {
		return Decision{Admit: true}
	}
	kr.bucket.refill(now, kr.rate)
	cl.shared.refill(now, cl.rate)
	if kr.bucket.tokens >= 1 {
		kr.bucket.tokens--
		cl.shared.tokens--
		return Decision{Admit: true}
	}
	idle := cl.shared.tokens >= 1+reserveShare*burst(cl.rate)
	if idle || r.Class == state.ClassUrgent && !cl.contended(now, l) {
		cl.shared.tokens = max(-burst(cl.rate), cl.shared.tokens-1)
		return Decision{Admit: true, Borrowed: true}
	}
	missing := (1 - kr.bucket.tokens) / kr.rate
	return c.refuse(max(minRetry, time.Duration(missing*float64(time.Second))),
		"team %s exceeds its rate of %g requests a second of kind %s", r.Team, kr.rate, r.Kind)
}
