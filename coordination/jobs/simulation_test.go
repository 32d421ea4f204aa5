package jobs

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// simulation runs leaders against fake workers in simulated time. It checks the invariants
// every checkInterval, and the invariants of starts when a worker starts a run.
type simulation struct {
	t            testing.TB
	lastCheck    time.Duration // time of the last check of the invariants
	rng          *rand.Rand
	seed         uint64
	now          time.Duration
	queue        events
	order        int // number of scheduled events, which orders events of the same time
	state        *job.State
	leader       *Leader
	term         uint64
	leaderActive bool   // a leader is elected; false between endTerm and elect
	index        uint64 // log index of the last applied command

	workers       map[string]*fakeWorker // by address
	approved      map[string]bool        // whether a worker may run a step, by concatenated step and worker ID
	answers       map[Token]Answer
	drainReports  map[Token]*fakeWorker // heartbeats that report that their worker drains
	token         Token
	ackedDone     map[job.TaskRef]bool // ends as done that were acknowledged
	ackedFailures map[job.TaskRef]int  // number of ends as failed that were acknowledged
	highestStart  map[job.TaskRef]int  // highest number of a run that has started

	finished    map[job.TaskRef]bool         // ended as done, acknowledged or not
	failedRuns  map[job.TaskRef]map[int]bool // runs that have failed; those of a gang are recorded for its first task
	cancelledAt map[job.ID]time.Duration
	specs       map[job.ID]job.Submission

	lostAnswerShare   float64                       // share of orders that are executed late and not answered, and of observations that are lost
	approvalShare     float64                       // share of workers that may run a step
	approvals         map[string]float64            // approvalShare by the first letter of a job's ID, nil for the same share for all
	savedWork         map[job.TaskRef]time.Duration // work saved in checkpoints; nil if runs do not resume
	thrownAway        float64                       // core-seconds of runs that were stopped, broken or lost and not saved
	serviceTail       float64                       // tail latency in milliseconds of a service task without best-effort tasks beside it
	bestEffortLatency float64                       // milliseconds that a best-effort task at full pace adds to the tail latency of a service task
	advice            bool                          // starts need tickets
	adviceFails       map[job.ID]bool               // jobs whose calls for advice fail
	advisors          int                           // number of agents; each makes one call for advice at a time, with the queue's durations. 0 for one agent whose calls are short
	advisorFreeAt     map[string]time.Duration      // end of the calls of an agent, by address
	messageTime       time.Duration                 // processor time of the leader's process for each message that it sends or receives; 0 for none
	processFreeAt     time.Duration                 // time at which the process has handled all messages so far
	incompleteMembers int                           // number of gang members that ended because the gang was incomplete
	gangs             map[gangRun][]member
	relays            []*fakeRelay
	vms               fakeVMs
	hopeless          map[job.ID]bool // jobs whose tasks fail on every worker
	leastAttempts     map[string]int  // lowest number of attempts that a configuration allowed, by queue, if it was changed
	reconfiguredAt    time.Duration   // time at which reconfigure was last called

	// stateCheckInterval is the number of commands after which the invariants of the state are
	// checked, 0 for 1. The check takes time in proportion to the number of jobs.
	stateCheckInterval uint64

	teamOf func(id job.ID) string // team that submits a job, nil if the configuration has no teams

	log        fakeLog
	copies     *heldCopies  // nil if no copies of calls arrive late
	entries    messageQueue // proposals that wait for the next append
	bounds     Bounds
	leaderTime time.Duration // real time that the leader's decisions have taken
	logLines   []string
}

// checkInterval is the minimum simulated time between two updates of the workers, each
// followed by a check of the invariants.
const checkInterval = 5 * time.Millisecond

const (
	testStop     = 400 * time.Millisecond // bound on the time that a worker takes to stop a run
	testGangWait = 3 * time.Second
	testMaxLease = 6 * time.Second
	testTimeout  = 250 * time.Millisecond // time after which an order counts as unanswered
	testEpochMS  = 1_700_000_000_000
)

type event struct {
	at    time.Duration
	order int
	f     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	return newSimulationWithBounds(t, seed, defaultBounds())
}

// newSimulationWithBounds simulates a deployment whose leaders and workers have other bounds.
func newSimulationWithBounds(t testing.TB, seed uint64, bounds Bounds) *simulation {
	sim := &simulation{
		t: t, seed: seed, bounds: bounds, rng: rand.New(rand.NewPCG(seed, 7)), state: job.New(), workers: map[string]*fakeWorker{},
		approved: map[string]bool{}, answers: map[Token]Answer{}, drainReports: map[Token]*fakeWorker{}, ackedDone: map[job.TaskRef]bool{}, finished: map[job.TaskRef]bool{}, failedRuns: map[job.TaskRef]map[int]bool{}, hopeless: map[job.ID]bool{}, leastAttempts: map[string]int{}, ackedFailures: map[job.TaskRef]int{}, highestStart: map[job.TaskRef]int{},
		advisorFreeAt: map[string]time.Duration{}, cancelledAt: map[job.ID]time.Duration{}, specs: map[job.ID]job.Submission{}, gangs: map[gangRun][]member{}, approvalShare: 0.8,
	}
	sim.elect()
	return sim
}

// sorted returns the workers sorted by address.
func (sim *simulation) sorted() []*fakeWorker {
	var out []*fakeWorker
	for _, address := range slices.Sorted(maps.Keys(sim.workers)) {
		out = append(out, sim.workers[address])
	}
	return out
}

func (sim *simulation) wallMS() int64 { return testEpochMS + sim.now.Milliseconds() }

// after schedules a function call after a delay in simulated time.
func (sim *simulation) after(d time.Duration, f func()) {
	sim.order++
	heap.Push(&sim.queue, event{sim.now + d, sim.order, f})
}

// between returns a random duration from low up to but excluding high.
func (sim *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)))
}

// elect starts the next term with a new leader. Commands of the previous term that are not
// committed by then are lost.
func (sim *simulation) elect() {
	sim.term++
	sim.leaderActive = true
	sim.leader = NewLeader(&fakeHost{sim: sim, term: sim.term}, sim.state, sim.bounds, sim.term, sim.now, sim.wallMS())
	sim.after(time.Millisecond, sim.agentHeartbeats)
}

// agentHeartbeats sends the heartbeats of all agents.
func (sim *simulation) agentHeartbeats() {
	sim.handle(ProcessHeartbeat{Name: "self", Address: "agent"})
	for i := 1; i < sim.advisors; i++ {
		sim.handle(ProcessHeartbeat{Name: "gateway", Address: fmt.Sprintf("agent%02d", i)})
	}
}

// endTerm ends the term. There is no leader until elect.
func (sim *simulation) endTerm() { sim.leaderActive = false }

func defaultBounds() Bounds {
	return Bounds{
		MaxLease: testMaxLease, StopTime: testStop, GangWait: testGangWait, StatusRetention: 120 * time.Second,
		RemoteDataFactor: 2, CheckpointInterval: 500 * time.Millisecond, MinAvailableTime: 4 * time.Second, MaintenanceTime: 2 * time.Second,
	}
}

// handle passes an event to the leader, and a copy of some calls later on.
func (sim *simulation) handle(e Event) {
	if isCall(e) {
		sim.holdCopy(e)
	}
	sim.deliverCall(e)
}

func (sim *simulation) deliverCall(e Event) {
	if !sim.leaderActive || !sim.hasLease() && isCall(e) {
		return
	}
	began := time.Now()
	sim.leader.SetClock(sim.now, sim.wallMS())
	sim.leader.Handle(e)
	sim.leaderTime += time.Since(began)
	sim.work()
}

// hasLease reports whether the leader has a lease, without which its process answers no calls, commits no
// entries and does not call its Tick method.
func (sim *simulation) hasLease() bool { return sim.now >= sim.log.noLeaseUntil }

// work sets the clock of the leader and calls its Tick method.
func (sim *simulation) work() {
	if !sim.hasLease() {
		return
	}
	began := time.Now()
	sim.leader.SetClock(sim.now, sim.wallMS())
	sim.leader.Tick()
	sim.leaderTime += time.Since(began)
}

// run advances the simulation to a time.
func (sim *simulation) run(until time.Duration) {
	sim.t.Helper()
	for sim.now < until && !sim.t.Failed() {
		next := until
		if sim.leaderActive {
			next = min(next, max(sim.leader.NextTick(), sim.now+time.Millisecond, sim.log.noLeaseUntil))
		}
		if len(sim.queue) > 0 && sim.queue[0].at <= next {
			e := heap.Pop(&sim.queue).(event)
			sim.now = max(sim.now, e.at)
			e.f()
		} else {
			sim.now = next
			if sim.leaderActive {
				sim.work()
			}
		}
		if sim.now-sim.lastCheck >= checkInterval {
			sim.lastCheck = sim.now
			for _, x := range sim.sorted() {
				x.advance()
			}
			sim.checkInvariants()
		}
	}
}

// heartbeats sends the heartbeats of the agent and of all workers that are neither stopped
// nor partitioned, and schedules the next heartbeats.
func (sim *simulation) heartbeats() {
	sim.agentHeartbeats()
	for _, x := range sim.sorted() {
		if !x.partitioned && !x.stopped {
			x.sequence++
			sim.token++
			if x.isDraining {
				sim.drainReports[sim.token] = x
			}
			sim.handle(WorkerHeartbeat{Token: sim.token, Worker: x.record(), Draining: x.isDraining, ClockMS: x.clock(), Sequence: x.sequence})
		}
	}
	sim.after(700*time.Millisecond, sim.heartbeats)
}

// processed returns the time until the leader's process has handled one more message. It
// handles them in the order of their arrival.
func (sim *simulation) processed() time.Duration {
	sim.processFreeAt = max(sim.processFreeAt, sim.now) + sim.messageTime
	return sim.processFreeAt - sim.now
}

func (sim *simulation) configure(attempts int, advice *job.Advice) {
	sim.apply(&job.Command{Configure: &job.Configuration{
		Version: 1, Pools: []job.Pool{{Name: "p"}},
		Queues: []job.Queue{
			{Name: "urgent", Host: "h", Prefix: "/u/", Pool: "p", MaxAttempts: attempts, TimeoutMS: 3000, Stretch: 1.5, TargetLatencyMS: 250, Advice: advice},
			{Name: "batch", Host: "h", Prefix: "/b/", Pool: "p", Priority: 2, MaxAttempts: attempts, TimeoutMS: 3000, Stretch: 4, TargetLatencyMS: 3000, Advice: advice},
		},
	}})
}

func (sim *simulation) apply(c *job.Command) job.Applied {
	sim.index++
	a := sim.state.Apply(sim.index, c)
	if c.Configure != nil && a.Rejected == nil {
		sim.advice = c.Configure.Queues[0].Advice != nil
	}
	if sim.index%max(1, sim.stateCheckInterval) != 0 {
		return a
	}
	if err := sim.state.Check(); err != nil {
		sim.errorf("state invariant violated: %v", err)
	}
	return a
}

func (sim *simulation) submit(path string, s job.Submission) Token {
	sim.token++
	sim.specs[s.ID] = s
	sim.handle(Submit{Token: sim.token, Host: "h", Path: path + string(s.ID), Credential: sim.credentialOf(s.ID), Submission: s, Epoch: sim.state.Epoch()})
	return sim.token
}

// errorf fails the test once, with the last log lines of the leaders.
func (sim *simulation) errorf(format string, args ...any) {
	sim.t.Helper()
	if sim.t.Failed() {
		return
	}
	for _, l := range sim.logLines[max(0, len(sim.logLines)-60):] {
		sim.t.Log(l)
	}
	sim.t.Errorf("seed %d at %v: %s", sim.seed, sim.now, fmt.Sprintf(format, args...))
}

// checkInvariants fails the test if a task runs on two workers, a worker runs more than fits
// its capacity, or a task of a cancelled job still runs after a long time with a leader.
func (sim *simulation) checkInvariants() {
	running := map[job.TaskRef]string{}
	for _, x := range sim.workers {
		var used resource.Amount
		for ref, r := range x.runs {
			if other, twice := running[ref]; twice {
				sim.errorf("task %s runs on %s and %s", ref, other, x.id)
			}
			running[ref] = x.id
			used = used.Add(r.need)
			if at, ok := sim.cancelledAt[ref.Job]; ok && sim.leaderActive && sim.now-at > 30*time.Second {
				sim.errorf("task %s runs %v after its job was cancelled", ref, sim.now-at)
			}
		}
		if !used.FitsIn(x.capacity) {
			sim.errorf("worker %s runs tasks that need %+v, its capacity is %+v", x.id, used, x.capacity)
		}
	}
}

// fakeHost commits commands after a delay. A command whose term has ended by then is reported
// as not committed. It is lost, or if no new leader is elected yet, it may be applied all the
// same.
type fakeHost struct {
	sim  *simulation
	term uint64
}

func (h *fakeHost) isCurrentTerm() bool { return h.sim.leaderActive && h.sim.term == h.term }

func (h *fakeHost) Propose(c *job.Command, done func(a job.Applied, committed bool)) bool {
	sim := h.sim
	if !h.isCurrentTerm() || sim.log.refusesEntry(sim.now, c) {
		return false
	}
	commitsInNextTerm := sim.rng.IntN(2) == 0
	var commit func()
	commit = func() {
		if h.isCurrentTerm() && !sim.hasLease() {
			sim.after(sim.log.noLeaseUntil-sim.now, commit)
			return
		}
		if !h.isCurrentTerm() {
			if commitsInNextTerm && !sim.leaderActive { // the next leader commits the command before its term starts
				sim.apply(c)
			}
			if done != nil {
				done(job.Applied{}, false)
			}
			return
		}
		a := sim.apply(c)
		sim.leader.SetClock(sim.now, sim.wallMS())
		sim.leader.Applied(c, a)
		if done != nil {
			done(a, true)
		}
		sim.work()
	}
	if len(sim.relays) > 0 {
		sim.appendShared(commit)
		return true
	}
	sim.afterProcessing(0, func() { // the append is sent
		sim.afterProcessing(sim.between(8*time.Millisecond, 20*time.Millisecond), commit) // it is acknowledged
	})
	return true
}

// appendShared sends an entry with the next append, which waits until the previous one is
// acknowledged. With relays, which are the followers, the process sends one message to each and
// receives one from each.
func (sim *simulation) appendShared(commit func()) {
	sim.entries.waiting = append(sim.entries.waiting, commit)
	if !sim.entries.sending {
		sim.sendAppend()
	}
}

func (sim *simulation) sendAppend() {
	sim.entries.sending = true
	sim.after(0, func() { // the append takes along all entries of the present moment
		commits := sim.entries.waiting
		sim.entries.waiting = nil
		for range sim.relays[1:] {
			sim.processed()
		}
		sim.after(sim.processed()+sim.between(8*time.Millisecond, 12*time.Millisecond), func() {
			for range sim.relays[1:] {
				sim.processed()
			}
			sim.after(sim.processed(), func() {
				if sim.entries.sending = false; len(sim.entries.waiting) > 0 {
					sim.sendAppend()
				}
				for _, f := range commits {
					f()
				}
			})
		})
	})
}

// afterProcessing schedules a function call after a delay and after the leader's process has
// handled the message that arrives then.
func (sim *simulation) afterProcessing(d time.Duration, f func()) {
	if sim.messageTime == 0 {
		sim.after(d, f)
		return
	}
	sim.after(d, func() { sim.after(sim.processed(), f) })
}

func (h *fakeHost) Reply(t Token, a Answer) {
	h.sim.answers[t] = a
	if x := h.sim.drainReports[t]; x != nil && a.Code == CodeOK && x.isDraining && x.drainingSince == 0 {
		x.drainingSince = h.sim.now
	}
}

func (h *fakeHost) Members() []string { return []string{"agent"} }

func (h *fakeHost) Relays() []Relay { return h.sim.relaysInContact() }

func (h *fakeHost) Log(l LogLine) {
	h.sim.logLines = append(h.sim.logLines, fmt.Sprintf("%v term %d %s %s %s: %s %v", h.sim.now, h.term, l.Step, l.Request, l.Peer, l.Message, l.Fields))
}

func (h *fakeHost) Emit(e Effect) {
	sim := h.sim
	switch e := e.(type) {
	case RequestAdvice:
		sim.afterProcessing(sim.processed()+sim.adviceTime(e), func() { sim.handle(h.answerAdvice(e)) })
	case StartRun:
		sim.deliver(e, func(x *fakeWorker) Event {
			return StartAnswered{Start: e, Result: x.start(&e), ClockMS: x.clock()}
		}, StartAnswered{Start: e, Result: OrderUnanswered})
	case StopRun:
		sim.deliver(e, func(x *fakeWorker) Event {
			return StopAnswered{Stop: e, Result: x.stop(&e), ClockMS: x.clock()}
		}, StopAnswered{Stop: e, Result: OrderUnanswered})
	case PaceRun:
		sim.deliver(e, func(x *fakeWorker) Event {
			return PaceAnswered{Pace: e, Result: x.pace(&e)}
		}, PaceAnswered{Pace: e, Result: OrderUnanswered})
	case Observe:
		sim.observe(e)
	case StartMaintenance:
		sim.vms.maintain(sim, e)
	}
}

// adviceTime returns the time until a call for advice is answered. An agent's calls are
// served one after the other.
func (sim *simulation) adviceTime(e RequestAdvice) time.Duration {
	if sim.advisors == 0 {
		return sim.between(10*time.Millisecond, 60*time.Millisecond)
	}
	a := sim.state.QueueOf(sim.state.Job(e.Step.Job)).Advice
	cost := time.Duration((a.PerCallMS + a.PerWorkerMS*float64(len(e.Workers))) * float64(time.Millisecond))
	sim.advisorFreeAt[e.Agent] = max(sim.advisorFreeAt[e.Agent], sim.now) + cost
	return sim.advisorFreeAt[e.Agent] - sim.now + sim.between(2*time.Millisecond, 8*time.Millisecond)
}

func (h *fakeHost) answerAdvice(e RequestAdvice) Event {
	out := AdviceAnswered{Request: e, ValidMS: 1500}
	if h.sim.adviceFails[e.Step.Job] {
		out.Err = errors.New("the call is refused")
		return out
	}
	for _, id := range e.WorkerIDs() {
		key := e.Step.String() + id
		if _, known := h.sim.approved[key]; !known {
			share := h.sim.approvalShare
			if x, ok := h.sim.approvals[string(e.Step.Job[:1])]; ok {
				share = x
			}
			h.sim.approved[key] = h.sim.rng.Float64() < share
		}
		if h.sim.approved[key] {
			out.Approved = append(out.Approved, Ticket{Worker: id, Ticket: key})
		}
	}
	return out
}

// deliver passes an order to the worker at its address. f executes the order and returns the
// answer. If the worker cannot be reached the order is lost, and a share of the other orders
// is executed late; in both cases the leader receives the event lost after testTimeout.
func (sim *simulation) deliver(order workerOrder, f func(x *fakeWorker) Event, lost Event) {
	path, o := sim.pathOf(order), order.header()
	path.send(func() {
		x := sim.workers[o.Address]
		if x == nil || x.partitioned || x.stopped {
			sim.after(testTimeout, func() { path.reply(lost) })
			return
		}
		if sim.rng.Float64() < sim.lostAnswerShare {
			targetStartMS := x.startedMS // only the incarnation that received the order executes it late
			sim.after(sim.between(2*time.Second, 12*time.Second), func() {
				if !x.partitioned && !x.stopped && x.id == o.Worker.ID && x.startedMS == targetStartMS {
					f(x)
				}
			})
			sim.after(testTimeout, func() { path.reply(lost) })
			return
		}
		path.reply(f(x))
	})
}

// observe delivers an observation to a worker, which delays its answer until a run has
// ended or the wait has expired.
func (sim *simulation) observe(o Observe) {
	path := sim.pathOf(o)
	wait := time.Duration(o.WaitMS) * time.Millisecond
	lost := func() {
		sim.after(testTimeout, func() { path.reply(Observed{Observe: o, Result: OrderUnanswered}) })
	}
	startedMS := int64(0) // of the incarnation that has received the call; the call ends with it
	reachable := func() *fakeWorker {
		x := sim.workers[o.Address]
		if x == nil || x.partitioned || x.stopped || startedMS != 0 && x.startedMS != startedMS {
			return nil
		}
		return x
	}
	var poll func(until time.Duration)
	poll = func(until time.Duration) {
		x := reachable()
		switch {
		case x == nil:
			sim.after(max(0, until-sim.now), lost)
		case len(x.ended) == 0 && sim.now < until && x.id == o.Worker.ID:
			sim.after(10*time.Millisecond, func() { poll(until) })
		default:
			path.reply(x.list(&o))
		}
	}
	path.send(func() {
		x := reachable()
		if x == nil || sim.rng.Float64() < sim.lostAnswerShare {
			sim.after(wait, lost)
			return
		}
		startedMS = x.startedMS
		if e := x.observe(&o); len(x.ended) > 0 || wait == 0 {
			path.reply(e)
			return
		}
		poll(sim.now + wait)
	})
}
