package jobs

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// heldCopies delivers copies of calls to the leader late: a process gives up a call, and what it has sent
// arrives when a partition heals. The random numbers come from a source of their own, so that the other
// faults of a seed do not depend on them.
type heldCopies struct {
	rng   *rand.Rand
	share float64 // share of the calls of which a copy arrives late
}

const (
	minCopyDelay = 50 * time.Millisecond
	maxCopyDelay = 40 * time.Second // longer than the partitions and restarts of a history
)

func (c *heldCopies) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)))
}

// holdCopies lets copies of a share of all calls arrive late from now on.
func (sim *simulation) holdCopies(share float64) {
	sim.copies = &heldCopies{rng: rand.New(rand.NewPCG(sim.seed, 17)), share: share}
}

// holdCopy may deliver a copy of a call late. Nobody waits for the answer.
func (sim *simulation) holdCopy(e Event) {
	if sim.copies == nil || sim.copies.rng.Float64() >= sim.copies.share {
		return
	}
	sim.deliverCopy(e, sim.copies.between(minCopyDelay, maxCopyDelay))
}

func (sim *simulation) deliverCopy(e Event, delay time.Duration) {
	sim.after(delay, func() { sim.deliverCall(withoutToken(e)) })
}

// withoutToken returns a call whose answer nobody waits for.
func withoutToken(e Event) Event {
	switch e := e.(type) {
	case Submit:
		e.Token = 0
		return e
	case Cancel:
		e.Token = 0
		return e
	case Configure:
		e.Token = 0
		return e
	case StartWave:
		e.Token = 0
		return e
	case ProcessHeartbeat:
		e.Token = 0
		return e
	case WorkerHeartbeat:
		e.Token = 0
		return e
	case DeregisterWorker:
		e.Token = 0
		return e
	}
	return e
}

// injectUnansweredSubmissions submits jobs at random moments until a time whose first attempt gets no
// answer: it is lost, late, or only its answer is lost. Most of their clients then cancel the job.
func (sim *simulation) injectUnansweredSubmissions(until time.Duration) {
	const minPause, maxPause = 100 * time.Millisecond, 1500 * time.Millisecond
	c := sim.copies
	n := 0
	for at := c.between(minPause, maxPause); at < until; at += c.between(minPause, maxPause) {
		id := job.ID(fmt.Sprint("u", n))
		n++
		sim.after(at-sim.now, func() { sim.submitUnanswered(id) })
	}
}

func (sim *simulation) submitUnanswered(id job.ID) {
	c := sim.copies
	s := job.Submission{ID: id, Steps: []job.Step{tasks(1+c.rng.IntN(3), 1, 400)}}
	sim.specs[id] = s
	first := Submit{Host: "h", Path: "/u/" + string(id), Credential: sim.credentialOf(id), Submission: s, Epoch: sim.state.Epoch()}
	if c.rng.IntN(3) == 0 {
		sim.deliverCall(first) // its answer is lost
	}
	for range 1 + c.rng.IntN(2) {
		sim.deliverCopy(first, c.between(time.Millisecond, maxCopyDelay))
	}
	if c.rng.IntN(4) > 0 {
		sim.after(c.between(0, 2*time.Second), func() { sim.cancelUntilAnswered(id) })
	}
}

// cancelUntilAnswered cancels a job, and does so again while no process performs the call.
func (sim *simulation) cancelUntilAnswered(id job.ID) {
	sim.cancelJob(id)
	token := sim.token
	sim.after(500*time.Millisecond, func() {
		if a, ok := sim.answers[token]; !ok || a.Code == CodeUnknown || a.Code == CodeUnavailable {
			sim.cancelUntilAnswered(id)
		}
	})
}
