package processtest

import (
	"net/http"
	"strings"
	"testing"

	"github.com/primrosereach/primrosereach/demo/load"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/settings"
)

// Guards against a status page that does not show what waits and why, on any of the
// processes. Operators without command-line tools depend on it.
func TestStatusPage(t *testing.T) {
	t.Parallel()
	c := Start(t, Config{Domains: []string{"centre", north}, PerDomain: 2})
	c.Apply(t, claims)
	client := load.NewClientWithPicker(func() string { return c.Process(t, "north-1").PublicAddress })
	id := newID(t, client, "clerks")
	body := protocol.SubmitRequest{Kind: "document-check"}
	if status, text := client.UntilAnswered(http.MethodPut, protocol.PathRequest+id, "clerks", body, nil); status != http.StatusAccepted {
		t.Fatalf("status %d: %s", status, text)
	}
	for _, p := range c.Processes {
		for _, path := range []string{"/", "/status"} {
			status, html := p.Get(path)
			for _, want := range []string{p.Name, id, "document-check", "domain-centre", "domain-north", "cell", "any known endpoint has"} {
				if status != http.StatusOK || !strings.Contains(string(html), want) {
					t.Errorf("%s%s: status %d, no %q in\n%s", p.Name, path, status, want, html)
				}
			}
		}
		status, text := p.Get("/metrics")
		if status != http.StatusOK || !strings.Contains(string(text), "primrosereach_ready 1") {
			t.Errorf("%s/metrics: status %d", p.Name, status)
		}
	}
}

// Guards against a status page that is shown without an operator's token. A browser
// asks its user for the token only if the answer requests authentication.
func TestStatusPageCredentials(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	c := Start(t, Config{Domains: []string{north}, PerDomain: 1, Change: func(s *settings.Settings) { writeTokens(t, dir, s) }})
	for password, want := range map[string]int{"": http.StatusUnauthorized, token("clerks"): http.StatusForbidden, token("ana"): http.StatusOK} {
		req, err := http.NewRequest(http.MethodGet, "http://"+c.Processes[0].PublicAddress+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		if password != "" {
			req.SetBasicAuth("any", password)
		}
		res, err := probe.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if asked := res.Header.Get("WWW-Authenticate") != ""; res.StatusCode != want || asked != (password == "") {
			t.Errorf("password %q: status %d, asked for a token: %t", password, res.StatusCode, asked)
		}
	}
}
