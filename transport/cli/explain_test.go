package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against an operations page whose three examples of explaining a job no longer
// match the output of the program for the same logs.
func TestOperationsPageShowsWhatExplainPrints(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	logs, err := filepath.Glob("testdata/explain/*.log")
	if err != nil || len(logs) != 3 {
		t.Fatalf("%d logs, %v", len(logs), err)
	}
	for _, name := range logs {
		_, id, _ := strings.Cut(strings.TrimSuffix(filepath.Base(name), ".log"), "-")
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if err := Explain(&out, id, f); err != nil {
			t.Fatal(err)
		}
		_ = f.Close()
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			if !strings.Contains(string(page), line) {
				t.Errorf("%s: the page lacks %q", name, line)
			}
		}
	}
}

const twoProcesses = `noise
  1.5 b {"@timestamp":"2026-01-01T00:00:02Z","@message":"second","process":"b","step":"end","request":"j.0.0.1","how":"done"}
{"@timestamp":"2026-01-01T00:00:03Z","@message":"log lines were left out","count":7}
{"@timestamp":"2026-01-01T00:00:02Z","@message":"other job","process":"b","step":"end","request":"j2.0.0.1"}
not json {{{
`

// Guards against a history in the wrong order, with lines of other jobs, or with
// unreported gaps.
func TestExplainOrdersLinesAndNamesGaps(t *testing.T) {
	first := strings.NewReader(`{"@timestamp":"2026-01-01T00:00:01Z","@message":"first","process":"a","step":"submit job","request":"j"}`)
	var out strings.Builder
	if err := Explain(&out, "j", strings.NewReader(twoProcesses), first); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	lines := strings.Split(strings.TrimSpace(got), "\n")
	if len(lines) != 3 || !strings.Contains(lines[0], "first") || !strings.Contains(lines[1], "how=done") || !strings.Contains(lines[2], "count=7") {
		t.Errorf("got %s", got)
	}
	if err := Explain(&out, "unknown", strings.NewReader("")); err == nil {
		t.Error("a job that no line names is explained")
	}
}
