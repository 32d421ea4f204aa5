package access

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/primrosereach/primrosereach/protocol/settings"
)

func token(c string) string { return strings.Repeat(c, minTokenLength) }

func write(t *testing.T, dir, name, content string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func testSettings(t *testing.T, callers, peers string) *settings.Settings {
	dir := t.TempDir()
	return &settings.Settings{Name: "a1", Tokens: &settings.Tokens{
		CallersFile:   write(t, dir, "callers", callers),
		OperatorsFile: write(t, dir, "operators", `[{"token":"`+token("o")+`","name":"ana"}]`),
		EndpointsFile: write(t, dir, "endpoints", `[{"token":"`+token("e")+`","name":"r1"}]`),
		PeerFile:      write(t, dir, "peers", peers),
	}}
}

// Guards against a token of one role that is accepted for another: a caller could then
// drain endpoints.
func TestTokensAreBoundToTheirRole(t *testing.T) {
	peers := `[{"token":"` + token("p") + `","name":"a1"},{"token":"` + token("q") + `","name":"a1"}]`
	a, err := Load(testSettings(t, `[{"token":"`+token("c")+`","name":"desk","team":"claims"}]`, peers))
	if err != nil {
		t.Fatal(err)
	}
	if name, team, ok := a.Caller(token("c")); !ok || name != "desk" || team != "claims" {
		t.Errorf("caller: %q %q %t", name, team, ok)
	}
	if name, ok := a.Operator(token("o")); !ok || name != "ana" {
		t.Errorf("operator: %q %t", name, ok)
	}
	if name, ok := a.Endpoint(token("e")); !ok || name != "r1" {
		t.Errorf("endpoint: %q %t", name, ok)
	}
	if name, ok := a.Peer(token("q")); !ok || name != "a1" || a.OwnPeerToken() != token("p") {
		t.Errorf("peer: %q %t, own token %q", name, ok, a.OwnPeerToken())
	}
	for _, other := range []string{"", "c", token("c"), token("e"), token("p")} {
		if _, ok := a.Operator(other); ok {
			t.Errorf("%q is accepted as an operator", other)
		}
	}
}

// Guards against a loader that stops at the first faulty entry or file.
func TestFaultyTokenFilesAreListedAtOnce(t *testing.T) {
	callers := `[{"token":"short","name":"x","team":"t"},{"token":"` + token("c") + `","name":"y"},{"tokn":1},{"token":"` + token("d") + `","name":"y","team":"t"},{"token":"` + token("d") + `","name":"z","team":"u"}]`
	_, err := Load(testSettings(t, callers, `[]`))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{"[0].token: want at least", "[1].team: required", "[2].tokn: unknown field", `[4].token: the same as that of "y"`, "lists no token"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in:\n%v", want, err)
		}
	}
}

// Guards against an empty token that matches when no credentials were loaded.
func TestInsecureAccessMatchesNoToken(t *testing.T) {
	a, err := Load(&settings.Settings{Insecure: true})
	if err != nil || !a.Insecure() {
		t.Fatalf("%v %v", a, err)
	}
	if _, _, ok := a.Caller(""); ok {
		t.Fatal("the empty token is a caller")
	}
}
