package standin

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// Guards against a start that is accepted without a lease, from a former leader or for
// another incarnation: the task could then run at the same time as its replacement.
func TestStartIsChecked(t *testing.T) {
	const incarnation = 5
	oneSlot := state.Resources{Slots: 1}
	valid := protocol.StartRequest{Attempt: protocol.Attempt{Seq: 10}, Term: 7, Incarnation: incarnation, PerTask: oneSlot}
	with := func(change func(*protocol.StartRequest)) protocol.StartRequest {
		r := valid
		change(&r)
		return r
	}
	for name, c := range map[string]struct {
		lease             time.Duration
		start             protocol.StartRequest
		started, declined bool
	}{
		"valid":             {time.Minute, valid, true, false},
		"no lease":          {-time.Second, valid, false, true},
		"lease ends":        {stopMargin / 2, valid, false, true},
		"lower term":        {time.Minute, with(func(r *protocol.StartRequest) { r.Term = 6 }), false, false},
		"settled number":    {time.Minute, with(func(r *protocol.StartRequest) { r.Seq = 3 }), false, true},
		"no room":           {time.Minute, with(func(r *protocol.StartRequest) { r.PerTask.Slots = 3 }), false, true},
		"other incarnation": {time.Minute, with(func(r *protocol.StartRequest) { r.Incarnation = incarnation - 1 }), false, false},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		e := &Endpoint{
			cfg: Config{Name: "e", Capacity: state.Resources{Slots: 2}, Speed: 1, Servers: []string{"127.0.0.1:1"}}, incarnation: incarnation,
			ctx: ctx, cancel: cancel, client: http.DefaultClient, term: 7, lowWatermarkSeq: 3, leaseUntil: time.Now().Add(c.lease), attempts: map[uint64]*attempt{},
		}
		for range 2 { // a repeated start gets the first answer
			if got := e.start(c.start); got.Started != c.started || got.Declined != c.declined {
				t.Errorf("%s: started %v, declined %v (%s)", name, got.Started, got.Declined, got.Reason)
			}
		}
		cancel()
		e.wg.Wait()
	}
}
