package processtest

import (
	"net/http"
	"os"
	"testing"

	"github.com/primrosereach/primrosereach/demo/load"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// Guards against a process that lost its data directory and votes as if it still had
// it. After it has become a voter again, the crash of another process must lose
// nothing.
func TestDeletedDataDirectory(t *testing.T) {
	t.Parallel()
	c, finish := startUnderLoad(t)
	awaitExecutions(t, c, 20)
	repaired := c.Leader(t, DomainGroup(north))
	before := repaired.Status().Incarnation
	repaired.Kill(t)
	if err := os.RemoveAll(repaired.DataDir); err != nil {
		t.Fatal(err)
	}
	repaired.Start(t)
	for _, group := range []string{DomainGroup(north), "cell"} {
		Await(t, repaired.Name+" is a voter of "+group+" again", func() bool {
			return isVoter(c, group, repaired.Name, before)
		})
	}
	second := c.Leader(t, DomainGroup(north), repaired)
	second.Kill(t)
	awaitExecutions(t, c, 20)
	second.Start(t)
	c.AwaitReady(t)
	finish(repaired, second)
}

// isVoter reports whether the leader of a group lists all processes as voters, the
// named one with an incarnation other than the earlier one.
func isVoter(c *Cluster, group, name, earlier string) bool {
	leader := c.currentLeader(group, nil)
	if leader == nil {
		return false
	}
	g := leader.Group(group)
	if g == nil {
		return false
	}
	voters := 0
	found := false
	for _, m := range g.Members {
		if m.Voter {
			voters++
			found = found || m.Name == name && m.Incarnation != earlier
		}
	}
	return found && voters == len(c.Processes)
}

// Guards against records or a configuration that are lost when all processes restart
// at the same time.
func TestRestartOfAll(t *testing.T) {
	t.Parallel()
	c := Start(t, Config{Domains: []string{north}, PerDomain: 3})
	c.StartEndpoints(t, 2, 2)
	c.Apply(t, claims)
	client := load.NewClient(c.Servers())
	outcomes := load.SubmitAll(client, claims.Kinds, 5, 0)
	version := c.Processes[0].Status().CellVersion

	stop := make(chan struct{})
	background := load.SubmitInBackground(client, claims.Kinds, 8, stop)
	awaitExecutions(t, c, 10)
	for _, p := range c.Processes {
		p.Kill(t)
	}
	for _, p := range c.Processes {
		p.Start(t)
	}
	c.AwaitReady(t)
	awaitExecutions(t, c, 20)
	close(stop)
	checkOutcomes(t, claims, append(outcomes, background()...), c.Journal)
	for _, o := range outcomes {
		var s protocol.RequestStatus
		status, text := client.UntilAnswered(http.MethodGet, protocol.PathRequest+string(o.ID), o.Kind.Team, nil, &s)
		if status != http.StatusOK || s.Outcome != o.Status.Outcome || s.FinalMS != o.Status.FinalMS {
			t.Errorf("%s after the restart: %s", o.ID, text)
		}
	}
	var v state.VersionedConfiguration
	if status, text := client.UntilAnswered(http.MethodGet, protocol.PathConfiguration, "", nil, &v); status != http.StatusOK || v.Version != version {
		t.Errorf("configuration version %d before, after the restart: %s", version, text)
	}
}

// Guards against a planned restart that interrupts calls: callers that follow the
// readiness of the processes must get a definite answer to each call, also to those
// that wait for an outcome.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	c := Start(t, Config{Domains: []string{"centre", north}, PerDomain: 2})
	c.StartEndpoints(t, 2, 1)
	c.Apply(t, claims)
	client, unanswered := newTrackedClient(c.WatchReadiness(t))
	stop := make(chan struct{})
	outcomes := load.SubmitInBackground(client, claims.Kinds, 16, stop)
	for _, p := range c.Processes {
		awaitExecutions(t, c, 20)
		if code := p.Terminate(t); code != 0 {
			t.Errorf("%s: exit code %d after SIGTERM", p.Name, code)
		}
		awaitExecutions(t, c, 10)
		p.Start(t)
		c.AwaitReady(t)
	}
	awaitExecutions(t, c, 20)
	close(stop)
	checkOutcomes(t, claims, outcomes(), c.Journal)
	t.Logf("%d calls, %d without a definite answer", client.Calls(), len(unanswered()))
	for _, u := range unanswered() {
		t.Errorf("call to %s without a definite answer: %s", u.server, u.text)
	}
}
