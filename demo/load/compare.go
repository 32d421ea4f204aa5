package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"github.com/primrosereach/primrosereach/demo/standin"
	"github.com/primrosereach/primrosereach/state"
)

// taskKey identifies one task across its attempts.
type taskKey struct {
	id   state.RequestID
	task int
}

// history counts the executions of one task at all endpoints.
type history struct {
	started, done int
	running       int  // executions that run now
	overlapped    bool // two executions ran at the same time
}

// Journal collects the executions at the endpoints. It is safe for concurrent use.
type Journal struct {
	mu     sync.Mutex
	tasks  map[taskKey]*history
	events []standin.Execution
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{tasks: map[taskKey]*history{}} }

// Add records one event of an execution. The events of one task must be added in the
// order in which they occurred.
func (j *Journal) Add(e standin.Execution) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, e)
	k := taskKey{e.ID, e.Task}
	h := j.tasks[k]
	if h == nil {
		h = &history{}
		j.tasks[k] = h
	}
	switch e.Event {
	case "start":
		h.started++
		h.running++
		h.overlapped = h.overlapped || h.running > 1
	case "done":
		h.done++
		h.running--
	default:
		h.running--
	}
}

// Events returns a copy of everything recorded.
func (j *Journal) Events() []standin.Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]standin.Execution(nil), j.events...)
}

func (j *Journal) historyOf(k taskKey) history {
	j.mu.Lock()
	defer j.mu.Unlock()
	if h := j.tasks[k]; h != nil {
		return *h
	}
	return history{}
}

// ReadJournal reads the file that demo/cmd/standin writes.
func ReadJournal(file string) (*Journal, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	j := NewJournal()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var e standin.Execution
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, err
		}
		j.Add(e)
	}
	return j, lines.Err()
}

// Totals summarises a comparison. Duplicated and Lost are defined at Compare.
type Totals struct{ Accepted, Completed, Refused, Duplicated, Lost int }

func (t Totals) String() string {
	return fmt.Sprintf("accepted %d, completed %d, refused %d, run more than once %d, lost %d",
		t.Accepted, t.Completed, t.Refused, t.Duplicated, t.Lost)
}

// Compare checks the outcomes of requests against the journal. A request is lost if it
// was neither accepted nor refused, was accepted and has no final outcome, or is reported
// as done and did not run. It is duplicated if it ran more often than it may or in two
// places at once, or ran although it was refused or is reported as not run.
func Compare(d Deployment, outcomes []Outcome, j *Journal) Totals {
	var t Totals
	for i := range outcomes {
		o := &outcomes[i]
		switch {
		case o.Refused:
			t.Refused++
		case !o.Accepted:
			t.Lost++
		default:
			t.Accepted++
		}
		lost, duplicated := o.compare(j, d.repeatable(o.Kind))
		if o.Accepted && o.Status.Outcome == state.OutcomeDone {
			t.Completed++
		}
		if lost {
			t.Lost++
		}
		if duplicated {
			t.Duplicated++
		}
	}
	return t
}

func (o *Outcome) compare(j *Journal, repeatable bool) (lost, duplicated bool) {
	lost = o.Accepted && !o.Status.Final()
	notRun := o.Refused || o.Accepted && o.Status.Outcome == state.OutcomeNotRun
	for task := range max(1, o.Kind.Tasks) {
		h := j.historyOf(taskKey{o.ID, task})
		lost = lost || o.Accepted && o.Status.Outcome == state.OutcomeDone && h.done == 0
		duplicated = duplicated || h.done > 1 || h.overlapped || h.started > 1 && !repeatable || notRun && h.started > 0
	}
	return lost, duplicated
}
