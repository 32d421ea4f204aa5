package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

const (
	// ticketMargin is the part of a ticket's validity that is reserved for committing an
	// assignment and sending the start.
	ticketMargin = 150 * time.Millisecond
	// adviceTimeoutMargin is added to the expected time until a call ends, which includes the
	// earlier calls of its agent, to get the timeout of the call.
	adviceTimeoutMargin = 1200 * time.Millisecond
	// adviceRetry is the delay after a failed call.
	adviceRetry = 50 * time.Millisecond
	// adviceInterval is the minimum time between two calls about one step.
	adviceInterval = 30 * time.Millisecond
	// noRequestInterval is the delay before the workers are searched again after a search
	// found no worker to request advice about.
	noRequestInterval = 30 * time.Millisecond
	// minRequestWorkers is the minimum number of workers in a call, if there are so many.
	minRequestWorkers = 8
	// requestSurplus is the ratio of the expected room on approved workers to the room that
	// the step needs. It is above 1 since the share of workers that may run a step varies
	// from step to step.
	requestSurplus = 1.6
	// cheapPerWorkerMS is the time per worker, in milliseconds, below which a call names
	// cheapRequestWorkers workers, so that the step has a choice of workers. More of them cost
	// the leader more time for the message than the choice is worth.
	cheapPerWorkerMS    = 0.3
	cheapRequestWorkers = 30
	// maxRequestWorkers bounds the number of workers in one call. The service accepts no more.
	maxRequestWorkers = 100
)

// advice holds the answers of the advice service for a step. The service decides which
// workers may run the step, and issues the tickets with which they are started. Whether an
// incarnation of a worker may run the step never changes; only the tickets expire.
type advice struct {
	verdicts    map[string]verdict // by worker ID
	calls       []adviceCall       // calls in flight; the next ones are sent when all have ended
	nextRequest time.Duration      // earliest time of the next request
	refused     bool               // the last answer approved no worker
	isNew       bool               // an answer has arrived that no pass has used yet
}

// verdict is the answer of the advice service about one worker.
type verdict struct {
	requestID  uint64 // ID of the call
	startedMS  int64  // start time of the incarnation that the answer is about, in Unix milliseconds
	approved   bool   // the worker may run the step
	ticket     string
	validUntil time.Duration // expiry of the ticket, less ticketMargin
}

// approvalRate estimates the share of workers that may run the steps of a queue.
type approvalRate struct{ queried, approved float64 }

// value returns the estimate. It starts at one half and follows the last few hundred
// verdicts.
func (g *approvalRate) value() float64 { return (g.approved + 2) / (g.queried + 4) }

func (g *approvalRate) add(queried, approved int) {
	const window = 500 // verdicts
	g.queried += float64(queried)
	g.approved += float64(approved)
	if g.queried > window {
		g.approved *= window / g.queried
		g.queried = window
	}
}

// ticketFilter returns a filter for the workers that may run the step now: those with a
// valid ticket, or all if the queue needs no advice.
func (s *step) ticketFilter(now time.Duration) func(*worker) bool {
	if s.queue.Advice == nil {
		return func(*worker) bool { return true }
	}
	return func(w *worker) bool {
		v, ok := s.advice.verdicts[w.ID]
		return ok && v.approved && v.startedMS == w.StartedMS && now < v.validUntil
	}
}

// workersWithTicket returns the usable workers that ticketFilter can pass. For a queue
// with advice it looks only at the workers with a verdict, not at all workers.
func (l *Leader) workersWithTicket(p *schedulingPass, s *step) []*worker {
	if s.queue.Advice == nil {
		return p.usable
	}
	var out []*worker
	for id, v := range s.advice.verdicts {
		if w := l.workers[id]; v.approved && l.now < v.validUntil && w != nil && l.usable(w) && !l.waves.isCordoned(w.rec.VM) {
			out = append(out, w)
		}
	}
	return out
}

// awaitsAdvice reports whether the step cannot be placed before a request for advice is
// answered.
func (s *step) awaitsAdvice(now time.Duration) bool {
	if s.queue.Advice == nil || !s.advice.inFlight() {
		return false
	}
	for _, v := range s.advice.verdicts {
		if v.approved && now < v.validUntil {
			return false
		}
	}
	return true
}

// ticket returns the ticket for a worker, or "" if none is needed.
func (s *step) ticket(w *worker) string { return s.advice.verdicts[w.ID].ticket }

// approves reports whether a worker may run the step, with or without a valid ticket.
func (s *step) approves(w *worker) bool {
	v := s.advice.verdicts[w.ID]
	return v.approved && v.startedMS == w.StartedMS
}

// recordRejection invalidates the ticket of a worker that rejected a start. Unless the
// ticket was the reason, the step avoids the worker from now on.
func (s *step) recordRejection(w *worker, result OrderResult, now time.Duration) {
	if v, ok := s.advice.verdicts[w.ID]; ok {
		v.validUntil = now
		s.advice.verdicts[w.ID] = v
	}
	if result != OrderNoTicket {
		s.startFailed(w)
	}
}

// startFailed makes the step avoid a worker that has not started one of its tasks.
func (s *step) startFailed(w *worker) { s.avoided[w.ID], s.failedStarts[w.ID] = true, true }

// requestAdvice requests advice for a step, other than a gang, that lacks room for some tasks.
// It renews the tickets of approved workers with room, or else asks about workers without a
// verdict. Workers that the step avoids are renewed beside those calls only: the step would
// otherwise wait for good for one that starts nothing. It returns what the step lacks.
func (l *Leader) requestAdvice(p *schedulingPass, s *step, need int) placementOutcome {
	switch {
	case s.queue.Advice == nil:
		return lacksRoom
	case s.advice.inFlight():
		return awaitingAdvice
	case l.now < s.advice.nextRequest:
		return nextCallNotDue
	}
	ask, avoided := l.workersToRenew(p, s, need)
	scarce := l.agents.scarce(l.now, callTime(s.queue.Advice, minRequestWorkers))
	if scarce && len(ask) > 0 {
		if s.validTickets(l.now) >= minRequestWorkers {
			s.advice.nextRequest = l.now + renewalPause
			return nextCallNotDue
		}
		ask = l.addWorkersWithRoomSoon(p, s, ask, batchSize(s.queue.Advice))
	}
	if len(ask) == 0 {
		limit := maxRequestWorkers
		if s.advice.refused {
			limit = l.workersAtOnce(s)
		}
		avoided = avoided[:min(len(avoided), minRequestWorkers)]
		ask = append(avoided, l.workersToQuery(p, s, need, limit-len(avoided))...)
	}
	if len(ask) == 0 {
		s.advice.nextRequest = l.now + noRequestInterval
		return lacksRoom
	}
	if !l.sendAdviceCalls(s, ask) {
		return noAgent
	}
	return awaitingAdvice
}

// queryForGang asks about workers without a verdict for a gang that lacks room on the workers
// that are known to be allowed to run it. It asks only if the room that is free on those and the
// room that is expected on the others suffice together, or if those have too little room even when
// they are idle: calls for long jobs take most of a second, and other steps wait for them. In the
// first case the calls renew the tickets of the workers with room as well, if they can name all of
// them, since the new tickets would expire during a second call.
func (l *Leader) queryForGang(p *schedulingPass, s *step, need int) {
	if s.queue.Advice == nil || s.advice.inFlight() || l.now < s.advice.nextRequest {
		return
	}
	s.advice.nextRequest = l.now + noRequestInterval
	limit := l.workersAtOnce(s)
	var ask []string
	switch approved, unknown := l.freeRoom(p, s); {
	case approved < need && float64(approved)+l.approval(s.queue.Name).value()*float64(unknown) >= float64(need):
		// The calls name workers for the whole gang and some spare room, not only for what is missing:
		// the step may run on fewer workers than the approval rate of the queue says, and others take
		// known room during the calls. Another round takes a second.
		ask = l.workersToQuery(p, s, need+need/spareShare+1, limit)
		if renew, avoided := l.workersToRenew(p, s, need); len(renew)+len(avoided)+len(ask) <= limit {
			ask = slices.Concat(ask, renew, avoided)
		}
	case l.roomWhenIdle(p, s) < need:
		ask = l.workersToQuery(p, s, need, limit)
	}
	l.sendAdviceCalls(s, ask)
}

// freeRoom returns how many tasks of a step fit into what is free on the workers that are known to
// be allowed to run it, and on those without a verdict. Workers that have not started
// a task of the step do not count while it must avoid them.
func (l *Leader) freeRoom(p *schedulingPass, s *step) (approved, unknown int) {
	avoids := l.mustAvoid(p, s)
	for _, w := range p.usable {
		if !matchesWorker(s, w) || avoids && s.failedStarts[w.ID] {
			continue
		}
		v, asked := s.advice.verdicts[w.ID]
		switch {
		case !asked || v.startedMS != w.StartedMS:
			unknown += l.tasksThatFit(p.free(w), s, w)
		case v.approved:
			approved += l.tasksThatFit(l.freeAfterPendingStops(p, w), s, w)
		}
	}
	return approved, unknown
}

// workersToRenew returns approved workers with room for waiting tasks of the step, until
// they have room for twice the number of these tasks, need. If they have room for fewer than need,
// it returns those that the step avoids as well, unless it must avoid them.
func (l *Leader) workersToRenew(p *schedulingPass, s *step, need int) (renew, avoided []string) {
	avoids := l.mustAvoid(p, s)
	tasksThatFit := 0
	for _, w := range p.usable {
		if tasksThatFit >= 2*need {
			return renew, nil
		}
		if !s.approves(w) || !matchesWorker(s, w) {
			continue
		}
		// Room that is being freed will be available when the answer arrives.
		n := l.tasksThatFit(l.freeAfterPendingStops(p, w), s, w)
		switch {
		case n == 0:
		case !s.avoided[w.ID]:
			tasksThatFit += n
			renew = append(renew, w.ID)
		case !avoids:
			avoided = append(avoided, w.ID)
		}
	}
	if tasksThatFit >= need {
		return renew, nil
	}
	return renew, avoided
}

// workersToQuery returns workers without a verdict for the step: those with room first, of the
// speed that suits the step, then those with the most room. need is the number of waiting tasks.
// The list ends once it has limit workers, or minRequestWorkers, cheapRequestWorkers if a call costs
// little per worker, and their expected room is enough for requestSurplus times need tasks. After an
// answer that approved none it has all with room, up to the limit: where few workers may run a step, the
// sum of small calls would exceed the 3 s within which work has to start beside room.
func (l *Leader) workersToQuery(p *schedulingPass, s *step, need, limit int) []string {
	type option struct {
		id           string
		tasksThatFit int // tasks that fit into the free capacity
		speedRank    int
		maxRoom      int // tasks that fit into the whole capacity of the worker
	}
	var options []option
	canWait := l.canWait(s)
	for _, w := range p.usable {
		v, asked := s.advice.verdicts[w.ID]
		if asked && v.startedMS == w.StartedMS || !matchesWorker(s, w) {
			continue
		}
		if maxRoom := l.tasksThatFit(w.rec.Capacity, s, w); maxRoom > 0 {
			options = append(options, option{w.ID, l.tasksThatFit(p.free(w), s, w), speedRank(l.speeds.Speed(w.ID), canWait), maxRoom})
		}
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(
			compareBool(a.tasksThatFit == 0, b.tasksThatFit == 0),
			cmp.Compare(a.speedRank, b.speedRank),
			cmp.Compare(b.tasksThatFit, a.tasksThatFit),
			cmp.Compare(a.id, b.id),
		)
	})
	approval := l.approval(s.queue.Name).value()
	wanted := requestSurplus * float64(need)
	minWorkers := minRequestWorkers
	if s.queue.Advice.PerWorkerMS < cheapPerWorkerMS {
		minWorkers = cheapRequestWorkers
	}
	var out []string
	expected := 0.0
	for _, o := range options {
		isEnough := len(out) >= minWorkers && expected >= wanted && (!s.advice.refused || o.tasksThatFit == 0)
		if len(out) >= limit || isEnough {
			break
		}
		out = append(out, o.id)
		expected += approval * max(float64(o.tasksThatFit), float64(o.maxRoom)/4)
	}
	return out
}

// approval returns the approval rate of a queue.
func (l *Leader) approval(queue string) *approvalRate {
	g := l.approvalRates[queue]
	if g == nil {
		g = &approvalRate{}
		l.approvalRates[queue] = g
	}
	return g
}

// sendAdviceRequest sends a request through the agent that is free first. It reports false if
// no agent is free soon enough.
func (l *Leader) sendAdviceRequest(s *step, workers []string) bool {
	if len(workers) > maxRequestWorkers {
		workers = workers[:maxRequestWorkers]
	}
	cost := callTime(s.queue.Advice, len(workers))
	agent := l.agents.pick(l.now, cost)
	if agent == nil {
		s.lastTry = noAgent
		s.advice.nextRequest = l.now + adviceRetry
		return false
	}
	s.lastTry = awaitingAdvice
	l.waitingStats.adviceRequested++
	agent.busyUntil = max(agent.busyUntil, l.now) + cost
	timeout := agent.busyUntil - l.now + adviceTimeoutMargin
	named := make([]job.Incarnation, 0, len(workers))
	for _, id := range workers {
		named = append(named, l.workers[id].Incarnation)
	}
	l.lastAdviceID++
	s.advice.calls = append(s.advice.calls, adviceCall{id: l.lastAdviceID, agent: agent.address, deadline: l.now + timeout})
	l.host.Emit(RequestAdvice{Term: l.term, ID: l.lastAdviceID, Agent: agent.address, Step: s.ref, Workers: named, Timeout: timeout})
	return true
}

func (l *Leader) adviceAnswered(e AdviceAnswered) {
	if e.Request.Term != l.term {
		return // this process sent the request in an earlier term
	}
	s := l.steps[e.Request.Step]
	if e.Err != nil {
		if agent := l.agents.find(e.Request.Agent); agent != nil {
			agent.downUntil = l.now + agentPause
		}
		l.log("info", "advice", e.Request.Step.String(), e.Request.Agent, "the request for advice failed", "error", e.Err.Error())
		if s != nil && s.advice.end(e.Request.ID) {
			l.adviceFailed(s, &e.Request)
		}
		l.needsSchedule = true
		return
	}
	if s == nil || s.queue.Advice == nil {
		return
	}
	isLast := s.advice.end(e.Request.ID) && !s.advice.inFlight()
	if isLast {
		s.advice.nextRequest = l.now + adviceInterval
	}
	l.storeAdvice(s, &e)
	s.advice.isNew = true
	if s.hold != nil && isLast {
		l.ticketsRenewed(s)
	}
	l.needsSchedule = true
}

// adviceFailed handles the failure of a call that a step waited for. The other calls in flight go on.
// If they renew tickets for a hold, other agents make the failed one again, so that the tickets that
// the others return are of use.
func (l *Leader) adviceFailed(s *step, failed *RequestAdvice) {
	if !s.advice.inFlight() {
		s.advice.nextRequest = l.now + adviceRetry
		l.dropHold(s)
		return
	}
	if s.hold == nil {
		return
	}
	ids := failed.WorkerIDs()
	if slices.ContainsFunc(ids, l.isUnknownWorker) || !l.sendAdviceCalls(s, ids) {
		l.dropHold(s)
		return
	}
	s.hold.until = s.advice.lastDeadline()
}

// isUnknownWorker reports whether no worker has an ID.
func (l *Leader) isUnknownWorker(id string) bool { return l.workers[id] == nil }

// replacesVerdict reports whether the answer to a call about an incarnation replaces a verdict on its
// worker. A verdict on the incarnation that runs now is kept; start times do not order incarnations, since
// the clock of a VM can be set back. The ticket of a later call is kept as well: the ticket of a call that
// had timed out may have expired.
func (l *Leader) replacesVerdict(last *verdict, of job.Incarnation, requestID uint64) bool {
	if last.startedMS == of.StartedMS {
		return last.requestID <= requestID
	}
	w := l.workers[of.ID]
	return w == nil || w.StartedMS != last.startedMS
}

// storeAdvice stores verdicts and tickets for the incarnations that the request named. If the
// answer omits one, that incarnation may not run the step, now or later.
func (l *Leader) storeAdvice(s *step, e *AdviceAnswered) {
	if s.advice.verdicts == nil {
		s.advice.verdicts = map[string]verdict{}
	}
	valid := time.Duration(s.queue.Advice.ValidMS) * time.Millisecond
	if e.ValidMS > 0 {
		valid = min(valid, time.Duration(e.ValidMS)*time.Millisecond)
	}
	tickets := map[string]string{}
	for _, t := range e.Approved {
		tickets[t.Worker] = t.Ticket
	}
	queried, approved := 0, 0
	for _, w := range e.Request.Workers {
		ticket, ok := tickets[w.ID]
		last, known := s.advice.verdicts[w.ID]
		if known && !l.replacesVerdict(&last, w, e.Request.ID) {
			continue
		}
		if !known {
			queried++
			if ok {
				approved++
			}
		}
		s.advice.verdicts[w.ID] = verdict{requestID: e.Request.ID, startedMS: w.StartedMS, approved: ok, ticket: ticket, validUntil: l.now + valid - ticketMargin}
	}
	l.approval(s.queue.Name).add(queried, approved)
	s.advice.refused = len(e.Approved) == 0
}

// checkAdvice abandons calls for advice that have timed out, and makes no calls through their agents
// for agentPause. A hold ends with the last call.
func (l *Leader) checkAdvice() {
	for _, s := range l.sortedSteps() {
		for _, c := range slices.Clone(s.advice.calls) {
			if l.now >= c.deadline {
				l.adviceTimedOut(s, c)
			}
		}
	}
}

func (l *Leader) adviceTimedOut(s *step, c adviceCall) {
	s.advice.end(c.id)
	if !s.advice.inFlight() {
		s.advice.nextRequest = l.now
		l.dropHold(s)
	}
	if a := l.agents.find(c.agent); a != nil {
		a.downUntil = l.now + agentPause
	}
	l.log("info", "advice", s.ref.String(), c.agent, "the request for advice was not answered in time")
}
