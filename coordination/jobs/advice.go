package jobs

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ticketMargin is the part of a ticket's validity that is left for committing an
	// assignment and sending the start.
	ticketMargin = 150 * time.Millisecond
	// askMargin is added to the expected time of a call before it counts as lost.
	askMargin = 1200 * time.Millisecond
	// askRetry is the pause after a call that failed.
	askRetry = 50 * time.Millisecond
	// renewPause is the least time between two calls about one step.
	renewPause = 30 * time.Millisecond
	// nothingToAskPause is the pause before the workers are looked through again after no
	// call could help.
	nothingToAskPause = 30 * time.Millisecond
	// minAsked is the least number of workers that a first call names.
	minAsked = 8
	// askSurplus is how much more room a call asks for than the step needs, since the
	// share of workers that may run it varies from step to step.
	askSurplus = 1.6
	// cheapEach is the cost for each worker below which a call names all workers.
	cheapEach = 0.3 // ms
	// longCall is the duration from which a call uses only the agents for long ones, so
	// that short calls do not wait behind it.
	longCall = 150 * time.Millisecond
	// agentTimeout is the silence after which an agent gets no calls.
	agentTimeout = 2 * time.Second
	// agentPause is how long an agent gets no calls after one was lost.
	agentPause = 2 * time.Second
	// maxWorkersNamed bounds the workers in one call.
	maxWorkersNamed = 100
)

// advice is what is known about the workers that may run a step. Which ones they are
// never changes; only the tickets expire.
type advice struct {
	verdicts map[string]verdict // by worker ID
	asking   bool
	deadline time.Duration // of the call under way
	agent    string
	again    time.Duration // not before this
}

type verdict struct {
	bornMS int64
	good   bool
	ticket string
	until  time.Duration
}

// goodShare is the learned share of workers that may run the steps of a queue.
type goodShare struct{ asked, good float64 }

// value starts from one half and follows the last few hundred verdicts.
func (g *goodShare) value() float64 { return (g.good + 2) / (g.asked + 4) }

func (g *goodShare) add(asked, good int) {
	const memory = 500 // verdicts
	g.asked += float64(asked)
	g.good += float64(good)
	if g.asked > memory {
		g.good *= memory / g.asked
		g.asked = memory
	}
}

// admits returns the filter of workers that may run the step right now.
func (s *step) admits(now time.Duration) func(*worker) bool {
	if s.queue.Advice == nil {
		return func(*worker) bool { return true }
	}
	return func(w *worker) bool {
		v, ok := s.advice.verdicts[w.ID]
		return ok && v.good && v.bornMS == w.StartedMS && now < v.until
	}
}

// admitted returns the workers that admits can pass: with advice only the few that it
// names, which saves a look at all.
func (l *Leader) admitted(p *pass, s *step) []*worker {
	if s.queue.Advice == nil {
		return p.usable
	}
	var out []*worker
	for id, v := range s.advice.verdicts {
		if w := l.workers[id]; v.good && l.now < v.until && w != nil && l.usable(w) && !l.waves.cordons(w.rec.VM) {
			out = append(out, w)
		}
	}
	return out
}

// awaitsAdvice reports whether nothing can be done for the step before a call for advice
// is answered.
func (s *step) awaitsAdvice(now time.Duration) bool {
	if s.queue.Advice == nil || !s.advice.asking {
		return false
	}
	for _, v := range s.advice.verdicts {
		if v.good && (s.spec.Gang || now < v.until) {
			return false // room of good workers is kept for a gang while it renews tickets
		}
	}
	return true
}

// ticket returns the ticket for a worker, "" if none is needed.
func (s *step) ticket(w *worker) string { return s.advice.verdicts[w.ID].ticket }

// knownGood returns the workers that may run the step, with or without a valid ticket.
func (s *step) knownGood() map[string]bool {
	out := map[string]bool{}
	for id, v := range s.advice.verdicts {
		if v.good {
			out[id] = true
		}
	}
	return out
}

// rejected forgets the ticket of a worker that did not accept it, and avoids a worker
// that has no room.
func (s *step) rejected(w *worker, result OrderResult, now time.Duration) {
	if v, ok := s.advice.verdicts[w.ID]; ok {
		v.until = now
		s.advice.verdicts[w.ID] = v
	}
	if result != OrderNoTicket {
		s.avoid[w.ID] = true
	}
}

// consult asks which workers may run a step, if that can help now: workers known to be
// good and with room, whose ticket has expired, or else workers not asked about yet.
func (l *Leader) consult(p *pass, s *step, need int) {
	if s.queue.Advice == nil || s.advice.asking || l.now < s.advice.again {
		return
	}
	if renew := l.toRenew(p, s, need); len(renew) > 0 {
		l.ask(s, renew)
		return
	}
	if unknown := l.toExplore(p, s, need); len(unknown) > 0 {
		l.ask(s, unknown)
		return
	}
	s.advice.again = l.now + nothingToAskPause
}

// toRenew returns known good workers that have room for what waits.
func (l *Leader) toRenew(p *pass, s *step, need int) []string {
	known := s.knownGood()
	var out []string
	room := 0
	for _, w := range p.usable {
		if !known[w.ID] || !suits(s, w) || room >= 2*need {
			continue
		}
		// Room that is being freed will be there when the answer is.
		if n := l.room(l.prospect(p, w), s, w); n > 0 {
			room += n
			out = append(out, w.ID)
		}
	}
	if s.spec.Gang && room < need {
		return nil
	}
	return out
}

// toExplore returns workers that were not asked about, those with the most room first.
func (l *Leader) toExplore(p *pass, s *step, need int) []string {
	type option struct {
		id   string
		room int
		most int
	}
	var options []option
	for _, w := range p.usable {
		v, asked := s.advice.verdicts[w.ID]
		if asked && v.bornMS == w.StartedMS || !suits(s, w) {
			continue
		}
		if most := l.room(w.rec.Capacity, s, w); most > 0 {
			options = append(options, option{w.ID, l.room(p.free(w), s, w), most})
		}
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.room, a.room), cmp.Compare(a.id, b.id))
	})
	share := l.share(s.queue.Name).value()
	wanted := askSurplus * float64(need)
	all := s.queue.Advice.PerWorkerMS < cheapEach
	var out []string
	expected := 0.0
	for _, o := range options {
		if len(out) >= maxWorkersNamed || !all && len(out) >= minAsked && expected >= wanted {
			break
		}
		out = append(out, o.id)
		expected += share * max(float64(o.room), float64(o.most)/4)
	}
	return out
}

func (l *Leader) share(queue string) *goodShare {
	g := l.advised[queue]
	if g == nil {
		g = &goodShare{}
		l.advised[queue] = g
	}
	return g
}

// ask sends a call through the agent that can make it first.
func (l *Leader) ask(s *step, workers []string) {
	if len(workers) > maxWorkersNamed {
		workers = workers[:maxWorkersNamed]
	}
	a := s.queue.Advice
	cost := time.Duration((a.PerCallMS + a.PerWorkerMS*float64(len(workers))) * float64(time.Millisecond))
	agent := l.agents.pick(l.now, cost)
	if agent == nil {
		s.advice.again = l.now + askRetry
		return
	}
	agent.busyUntil = max(agent.busyUntil, l.now) + cost
	timeout := agent.busyUntil - l.now + askMargin
	s.advice.asking, s.advice.deadline, s.advice.agent = true, l.now+timeout, agent.address
	l.host.Emit(RequestAdvice{Agent: agent.address, Step: s.ref, Workers: workers, Timeout: timeout})
}

func (l *Leader) adviceAnswered(e AdviceAnswered) {
	s := l.steps[e.Request.Step]
	agent := l.agents.find(e.Request.Agent)
	if e.Err != nil {
		if agent != nil {
			agent.downUntil = l.now + agentPause
		}
		l.log("info", "advice", e.Request.Step.String(), e.Request.Agent, "the call for advice failed", "error", e.Err.Error())
		if s != nil && s.advice.agent == e.Request.Agent {
			s.advice.asking, s.advice.again = false, l.now+askRetry
		}
		l.dirty = true
		return
	}
	if s == nil {
		return
	}
	if s.advice.agent == e.Request.Agent {
		s.advice.asking, s.advice.again = false, l.now+renewPause
	}
	l.storeAdvice(s, &e)
	l.dirty = true
}

// storeAdvice keeps verdicts and tickets. A worker that was named and is not among the
// good ones may never run the step.
func (l *Leader) storeAdvice(s *step, e *AdviceAnswered) {
	if s.advice.verdicts == nil {
		s.advice.verdicts = map[string]verdict{}
	}
	valid := time.Duration(s.queue.Advice.ValidMS) * time.Millisecond
	if e.ValidMS > 0 {
		valid = min(valid, time.Duration(e.ValidMS)*time.Millisecond)
	}
	tickets := map[string]string{}
	for _, t := range e.Good {
		tickets[t.Worker] = t.Ticket
	}
	first, good := 0, 0
	for _, id := range e.Request.Workers {
		w := l.workers[id]
		if w == nil {
			continue
		}
		ticket, ok := tickets[id]
		if _, known := s.advice.verdicts[id]; !known {
			first++
			if ok {
				good++
			}
		}
		s.advice.verdicts[id] = verdict{bornMS: w.StartedMS, good: ok, ticket: ticket, until: l.now + valid - ticketMargin}
	}
	l.share(s.queue.Name).add(first, good)
}

// checkAdvice gives up calls that were not answered in time.
func (l *Leader) checkAdvice() {
	for _, s := range l.sortedSteps() {
		if !s.advice.asking || l.now < s.advice.deadline {
			continue
		}
		s.advice.asking, s.advice.again = false, l.now
		if a := l.agents.find(s.advice.agent); a != nil {
			a.downUntil = l.now + agentPause
		}
		l.log("info", "advice", s.ref.String(), s.advice.agent, "the call for advice was not answered in time")
	}
}

// agent is a process that can call the advice service. The service takes one call at a
// time from each VM.
type agent struct {
	name      string
	address   string
	heard     time.Duration
	busyUntil time.Duration
	downUntil time.Duration
}

type agents struct{ list []*agent }

// processHeartbeat adds a process to the agents, if it is new, and records the contact.
func (l *Leader) processHeartbeat(e ProcessHeartbeat) {
	a := l.agents.find(e.Address)
	if a == nil {
		a = &agent{name: e.Name, address: e.Address}
		l.agents.list = append(l.agents.list, a)
		slices.SortFunc(l.agents.list, func(x, y *agent) int { return cmp.Compare(x.address, y.address) })
		l.dirty = true
	}
	a.heard = l.now
	answer := Answer{Code: CodeOK, Members: l.host.Members()}
	if l.state.Configuration().Version == 0 {
		answer.Message = "no configuration is in force yet"
	}
	l.host.Reply(e.Token, answer)
}

func (a *agents) find(address string) *agent {
	for _, x := range a.list {
		if x.address == address {
			return x
		}
	}
	return nil
}

// pick returns the agent that is free first, or nil. Long calls leave every third
// agent to short ones.
func (a *agents) pick(now, cost time.Duration) *agent {
	var best *agent
	n := 0
	for _, x := range a.list {
		if now-x.heard > agentTimeout || now < x.downUntil {
			continue
		}
		n++
		if cost >= longCall && n%3 == 1 && len(a.list) > 2 {
			continue
		}
		if best == nil || max(x.busyUntil, now) < max(best.busyUntil, now) {
			best = x
		}
	}
	return best
}
