package jobs

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// waitingLogInterval is the minimum time between two log lines about waiting steps.
const waitingLogInterval = time.Second

// waitingStats counts what happened to waiting steps since the last log line about them.
type waitingStats struct {
	nextLog         time.Duration
	preempted       int // runs that were preempted
	holdsExpired    int // holds that ended before the gang was assigned
	gangsAssigned   int
	adviceRequested int // calls for advice
}

// logWaiting writes a log line about the waiting steps, at most once in waitingLogInterval
// and only while steps wait.
func (l *Leader) logWaiting() {
	if l.now < l.waitingStats.nextLog {
		return
	}
	var steps, gangs, holding, inFlight int
	plannedFor, plannedIn := l.nextPlanned()
	highestShare := 0.0
	for _, share := range l.overload.refusedShare {
		highestShare = max(highestShare, share)
	}
	l.logIdleSteps()
	for _, s := range l.steps {
		if s.job.Phase.Final() || !s.mayHaveWaiting() {
			continue
		}
		steps++
		if s.advice.inFlight() {
			inFlight++
		}
		if !s.spec.Gang {
			continue
		}
		gangs++
		if s.holds(l.now) {
			holding++
		}
	}
	st := l.waitingStats
	l.waitingStats = waitingStats{nextLog: l.now + waitingLogInterval}
	refused := l.overload.refused
	l.overload.refused = 0
	if steps > 0 || refused > 0 {
		l.log("info", "waiting", "", "", "waiting work", "steps", steps, "gangs", gangs, "holding", holding, "advice_in_flight", inFlight,
			"advice_calls", st.adviceRequested, "preempted", st.preempted, "holds_expired", st.holdsExpired, "gangs_assigned", st.gangsAssigned,
			"order_delay_ms", l.overload.orderDelay.Milliseconds(), "refused", refused,
			"starts_in_flight", l.starts.inFlight(), "refused_percent", int(100*highestShare), "planned_for", plannedFor, "planned_in_ms", plannedIn.Milliseconds())
	}
}

const (
	// idleLogAge is the time without a running task after which a step is logged by itself.
	idleLogAge = 2 * time.Second
	// maxIdleSteps bounds the steps that are logged in waitingLogInterval, those that have waited
	// longest.
	maxIdleSteps = 3
)

// placementOutcome is the result of the last try to place waiting tasks of a step.
type placementOutcome string

const (
	notTried         placementOutcome = "not tried yet"
	placedSome       placementOutcome = "tasks were placed"
	runsNotEnded     placementOutcome = "runs of the gang have not ended"
	awaitingAdvice   placementOutcome = "a call for advice is in flight"
	holdingRoom      placementOutcome = "room is held until the tickets are renewed or tasks are stopped"
	lacksRoom        placementOutcome = "no room, and no worker left to ask about"
	noAgent          placementOutcome = "no process is free for a call for advice"
	ticketsTooLate   placementOutcome = "the tickets cannot be renewed in time"
	nextCallNotDue   placementOutcome = "the next call for advice is not due yet"
	atTeamLimit      placementOutcome = "the team is at its limit"
	assignmentFailed placementOutcome = "the assignment was not committed"
)

// idleSince returns the time since which no task of a step is known to run, not counting runs that have
// ended without a start. It returns false if one is, or if no task is open.
func (s *step) idleSince() (since time.Duration, idle bool) {
	if s.job.Phase.Final() || s.done() {
		return 0, false
	}
	for _, r := range s.runs {
		if r.phase == running {
			return 0, false
		}
	}
	return max(s.readyAt, s.ranUntil), true
}

// logIdleSteps writes a log line for each of the steps that have waited longest without a running
// task, with what the last try lacked. A step all of whose open tasks are held by runs that are not
// known to have ended is one of them, though no pass tries it.
func (l *Leader) logIdleSteps() {
	type idleStep struct {
		*step
		since time.Duration
	}
	var idle []idleStep
	for _, s := range l.steps {
		if since, ok := s.idleSince(); ok && l.now-since >= idleLogAge {
			idle = append(idle, idleStep{s, since})
		}
	}
	if len(idle) == 0 {
		return
	}
	slices.SortFunc(idle, func(a, b idleStep) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.ref.String(), b.ref.String()))
	})
	p := l.newPass()
	for _, x := range idle[:min(len(idle), maxIdleSteps)] {
		v := l.countVerdicts(p, x.step)
		approved, unknown := l.freeRoom(p, x.step)
		l.log("info", "idle step", x.ref.String(), "", "a step has no running task", "idle_ms", (l.now - x.since).Milliseconds(), "idle_steps", len(idle),
			"queue", x.queue.Name, "gang", x.spec.Gang, "tasks", x.spec.Count, "runs", len(x.runs), "being_assigned", len(x.pendingAssignments), "held_by", l.oldestRun(x.step),
			"last_try", string(x.lastTry), "last_end", x.lastEnd.String(), "avoided", len(x.avoided), "usable_workers", v.usable, "approved", v.approved, "refused", v.refused, "not_asked", v.notAsked,
			"room_approved", approved, "room_not_asked", unknown)
	}
}

// verdictCounts counts the usable workers of a step's pool by what the advice service has answered.
type verdictCounts struct{ usable, approved, refused, notAsked int }

func (l *Leader) countVerdicts(p *schedulingPass, s *step) verdictCounts {
	var c verdictCounts
	for _, w := range p.usable {
		if !matchesWorker(s, w) {
			continue
		}
		c.usable++
		v, asked := s.advice.verdicts[w.ID]
		switch {
		case s.queue.Advice == nil:
		case !asked || v.startedMS != w.StartedMS:
			c.notAsked++
		case v.approved:
			c.approved++
		default:
			c.refused++
		}
	}
	return c
}

// oldestRun describes the run of a step that has been in its phase for longest, "" if it has none.
func (l *Leader) oldestRun(s *step) string {
	var oldest *run
	for _, r := range s.sortedRuns() {
		if oldest == nil || r.phaseSince < oldest.phaseSince {
			oldest = r
		}
	}
	if oldest == nil {
		return ""
	}
	worker := "no worker"
	if w := l.holder(oldest); w != nil {
		worker = w.ID
	}
	return fmt.Sprintf("run %d of %s on %s, %s for %d ms", oldest.number, oldest.ref, worker, oldest.phase, (l.now - oldest.phaseSince).Milliseconds())
}
