package jobs

import (
	"math/rand/v2"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// fakeLog is the log of the leader, which takes no entries at some moments of a term: the leader has no
// lease for as long as no follower answers, or too many entries wait.
type fakeLog struct {
	refuses      func(c *job.Command) bool // whether a command is refused; nil if none is
	fullUntil    time.Duration             // time until which all commands are refused
	noLeaseUntil time.Duration             // time until which the leader has no lease: entries wait as well
	refused      int                       // commands that were refused
}

// refusesEntry reports whether the log takes no entry for a command.
func (f *fakeLog) refusesEntry(now time.Duration, c *job.Command) bool {
	refused := now < f.fullUntil || now < f.noLeaseUntil || f.refuses != nil && f.refuses(c)
	if refused {
		f.refused++
	}
	return refused
}

// refuseNext lets the log refuse the next commands of a kind.
func (f *fakeLog) refuseNext(n int, isOfKind func(c *job.Command) bool) {
	f.refuses = func(c *job.Command) bool {
		if n == 0 || !isOfKind(c) {
			return false
		}
		n--
		return true
	}
}

// isCall reports whether an event is answered to a caller. Without a lease a process refuses calls, while
// its leader handles all other events.
func isCall(e Event) bool {
	switch e.(type) {
	case Submit, Lookup, Cancel, DryRun, Configure, ReadConfiguration, StartWave, ReadWave, ProcessHeartbeat, WorkerHeartbeat, DeregisterWorker:
		return true
	}
	return false
}

// injectLogOutages lets the log take no entries at random moments until a time. The moments come from a
// source of their own, so that the other faults of a seed do not depend on them.
func (sim *simulation) injectLogOutages(until time.Duration) {
	const minPause, maxPause, minLength, maxLength = 50 * time.Millisecond, 2500 * time.Millisecond, 20 * time.Millisecond, 700 * time.Millisecond
	rng := rand.New(rand.NewPCG(sim.seed, 13))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	for at := between(minPause, maxPause); at < until; at += between(minPause, maxPause) {
		end, losesLease := at+between(minLength, maxLength), rng.IntN(3) > 0
		sim.after(at-sim.now, func() {
			if losesLease {
				sim.log.noLeaseUntil = max(sim.log.noLeaseUntil, end)
			} else {
				sim.log.fullUntil = max(sim.log.fullUntil, end)
			}
		})
	}
}
