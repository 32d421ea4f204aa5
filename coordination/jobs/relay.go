package jobs

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Each message costs a process much more than its content, and one leader exchanges several
// messages with workers for each task. Other members relay them: one message to a relay
// carries all orders that are due, and one from it all results. Decisions stay with the
// leader. A process sends an order at once or not at all: orders name a worker's ID, so one that
// a frozen process sends seconds later may reach the next incarnation of the worker, after the
// run that it starts has ended.

const (
	// relayTimeout is the time after which the result of an order should have arrived, beside
	// the time for which a worker may wait. A relay reports a worker that does not answer
	// within 250 ms.
	relayTimeout = 600 * time.Millisecond
	// maxOrderAge is the age from which a process does not send an order. It is so far below
	// relayTimeout that no order is sent after it has counted as lost.
	maxOrderAge = 350 * time.Millisecond
	// relayBackoff is the time for which a relay that gets orders too late gets no more.
	relayBackoff = 250 * time.Millisecond
	// relayPause is the time for which a relay that is slow, or did not report in time, gets no
	// orders.
	relayPause = 2 * time.Second
	// slowRelayDelay and slowRelayFactor define a slow relay: its starts take longer than
	// slowRelayDelay, and slowRelayFactor times as long as those of the fastest one. If all are
	// slow, it is the leader that does not keep up.
	slowRelayDelay  = 60 * time.Millisecond
	slowRelayFactor = 4
	// startDelayWeight is the inverse weight of one start in the average.
	startDelayWeight = 16
	// relayCheckInterval is the period of the checks of relays.
	relayCheckInterval = 50 * time.Millisecond
)

// Relay is another member of the group that can send orders for the leader.
type Relay struct {
	Address string // peer address
	Domain  string
}

// workerOrder is an effect that is an order to a worker.
type workerOrder interface {
	Effect
	header() Order
}

// RelayOf returns the peer address of the member that sends an order, or "" if this process
// executes the effect.
func RelayOf(e Effect) string {
	if o, ok := e.(workerOrder); ok {
		return o.header().Relay
	}
	return ""
}

// TooOldToSend reports whether an order of that age must not be sent any more.
func TooOldToSend(age time.Duration) bool { return age >= maxOrderAge }

// NotSent returns the result of an order that was not sent, nil for other effects.
func NotSent(e Effect) Event {
	if o, ok := e.(workerOrder); ok {
		return OrderReported{Result: OrderNotSent}.answer(o)
	}
	return nil
}

// relayedOrder is an order that was sent through a relay and has no result yet.
type relayedOrder struct {
	workerOrder
	deadline time.Duration
}

// relays tracks the relays and the orders that they have not reported on.
type relays struct {
	all         []Relay                  // members in contact, ordered by address
	pausedUntil map[string]time.Duration // by peer address, for relays that failed or are slow
	startDelays map[string]startDelay    // by peer address
	inFlight    map[uint64]relayedOrder  // by order ID
	lastID      uint64
	nextCheck   time.Duration
}

func newRelays() relays {
	return relays{pausedUntil: map[string]time.Duration{}, startDelays: map[string]startDelay{}, inFlight: map[uint64]relayedOrder{}}
}

// choose returns the peer address of the relay for a worker, or "" if there is none. A relay
// in the failure domain of the worker is preferred. The choice depends only on the available
// relays, so that connections to workers are kept.
func (r *relays) choose(w *worker, now time.Duration) string {
	var near, other []string
	for _, x := range r.all {
		switch {
		case now < r.pausedUntil[x.Address]:
		case x.Domain == w.rec.Domain:
			near = append(near, x.Address)
		default:
			other = append(other, x.Address)
		}
	}
	if len(near) == 0 {
		near = other
	}
	if len(near) == 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.ID)) // never fails
	return near[h.Sum32()%uint32(len(near))]
}

// available reports whether any relay can be used.
func (r *relays) available(now time.Duration) bool {
	return slices.ContainsFunc(r.all, func(x Relay) bool { return now >= r.pausedUntil[x.Address] })
}

func (r *relays) pause(address string, until time.Duration) {
	r.pausedUntil[address] = max(r.pausedUntil[address], until)
}

// newOrder returns the common fields of an order to a worker.
func (l *Leader) newOrder(w *worker) Order {
	l.relays.lastID++
	return Order{ID: l.relays.lastID, Relay: l.relays.choose(w, l.now), Worker: w.Incarnation, Address: w.address(), Term: l.term, SentAt: l.now}
}

// sendOrder emits an order, whose worker may wait for a time before it answers.
func (l *Leader) sendOrder(e workerOrder, wait time.Duration) {
	if o := e.header(); o.Relay != "" {
		l.relays.inFlight[o.ID] = relayedOrder{e, l.now + wait + relayTimeout}
	}
	l.host.Emit(e)
}

// orderReported handles the result of an order that a relay has sent. A result that arrives
// after the order counted as lost is ignored: the order was repeated or replaced.
func (l *Leader) orderReported(e OrderReported) {
	o, ok := l.relays.inFlight[e.ID]
	if !ok || e.Term != l.term {
		return
	}
	delete(l.relays.inFlight, e.ID)
	if e.Result == OrderNotSent {
		l.relays.pause(o.header().Relay, l.now+relayBackoff)
	}
	if _, ok := o.workerOrder.(StartRun); ok && e.Result.isAnswer() {
		l.startRelayed(o.header())
	}
	l.Handle(e.answer(o.workerOrder))
}

// startDelay is the moving average of the time until a start is reported.
type startDelay struct {
	average time.Duration
	samples int
}

func (d startDelay) add(sample time.Duration) startDelay {
	d.samples++
	if d.samples == 1 {
		d.average = sample
	}
	d.average += (sample - d.average) / startDelayWeight
	return d
}

// isKnown reports whether there are enough samples to compare relays.
func (d startDelay) isKnown() bool { return d.samples >= startDelayWeight }

// startRelayed adds a reported start to the average of its relay, and pauses the relay if it is
// slow.
func (l *Leader) startRelayed(o Order) {
	r := &l.relays
	if o.SentAt < r.pausedUntil[o.Relay] {
		return // it was sent before a pause, and does not show whether the relay is still slow
	}
	delay := r.startDelays[o.Relay].add(l.now - o.SentAt)
	r.startDelays[o.Relay] = delay
	if !delay.isKnown() {
		return
	}
	fastest := delay.average
	for _, x := range r.all {
		if d := r.startDelays[x.Address]; d.isKnown() {
			fastest = min(fastest, d.average)
		}
	}
	if delay.average > slowRelayDelay && delay.average > slowRelayFactor*fastest {
		l.log("warn", "relay", "", o.Relay, "the relay is slow", "start_delay_ms", delay.average.Milliseconds(), "fastest_ms", fastest.Milliseconds(), "pause_ms", relayPause.Milliseconds())
		r.pause(o.Relay, l.now+relayPause)
		delete(r.startDelays, o.Relay)
	}
}

// checkRelays updates the list of relays. It pauses those that did not report an order in time,
// and all orders that were sent through a paused or missing relay count as lost.
func (l *Leader) checkRelays() {
	if l.now < l.relays.nextCheck {
		return
	}
	l.relays.nextCheck = l.now + relayCheckInterval
	l.relays.all = l.host.Relays()
	available := map[string]bool{}
	for _, x := range l.relays.all {
		available[x.Address] = true
	}
	for _, o := range l.relays.inFlight {
		if l.now >= o.deadline {
			delete(available, o.header().Relay)
		}
	}
	lost := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(l.relays.inFlight)) {
		o := l.relays.inFlight[id]
		if address := o.header().Relay; !available[address] {
			lost[address]++
			l.relays.pause(address, l.now+relayPause)
			delete(l.relays.inFlight, id)
			l.Handle(OrderReported{Result: OrderLost}.answer(o.workerOrder))
		}
	}
	for _, address := range slices.Sorted(maps.Keys(lost)) {
		l.log("warn", "relay", "", address, "the relay does not report the results of orders", "orders", lost[address], "pause_ms", relayPause.Milliseconds())
	}
}

// answer returns the event that reports the result of an order to the leader.
func (e OrderReported) answer(order workerOrder) Event {
	switch o := order.(type) {
	case StartRun:
		return StartAnswered{Start: o, Result: e.Result, ClockMS: e.ClockMS}
	case StopRun:
		return StopAnswered{Stop: o, Result: e.Result, ClockMS: e.ClockMS}
	case PaceRun:
		return PaceAnswered{Pace: o, Result: e.Result}
	case Observe:
		return Observed{Observe: o, Result: e.Result, ClockMS: e.ClockMS, Running: e.Running, Ended: e.Ended}
	}
	return nil
}

// Report returns the result of an order in the form in which a relay reports it. It returns
// false for other events.
func Report(ev Event) (OrderReported, bool) {
	switch e := ev.(type) {
	case StartAnswered:
		return OrderReported{ID: e.Start.ID, Term: e.Start.Term, Result: e.Result, ClockMS: e.ClockMS}, true
	case StopAnswered:
		return OrderReported{ID: e.Stop.ID, Term: e.Stop.Term, Result: e.Result, ClockMS: e.ClockMS}, true
	case PaceAnswered:
		return OrderReported{ID: e.Pace.ID, Term: e.Pace.Term, Result: e.Result}, true
	case Observed:
		return OrderReported{ID: e.Observe.ID, Term: e.Observe.Term, Result: e.Result, ClockMS: e.ClockMS, Running: e.Running, Ended: e.Ended}, true
	}
	return OrderReported{}, false
}
