package main

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/primrosereach/primrosereach/demo/standin"
	"github.com/primrosereach/primrosereach/state"
)

// taskKey names one task across its attempts.
type taskKey struct {
	id   state.RequestID
	task int
}

// executions counts what the endpoints did with each task.
type executions struct {
	started map[taskKey]int
	done    map[taskKey]int
}

func readJournal(file string) (executions, error) {
	x := executions{started: map[taskKey]int{}, done: map[taskKey]int{}}
	f, err := os.Open(file)
	if err != nil {
		return x, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var e standin.Execution
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return x, err
		}
		k := taskKey{e.ID, e.Task}
		switch e.Event {
		case "start":
			x.started[k]++
		case "done":
			x.done[k]++
		}
	}
	return x, lines.Err()
}

type totals struct{ accepted, completed, refused, doubled, lost int }

// compare finds requests that were accepted and have no final outcome, that were
// called done and did not run, or that ran more often than they may.
func compare(outcomes []outcome, x executions) totals {
	var t totals
	for i := range outcomes {
		o := &outcomes[i]
		switch {
		case o.refused:
			t.refused++
		case !o.accepted:
			t.lost++
		default:
			t.accepted++
		}
		if !o.accepted {
			continue
		}
		if o.status.Outcome == state.OutcomeDone {
			t.completed++
		}
		lost := !o.status.Final()
		doubled := false
		for task := range max(1, o.kind.tasks) {
			k := taskKey{o.id, task}
			lost = lost || o.status.Outcome == state.OutcomeDone && x.done[k] == 0
			doubled = doubled || x.done[k] > 1 || x.started[k] > 1 && !repeatable(o.kind)
		}
		if lost {
			t.lost++
		}
		if doubled {
			t.doubled++
		}
	}
	return t
}

func repeatable(k kind) bool {
	for _, d := range deployments {
		if team, ok := d.configuration.Teams[k.team]; ok {
			if kc, ok := team.Kinds[k.name]; ok {
				return kc.Repeatable
			}
		}
	}
	return false
}
