// Package health tracks whether endpoints send heartbeats and complete the tasks they
// start, and derives their membership status. It is used by one goroutine and reads
// no clock: every call carries the monotonic time.
package health

import (
	"container/list"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// SuspectAfter is the time without contact after which an endpoint gets no new
	// work: three heartbeat intervals of 2 s.
	SuspectAfter = 6 * time.Second
	// LostAfter is the time without contact after which an endpoint is lost. It exceeds
	// the endpoint's lease of 8 s for clock drift and delays: on an endpoint clock that
	// is 10% slow the lease takes 8.9 s, and on a leader clock that is 10% fast
	// LostAfter takes 10 s. The lease starts when the heartbeat is sent, which is before
	// the answer from which LostAfter is measured, so the lease has expired on the
	// endpoint by then.
	LostAfter = 11 * time.Second
	// FlappingReturns is the number of returns within FlappingWindow that make an
	// endpoint flapping. A return is a restart, or renewed contact of a suspect or lost
	// endpoint. Flapping ends when the endpoint has had contact for StableAfter without
	// a further return.
	FlappingReturns = 3
	FlappingWindow  = 10 * time.Minute
	StableAfter     = 60 * time.Second
	// QuarantineAfter is the number of different jobs that must fail in a row on an
	// endpoint before it is quarantined. Two may fail by chance; each further one
	// costs another job an attempt.
	QuarantineAfter = 3
	// FirstTrial and MaxTrial bound the interval between trial tasks on a quarantined
	// endpoint, which doubles. The upper bound makes a repaired endpoint useful again
	// within minutes.
	FirstTrial = 10 * time.Second
	MaxTrial   = 5 * time.Minute
	// QuarantineShare limits the share of the endpoints of one kind that may be in
	// quarantine. If more fail, the jobs or a common cause are at fault, and removing
	// capacity would make the shortage worse.
	QuarantineShare = 0.2
)

// Transition is a change of an endpoint's status that follows from its heartbeats and
// from the outcomes of its attempts.
type Transition struct {
	Name        string
	Incarnation uint64
	Status      state.EndpointStatus
}

// Tracker holds the evidence on all endpoints of a domain: the times of their heartbeat
// answers, their returns and their failed jobs. It is used for one term of a leader.
type Tracker struct {
	endpoints map[string]*endpoint
	answering *list.List // *endpoint, ordered by time of last contact, the earliest first
	suspect   *list.List // suspected endpoints in the same order
	timers    timers     // times at which flapping ends or a trial is due
	kinds     map[state.EndpointKind]*population
	changed   []*endpoint // endpoints whose status may differ from the reported one
}

// population counts the endpoints of a kind that are not lost, and those of them
// that are in quarantine.
type population struct{ present, quarantined int }

// limit returns the largest number of endpoints in quarantine: QuarantineShare of
// those present, at least one, but never all.
func (p *population) limit() int {
	return min(max(1, int(QuarantineShare*float64(p.present))), max(0, p.present-1))
}

type endpoint struct {
	name         string
	incarnation  uint64
	kind         state.EndpointKind
	contactState contactState
	lastAnswered time.Duration // time of the last heartbeat answer, at the earliest when this leader added the endpoint
	element      *list.Element // element of Tracker.answering or Tracker.suspect, nil when lost
	leaving      bool
	returnTimes  [FlappingReturns]time.Duration // times of the latest returns, oldest first
	returnCount  int                            // number of return times that are set
	flapping     bool
	failures     streak
	timer        time.Duration        // monotonic time of the end of flapping or of the next trial
	timerIndex   int                  // index in Tracker.timers, -1 for none
	interval     time.Duration        // interval between the next trial and the one after it
	trialDue     bool                 // the endpoint is in quarantine and should get a trial task
	reported     state.EndpointStatus // status in the replicated state, or returned by Transitions since
	inChanged    bool                 // the endpoint is in Tracker.changed
	quarantined  bool
}

// contactState classifies an endpoint by the time since the last contact.
type contactState uint8

const (
	answering contactState = iota
	suspected
	lost
)

// New returns a tracker without endpoints.
func New() *Tracker {
	return &Tracker{
		endpoints: map[string]*endpoint{},
		answering: list.New(), suspect: list.New(),
		kinds: map[state.EndpointKind]*population{},
	}
}

// UpdateEndpoint updates the tracker with the latest version of an endpoint. An
// unknown endpoint was restored at the start of the term or has just registered; the
// time without contact counts from now, because earlier heartbeat answers are not
// known to this leader. A new incarnation of a known endpoint counts as a return.
// Other changes do not count as contact.
func (t *Tracker) UpdateEndpoint(now time.Duration, e *state.Endpoint) {
	ep := t.endpoints[e.Name]
	switch {
	case ep == nil:
		t.restore(now, e)
	case ep.incarnation != e.Incarnation:
		t.replace(now, ep, e)
	case e.Status == state.EndpointLeaving:
		ep.leaving, ep.reported = true, e.Status
		t.markChanged(ep)
	case e.Status == state.EndpointReady && ep.leaving:
		// A change to ready that was proposed before the endpoint was leaving has
		// been applied: leaving has to be reported again.
		ep.reported = e.Status
		t.markChanged(ep)
	}
}

// restore adds an endpoint with the status in the replicated state, which an earlier
// leader may have set, and keeps that status until there is evidence for another one.
func (t *Tracker) restore(now time.Duration, e *state.Endpoint) {
	ep := t.add(e, now)
	ep.reported = e.Status
	switch e.Status {
	case state.EndpointSuspect:
		t.markSuspect(ep)
	case state.EndpointLost:
		t.markLost(ep)
	case state.EndpointLeaving:
		ep.leaving = true
	case state.EndpointFlapping:
		ep.flapping = true
		t.setTimer(ep, now+StableAfter)
	case state.EndpointQuarantined:
		t.quarantine(now, ep)
	}
}

// replace records the registration of a new incarnation.
func (t *Tracker) replace(now time.Duration, ep *endpoint, e *state.Endpoint) {
	ep.incarnation = e.Incarnation
	ep.leaving = e.Status == state.EndpointLeaving
	ep.reported = e.Status
	t.restartTrials(now, ep)
	ep.lastAnswered = max(ep.lastAnswered, now)
	if ep.contactState == answering {
		t.answering.MoveToBack(ep.element)
		t.recordReturn(now, ep)
	} else {
		t.markAnswering(now, ep)
	}
}

// HeartbeatAnswered records that a heartbeat of an endpoint was answered. It returns
// false for an unknown endpoint, which has to register first.
func (t *Tracker) HeartbeatAnswered(now time.Duration, name string) bool {
	e := t.endpoints[name]
	if e == nil {
		return false
	}
	e.lastAnswered = max(e.lastAnswered, now)
	if e.contactState == answering {
		t.answering.MoveToBack(e.element)
		return true
	}
	t.markAnswering(now, e)
	return true
}

// Leaving records that an endpoint is leaving, or that it no longer is. Only this
// call or a new incarnation ends leaving.
func (t *Tracker) Leaving(name string, leaving bool) {
	if e := t.endpoints[name]; e != nil {
		e.leaving = leaving
		t.markChanged(e)
	}
}

// Remove stops tracking an endpoint, which no longer counts as present.
func (t *Tracker) Remove(name string) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	if e.contactState != lost {
		t.markLost(e)
	}
	t.stopTimer(e)
	delete(t.endpoints, name)
}

// Status returns the status that follows from the evidence as of the last call of
// Transitions, or "" for an unknown endpoint.
func (t *Tracker) Status(name string) state.EndpointStatus {
	if e := t.endpoints[name]; e != nil {
		return e.status()
	}
	return ""
}

// status returns the most restrictive status whose condition holds, in the order lost,
// leaving, suspect, flapping, quarantined, ready.
func (e *endpoint) status() state.EndpointStatus {
	switch {
	case e.contactState == lost:
		return state.EndpointLost
	case e.leaving:
		return state.EndpointLeaving
	case e.contactState == suspected:
		return state.EndpointSuspect
	case e.flapping:
		return state.EndpointFlapping
	case e.quarantined:
		return state.EndpointQuarantined
	}
	return state.EndpointReady
}

func (t *Tracker) add(e *state.Endpoint, lastAnswered time.Duration) *endpoint {
	ep := &endpoint{name: e.Name, incarnation: e.Incarnation, kind: e.Kind, lastAnswered: lastAnswered, timerIndex: -1}
	t.endpoints[e.Name] = ep
	ep.element = t.answering.PushBack(ep)
	t.population(e.Kind).present++
	t.markChanged(ep)
	return ep
}

func (t *Tracker) population(k state.EndpointKind) *population {
	p := t.kinds[k]
	if p == nil {
		p = &population{}
		t.kinds[k] = p
	}
	return p
}

// markChanged records that the status of an endpoint may have changed.
func (t *Tracker) markChanged(e *endpoint) {
	if !e.inChanged {
		e.inChanged = true
		t.changed = append(t.changed, e)
	}
}

// Transitions advances the tracker to now and returns the statuses that changed. It
// must be called at NextDeadline and after any other event.
func (t *Tracker) Transitions(now time.Duration) []Transition {
	t.advance(now)
	t.enforceLimits()
	if len(t.changed) == 0 {
		return nil
	}
	var out []Transition
	for _, e := range t.changed {
		e.inChanged = false
		if s := e.status(); s != e.reported && t.endpoints[e.name] == e {
			e.reported = s
			out = append(out, Transition{Name: e.name, Incarnation: e.incarnation, Status: s})
		}
	}
	clear(t.changed)
	t.changed = t.changed[:0]
	return out
}
