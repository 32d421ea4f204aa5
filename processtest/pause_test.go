package processtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/primrosereach/primrosereach/demo/load"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// Guards against a leader that was paused beyond its lease and acts as leader when it
// resumes, before it learns of its successor. It must start nothing a second time and
// must not answer from its state before the pause.
func TestPausedLeader(t *testing.T) {
	t.Parallel()
	c, finish := startUnderLoad(t)
	awaitExecutions(t, c, 20)
	paused := c.Leader(t, DomainGroup(north))
	open := make([]*openCall, 64)
	for i := range open {
		open[i] = dialOpenCall(t, paused)
	}
	paused.Signal(t, syscall.SIGSTOP)
	c.Leader(t, DomainGroup(north), paused)
	c.Leader(t, "cell", paused)
	awaitExecutions(t, c, 20)

	otherClient := load.NewClientWithPicker(func() string {
		for _, p := range c.Processes {
			if p != paused {
				return p.PublicAddress
			}
		}
		return ""
	})
	done := otherClient.Run(load.Kind{Team: "clerks", Name: "status-lookup", RunMS: 10})
	if done.Status.Outcome != state.OutcomeDone {
		t.Fatalf("request to another process while the leader is paused: %s", done.String())
	}
	if err := otherClient.ApplyConfiguration(claims.Configuration); err != nil {
		t.Fatal(err)
	}

	for i := range open {
		path, want := protocol.PathRequest+string(done.ID), `"outcome":"done"`
		if i%2 == 1 {
			path, want = protocol.PathConfiguration, `"version":2`
		}
		open[i].ask(t, path, want)
	}
	paused.Signal(t, syscall.SIGCONT)
	for i := range open {
		open[i].check(t)
	}
	awaitExecutions(t, c, 20)
	c.AwaitReady(t)
	finish(paused)
}

// openCall is a call on a connection that was opened before the leader was paused. The
// bytes of the call wait in the leader's socket, so that the leader may read them, once it
// resumes, before any message of its successor.
type openCall struct {
	conn net.Conn
	in   *bufio.Reader
	want string
}

func dialOpenCall(t *testing.T, p *Process) *openCall {
	t.Helper()
	conn, err := net.Dial("tcp", p.PublicAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	o := &openCall{conn: conn, in: bufio.NewReader(conn)}
	o.ask(t, "/healthz", "ok")
	o.check(t)
	return o
}

func (o *openCall) ask(t *testing.T, path, want string) {
	t.Helper()
	o.want = want
	if _, err := fmt.Fprintf(o.conn, "GET %s HTTP/1.1\r\nHost: test\r\n%s: clerks\r\n\r\n", path, protocol.HeaderTeam); err != nil {
		t.Fatal(err)
	}
}

func (o *openCall) check(t *testing.T) {
	t.Helper()
	res, err := http.ReadResponse(o.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK || !strings.Contains(string(body), o.want) {
		t.Errorf("no %s in the answer of the resumed process: status %d: %s", o.want, res.StatusCode, body)
	}
}
