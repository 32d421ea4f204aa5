package processtest

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/primrosereach/primrosereach/demo/load"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/settings"
	"github.com/primrosereach/primrosereach/state"
)

// Guards against clients that exhaust the connection limit: idle connections, and
// calls whose headers are never completed, must not keep other clients out for longer
// than the header timeout.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	c := Start(t, Config{Domains: []string{north}, PerDomain: 1, Change: func(s *settings.Settings) { s.Limits.MaxConnections = 8 }})
	p := c.Processes[0]
	for range 8 {
		conn, err := net.Dial("tcp", p.PublicAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost:"); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 40 {
		client := &http.Client{Transport: &http.Transport{}} // keeps its connection open
		res, err := client.Get("http://" + p.PublicAddress + "/healthz")
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("client %d: %v %v", i, res, err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		defer client.CloseIdleConnections()
	}
}

// Guards against a shutdown that drops calls that wait for an outcome: they must be
// answered, with the current outcome if the final one is not known in time.
func TestStopAnswersWaitingCalls(t *testing.T) {
	t.Parallel()
	c := Start(t, Config{Domains: []string{north}, PerDomain: 3, Change: func(s *settings.Settings) { s.Limits.ShutdownTimeoutMS = 8000 }})
	c.StartEndpoints(t, 1, 0)
	c.Apply(t, claims)
	client := load.NewClient(c.Servers())
	path := protocol.PathRequest + newID(t, client, "clerks")
	body := protocol.SubmitRequest{Kind: "eligibility-review", Payload: []byte(`{"run_ms":600000}`)}
	if status, text := client.UntilAnswered(http.MethodPut, path, "clerks", body, nil); status != http.StatusAccepted {
		t.Fatalf("status %d: %s", status, text)
	}
	leader := c.Leader(t, DomainGroup(north))
	type answer struct {
		status int
		text   string
		s      protocol.RequestStatus
	}
	answers := make(chan answer)
	waiting := load.NewClientWithPicker(func() string { return leader.PublicAddress })
	const callers = 8
	for range callers {
		go func() {
			var a answer
			a.status, a.text = waiting.Call(http.MethodGet, path+"?wait=30s", "clerks", nil, &a.s)
			answers <- a
		}()
	}
	Await(t, "all waiting calls have been sent", func() bool { return waiting.Calls() == callers })
	Await(t, "the work has started", func() bool { return len(c.Journal.Events()) == 1 })
	if code := leader.Terminate(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	for range callers {
		if a := <-answers; a.status != http.StatusAccepted || a.s.Outcome != state.OutcomeRunning {
			t.Errorf("waiting call: status %d: %s", a.status, a.text)
		}
	}
}

// Guards against a process without a majority that claims to be ready, or that answers
// "accepted" or "not run" before it can know.
func TestNoMajority(t *testing.T) {
	t.Parallel()
	c := Start(t, Config{Domains: []string{north}, PerDomain: 3})
	c.Apply(t, claims)
	last := c.Leader(t, DomainGroup(north))
	var others []*Process
	for _, p := range c.Processes {
		if p != last {
			others = append(others, p)
			p.Signal(t, syscall.SIGKILL)
		}
	}
	Await(t, "the process is not ready", func() bool { return !last.Ready() })
	client := load.NewClientWithPicker(func() string { return last.PublicAddress })
	path := protocol.PathRequest + newID(t, client, "clerks")
	body := protocol.SubmitRequest{Kind: "document-check"}
	b := rejectedCall{"submit without a majority", http.MethodPut, path, "clerks", body, 504, protocol.CodeUnknownOutcome, "send the same call again"}
	b.check(t, client)
	others[0].Start(t)
	Await(t, "a majority is ready", func() bool { return last.Ready() && others[0].Ready() })
	if status, text := client.UntilAnswered(http.MethodPut, path, "clerks", body, nil); status != http.StatusAccepted {
		t.Errorf("the same submission with a majority: status %d: %s", status, text)
	}
}
