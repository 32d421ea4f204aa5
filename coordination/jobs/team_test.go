package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// keyOf returns the digest of the test key of a team.
func keyOf(team string) Credential { return Credential{KeyDigest: "digest of " + team} }

func (sim *simulation) credentialOf(id job.ID) Credential {
	if sim.teamOf == nil {
		return Credential{}
	}
	return keyOf(sim.teamOf(id))
}

// team returns a team with one key.
func team(name string, weight float64, cores int) job.Team {
	return job.Team{Name: name, KeyDigests: []string{keyOf(name).KeyDigest}, Weight: weight, Limit: resource.Amount{MilliCores: cores * 1000}}
}

// setTeams puts the next version of the configuration in force, with other teams.
func (sim *simulation) setTeams(teams ...job.Team) {
	c := *sim.state.Configuration()
	c.Version++
	c.HasTeams, c.Teams = true, teams
	sim.apply(&job.Command{Configure: &c})
	if sim.leaderActive {
		sim.leader.configurationApplied()
	}
}

// checkTeamLimit fails the test if the workers run more for the team of a job than its limit.
func (sim *simulation) checkTeamLimit(id job.ID) {
	if sim.teamOf == nil {
		return
	}
	owner := sim.state.Team(sim.teamOf(id))
	if owner == nil || owner.Limit.MilliCores == 0 {
		return
	}
	running := 0
	for _, x := range sim.workers {
		for ref, r := range x.runs {
			if sim.teamOf(ref.Job) == owner.Name {
				running += r.need.MilliCores
			}
		}
	}
	if running > owner.Limit.MilliCores {
		sim.errorf("team %s runs %d thousandths of a core, its limit is %d", owner.Name, running, owner.Limit.MilliCores)
	}
}

func (sim *simulation) answerTo(e func(Token) Event) Answer {
	sim.token++
	token := sim.token
	sim.handle(e(token))
	sim.run(sim.now + 100*time.Millisecond)
	return sim.answers[token]
}

func (sim *simulation) submitAs(c Credential, path string, id job.ID) Answer {
	s := job.Submission{ID: id, Steps: []job.Step{tasks(1, 1, 60_000)}}
	sim.specs[id] = s
	return sim.answerTo(func(t Token) Event {
		return Submit{Token: t, Host: "h", Path: path + string(id), Credential: c, Submission: s}
	})
}

// Guards against calls that are performed without a key in force, with the key of another team,
// or with a withdrawn key.
func TestCallsNeedKeyOfTeam(t *testing.T) {
	sim := newReadySimulation(t, 21, 2, nil)
	c := *sim.state.Configuration()
	c.Queues = append([]job.Queue(nil), c.Queues...)
	c.Queues[1].Public = true
	sim.state.Configuration().Queues = c.Queues
	sim.setTeams(team("a", 10, 0), team("b", 10, 0))
	lookup := func(c Credential, path string) Code {
		return sim.answerTo(func(t Token) Event { return Lookup{Token: t, Host: "h", Path: path, Credential: c} }).Code
	}
	cancel := func(c Credential, path string) Code {
		return sim.answerTo(func(t Token) Event { return Cancel{Token: t, Host: "h", Path: path, Credential: c} }).Code
	}
	unknown := Credential{KeyDigest: "digest of no key"}
	for _, x := range []struct {
		what string
		got  Code
		want Code
	}{
		{"submit without a key", sim.submitAs(Credential{}, "/u/", "j").Code, CodeUnauthenticated},
		{"submit with an unknown key", sim.submitAs(unknown, "/u/", "j").Code, CodeUnauthenticated},
		{"submit with a malformed key", sim.submitAs(Credential{Malformed: true}, "/u/", "j").Code, CodeInvalid},
		{"submit to no queue", sim.submitAs(unknown, "/nowhere/", "j").Code, CodeNoQueue},
		{"submit", sim.submitAs(keyOf("a"), "/u/", "j").Code, CodeOK},
		{"submit again", sim.submitAs(keyOf("a"), "/u/", "j").Code, CodeOK},
		{"submit again by another team", sim.submitAs(keyOf("b"), "/u/", "j").Code, CodeForbidden},
		{"lookup", lookup(keyOf("a"), "/u/j"), CodeOK},
		{"lookup by another team", lookup(keyOf("b"), "/u/j"), CodeForbidden},
		{"lookup without a key", lookup(Credential{}, "/u/j"), CodeUnauthenticated},
		{"count without a key", lookup(Credential{}, "/u/"), CodeUnauthenticated},
		{"count", lookup(keyOf("b"), "/u/"), CodeOK},
		{"cancel by another team", cancel(keyOf("b"), "/u/j"), CodeForbidden},
		{"cancel with an unknown key", cancel(unknown, "/u/j"), CodeUnauthenticated},
		{"submit to a public queue", sim.submitAs(Credential{}, "/b/", "p").Code, CodeOK},
		{"lookup in a public queue", lookup(Credential{}, "/b/p"), CodeOK},
		{"submit to a public queue with an unknown key", sim.submitAs(unknown, "/b/", "q").Code, CodeUnauthenticated},
	} {
		if x.got != x.want {
			t.Errorf("%s: %s, want %s", x.what, x.got, x.want)
		}
	}
	next := team("a", 10, 0)
	next.KeyDigests = []string{"digest of the next key"}
	sim.setTeams(next, team("b", 10, 0))
	if got := lookup(keyOf("a"), "/u/j"); got != CodeUnauthenticated {
		t.Errorf("lookup with a withdrawn key: %s", got)
	}
	if got := cancel(Credential{KeyDigest: "digest of the next key"}, "/u/j"); got != CodeOK {
		t.Errorf("cancel with the team's next key: %s", got)
	}
}

// Guards against a key that a new leader still accepts although an earlier one withdrew it.
func TestNextLeaderKnowsWithdrawnKey(t *testing.T) {
	sim := newReadySimulation(t, 22, 2, nil)
	sim.setTeams(team("a", 10, 0), team("b", 10, 0))
	sim.setTeams(team("b", 10, 0))
	sim.endTerm()
	sim.state = job.Restore(sim.state.Snapshot())
	sim.elect()
	if a := sim.submitAs(keyOf("a"), "/u/", "j"); a.Code != CodeUnauthenticated {
		t.Errorf("answer %+v", a)
	}
	if a := sim.submitAs(keyOf("b"), "/u/", "k"); a.Code != CodeOK {
		t.Errorf("answer %+v", a)
	}
}

// Guards against records of callers that grow with the keys that they send.
func TestUnknownKeysLeaveNoRecord(t *testing.T) {
	sim := newReadySimulation(t, 23, 1, nil)
	sim.setTeams(team("a", 10, 0))
	before := sim.index
	for i := range 10_000 {
		c := Credential{KeyDigest: fmt.Sprint("digest ", i)}
		sim.handle(Submit{Token: Token(1_000_000 + i), Host: "h", Path: fmt.Sprint("/u/x", i), Credential: c, Submission: job.Submission{Steps: []job.Step{tasks(1, 1, 100)}}})
		if a := sim.answers[Token(1_000_000+i)]; a.Code != CodeUnauthenticated {
			t.Fatalf("answer %+v", a)
		}
	}
	ledger := &sim.leader.teams
	if n := len(ledger.buckets) + len(ledger.counts) + len(ledger.pending) + len(sim.leader.submitting); n > 1 {
		t.Errorf("the leader has %d records for a team without jobs", n)
	}
	if sim.index != before {
		t.Errorf("%d commands were committed", sim.index-before)
	}
}

// Guards against more running work of a team than its limit in random histories of late orders,
// lost answers, restarts, gangs, preemption and changes of leader.
func TestTeamLimitHoldsInRandomHistories(t *testing.T) {
	for seed := uint64(61000); seed < 61024; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, seed, int(seed%2)*3, func(sim *simulation) {
				sim.teamOf = func(id job.ID) string { return []string{"a", "b"}[int(id[len(id)-1])%2] }
				sim.setTeams(team("a", 50, 26), team("b", 50, 40))
			})
		})
	}
}

// Guards against an assignment under an earlier limit that is committed after the configuration
// has lowered it, and against running work that a lower limit stops.
func TestLowerLimitStartsNothingNew(t *testing.T) {
	sim := newReadySimulation(t, 24, 4, nil)
	sim.teamOf = func(job.ID) string { return "a" }
	sim.setTeams(team("a", 50, 32))
	sim.submit("/b/", job.Submission{ID: "first", Steps: []job.Step{tasks(8, 4, 3000)}})
	sim.run(sim.now + 300*time.Millisecond)
	if got := sim.state.Usage("a").MilliCores; got != 32_000 {
		t.Fatalf("the team uses %d, its limit is 32000", got)
	}
	sim.teamOf = nil // the lower limit is exceeded by what runs
	sim.setTeams(team("a", 50, 8))
	c := keyOf("a")
	s := job.Submission{ID: "second", Steps: []job.Step{tasks(4, 4, 500)}}
	sim.specs["second"] = s
	sim.answerTo(func(t Token) Event {
		return Submit{Token: t, Host: "h", Path: "/b/second", Credential: c, Submission: s}
	})
	if got := sim.state.Usage("a").MilliCores; got != 32_000 || sim.state.Job("second").AssignedTasks > 0 {
		t.Errorf("the team uses %d, and %d tasks of its next job are assigned", got, sim.state.Job("second").AssignedTasks)
	}
	sim.run(sim.now + 12*time.Second)
	if sim.phase("first") != job.Completed || sim.phase("second") != job.Completed {
		t.Errorf("the jobs are %q and %q", sim.phase("first"), sim.phase("second"))
	}
}

// Guards against an assignment that exceeds a limit and is applied, because the limit was lowered
// between the choice and the commit.
func TestApplyRejectsAssignmentBeyondLimit(t *testing.T) {
	sim := newReadySimulation(t, 25, 2, nil)
	sim.setTeams(team("a", 50, 8))
	sim.apply(&job.Command{Submit: &job.Submit{Submission: job.Submission{ID: "j", Steps: []job.Step{tasks(3, 4, 500)}}, Queue: "batch", Team: "a"}})
	w := sim.state.Workers()[0]
	assign := func(indexes ...int) error {
		var items []job.Assignment
		for _, i := range indexes {
			items = append(items, job.Assignment{Index: i, Run: 1, Worker: w.ID, StartedMS: w.StartedMS})
		}
		return sim.apply(&job.Command{Assign: &job.Assign{StepRef: job.StepRef{Job: "j"}, Items: items}}).Rejected
	}
	if err := assign(0, 1, 2); err == nil {
		t.Error("three tasks of 4 cores were assigned under a limit of 8 cores")
	}
	if err := assign(0, 1); err != nil {
		t.Error(err)
	}
	if err := assign(2); err == nil {
		t.Error("the third task was assigned under a limit of 8 cores")
	}
}

// Guards against a gang that waits for as long as small tasks of its own team arrive: each of them
// takes the room that the limit leaves.
func TestGangAtTeamLimitIsNotStarved(t *testing.T) {
	sim := newReadySimulation(t, 26, 8, nil)
	sim.teamOf = func(job.ID) string { return "a" }
	sim.setTeams(team("a", 50, 32))
	n := 0
	var arrive func()
	arrive = func() {
		sim.submit("/b/", job.Submission{ID: job.ID(fmt.Sprint("small", n)), Steps: []job.Step{tasks(4, 4, 1000)}})
		if n++; n < 60 {
			sim.after(250*time.Millisecond, arrive)
		}
	}
	arrive()
	sim.run(sim.now + 2*time.Second)
	gang := tasks(6, 4, 800)
	gang.Gang = true
	sim.submit("/u/", job.Submission{ID: "gang", Steps: []job.Step{gang}})
	sim.run(sim.now + 5*time.Second)
	if p := sim.phase("gang"); p != job.Completed {
		t.Errorf("the gang is %q", p)
	}
}

// Guards against a job that is accepted although its team may never run it.
func TestJobBeyondTeamLimitIsRefusedAtOnce(t *testing.T) {
	sim := newReadySimulation(t, 27, 8, nil)
	sim.teamOf = func(job.ID) string { return "a" }
	sim.setTeams(team("a", 50, 16))
	gang := tasks(5, 4, 500)
	gang.Gang = true
	for id, step := range map[job.ID]job.Step{"wide": gang, "large": tasks(1, 17, 500)} {
		token := sim.submit("/u/", job.Submission{ID: id, Steps: []job.Step{step}})
		sim.run(sim.now + 100*time.Millisecond)
		if a := sim.answers[token]; a.Code != CodeInvalid {
			t.Errorf("job %s: answer %+v", id, a)
		}
	}
	token := sim.submit("/u/", job.Submission{ID: "many", Steps: []job.Step{tasks(12, 4, 300)}})
	sim.run(sim.now + 8*time.Second)
	if a := sim.answers[token]; a.Code != CodeOK || sim.phase("many") != job.Completed {
		t.Errorf("a job that runs in rounds: answer %+v, phase %q", a, sim.phase("many"))
	}
}

// Guards against work beyond a team's rate that is accepted while all capacity is in use, that is
// refused while capacity is idle, and against a Retry-After that does not fit the team's rate.
func TestExcessIsBorrowedOrRefused(t *testing.T) {
	sim := newReadySimulation(t, 28, 2, nil)
	sim.teamOf = func(job.ID) string { return "a" }
	sim.setTeams(team("a", 0.5, 0), team("b", 100, 0))
	submit := func(id job.ID) Answer {
		token := sim.submit("/b/", job.Submission{ID: id, Steps: []job.Step{tasks(2, 4, 20_000)}})
		sim.run(sim.now + 60*time.Millisecond)
		return sim.answers[token]
	}
	for i := range 4 { // the bucket
		if a := submit(job.ID(fmt.Sprint("own", i))); a.Code != CodeOK {
			t.Fatalf("answer %+v", a)
		}
	}
	if sim.state.Job("own3").Borrowed {
		t.Error("a job at the team's rate is borrowed")
	}
	sim.leader.teams.busy["p"] = false
	if a := submit("lent"); a.Code != CodeOK || !sim.state.Job("lent").Borrowed {
		t.Errorf("with idle capacity: answer %+v", a)
	}
	sim.run(sim.now + 500*time.Millisecond) // all 32 cores are in use
	a := submit("excess")
	if a.Code != CodeRefused || a.RetryAfter <= 0 || a.RetryAfter > 2*time.Second {
		t.Errorf("without idle capacity: answer %+v, a token takes 2 s", a)
	}
	if sim.state.Job("excess") != nil {
		t.Error("a refused job was stored")
	}
}
