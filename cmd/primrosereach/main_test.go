package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/transport/cli"
)

// fakeServer replaces an entry process and returns scripted answers. Each method and
// path has a list of answers; the last one repeats.
type fakeServer struct {
	*httptest.Server
	mu      sync.Mutex
	answers map[string][]http.HandlerFunc
	calls   []string // "METHOD path body"
	headers []http.Header
}

func newFakeServer(t *testing.T, answers map[string][]http.HandlerFunc) *fakeServer {
	f := &fakeServer{answers: answers}
	f.Server = httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeServer) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	key := r.Method + " " + r.URL.Path
	f.mu.Lock()
	f.calls = append(f.calls, strings.TrimSpace(key+" "+string(body)))
	f.headers = append(f.headers, r.Header)
	list := f.answers[key]
	if len(list) > 1 {
		f.answers[key] = list[1:]
	}
	f.mu.Unlock()
	if len(list) == 0 {
		http.NotFound(w, r)
		return
	}
	list[0](w, r)
}

func answer(status int, v any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	}
}

func refuse(code protocol.Code) http.HandlerFunc {
	return answer(code.HTTPStatus(), protocol.ErrorResponse{Error: protocol.Error{Code: code, Message: "test refusal", Step: "admit", Peer: "north-1"}})
}

// abortConnection closes the connection without an answer after the call was read.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func status(o state.Outcome) http.HandlerFunc {
	return answer(http.StatusOK, protocol.RequestStatus{ID: testID, Team: "t", Kind: "k", Outcome: o, Tasks: []protocol.TaskState{{Status: state.TaskQueued}}})
}

const testID = "north.6931a4c0.7f3a"

var issue = answer(http.StatusOK, protocol.RequestIDResponse{ID: testID})

// execute runs the command line against servers, without pauses between attempts.
func execute(t *testing.T, servers []string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	a := newApp(strings.NewReader(""), &out, &errs)
	a.client = &cli.Client{Servers: servers, Token: "secret", Team: "t", HTTP: http.DefaultClient, MaxRounds: 3,
		Pause: func(ctx context.Context, _ time.Duration) error { return ctx.Err() }}
	code = a.run(t.Context(), args)
	return code, out.String(), errs.String()
}

// Guards against a submission that is not resent after a lost answer, which leaves open
// whether the request was accepted, and against a resend under another ID, which could
// run the request twice.
func TestSubmitResendsTheSameIDAfterALostAnswer(t *testing.T) {
	f := newFakeServer(t, map[string][]http.HandlerFunc{
		"POST /v1/request-ids":       {issue},
		"PUT /v1/requests/" + testID: {abortConnection, refuse(protocol.CodeUnavailable), status(state.OutcomeWaiting)},
	})
	code, out, errs := execute(t, []string{f.URL}, "submit", "--kind", "k", "--payload", `{"a":1}`)
	if code != cli.ExitDone || !strings.Contains(out, "waiting") || !strings.HasPrefix(errs, "request "+testID) {
		t.Fatalf("exit %d\n%s\n%s", code, out, errs)
	}
	put := "PUT /v1/requests/" + testID + ` {"kind":"k","tasks":1,"payload":{"a":1}}`
	if want := "POST /v1/request-ids\n" + put + "\n" + put + "\n" + put; strings.Join(f.calls, "\n") != want {
		t.Fatalf("calls:\n%s\nwant:\n%s", strings.Join(f.calls, "\n"), want)
	}
	if h := f.headers[1]; h.Get("Authorization") != "Bearer secret" || h.Get(protocol.HeaderTeam) != "t" {
		t.Fatalf("headers %v", h)
	}
}

// Guards against an exit code that reports a request as unreachable or not run although
// it may have been accepted: the caller would submit it again under another ID.
func TestExitCodes(t *testing.T) {
	put, get := "PUT /v1/requests/"+testID, "GET /v1/requests/"+testID
	submit := []string{"submit", "--kind", "k", "--id", testID}
	for name, c := range map[string]struct {
		key     string
		answers []http.HandlerFunc
		args    []string
		want    int
	}{
		"done":                         {get, []http.HandlerFunc{status(state.OutcomeDone)}, []string{"status", testID}, cli.ExitDone},
		"failed":                       {get, []http.HandlerFunc{status(state.OutcomeFailed)}, []string{"status", testID}, cli.ExitFailed},
		"stopped":                      {get, []http.HandlerFunc{status(state.OutcomeCancelled)}, []string{"status", testID}, cli.ExitFailed},
		"not run":                      {get, []http.HandlerFunc{status(state.OutcomeNotRun)}, []string{"status", testID}, cli.ExitNotRun},
		"unknown":                      {get, []http.HandlerFunc{status(state.OutcomeUnknown)}, []string{"status", testID}, cli.ExitUnknown},
		"outcome of a later version":   {get, []http.HandlerFunc{status("paused")}, []string{"status", testID}, cli.ExitUnknown},
		"no such request":              {get, []http.HandlerFunc{refuse(protocol.CodeNotFound)}, []string{"status", testID}, cli.ExitFailed},
		"reading, answers lost":        {get, []http.HandlerFunc{abortConnection}, []string{"status", testID}, cli.ExitUnreachable},
		"reading, home unreachable":    {get, []http.HandlerFunc{refuse(protocol.CodeUnknownOutcome)}, []string{"status", testID}, cli.ExitUnknown},
		"wait until the end":           {get, []http.HandlerFunc{status(state.OutcomeWaiting), status(state.OutcomeRunning), status(state.OutcomeFailed)}, []string{"wait", testID}, cli.ExitFailed},
		"wait, time is up":             {get, []http.HandlerFunc{status(state.OutcomeRunning)}, []string{"wait", testID, "--timeout", "1ns"}, cli.ExitUnknown},
		"submit, refused":              {put, []http.HandlerFunc{refuse(protocol.CodeRefusedNotRun)}, submit, cli.ExitNotRun},
		"submit, other content":        {put, []http.HandlerFunc{refuse(protocol.CodeConflict)}, submit, cli.ExitConflict},
		"submit, too old":              {put, []http.HandlerFunc{refuse(protocol.CodeTooOld)}, submit, cli.ExitUnknown},
		"submit, no right":             {put, []http.HandlerFunc{refuse(protocol.CodeForbidden)}, submit, cli.ExitInput},
		"submit, nothing done":         {put, []http.HandlerFunc{refuse(protocol.CodeUnavailable)}, submit, cli.ExitUnreachable},
		"submit, lost then not done":   {put, []http.HandlerFunc{abortConnection, refuse(protocol.CodeUnavailable)}, submit, cli.ExitUnknown},
		"submit, balancer in between":  {put, []http.HandlerFunc{answer(http.StatusBadGateway, "no backend")}, submit, cli.ExitUnknown},
		"submit, lost then refused":    {put, []http.HandlerFunc{abortConnection, refuse(protocol.CodeRefusedNotRun)}, submit, cli.ExitNotRun},
		"submit, every answer lost":    {put, []http.HandlerFunc{abortConnection}, submit, cli.ExitUnknown},
		"cancel, accepted":             {"DELETE /v1/requests/" + testID, []http.HandlerFunc{status(state.OutcomeNotRun)}, []string{"cancel", testID}, cli.ExitDone},
		"drain, accepted":              {"POST /v1/endpoints/r1/drain", []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }}, []string{"drain", "r1"}, cli.ExitDone},
		"unknown flag":                 {"", nil, []string{"status", "--colour"}, cli.ExitInput},
		"unknown command":              {"", nil, []string{"statsu"}, cli.ExitInput},
		"required flag missing":        {"", nil, []string{"submit"}, cli.ExitInput},
		"payload that is not JSON":     {"", nil, []string{"submit", "--kind", "k", "--payload", "{"}, cli.ExitInput},
		"settings file does not exist": {"", nil, []string{"settings", "check", "/nonexistent"}, cli.ExitInput},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeServer(t, map[string][]http.HandlerFunc{c.key: c.answers})
			code, out, errs := execute(t, []string{f.URL}, c.args...)
			if code != c.want {
				t.Fatalf("exit %d, want %d\n%s\n%s", code, c.want, out, errs)
			}
		})
	}
}

// Guards against a stopped entry process that keeps callers from using the others, and
// against an error that does not state at which process and step it arose.
func TestNextServerIsTried(t *testing.T) {
	closedServer := httptest.NewServer(nil)
	closedServer.Close()
	f := newFakeServer(t, map[string][]http.HandlerFunc{"GET /v1/requests/" + testID: {refuse(protocol.CodeInvalid)}})
	_, _, errs := execute(t, []string{closedServer.URL, f.URL}, "status", testID)
	if !strings.Contains(errs, "admit at north-1: invalid: test refusal") {
		t.Fatal(errs)
	}
	code, _, errs := execute(t, []string{closedServer.URL}, "submit", "--kind", "k", "--id", testID)
	if code != cli.ExitUnreachable || !strings.Contains(errs, "submit "+testID+" at "+closedServer.URL) {
		t.Fatalf("exit %d: %s", code, errs)
	}
}

// Guards against --json output that differs from the answer of the server.
func TestJSONOutputIsTheAnswer(t *testing.T) {
	want := protocol.EndpointList{Endpoints: []state.Endpoint{{Name: "r1", Kind: state.KindRunner, Status: state.EndpointReady, Capacity: state.Resources{Slots: 8}}}}
	f := newFakeServer(t, map[string][]http.HandlerFunc{"GET /v1/endpoints": {answer(http.StatusOK, want)}})
	_, out, _ := execute(t, []string{f.URL}, "endpoints", "--json")
	var got protocol.EndpointList
	if err := json.Unmarshal([]byte(out), &got); err != nil || len(got.Endpoints) != 1 || got.Endpoints[0] != want.Endpoints[0] {
		t.Fatalf("%v: %s", err, out)
	}
	if _, out, _ = execute(t, []string{f.URL}, "endpoints"); !strings.Contains(out, "8 slots") {
		t.Fatal(out)
	}
}

// Guards against a check that does not open the files that the settings name: a token
// file that cannot be used would be found only when the process starts.
func TestSettingsCheckReadsTheNamedFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	content := `{"name":"a1","domain":"north","listen":"127.0.0.1:7400","peer_listen":"127.0.0.1:7401",
"peers":[{"name":"a1","domain":"north","address":"127.0.0.1:7401","public_address":"127.0.0.1:7400","disk":false}],
"tokens":{"callers_file":"/nonexistent/c","operators_file":"/nonexistent/o","endpoints_file":"/nonexistent/e","peer_file":"/nonexistent/p"}}`
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, errs := execute(t, nil, "settings", "check", file)
	if code != cli.ExitInput || strings.Count(errs, "no such file") != 4 {
		t.Fatalf("exit %d: %s", code, errs)
	}
}

// Guards against a command whose help lacks a summary or an example, which part-time
// operators rely on.
func TestEveryCommandHasAnExample(t *testing.T) {
	root := newApp(nil, io.Discard, io.Discard).rootCommand()
	for _, group := range append(root.Commands(), root) {
		for _, c := range append(group.Commands(), group) {
			if c.Runnable() && c.Name() != "completion" && (c.Example == "" || c.Short == "") {
				t.Errorf("%s has no example", c.CommandPath())
			}
		}
	}
}
