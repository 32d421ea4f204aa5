package endpoint

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination"
)

// collector is a Sender that passes each event to the receiver of the channel.
type collector chan coordination.Event

func (c collector) Send(ctx context.Context, ev coordination.Event) bool {
	select {
	case c <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// Guards against a start that finds the queue full and is never answered: the leader
// would wait for the answer and the task would never start. Enqueue must not block, since
// it runs on the control goroutine, which also drains the event channel.
func TestDroppedStartIsAnswered(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	events := make(collector)       // nobody receives while the starts are queued
	endDials := make(chan struct{}) // connection attempts fail once it is closed
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		select {
		case <-endDials:
		case <-ctx.Done():
		}
		return nil, net.ErrClosed
	}}
	c := NewClient(ctx, transport, "http", events, hclog.NewNullLogger())
	const more = 100
	const starts = maxConcurrentCalls + queueLength + more
	for i := range starts {
		c.Enqueue(coordination.StartTask{Address: "127.0.0.1:1", Seq: uint64(i + 1)})
	}
	close(endDials)
	answered := map[uint64]bool{}
	for len(answered) < starts {
		a := (<-events).(coordination.StartAnswered)
		if a.Result != coordination.StartUnreachable || answered[a.Start.Seq] {
			t.Fatalf("answer %+v", a)
		}
		answered[a.Start.Seq] = true
	}
	cancel()
	c.Wait()
}
