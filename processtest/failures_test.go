package processtest

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/primrosereach/primrosereach/demo/load"
)

const north = "north"

var claims = load.Deployments["claims"]

// startUnderLoad starts a cell of one failure domain with endpoints and a background
// load. finish ends the load and checks that no request was lost or run twice, and
// that every call got a definite answer, except calls to the processes in which the
// test injected faults.
func startUnderLoad(t *testing.T) (c *Cluster, finish func(faulted ...*Process)) {
	c = Start(t, Config{Domains: []string{north}, PerDomain: 3})
	c.StartEndpoints(t, 2, 2)
	c.Apply(t, claims)
	client, unanswered := newTrackedClient(c.WatchReadiness(t))
	stop := make(chan struct{})
	outcomes := load.SubmitInBackground(client, claims.Kinds, 16, stop)
	return c, func(faulted ...*Process) {
		t.Helper()
		close(stop)
		checkOutcomes(t, claims, outcomes(), c.Journal)
		t.Logf("%d calls", client.Calls())
		for _, u := range unanswered() {
			if !slices.ContainsFunc(faulted, func(p *Process) bool { return p.PublicAddress == u.server }) {
				t.Errorf("no definite answer at %s: %s", u.server, u.text)
			}
		}
	}
}

type unansweredCall struct{ server, text string }

// newTrackedClient returns a client and a function that returns its calls without a
// definite answer.
func newTrackedClient(pick func() string) (*load.Client, func() []unansweredCall) {
	var mu sync.Mutex
	var calls []unansweredCall
	c := load.NewClientWithPicker(pick)
	c.OnUnanswered = func(server, call string, status int, text string) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, unansweredCall{server, fmt.Sprintf("%s: status %d: %.300s", call, status, text)})
	}
	return c, func() []unansweredCall {
		mu.Lock()
		defer mu.Unlock()
		return calls
	}
}

func checkOutcomes(t *testing.T, d load.Deployment, outcomes []load.Outcome, j *load.Journal) {
	t.Helper()
	totals := load.Compare(d, outcomes, j)
	t.Log(totals)
	if totals.Lost > 0 || totals.Duplicated > 0 || totals.Completed == 0 {
		t.Errorf("requests were lost or run twice, or none completed: %s", totals)
		for i := range outcomes {
			if o := &outcomes[i]; !o.Accepted || o.Status.Outcome != "done" {
				t.Log(o)
			}
		}
	}
}

// awaitExecutions waits until the journal has grown by the events of n executions, a
// start and an end each.
func awaitExecutions(t *testing.T, c *Cluster, n int) {
	t.Helper()
	goal := len(c.Journal.Events()) + 2*n
	Await(t, "more executions have ended", func() bool { return len(c.Journal.Events()) >= goal })
}

// Guards against a crashed leader whose accepted requests are lost, or whose successor
// starts again what already ran.
func TestKilledLeader(t *testing.T) {
	t.Parallel()
	c, finish := startUnderLoad(t)
	var killed []*Process
	for range 2 {
		awaitExecutions(t, c, 20)
		leader := c.Leader(t, DomainGroup(north))
		leader.Kill(t)
		killed = append(killed, leader)
		c.Leader(t, DomainGroup(north), leader)
		awaitExecutions(t, c, 20)
		leader.Start(t)
		c.AwaitReady(t)
	}
	finish(killed...)
	if status, _ := c.Processes[0].Get("/healthz"); status != http.StatusOK {
		t.Errorf("/healthz: status %d", status)
	}
}
