package processtest

import (
	"net/http"
	"testing"

	"github.com/primrosereach/primrosereach/demo/load"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// drainGraceMS is the time in milliseconds after a drain in which new starts on the
// endpoint are still allowed (guarantee G6: "a few seconds").
const drainGraceMS = 3000

// Guards against a drain under load that lets new work start on the endpoint or
// interrupts the work that runs there.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	c, finish := startUnderLoad(t)
	const name = north + "-runner-0"
	awaitStarts := func(n int) {
		goal := starts(c, name, 0, true) + n
		Await(t, "the endpoint has started more work", func() bool { return starts(c, name, 0, true) >= goal })
	}
	awaitStarts(10)
	client := load.NewClient(c.Servers())
	if status, text := client.UntilAnswered(http.MethodPost, protocol.PathEndpoint+name+"/drain", "", nil, nil); status != http.StatusOK {
		t.Fatalf("drain: %s", text)
	}
	drained := lastEventMS(c)
	Await(t, "other endpoints have started more work", func() bool { return starts(c, name, drained+drainGraceMS, false) >= 30 })
	if n := starts(c, name, drained+drainGraceMS, true); n > 0 {
		t.Errorf("%d starts later than %d ms after the drain", n, drainGraceMS)
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

// starts counts the starts since a time in Unix milliseconds: those on the named endpoint
// if onEndpoint is true, otherwise those on all others.
func starts(c *Cluster, endpoint string, fromMS int64, onEndpoint bool) int {
	n := 0
	for _, x := range c.Journal.Events() {
		if x.Event == "start" && x.AtMS >= fromMS && (x.Endpoint == endpoint) == onEndpoint {
			n++
		}
	}
	return n
}

// lastEventMS returns the time of the latest event in the journal, in Unix milliseconds.
func lastEventMS(c *Cluster) int64 {
	var last int64
	for _, x := range c.Journal.Events() {
		last = max(last, x.AtMS)
	}
	return last
}
