package processtest

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/primrosereach/primrosereach/demo/load"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// A leader that was paused beyond its lease still believes that it leads when it
// resumes. It must start nothing a second time and must not answer from the state
// that it had before the pause.
func TestPausedLeader(t *testing.T) {
	t.Parallel()
	c, finish := startLoaded(t)
	awaitExecutions(t, c, 20)
	paused := c.Leader(t, DomainGroup(north))
	cell := c.Leader(t, "cell")
	paused.Signal(t, syscall.SIGSTOP)
	c.Leader(t, DomainGroup(north), paused)
	c.Leader(t, "cell", paused)
	awaitExecutions(t, c, 20)

	live := load.NewPickingClient(func() string {
		for _, p := range c.Processes {
			if p != paused {
				return p.PublicAddress
			}
		}
		return ""
	})
	done := live.Run(load.Kind{Team: "clerks", Name: "status-lookup", RunMS: 10})
	if done.Status.Outcome != state.OutcomeDone {
		t.Fatalf("request beside a paused leader: %s", done.String())
	}
	if err := live.ApplyConfiguration(claims.Configuration); err != nil {
		t.Fatal(err)
	}

	// The calls wait in the sockets of the paused process, so it reads them before it
	// can hear of its successor.
	answers := make(chan string, 2*8)
	at := load.NewPickingClient(func() string { return paused.PublicAddress })
	for range 8 {
		go func() { answers <- staleRequest(at, &done) }()
		go func() { answers <- staleConfiguration(at) }()
	}
	paused.Signal(t, syscall.SIGCONT)
	for range cap(answers) {
		if fault := <-answers; fault != "" {
			t.Errorf("read through the paused process (leader of the cell: %t): %s", cell == paused, fault)
		}
	}
	awaitExecutions(t, c, 20)
	c.AwaitReady(t)
	finish(paused)
}

func staleRequest(at *load.Client, done *load.Outcome) string {
	var s protocol.RequestStatus
	status, text := at.Call(http.MethodGet, protocol.PathRequest+string(done.ID), done.Kind.Team, nil, &s)
	if status != http.StatusOK || s.Outcome != state.OutcomeDone {
		return text
	}
	return ""
}

func staleConfiguration(at *load.Client) string {
	var v state.VersionedConfiguration
	status, text := at.Call(http.MethodGet, protocol.PathConfiguration, "", nil, &v)
	if status != http.StatusOK || v.Version < 2 {
		return text
	}
	return ""
}
