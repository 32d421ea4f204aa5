package jobs

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// A call for advice takes up to two seconds, and a wide gang needs the answers about more workers
// than one call can name. Several calls of a gang are therefore made at the same time, each by
// another agent, so that the gang waits for the longest of them and not for their sum, and all tickets
// are valid together. Other steps use each ticket as it comes and make one call at a time.

const (
	// idleAgentShare is the number of idle agents for each call that a gang makes at a time. The
	// agents that are left serve the next steps. Under load no agent is idle, and a gang makes one call.
	idleAgentShare = 3
	// maxCallTime is the expected duration up to which a call need not be split. Work must start within
	// 3 s beside room for it, which leaves time for two calls, one after the other, a commit and a start.
	maxCallTime = 1200 * time.Millisecond
	// maxSplitCost bounds the cost of splitting calls: the fixed time of a call is at most this multiple
	// of the time for the workers that it names.
	maxSplitCost = 2
)

// adviceCall is a call for advice in flight.
type adviceCall struct {
	id       uint64        // ID of the request
	agent    string        // peer address of the agent that makes the call
	deadline time.Duration // time at which the call times out
}

// inFlight reports whether the step waits for an answer.
func (a *advice) inFlight() bool { return len(a.calls) > 0 }

// end removes a call that was answered or has failed. It reports false if the step does not wait for
// it: the call has timed out, or the settings of the queue have changed since.
func (a *advice) end(id uint64) bool {
	i := slices.IndexFunc(a.calls, func(c adviceCall) bool { return c.id == id })
	if i < 0 {
		return false
	}
	a.calls = slices.Delete(a.calls, i, i+1)
	return true
}

// lastDeadline returns the time at which the last of the calls in flight times out.
func (a *advice) lastDeadline() time.Duration {
	var last time.Duration
	for _, c := range a.calls {
		last = max(last, c.deadline)
	}
	return last
}

// callTime returns how long the advice service takes for a call that names a number of workers.
func callTime(a *job.Advice, workers int) time.Duration {
	return time.Duration((a.PerCallMS + a.PerWorkerMS*float64(workers)) * float64(time.Millisecond))
}

// workersPerCall returns the number of workers from which a call is split while agents are idle. A
// call about as many takes at most maxCallTime, and ends before tickets expire that are issued when
// it is sent, unless its fixed time is too long for that.
func workersPerCall(a *job.Advice) int {
	if a.PerWorkerMS <= 0 {
		return maxRequestWorkers
	}
	ticketTime := time.Duration(a.ValidMS)*time.Millisecond - ticketMargin
	limitMS := float64(min(maxCallTime, ticketTime).Milliseconds())
	n := max((limitMS-a.PerCallMS)/a.PerWorkerMS, a.PerCallMS/(maxSplitCost*a.PerWorkerMS))
	return int(min(max(n, minRequestWorkers), maxRequestWorkers))
}

// callsAtOnce returns the number of calls that a gang of a queue with advice may make at the same
// time now.
func (l *Leader) callsAtOnce(a *job.Advice) int {
	idle := len(l.agents.available(l.now, callTime(a, maxRequestWorkers), 0))
	return max(1, idle/idleAgentShare)
}

// workersAtOnce returns the number of workers that the calls of a gang can name at the same time now.
func (l *Leader) workersAtOnce(s *step) int {
	return l.callsAtOnce(s.queue.Advice) * maxRequestWorkers
}

// sendAdviceCalls requests advice for a gang, in several calls at the same time if agents are idle.
// It names the first workersAtOnce of the workers. It reports false if no agent is free soon enough.
func (l *Leader) sendAdviceCalls(s *step, workers []string) bool {
	if len(workers) == 0 {
		return false
	}
	atOnce := l.callsAtOnce(s.queue.Advice)
	workers = workers[:min(len(workers), atOnce*maxRequestWorkers)]
	calls := min(atOnce, divideUp(len(workers), workersPerCall(s.queue.Advice)))
	sent := false
	for part := range slices.Chunk(workers, divideUp(len(workers), calls)) {
		sent = l.sendAdviceRequest(s, part) || sent
	}
	return sent
}

// divideUp returns the quotient of two positive numbers, rounded up.
func divideUp(a, b int) int { return (a + b - 1) / b }
