package processtest

import (
	"net/http"
	"testing"

	"github.com/primrosereach/primrosereach/demo/load"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// drainMS is the "few seconds" of invariant G6, in milliseconds.
const drainMS = 3000

// A drained endpoint must get no new work, and what runs there must finish.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	c, finish := startLoaded(t)
	const name = north + "-runner-0"
	awaitStarts := func(n int) {
		goal := starts(c, name, 0, true) + n
		Await(t, "the endpoint gets work", func() bool { return starts(c, name, 0, true) >= goal })
	}
	awaitStarts(10)
	client := load.NewClient(c.Servers())
	if status, text := client.UntilAnswered(http.MethodPost, protocol.PathEndpoint+name+"/drain", "", nil, nil); status != http.StatusOK {
		t.Fatalf("drain: %s", text)
	}
	drained := lastMS(c)
	Await(t, "work goes on elsewhere", func() bool { return starts(c, name, drained+drainMS, false) >= 30 })
	if n := starts(c, name, drained+drainMS, true); n > 0 {
		t.Errorf("%d starts later than %d ms after the drain", n, drainMS)
	}
	for _, e := range c.Endpoints() {
		if e.Name == name && (e.Status != state.EndpointLeaving || e.Reserved != state.Resources{}) {
			t.Errorf("after the drain: %+v", e)
		}
	}
	finish()
	for _, x := range c.Journal.Events() {
		if x.Endpoint == name && x.Event == "stopped" {
			t.Errorf("the drain interrupted %+v", x)
		}
	}
}

// starts counts the starts at an endpoint, or at all others, from a time on.
func starts(c *Cluster, endpoint string, fromMS int64, here bool) int {
	n := 0
	for _, x := range c.Journal.Events() {
		if x.Event == "start" && x.AtMS >= fromMS && (x.Endpoint == endpoint) == here {
			n++
		}
	}
	return n
}

// lastMS returns the time of the last execution.
func lastMS(c *Cluster) int64 {
	var last int64
	for _, x := range c.Journal.Events() {
		last = max(last, x.AtMS)
	}
	return last
}
