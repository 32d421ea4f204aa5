package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/transport/cli"
)

const claims = "../../examples/claims/"

var claimsFiles = []string{claims + "site.json", claims + "eligibility.json", claims + "documents.json", claims + "front-desk.json"}

func inForce(version uint64, teams ...string) http.HandlerFunc {
	v := state.VersionedConfiguration{Version: version, Configuration: state.Configuration{Teams: map[string]state.TeamConfig{}}}
	for _, name := range teams {
		v.Configuration.Teams[name] = state.TeamConfig{}
	}
	return answer(http.StatusOK, v)
}

func sentChanges(t *testing.T, f *fakeServer) (changes []protocol.ConfigureRequest) {
	t.Helper()
	for _, c := range f.calls {
		if body, ok := strings.CutPrefix(c, "PUT "+protocol.PathConfiguration+" "); ok {
			var r protocol.ConfigureRequest
			if err := json.Unmarshal([]byte(body), &r); err != nil {
				t.Fatal(err)
			}
			changes = append(changes, r)
		}
	}
	return changes
}

// Guards against a resend under a new change ID, which would conflict with the change
// that its own first attempt applied.
func TestApplyResendsTheSameChange(t *testing.T) {
	f := newFakeServer(t, map[string][]http.HandlerFunc{
		"GET /v1/configuration": {inForce(4, "eligibility")},
		"PUT /v1/configuration": {abortConnection, answer(http.StatusOK, protocol.ConfigureResponse{Applied: true, Version: 5, Author: "ana"})},
	})
	code, out, errs := execute(t, []string{f.URL}, append([]string{"apply"}, claimsFiles...)...)
	if code != cli.ExitDone || !strings.Contains(out, "version 5 by ana") || !strings.Contains(out, "+ team documents") {
		t.Fatalf("exit %d\n%s\n%s", code, out, errs)
	}
	sent := sentChanges(t, f)
	if len(sent) != 2 || sent[0].ChangeID != sent[1].ChangeID || sent[0].Expected != 4 || !strings.Contains(errs, "change "+sent[0].ChangeID) {
		t.Fatalf("%d changes: %+v", len(sent), sent)
	}
	if len(sent[0].Configuration.Teams) != 3 {
		t.Fatalf("%d teams", len(sent[0].Configuration.Teams))
	}
}

// Guards against a refused change that is sent again or not reported as a conflict.
func TestApplyReportsAConflict(t *testing.T) {
	f := newFakeServer(t, map[string][]http.HandlerFunc{
		"GET /v1/configuration": {inForce(4)},
		"PUT /v1/configuration": {answer(http.StatusConflict, protocol.ConfigureResponse{Version: 6, Author: "luis", Reason: "version 6 by luis is in force"})},
	})
	code, _, errs := execute(t, []string{f.URL}, append([]string{"apply", "--expect", "3", "--change-id", "mine"}, claimsFiles...)...)
	if code != cli.ExitConflict || !strings.Contains(errs, "version 6 by luis") {
		t.Fatalf("exit %d: %s", code, errs)
	}
	if sent := sentChanges(t, f); len(sent) != 1 || sent[0].Expected != 3 || sent[0].ChangeID != "mine" {
		t.Fatalf("%+v", sent)
	}
}

// Guards against a change that is sent on a dry run, or although teams would be removed
// or the questionnaires are incomplete.
func TestApplySendsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		teams []string
		args  []string
		want  int
	}{
		"dry run":             {nil, append([]string{"--dry-run"}, claimsFiles...), cli.ExitDone},
		"team without a file": {[]string{"others"}, claimsFiles, cli.ExitInput},
		"open questions":      {nil, []string{claims + "eligibility.json", claims + "eligibility.json"}, cli.ExitInput},
		"no team":             {nil, claimsFiles[:1], cli.ExitInput},
		"file does not exist": {nil, []string{"nonexistent.json"}, cli.ExitInput},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeServer(t, map[string][]http.HandlerFunc{"GET /v1/configuration": {inForce(4, c.teams...)}})
			code, out, errs := execute(t, []string{f.URL}, append([]string{"apply"}, c.args...)...)
			if code != c.want || len(sentChanges(t, f)) != 0 {
				t.Fatalf("exit %d, calls %v\n%s\n%s", code, f.calls, out, errs)
			}
		})
	}
}

func TestQuestionnaireCommands(t *testing.T) {
	for command, want := range map[string]string{"check": "no questions; 3 teams", "explain": "must_never_happen_twice is yes", "generate": `"class": "urgent"`} {
		if code, out, errs := execute(t, nil, append([]string{"questionnaire", command}, claimsFiles...)...); code != cli.ExitDone || !strings.Contains(out, want) {
			t.Errorf("%s: exit %d\n%s\n%s", command, code, out, errs)
		}
	}
	if code, out, _ := execute(t, nil, "questionnaire", "schema"); code != cli.ExitDone || !json.Valid([]byte(out)) {
		t.Errorf("schema: exit %d\n%s", code, out)
	}
}
