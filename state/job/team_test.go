package job

import (
	"encoding/json"
	"testing"

	"github.com/primrosereach/primrosereach/state/resource"
)

// Guards against the usage of a team that is lost or changed by a snapshot, or that differs from
// what its assigned tasks reserve.
func TestUsageOfTeamSurvivesSnapshot(t *testing.T) {
	s := New()
	index := uint64(0)
	apply := func(c Command) {
		t.Helper()
		index++
		if a := s.Apply(index, &c); a.Rejected != nil {
			t.Fatal(a.Rejected)
		}
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
	}
	apply(Command{Configure: &Configuration{Version: 1, Pools: []Pool{{Name: "p"}}, Queues: []Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", TimeoutMS: 1}},
		HasTeams: true, Teams: []Team{{Name: "a", KeyDigests: []string{"d"}, Weight: 1, Limit: resource.Amount{MilliCores: 5000}}}}})
	worker := Incarnation{ID: "w", StartedMS: 1}
	apply(Command{Join: &Worker{Incarnation: worker, Address: "w:1", Pool: "p", Capacity: resource.Amount{MilliCores: 9000}}})
	step := Step{Count: 4, PerTask: resource.Amount{MilliCores: 2000}}
	apply(Command{Submit: &Submit{Submission: Submission{ID: "j", Steps: []Step{step}}, Queue: "q", Team: "a"}})
	ref := StepRef{Job: "j"}
	apply(Command{Assign: &Assign{StepRef: ref, Items: []Assignment{{Index: 0, Run: 1, Worker: "w", StartedMS: 1}, {Index: 1, Run: 1, Worker: "w", StartedMS: 1}}}})

	data, err := json.Marshal(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snap Snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		t.Fatal(err)
	}
	s = Restore(&snap)
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	if got := s.Usage("a").MilliCores; got != 4000 || s.TeamOfKey("d") == nil {
		t.Errorf("usage %d, team of key %v", got, s.TeamOfKey("d"))
	}
	third := Command{Assign: &Assign{StepRef: ref, Items: []Assignment{{Index: 2, Run: 1, Worker: "w", StartedMS: 1}}}}
	if a := s.Apply(index+1, &third); a.Rejected == nil {
		t.Error("a third task of 2 cores was assigned under a limit of 5 cores")
	}
	apply(Command{EndRuns: &EndRuns{Incarnation: worker, Runs: []RunEnd{{TaskRef: TaskRef{ref, 0}, Run: 1, Kind: EndDone}}}})
	apply(third)
	apply(Command{Leave: &Leave{Incarnation: worker}})
	if u, ok := s.usage["a"]; ok {
		t.Errorf("a team without running tasks has an entry: %+v", u)
	}
}

// Guards against records of earlier versions, which have no teams, that are read or applied
// differently.
func TestRecordsWithoutTeamsAreAppliedAsBefore(t *testing.T) {
	const snapshot = `{"applied":3,"config":{"version":1,"queues":[{"name":"q","host":"h","prefix":"/","pool":"p","timeout_ms":1}],"pools":[{"name":"p"}]},
		"jobs":[{"id":"j","steps":[{"count":2,"per_task":{"milli_cores":2000}}],"queue":"q","phase":"queued"}],
		"workers":[{"id":"w","born_ms":1,"address":"w:1","pool":"p","capacity":{"milli_cores":9000},"reserved":{}}]}`
	var snap Snapshot
	if err := json.Unmarshal([]byte(snapshot), &snap); err != nil {
		t.Fatal(err)
	}
	s := Restore(&snap)
	for i, command := range []string{
		`{"assign":{"job":"j","items":[{"run":1,"w":"w","born":1},{"i":1,"run":1,"w":"w","born":1}]}}`,
		`{"submit":{"id":"k","steps":[{"count":1,"per_task":{}}],"queue":"q"}}`,
	} {
		var c Command
		if err := json.Unmarshal([]byte(command), &c); err != nil {
			t.Fatal(err)
		}
		if a := s.Apply(uint64(4+i), &c); a.Rejected != nil {
			t.Errorf("%s: %v", command, a.Rejected)
		}
	}
	if s.Configuration().HasTeams || len(s.usage) > 0 || s.Job("k").Team != "" {
		t.Errorf("teams %v, usage %v", s.Configuration().HasTeams, s.usage)
	}
	if err := s.Check(); err != nil {
		t.Error(err)
	}
}
