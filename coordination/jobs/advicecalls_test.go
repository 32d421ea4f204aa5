package jobs

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// newWideGang returns a simulation of idle workers and a gang that has just sent its first calls for
// advice.
func newWideGang(t *testing.T, seed uint64) (*simulation, *step) {
	sim := newAdviceSimulation(t, seed, 350, &job.Advice{PerCallMS: 702, PerWorkerMS: 10.01, ValidMS: 1500})
	sim.approvals["g"] = 0.5
	ref := job.StepRef{Job: "gang"}
	sim.submit("/u/", job.Submission{ID: ref.Job, Steps: []job.Step{sized(95, 30, 67_000, 5000, true)}})
	for s := sim.leader.steps[ref]; s == nil || !s.advice.inFlight(); s = sim.leader.steps[ref] {
		sim.run(sim.now + time.Millisecond)
	}
	return sim, sim.leader.steps[ref]
}

// Guards against calls of a gang that wait for each other at the service, which serves one call at a
// time from each VM.
func TestCallsOfAGangUseDifferentAgents(t *testing.T) {
	_, s := newWideGang(t, 31)
	agents := map[string]bool{}
	for _, c := range s.advice.calls {
		agents[c.agent] = true
	}
	if len(agents) < 2 || len(agents) != len(s.advice.calls) {
		t.Errorf("%d calls are made by %d agents", len(s.advice.calls), len(agents))
	}
}

// Guards against a call that fails or times out and takes along the other calls of its step, whose
// answers the step then does not wait for.
func TestFailedCallEndsOnlyItself(t *testing.T) {
	for _, timesOut := range []bool{false, true} {
		t.Run(fmt.Sprint("timeout ", timesOut), func(t *testing.T) {
			sim, s := newWideGang(t, 32)
			failed, others := s.advice.calls[0], len(s.advice.calls)-1
			if timesOut {
				s.advice.calls[0].deadline = sim.now
				sim.leader.checkAdvice()
			} else {
				sim.handle(AdviceAnswered{
					Request: RequestAdvice{Term: sim.term, ID: failed.id, Agent: failed.agent, Step: s.ref}, Err: errors.New("refused"),
				})
			}
			if got := len(s.advice.calls); got != others {
				t.Errorf("%d calls are in flight, want %d", got, others)
			}
			for _, c := range s.advice.calls {
				if c.id == failed.id {
					t.Error("the failed call is still in flight")
				}
			}
			if a := sim.leader.agents.find(failed.agent); a.downUntil <= sim.now {
				t.Error("the agent of the failed call gets further calls")
			}
			if d := sim.startedAfter(s.ref.Job, 10*time.Second); d > gangLimit {
				t.Errorf("the gang is started after %v", d)
			}
		})
	}
}

// Guards against a hold whose other tickets expire unused because one of the calls that renew them
// fails.
func TestFailedRenewalIsMadeByAnotherAgent(t *testing.T) {
	sim, s := newWideGang(t, 33)
	l := sim.leader
	s.advice = advice{verdicts: map[string]verdict{}}
	for _, w := range l.byID {
		s.advice.verdicts[w.ID] = verdict{startedMS: w.StartedMS, approved: true}
		sim.approved[s.ref.String()+w.ID] = true
	}
	if !l.holdForGang(l.newPass(), s, s.spec.Count) || len(s.advice.calls) < 2 {
		t.Fatalf("the gang holds %v with %d calls in flight", s.hold, len(s.advice.calls))
	}
	c, inFlight := s.advice.calls[0], len(s.advice.calls)
	named := []job.Incarnation{l.byID[0].Incarnation}
	sim.handle(AdviceAnswered{Request: RequestAdvice{Term: sim.term, ID: c.id, Agent: c.agent, Step: s.ref, Workers: named}, Err: errors.New("refused")})
	if got := len(s.advice.calls); got != inFlight || !s.holds(sim.now) {
		t.Errorf("%d calls are in flight, want %d; holds room: %v", got, inFlight, s.holds(sim.now))
	}
	for _, x := range s.advice.calls {
		if x.agent == c.agent {
			t.Error("the agent whose call has failed gets another one")
		}
	}
}

// Guards against an answer that arrives after that of a later call and replaces its ticket, so that
// starts are rejected with an expired one.
func TestLateAnswerKeepsTheNewerTicket(t *testing.T) {
	sim, s := newWideGang(t, 34)
	l, w := sim.leader, sim.leader.byID[0]
	store := func(id uint64, ticket string) {
		l.storeAdvice(s, &AdviceAnswered{
			Request:  RequestAdvice{Term: l.term, ID: id, Step: s.ref, Workers: []job.Incarnation{w.Incarnation}},
			Approved: []Ticket{{Worker: w.ID, Ticket: ticket}},
		})
	}
	s.advice = advice{}
	store(8, "newer")
	until := s.advice.verdicts[w.ID].validUntil
	l.SetClock(sim.now+time.Second, sim.wallMS())
	store(7, "older")
	if v := s.advice.verdicts[w.ID]; v.ticket != "newer" || v.validUntil != until {
		t.Errorf("the ticket is %q until %v, want the newer one until %v", v.ticket, v.validUntil, until)
	}
}

// Guards against gangs that take all agents: short calls then wait behind calls of a second, and the
// service's time goes to calls that are split while others wait.
func TestGangLeavesAgentsToOtherSteps(t *testing.T) {
	sim, s := newWideGang(t, 35)
	l, a := sim.leader, s.queue.Advice
	for _, x := range l.agents.list {
		x.busyUntil = 0
	}
	var all []string
	for _, w := range l.byID {
		all = append(all, w.ID)
	}
	usable := len(l.agents.available(l.now, callTime(a, maxRequestWorkers), 0))
	s.advice = advice{}
	l.sendAdviceCalls(s, all)
	if n := len(s.advice.calls); n < 2 || n > usable/idleAgentShare {
		t.Errorf("the gang makes %d calls, %d agents may make long calls", n, usable)
	}
	if got, want := len(l.agents.available(l.now, callTime(a, maxRequestWorkers), 0)), usable-len(s.advice.calls); got != want {
		t.Errorf("%d agents are idle, want %d", got, want)
	}
	// An agent that is reserved for short calls is idle even if every other one is busy.
	for _, x := range l.agents.available(l.now, longCallTime, 0) {
		x.busyUntil = l.now + time.Minute
	}
	if len(l.agents.available(l.now, 0, 0)) == 0 {
		t.Error("no agent is left for short calls")
	}
	if n := l.callsAtOnce(a); n != 1 {
		t.Errorf("a gang may make %d calls at a time while no agent is idle", n)
	}
	s.advice = advice{}
	for _, x := range l.agents.list {
		x.busyUntil = l.now + maxAgentBacklog
	}
	if l.sendAdviceCalls(s, all); len(s.advice.calls) != 1 {
		t.Errorf("the gang makes %d calls while no agent is idle", len(s.advice.calls))
	}
}

// Guards against calls that are split so far that their fixed time is most of what they cost, and
// against settings for which the size of a call cannot be computed.
func TestWorkersPerCall(t *testing.T) {
	for _, a := range []job.Advice{
		{PerCallMS: 702, PerWorkerMS: 10.01, ValidMS: 1500},
		{PerCallMS: 480, PerWorkerMS: 6.9, ValidMS: 2000},
		{PerCallMS: 9.36, PerWorkerMS: 0.13, ValidMS: 1500},
		{PerCallMS: 2000, PerWorkerMS: 10, ValidMS: 1500},
		{PerCallMS: 300, PerWorkerMS: 400, ValidMS: 1500},
		{PerCallMS: 100, ValidMS: 1500},
		{},
	} {
		n := workersPerCall(&a)
		if n < minRequestWorkers || n > maxRequestWorkers {
			t.Errorf("%+v: a call names %d workers", a, n)
		}
		if a.PerWorkerMS == 0 {
			continue // a call takes as long for all workers as for one
		}
		smallest := min(max(minRequestWorkers, int(a.PerCallMS/(maxSplitCost*a.PerWorkerMS))), maxRequestWorkers)
		if n < smallest {
			t.Errorf("%+v: calls about %d workers cost more than the split is worth", a, n)
		}
		ticketTime := time.Duration(a.ValidMS)*time.Millisecond - ticketMargin
		if d := callTime(&a, n); n > smallest && d > min(maxCallTime, ticketTime) {
			t.Errorf("%+v: a call about %d workers takes %v and is not split", a, n, d)
		}
	}
}

// Guards against a gang that holds nothing in a pool with idle agents because its tickets cannot be
// renewed by one call after another before the first of them expire.
func TestTicketsOfAWideHoldAreRenewedTogether(t *testing.T) {
	const workers, gang = 300, 210
	sim := newGangRoomSimulation(t, 78, workers)
	sim.approvals["g"] = 1
	sim.submit("/u/", job.Submission{ID: "fill", Steps: []job.Step{sized(workers, 60, 240_000, 200_000, false)}})
	sim.run(sim.now + 8*time.Second)
	sim.submit("/u/", job.Submission{ID: "gang", Steps: []job.Step{sized(gang, 40, 67_000, 5000, true)}})
	sim.run(sim.now + 12*time.Second)
	sim.cancelJob("fill")
	if d := sim.startedAfter("gang", 20*time.Second); d > gangLimit {
		t.Errorf("the gang is started after %v", d)
	}
}

// Load pattern: medium calls of a tenth of a second use up the agents. Guards against quick calls, whose
// work is due within a fraction of a second, that wait behind them, and against agents that are kept
// idle where no queue makes quick calls.
func TestQuickCallsDoNotWaitForMediumOnes(t *testing.T) {
	medium, quick := &job.Advice{PerCallMS: 100, PerWorkerMS: 1.4, ValidMS: 2000}, &job.Advice{PerCallMS: 11, PerWorkerMS: 0.16, ValidMS: 2000}
	for _, hasQuick := range []bool{true, false} {
		sim := newAdviceSimulation(t, 36, 10, medium)
		l := sim.leader
		if hasQuick {
			c := *sim.state.Configuration()
			c.Version++
			c.Queues = append([]job.Queue(nil), c.Queues...)
			c.Queues[0].Advice = quick
			sim.apply(&job.Command{Configure: &c})
			l.configurationApplied()
		}
		for l.agents.pick(l.now, callTime(medium, 1)) != nil {
			l.agents.pick(l.now, callTime(medium, 1)).busyUntil += 2 * maxAgentBacklog
		}
		idle := len(l.agents.available(l.now, callTime(quick, cheapRequestWorkers), 0))
		if hasQuick && idle == 0 {
			t.Error("no agent is left for quick calls")
		}
		if !hasQuick && idle > 0 {
			t.Errorf("%d agents are idle although no queue makes quick calls", idle)
		}
	}
}
