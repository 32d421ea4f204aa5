package endpoint

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination"
)

type collector chan coordination.Event

func (c collector) Send(ctx context.Context, ev coordination.Event) bool {
	select {
	case c <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// A start that finds the queue full must be answered, or the leader waits for its
// answer for ever and the task never starts. Enqueue must not block meanwhile: it
// runs on the control goroutine, which empties the event channel.
func TestDroppedStartIsAnswered(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	events := make(collector) // nobody receives while the starts are queued
	held := make(chan struct{})
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		select {
		case <-held:
		case <-ctx.Done():
		}
		return nil, net.ErrClosed
	}}
	c := NewClient(ctx, transport, "http", events, hclog.NewNullLogger())
	const more = 100
	const starts = workers + queueLength + more
	for i := range starts {
		c.Enqueue(coordination.StartTask{Address: "127.0.0.1:1", Seq: uint64(i + 1)})
	}
	close(held)
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
