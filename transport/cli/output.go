package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/primrosereach/primrosereach/coordination/derive"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// Printer writes answers as tables, or as JSON.
type Printer struct {
	Out  io.Writer
	JSON bool
}

// Value writes v as indented JSON if p.JSON is set. Otherwise it writes the table that the
// function table builds by calling row once for each line.
func (p Printer) Value(v any, table func(row func(cells ...string))) error {
	if p.JSON {
		e := json.NewEncoder(p.Out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(p.Out, 0, 4, 2, ' ', 0)
	table(func(cells ...string) { fmt.Fprintln(w, strings.TrimRight(strings.Join(cells, "\t"), "\t")) })
	return w.Flush()
}

// RequestStatus writes one request and its tasks.
func (p Printer) RequestStatus(s *protocol.RequestStatus) error {
	return p.Value(s, func(row func(...string)) {
		row("request", string(s.ID))
		row("outcome", string(s.Outcome))
		if s.Reason != "" {
			row("reason", s.Reason)
		}
		if s.WhyWaiting != "" {
			row("waiting because", s.WhyWaiting)
		}
		row("team, kind, class", s.Team+", "+s.Kind+", "+string(s.Class))
		row("accepted", formatTime(s.AcceptedMS))
		if s.FinalMS != 0 {
			row("ended", formatTime(s.FinalMS))
		}
		for i, t := range s.Tasks {
			row(fmt.Sprintf("task %d", i), taskLine(t))
		}
	})
}

func taskLine(t protocol.TaskState) string {
	line := string(t.Status)
	if t.Endpoint != "" {
		line += " on " + t.Endpoint
	}
	if t.Attempt > 1 {
		line += fmt.Sprintf(", attempt %d", t.Attempt)
	}
	if t.Error != "" {
		line += ": " + t.Error
	}
	if len(t.Result) > 0 {
		line += " result " + string(t.Result)
	}
	return line
}

// Requests writes a list of requests.
func (p Printer) Requests(l *protocol.RequestList) error {
	return p.Value(l, func(row func(...string)) {
		row("ID", "KIND", "CLASS", "OUTCOME", "ACCEPTED", "REASON")
		for _, s := range l.Requests {
			reason := s.Reason
			if reason == "" {
				reason = s.WhyWaiting
			}
			row(string(s.ID), s.Kind, string(s.Class), string(s.Outcome), formatTime(s.AcceptedMS), reason)
		}
	})
}

// Endpoints writes a list of endpoints.
func (p Printer) Endpoints(l *protocol.EndpointList) error {
	return p.Value(l, func(row func(...string)) {
		row("NAME", "KIND", "STATUS", "SINCE", "RACK", "TASKS", "RESERVED", "CAPACITY")
		for _, e := range l.Endpoints {
			row(e.Name, string(e.Kind), string(e.Status), formatTime(e.SinceMS), orDash(e.Rack), strconv.Itoa(e.Assigned), FormatResources(e.Reserved), FormatResources(e.Capacity))
		}
	})
}

// Audit writes a list of audit records.
func (p Printer) Audit(l *protocol.AuditList) error {
	return p.Value(l, func(row func(...string)) {
		row("TIME", "WHO", "ACTION", "TARGET", "FROM", "TO", "RESULT")
		for _, a := range l.Records {
			row(formatTime(a.AtMS), a.Actor, a.Action, a.Target, strconv.FormatUint(a.From, 10), strconv.FormatUint(a.To, 10), a.Result)
			if a.Difference != "" {
				for _, line := range strings.Split(a.Difference, "\n") {
					row("  " + line)
				}
			}
		}
	})
}

// Configuration writes a configuration.
func (p Printer) Configuration(v *state.VersionedConfiguration) error {
	return p.Value(v, func(row func(...string)) {
		row("version", strconv.FormatUint(v.Version, 10))
		row("TEAM", "KIND", "CLASS", "REPEATABLE", "SIZE", "DEADLINE", "MAX WAIT", "RETRIES")
		for _, team := range sortedKeys(v.Configuration.Teams) {
			t := v.Configuration.Teams[team]
			row(team, "(quota)", "", "", FormatResources(t.Quota))
			for _, kind := range sortedKeys(t.Kinds) {
				k := t.Kinds[kind]
				row(team, kind, string(k.Class), strconv.FormatBool(k.Repeatable), FormatResources(k.PerTask), formatMS(k.DeadlineMS), formatMS(k.MaxWaitMS), strconv.Itoa(k.Retries))
			}
		}
	})
}

// explanation is the JSON form of a derive.Explanation.
type explanation struct {
	Team    string `json:"team"`
	Work    string `json:"work,omitempty"`
	Field   string `json:"field"`
	Value   string `json:"value"`
	Because string `json:"because"`
}

// Explanations writes the reasons of derived values.
func (p Printer) Explanations(list []derive.Explanation) error {
	out := make([]explanation, len(list))
	for i, e := range list {
		out[i] = explanation(e)
	}
	return p.Value(out, func(row func(...string)) {
		row("TEAM", "WORK", "FIELD", "VALUE", "BECAUSE")
		for _, e := range list {
			row(e.Team, orDash(e.Work), e.Field, e.Value, e.Because)
		}
	})
}

// Raw writes a JSON object, as JSON or as a table with one "field value" line for each
// top-level field.
func (p Printer) Raw(raw json.RawMessage) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	return p.Value(raw, func(row func(...string)) {
		for _, name := range sortedKeys(fields) {
			row(name, strings.Trim(string(fields[name]), `"`))
		}
	})
}

// FormatResources lists the amounts that are not zero. It returns "-" if all are zero.
func FormatResources(r state.Resources) string {
	var parts []string
	add := func(n int, text string) {
		if n != 0 {
			parts = append(parts, text)
		}
	}
	add(r.Slots, fmt.Sprintf("%d slots", r.Slots))
	add(r.MilliCores, fmt.Sprintf("%g cores", float64(r.MilliCores)/1000))
	add(r.MemoryMB, fmt.Sprintf("%d MiB", r.MemoryMB))
	add(r.Accelerators, fmt.Sprintf("%d accelerators", r.Accelerators))
	return orDash(strings.Join(parts, ", "))
}

func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05Z")
}

func formatMS(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
