package processtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/demo/load"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/settings"
	"github.com/primrosereach/primrosereach/state"
)

// rejectedCall is a call that must be rejected, with the expected status, error code
// and part of the message.
type rejectedCall struct {
	name, method, path, team string
	body                     any
	status                   int
	code                     protocol.Code
	substrings               string
}

func (b *rejectedCall) check(t *testing.T, c *load.Client) {
	t.Helper()
	status, text := c.Call(b.method, b.path, b.team, b.body, nil)
	var e protocol.ErrorResponse
	if err := json.Unmarshal([]byte(text), &e); err != nil {
		t.Errorf("%s: status %d: %s", b.name, status, text)
		return
	}
	if status != b.status || e.Error.Code != b.code || e.Error.Step == "" || e.Error.Peer == "" || !strings.Contains(e.Error.Message, b.substrings) {
		t.Errorf("%s: status %d: %+v", b.name, status, e.Error)
	}
}

func newID(t *testing.T, c *load.Client, team string) string {
	t.Helper()
	var r protocol.RequestIDResponse
	if status, text := c.Call(http.MethodPost, protocol.PathRequestIDs, team, nil, &r); status != http.StatusOK {
		t.Fatalf("request ID: status %d: %s", status, text)
	}
	return string(r.ID)
}

// Guards against invalid input that is accepted, rejected without naming its cause, or
// that affects requests accepted earlier.
func TestBadInput(t *testing.T) {
	t.Parallel()
	cluster := Start(t, Config{Domains: []string{north}, PerDomain: 1, Change: func(s *settings.Settings) { s.Limits.MaxBodyBytes = 4096 }})
	cluster.StartEndpoints(t, 1, 1)
	cluster.Apply(t, claims)
	c := load.NewClient(cluster.Servers())
	earlier := c.Run(claims.Kinds[0])

	const put, team = http.MethodPut, "clerks"
	request := func() string { return protocol.PathRequest + newID(t, c, team) }
	at := func(domain string, issued time.Time) string {
		return protocol.PathRequest + string(state.NewRequestID(domain, issued.Unix(), "r"))
	}
	kind := func(k string) map[string]any { return map[string]any{"kind": k} }
	with := func(field string, v any) map[string]any { return map[string]any{"kind": "status-lookup", field: v} }
	heartbeat := func(field string, v any) map[string]any {
		h := map[string]any{"domain": north, "kind": "runner", "address": "127.0.0.1:1", "incarnation": 1, "capacity": map[string]int{"slots": 1}}
		h[field] = v
		return h
	}
	const heartbeatPath = protocol.PathEndpoint + "new" + protocol.PathHeartbeatSuffix
	const post, invalid = http.MethodPost, protocol.CodeInvalid
	for _, b := range []rejectedCall{
		{"oversized body", put, request(), team, with("payload", strings.Repeat("x", 5000)), 413, protocol.CodeTooLarge, "4096 bytes"},
		{"unknown kind", put, request(), team, kind("unheard-of"), 400, invalid, "no kind"},
		{"unknown team", put, protocol.PathRequest + newID(t, c, "strangers"), "strangers", kind("status-lookup"), 400, invalid, "strangers"},
		{"unknown field", put, request(), team, with("urgency", 1), 400, invalid, "urgency"},
		{"no JSON", put, request(), team, "text", 400, invalid, "body"},
		{"negative tasks", put, request(), team, with("tasks", -1), 400, invalid, "negative"},
		{"too many tasks", put, request(), team, with("tasks", 1000), 400, invalid, "at most 1"},
		{"wrong resource", put, request(), team, with("per_task", map[string]int{"milli_cores": 1}), 400, invalid, "slots only"},
		{"wrong wait", http.MethodGet, request() + "?wait=soon", team, nil, 400, invalid, "soon"},
		{"unknown ID", http.MethodGet, request(), team, nil, 404, protocol.CodeNotFound, "not accepted"},
		{"malformed ID", put, protocol.PathRequest + "4711", team, kind("status-lookup"), 400, invalid, "4711"},
		{"old ID", put, at(north, time.Now().AddDate(-1, 0, 0)), team, kind("status-lookup"), 410, protocol.CodeTooOld, "horizon"},
		{"ID of the future", put, at(north, time.Now().AddDate(1, 0, 0)), team, kind("status-lookup"), 400, invalid, "future"},
		{"ID of no domain", put, at("atlantis", time.Now()), team, kind("status-lookup"), 400, invalid, "atlantis"},
		{"other content", put, protocol.PathRequest + string(earlier.ID), team, kind("status-lookup"), 409, protocol.CodeConflict, "other content"},
		{"other team", http.MethodGet, protocol.PathRequest + string(earlier.ID), "strangers", nil, 404, protocol.CodeNotFound, "not accepted"},
		{"no team", post, protocol.PathRequestIDs, "", nil, 401, protocol.CodeUnauthorized, "team"},
		{"endpoint address", post, heartbeatPath, "", heartbeat("address", "runner.example:1"), 400, invalid, "address"},
		{"endpoint kind", post, heartbeatPath, "", heartbeat("kind", "toaster"), 400, invalid, "kind"},
		{"endpoint capacity", post, heartbeatPath, "", heartbeat("capacity", map[string]int{"slots": -1}), 400, invalid, "capacity"},
		{"endpoint domain", post, heartbeatPath, "", heartbeat("domain", "atlantis"), 400, invalid, "atlantis"},
		{"endpoint field", post, heartbeatPath, "", heartbeat("colour", "red"), 400, invalid, "colour"},
		{"report", post, protocol.PathReports, "", map[string]any{"status": "perhaps"}, 400, invalid, "status"},
		{"configuration", put, protocol.PathConfiguration, "", map[string]any{"change_id": "x", "configuration": map[string]any{"teams": map[string]any{"t": map[string]any{"quota": map[string]int{"slots": -1}}}}}, 400, invalid, "teams.t.quota"},
		{"drain of nobody", post, protocol.PathEndpoint + "nobody/drain", "", nil, 404, protocol.CodeNotFound, "nobody"},
	} {
		b.check(t, c)
	}
	checkTaskThatFitsNowhere(t, c)
	checkOutcomes(t, claims, []load.Outcome{earlier, c.Run(claims.Kinds[1])}, cluster.Journal)
}

// checkTaskThatFitsNowhere submits a task that no endpoint has the capacity for. It
// may wait while endpoints are still joining, but must end as not run, with the
// reason.
func checkTaskThatFitsNowhere(t *testing.T, c *load.Client) {
	t.Helper()
	path := protocol.PathRequest + newID(t, c, "clerks")
	body := protocol.SubmitRequest{Kind: "archive", PerTask: state.Resources{MilliCores: 1_000_000, MemoryMB: 1}}
	status, text := c.UntilAnswered(http.MethodPut, path, "clerks", body, nil)
	Await(t, "the refusal of a task that fits on no endpoint", func() bool {
		var s protocol.RequestStatus
		if status == http.StatusOK {
			return json.Unmarshal([]byte(text), &s) == nil && s.Outcome == state.OutcomeNotRun && s.Reason != ""
		}
		if status == http.StatusTooManyRequests {
			return true
		}
		status, text = c.UntilAnswered(http.MethodGet, path+"?wait=10s", "clerks", nil, nil)
		return false
	})
	if !strings.Contains(text, "endpoint") && !strings.Contains(text, "worker") {
		t.Errorf("reason: %s", text)
	}
}

// token returns a token of the required length.
func token(name string) string { return fmt.Sprintf("%s-%032d", name, 1) }

// writeTokens writes the token files and sets their paths in the settings.
func writeTokens(t *testing.T, dir string, s *settings.Settings) {
	t.Helper()
	write := func(file string, entries ...map[string]string) string {
		b, err := json.Marshal(entries)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, file)
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	entry := func(name string) map[string]string { return map[string]string{"name": name, "token": token(name)} }
	caller := func(team string) map[string]string {
		e := entry(team)
		e["team"] = team
		return e
	}
	s.Insecure = false
	s.Tokens = &settings.Tokens{
		CallersFile: write("callers", caller("clerks"), caller("others")), OperatorsFile: write("operators", entry("ana")),
		EndpointsFile: write("endpoints", entry("runner")), PeerFile: write("peers", entry(s.Name)),
	}
}

// Guards against calls with a missing or wrong token that are served, or whose body is
// read before they are rejected, and against teams that see requests of other teams.
func TestCredentials(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	cluster := Start(t, Config{Domains: []string{north}, PerDomain: 1, Change: func(s *settings.Settings) { writeTokens(t, dir, s) }})
	as := func(name string) *load.Client {
		c := load.NewClient(cluster.Servers())
		c.Token = name
		return c
	}
	ana, clerks, others := as(token("ana")), as(token("clerks")), as(token("others"))
	if err := ana.ApplyConfiguration(claims.Configuration); err != nil {
		t.Fatal(err)
	}
	path := protocol.PathRequest + newID(t, clerks, "")
	body := protocol.SubmitRequest{Kind: "document-check"}
	Await(t, "the submission is accepted", func() bool {
		status, _ := clerks.Call(http.MethodPut, path, "", body, nil)
		return status == http.StatusAccepted
	})
	const get, missing, wrong = http.MethodGet, protocol.CodeUnauthorized, protocol.CodeForbidden
	for _, x := range []struct {
		client *load.Client
		rejectedCall
	}{
		{as(""), rejectedCall{"no token", get, path, "clerks", nil, 401, missing, "bearer token"}},
		{as("guess"), rejectedCall{"wrong token", get, path, "clerks", nil, 403, wrong, "caller"}},
		{as("guess"), rejectedCall{"oversized body", http.MethodPut, path, "", strings.Repeat("x", 2<<20), 403, wrong, "caller"}},
		{ana, rejectedCall{"operator as caller", get, path, "clerks", nil, 403, wrong, "caller"}},
		{clerks, rejectedCall{"caller as operator", get, protocol.PathStatus, "", nil, 403, wrong, "operator"}},
		{clerks, rejectedCall{"caller as endpoint", http.MethodPost, protocol.PathReports, "", nil, 403, wrong, "endpoint"}},
		{as(token("runner")), rejectedCall{"other endpoint", http.MethodPost, protocol.PathEndpoint + "x" + protocol.PathHeartbeatSuffix, "", nil, 403, wrong, "not to x"}},
		{others, rejectedCall{"other team", get, path, "clerks", nil, 404, protocol.CodeNotFound, "not accepted"}},
	} {
		x.check(t, x.client)
	}
	for client, want := range map[*load.Client]int{clerks: 1, others: 0} {
		var l protocol.RequestList
		if status, text := client.Call(get, protocol.PathRequests, "clerks", nil, &l); status != http.StatusOK || len(l.Requests) != want {
			t.Errorf("list: status %d: %s", status, text)
		}
	}
}
