// Package health tracks whether endpoints answer and whether they complete what
// they start, and derives their membership status. It is used by one goroutine and
// reads no clock: every call carries the monotonic time.
package health

import (
	"container/list"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// SuspectAfter is the silence after which an endpoint gets no new work: three
	// heartbeats of 2 s.
	SuspectAfter = 6 * time.Second
	// LostAfter is the endpoint's lease of 10 s plus 1 s for clock drift and delays.
	// The lease counts from the sending of the heartbeat, which is earlier than the
	// answer that is counted here, so it has ended on the endpoint by then.
	LostAfter = 11 * time.Second
	// FlappingReturns within FlappingWindow make an endpoint flapping; it is ready
	// again when it has been stable for StableAfter.
	FlappingReturns = 3
	FlappingWindow  = 10 * time.Minute
	StableAfter     = 60 * time.Second
	// QuarantineAfter is the number of different jobs that must fail in a row. Two
	// may fail by chance; each further one costs another job an attempt.
	QuarantineAfter = 3
	// FirstTrial and MaxTrial bound the interval between trial tasks, which doubles.
	// The bound makes a repaired endpoint useful again within minutes.
	FirstTrial = 10 * time.Second
	MaxTrial   = 5 * time.Minute
	// QuarantineShare bounds the endpoints of one kind that may be in quarantine. If
	// more fail, the jobs or something common to all is at fault, and taking away
	// the capacity would only add to it.
	QuarantineShare = 0.2
)

// Transition is a change of status that the evidence asks for.
type Transition struct {
	Name        string
	Incarnation uint64
	Status      state.EndpointStatus
}

// Tracker holds the evidence on all endpoints of a domain. It exists for one term
// of a leader.
type Tracker struct {
	endpoints map[string]*endpoint
	answering *list.List // *endpoint, by last answer, the longest silent first
	suspect   *list.List // the same
	timers    timers     // ends of flapping, and trials
	kinds     map[state.EndpointKind]*population
	changed   []*endpoint // whose status may differ from the reported one
}

// population counts the endpoints of a kind that are not lost, and those of them
// that are in quarantine.
type population struct{ present, quarantined int }

// limit is QuarantineShare of the endpoints, at least one, but never all.
func (p *population) limit() int {
	return min(max(1, int(QuarantineShare*float64(p.present))), max(0, p.present-1))
}

type endpoint struct {
	name        string
	incarnation uint64
	kind        state.EndpointKind
	silence     silence
	answered    time.Duration // last answer, at the earliest when this leader learned of the endpoint
	place       *list.Element // in the list of its silence, nil when lost
	leaving     bool
	returns     [FlappingReturns]time.Duration // the latest, oldest first
	returned    int                            // how many of them are set
	flapping    bool
	failures    streak
	timer       time.Duration // end of flapping or next trial
	timerIndex  int           // in timers, -1 for none
	interval    time.Duration // before the trial after the next
	trialDue    bool
	reported    state.EndpointStatus
	dirty       bool // in Tracker.changed
	quarantined bool
}

type silence uint8

const (
	answering silence = iota
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

// Changed tells of the latest version of an endpoint. One that is not known yet was
// restored at the start of the term or has just announced itself; its silence counts
// from now, since earlier answers are not known to this leader. A new incarnation
// of a known endpoint counts as a return. Other changes are no sign of life.
func (t *Tracker) Changed(now time.Duration, e *state.Endpoint) {
	ep := t.endpoints[e.Name]
	switch {
	case ep == nil:
		t.restore(now, e)
	case ep.incarnation != e.Incarnation:
		t.replace(now, ep, e)
	case e.Status == state.EndpointLeaving:
		ep.leaving, ep.reported = true, e.Status
		t.touch(ep)
	case e.Status == state.EndpointReady && ep.leaving:
		// A change to ready that was proposed before the endpoint was leaving: the
		// state has to be told again.
		ep.reported = e.Status
		t.touch(ep)
	}
}

// restore keeps the status that an earlier leader decided on until there is
// evidence for another one.
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

func (t *Tracker) replace(now time.Duration, ep *endpoint, e *state.Endpoint) {
	ep.incarnation = e.Incarnation
	ep.leaving = e.Status == state.EndpointLeaving
	ep.reported = e.Status
	t.restartTrials(now, ep)
	ep.answered = max(ep.answered, now)
	if ep.silence == answering {
		t.answering.MoveToBack(ep.place)
		t.countReturn(now, ep)
	} else {
		t.resume(now, ep)
	}
}

// Answered tells that a heartbeat of an endpoint was answered. It reports false for
// an unknown endpoint, which has to announce itself.
func (t *Tracker) Answered(now time.Duration, name string) bool {
	e := t.endpoints[name]
	if e == nil {
		return false
	}
	e.answered = max(e.answered, now)
	if e.silence == answering {
		t.answering.MoveToBack(e.place)
		return true
	}
	t.resume(now, e)
	return true
}

// Leaving tells that an endpoint leaves, or that it no longer does. Only this call
// or a new incarnation ends leaving.
func (t *Tracker) Leaving(name string, leaving bool) {
	if e := t.endpoints[name]; e != nil {
		e.leaving = leaving
		t.touch(e)
	}
}

// Remove forgets an endpoint.
func (t *Tracker) Remove(name string) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	if e.silence != lost {
		t.markLost(e)
	}
	t.stopTimer(e)
	delete(t.endpoints, name)
}

// Status returns the status that the evidence asks for as of the last call of
// Transitions, or "" for an unknown endpoint.
func (t *Tracker) Status(name string) state.EndpointStatus {
	if e := t.endpoints[name]; e != nil {
		return e.status()
	}
	return ""
}

// status ranks the conditions: what forbids more comes first.
func (e *endpoint) status() state.EndpointStatus {
	switch {
	case e.silence == lost:
		return state.EndpointLost
	case e.leaving:
		return state.EndpointLeaving
	case e.silence == suspected:
		return state.EndpointSuspect
	case e.flapping:
		return state.EndpointFlapping
	case e.quarantined:
		return state.EndpointQuarantined
	}
	return state.EndpointReady
}

func (t *Tracker) add(e *state.Endpoint, answered time.Duration) *endpoint {
	ep := &endpoint{name: e.Name, incarnation: e.Incarnation, kind: e.Kind, answered: answered, timerIndex: -1}
	t.endpoints[e.Name] = ep
	ep.place = t.answering.PushBack(ep)
	t.population(e.Kind).present++
	t.touch(ep)
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

// touch notes that the status of an endpoint may have changed.
func (t *Tracker) touch(e *endpoint) {
	if !e.dirty {
		e.dirty = true
		t.changed = append(t.changed, e)
	}
}

// Transitions brings the tracker up to now and returns the statuses that changed.
// It must be called at NextDeadline and after any other event.
func (t *Tracker) Transitions(now time.Duration) []Transition {
	t.advance(now)
	t.enforceLimits()
	if len(t.changed) == 0 {
		return nil
	}
	var out []Transition
	for _, e := range t.changed {
		e.dirty = false
		if s := e.status(); s != e.reported && t.endpoints[e.name] == e {
			e.reported = s
			out = append(out, Transition{Name: e.name, Incarnation: e.incarnation, Status: s})
		}
	}
	clear(t.changed)
	t.changed = t.changed[:0]
	return out
}
