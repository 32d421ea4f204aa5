package processtest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// commandRunner runs commands of the program and checks their exit codes and output.
type commandRunner struct {
	t       *testing.T
	servers []string
}

// run checks the exit code and that the output contains each of the substrings, which
// are separated by "|".
func (c commandRunner) run(code int, substrings string, args ...string) Output {
	c.t.Helper()
	out := Command(c.t, c.servers, append(args, "--rounds", "2")...)
	if out.Code != code {
		c.t.Errorf("%v: exit code %d, want %d\n%s%s", args, out.Code, code, out.Stdout, out.Stderr)
	}
	for _, w := range strings.Split(substrings, "|") {
		if !strings.Contains(out.Stdout+out.Stderr, w) {
			c.t.Errorf("%v: no %q in the output\n%s%s", args, w, out.Stdout, out.Stderr)
		}
	}
	return out
}

var (
	requestLine = regexp.MustCompile(`(?m)^request (\S+)$`)
	claimsFiles = []string{"eligibility.json", "documents.json", "front-desk.json", "site.json"}
)

func exampleFiles(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, f := range claimsFiles {
		out = append(out, filepath.Join("..", "examples", "claims", f))
	}
	return out
}

// Guards against changes of arguments, output or exit codes, which break the scripts
// of callers and operators.
func TestCommands(t *testing.T) {
	t.Parallel()
	cluster := Start(t, Config{Domains: []string{north}, PerDomain: 1})
	cluster.StartEndpoints(t, 2, 1)
	c := commandRunner{t, cluster.Servers()}
	files := exampleFiles(t)
	with := func(args ...string) []string { return append(args, files...) }

	c.run(0, "version|go1", "version")
	c.run(0, "no faults; process north-1 in domain north", "settings", "check", cluster.Processes[0].SettingsFile)
	c.run(0, "no questions; 3 teams", with("questionnaire", "check")...)
	c.run(0, "BECAUSE|must_never_happen_twice is yes", with("questionnaire", "explain")...)
	c.run(0, `"class": "urgent"`, with("questionnaire", "generate")...)
	c.run(0, `"matters_most"`, "questionnaire", "schema")

	c.run(0, "difference from version 0|+ team documents", with("apply", "--dry-run")...)
	c.run(0, "version", "config", "show")
	c.run(0, "applied|version 1 by ana", with("apply", "--operator", "ana", "--change-id", "first")...)
	c.run(0, "version 1 by ana", with("apply", "--operator", "ana", "--change-id", "first")...)
	c.run(6, "conflict|version 1|ana", with("apply", "--operator", "luis", "--change-id", "second", "--expect", "0")...)
	c.run(0, "eligibility-review|urgent", "config", "show")
	Await(t, "the domain has the configuration", func() bool { s := cluster.Processes[0].Status(); return s != nil && s.Configuration == 1 })

	c.checkRequests()
	c.run(0, "north-runner-0|ready", "endpoints")
	c.run(0, "north-runner-0 gets no new work", "drain", "north-runner-0", "--operator", "ana")
	c.run(0, "leaving", "endpoints")
	c.run(1, "not_found", "drain", "nobody")
	c.run(0, "ana|luis|conflict|leaving", "audit")
	c.run(0, "configuration|cell_version|groups", "status")
	c.run(5, "unavailable", "status", "--server", "127.0.0.1:1")
}

// checkRequests submits, looks up, cancels and lists requests of two teams.
func (c commandRunner) checkRequests() {
	c.t.Helper()
	submit := func(code int, substrings, team, kind, payload string, more ...string) string {
		c.t.Helper()
		out := c.run(code, substrings, append([]string{"submit", "--team", team, "--kind", kind, "--payload", payload}, more...)...)
		m := requestLine.FindStringSubmatch(out.Stderr)
		if m == nil {
			c.t.Fatalf("no request ID:\n%s", out.Stderr)
		}
		return m[1]
	}
	id := submit(0, "done|task 0", "eligibility", "eligibility-review", `{"run_ms":10}`, "--wait")
	c.run(0, "done", "status", id, "--team", "eligibility")
	c.run(1, "not_found", "status", id, "--team", "documents")
	c.run(6, "conflict", "submit", "--team", "eligibility", "--kind", "eligibility-review", "--payload", `{"run_ms":11}`, "--id", id)
	submit(2, "invalid|no kind", "eligibility", "unheard-of", "1")
	submit(1, "failed", "eligibility", "eligibility-review", `{"fail":true}`, "--wait")

	id = submit(0, "outcome", "eligibility", "eligibility-review", `{"run_ms":600000}`)
	c.run(4, "unknown_outcome|not ended", "wait", id, "--team", "eligibility", "--timeout", "2s")
	c.run(0, id, "cancel", id, "--team", "eligibility")
	c.run(1, "cancelled", "wait", id, "--team", "eligibility")
	c.run(0, id, "list", "--team", "eligibility")
}

// Guards against settings checks that report only the first error: all errors of a
// settings file must be reported at once, one per line.
func TestFaultySettings(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "settings.json")
	faulty := `{"name":"North 1","domain":"north","listen":"localhost:1","peer_listen":"127.0.0.1:0","data_dir":"relative",
		"insecure":true,"colour":"red","limits":{"max_connections":0,"request_timeout_ms":"long"},"peers":[]}`
	if err := os.WriteFile(file, []byte(faulty), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"serve", "--settings", file}, {"settings", "check", file}} {
		out := Command(t, nil, args...)
		if out.Code != 2 {
			t.Errorf("%v: exit code %d", args, out.Code)
		}
		for _, path := range []string{"name", "listen", "peer_listen", "data_dir", "colour", "limits.max_connections", "limits.request_timeout_ms", "peers"} {
			if n := len(regexp.MustCompile(`(?m)^(primrosereach: .*: )?`+regexp.QuoteMeta(path)+`: `).FindAllString(out.Stderr, -1)); n != 1 {
				t.Errorf("%v: %d lines for %s\n%s", args, n, path, out.Stderr)
			}
		}
	}
}
