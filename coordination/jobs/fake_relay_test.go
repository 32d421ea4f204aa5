package jobs

import (
	"fmt"
	"time"
)

// fakeRelay simulates a member that sends orders for the leader. Orders to it, and reports
// from it, share a message with all others that wait for the previous message to arrive.
type fakeRelay struct {
	Relay
	sim       *simulation
	orders    messageQueue
	reports   messageQueue
	frozen    bool          // executes what it has received when it continues
	noContact bool          // the leader does not see it
	delay     time.Duration // additional time until it sends an order
	backlog   []func()
}

// messageQueue holds what is sent with the next message.
type messageQueue struct {
	waiting []func() // executed when the message arrives
	sending bool
}

func (sim *simulation) addRelay(domain string) *fakeRelay {
	r := &fakeRelay{sim: sim, Relay: Relay{Address: fmt.Sprintf("relay%d", len(sim.relays)), Domain: domain}}
	sim.relays = append(sim.relays, r)
	return r
}

// relaysInContact returns the relays that answer the leader's heartbeats.
func (sim *simulation) relaysInContact() []Relay {
	var out []Relay
	for _, r := range sim.relays {
		if !r.noContact {
			out = append(out, r.Relay)
		}
	}
	return out
}

// send adds an item to the next message of a queue. The leader's process handles each message,
// before its way to the relay or after its way from there.
func (r *fakeRelay) send(q *messageQueue, fromLeader bool, f func()) {
	q.waiting = append(q.waiting, f)
	if !q.sending {
		r.sendMessage(q, fromLeader)
	}
}

// sendMessage sends all that waits in a queue, a short time from now.
func (r *fakeRelay) sendMessage(q *messageQueue, fromLeader bool) {
	const batchDelay = 3 * time.Millisecond
	q.sending = true
	sim := r.sim
	sim.after(batchDelay, func() {
		items := q.waiting
		q.waiting = nil
		arrive := func() {
			if q.sending = false; len(q.waiting) > 0 {
				r.sendMessage(q, fromLeader)
			}
			for _, f := range items {
				f()
			}
		}
		if fromLeader {
			sim.after(sim.processed()+sim.between(time.Millisecond, 2*time.Millisecond), arrive)
			return
		}
		sim.afterProcessing(sim.between(time.Millisecond, 2*time.Millisecond), arrive)
	})
}

// receive executes something at the relay, after it has continued if it is frozen.
func (r *fakeRelay) receive(f func()) {
	if r.frozen {
		r.backlog = append(r.backlog, f)
		return
	}
	f()
}

// resume lets a frozen relay continue.
func (r *fakeRelay) resume() {
	r.frozen = false
	backlog := r.backlog
	r.backlog = nil
	for _, f := range backlog {
		f()
	}
}

// injectRelayFault injects one random fault of a relay and schedules its end.
func (sim *simulation) injectRelayFault() {
	r := sim.relays[sim.rng.IntN(len(sim.relays))]
	length := sim.between(200*time.Millisecond, 8*time.Second)
	switch sim.rng.IntN(3) {
	case 0: // it freezes
		r.frozen = true
		sim.after(300*time.Millisecond, func() { r.noContact = r.frozen })
		sim.after(length, func() { r.noContact = false; r.resume() })
	case 1: // it crashes
		r.frozen = true
		sim.after(300*time.Millisecond, func() { r.noContact = r.frozen })
		sim.after(length, func() { r.backlog, r.noContact = nil, false; r.resume() })
	case 2: // its answers to the leader's heartbeats are lost
		r.noContact = true
		sim.after(length, func() { r.noContact = false })
	}
}

// orderPath is the way of an order from the leader to its worker and back.
type orderPath struct {
	send  func(f func()) // f is called when the worker receives the order
	reply func(e Event)
}

func (sim *simulation) pathOf(e Effect) orderPath {
	for _, r := range sim.relays {
		if r.Address == RelayOf(e) {
			return r.path(e)
		}
	}
	term := sim.term
	return orderPath{
		send: func(f func()) { sim.after(sim.processed()+sim.between(time.Millisecond, 4*time.Millisecond), f) },
		reply: func(e Event) {
			sim.afterProcessing(sim.between(time.Millisecond, 3*time.Millisecond), func() {
				if sim.term == term {
					sim.handle(e)
				}
			})
		},
	}
}

func (r *fakeRelay) path(order Effect) orderPath {
	sim := r.sim
	reply := func(e Event) {
		r.receive(func() {
			report, _ := Report(e)
			r.send(&r.reports, false, func() { sim.handle(report) })
		})
	}
	return orderPath{
		send: func(f func()) {
			sentAt := sim.now
			r.send(&r.orders, true, func() {
				r.receive(func() {
					if TooOldToSend(sim.now - sentAt) {
						reply(NotSent(order))
						return
					}
					sim.after(r.delay+sim.between(time.Millisecond, 3*time.Millisecond), f)
				})
			})
		},
		reply: reply,
	}
}
