package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// logFields are the fields with a fixed place in the output. The other fields of a line
// are the inputs and the outcome of a decision.
var logFields = []string{"@timestamp", "@level", "@message", "@module", "process", "domain", "step", "request", "peer"}

// logEntry is one line of a structured log.
type logEntry struct {
	at     time.Time
	fields map[string]any
}

func (e *logEntry) text(name string) string {
	s, _ := e.fields[name].(string)
	return s
}

// Explain prints the lines about a job from the logs of several processes, ordered by
// time. A line may have a prefix before its JSON object. The reports of dropped log lines
// are printed too, since the history may have gaps there.
func Explain(w io.Writer, id string, logs ...io.Reader) error {
	var entries []logEntry
	for _, r := range logs {
		found, err := readLog(r, id)
		if err != nil {
			return err
		}
		entries = append(entries, found...)
	}
	if len(entries) == 0 {
		return errors.Errorf("explain %s: no line of the logs names this job", id)
	}
	slices.SortStableFunc(entries, func(a, b logEntry) int { return a.at.Compare(b.at) })
	for i := range entries {
		if _, err := fmt.Fprintln(w, entries[i].format(entries[0].at)); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}

func readLog(r io.Reader, id string) ([]logEntry, error) {
	var out []logEntry
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		_, object, ok := bytes.Cut(s.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		e := logEntry{}
		if json.Unmarshal(append([]byte("{"), object...), &e.fields) != nil {
			continue // not a line of a structured log
		}
		request := e.text("request")
		leftOut := e.text("@message") == "log lines were left out"
		if request != id && !strings.HasPrefix(request, id+".") && !leftOut {
			continue
		}
		var err error
		if e.at, err = time.Parse(time.RFC3339Nano, e.text("@timestamp")); err != nil {
			return nil, errors.Wrap(err, "read log: a line has no time")
		}
		out = append(out, e)
	}
	if err := s.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	return out, nil
}

// format returns the line as text, with the time elapsed since first.
func (e *logEntry) format(first time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s +%.3fs %s %s: %s", e.at.UTC().Format("15:04:05.000"), e.at.Sub(first).Seconds(), e.text("process"), e.text("step"), e.text("@message"))
	if r := e.text("request"); r != "" {
		fmt.Fprintf(&b, " [%s]", r)
	}
	if p := e.text("peer"); p != "" {
		fmt.Fprintf(&b, " at %s", p)
	}
	var names []string
	for name := range e.fields {
		if !slices.Contains(logFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if v := fmt.Sprint(e.fields[name]); v != "" {
			fmt.Fprintf(&b, " %s=%s", name, v)
		}
	}
	return b.String()
}
