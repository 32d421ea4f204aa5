package statuspage

import (
	"strings"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// Guards against a page that omits which requests wait, why and since when, or which
// domain did not answer, and against script injection through names from callers.
func TestRender(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	html, err := Render(Page{
		Now: now, Unreachable: []string{"south"},
		Process: protocol.ProcessStatus{Name: "north-1", Configuration: 3, CellVersion: 4, Groups: []protocol.GroupStatus{{Group: "cell"}}},
		Domains: []protocol.GroupStatus{{
			Group: "domain-north", Leader: "north-2", Members: []protocol.MemberStatus{{Name: "north-3"}},
			Endpoints: map[state.EndpointStatus]int{state.EndpointQuarantined: 7},
			Open:      map[state.Class]protocol.OpenTasks{state.ClassUrgent: {Queued: 12, Assigned: 34}},
			Waiting:   []protocol.WaitingRequest{{Kind: "<script>", SinceMS: now.UnixMilli() - 90_000, Why: "no slot is free"}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"north-1", "version <b>3</b>", "newest known is 4", "domain south cannot be reached", "1m30s", "no slot is free",
		"&lt;script&gt;", "12 / 34", `<td class="n">7</td>`, "north-2", "north-3 (catching up)", "<b>none</b>",
	} {
		if !strings.Contains(string(html), want) {
			t.Errorf("no %q in\n%s", want, html)
		}
	}
}
