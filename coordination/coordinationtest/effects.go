package coordinationtest

import (
	"cmp"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
)

// startTimeout is the timeout of one call to an endpoint, as in transport/endpoint.
const startTimeout = 2 * time.Second

type effectKey struct {
	kind     int // 0 for effects that keep the order of the node
	token    coordination.Token
	endpoint string
	seq      uint64
}

func effectSortKey(e coordination.Effect) effectKey {
	switch e := e.(type) {
	case coordination.Reply:
		return effectKey{kind: 1, token: e.Token}
	case coordination.StartTask:
		return effectKey{kind: 2, endpoint: e.Endpoint, seq: e.Seq}
	case coordination.StopTask:
		return effectKey{kind: 2, endpoint: e.Endpoint, seq: e.Seq}
	}
	return effectKey{}
}

func compareEffects(a, b coordination.Effect) int {
	x, y := effectSortKey(a), effectSortKey(b)
	return cmp.Or(cmp.Compare(x.kind, y.kind), cmp.Compare(x.token, y.token), cmp.Compare(x.endpoint, y.endpoint), cmp.Compare(x.seq, y.seq))
}

// startTask sends a start to an endpoint. A start that timed out may still arrive.
func (p *Process) startTask(e coordination.StartTask) {
	p.sim.Checks.startSent(p, &e)
	ep := p.sim.endpointAt(e.Address)
	generation, open := p.generation, true
	finish := func(r coordination.StartResult, reason string) {
		if open && p.generation == generation {
			open = false
			p.deliver(coordination.StartAnswered{Start: e, Result: r, Reason: reason})
		}
	}
	if ep != nil {
		p.sim.Net.send(p.site(), ep.site(), func() {
			r, reason := ep.start(&e)
			p.sim.Net.send(ep.site(), p.site(), func() { finish(r, reason) })
		})
	}
	p.sim.After(startTimeout, func() { finish(coordination.StartUnreachable, "timeout") })
}

func (p *Process) stopTask(e coordination.StopTask) {
	if ep := p.sim.endpointAt(e.Address); ep != nil {
		p.sim.Net.send(p.site(), ep.site(), func() {
			if e.Incarnation == ep.incarnation && ep.up {
				ep.stopAttempt(e.Ref, e.Seq)
			}
		})
	}
}
