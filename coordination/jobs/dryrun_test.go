package jobs

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

func (sim *simulation) dryRun(c Credential, id job.ID, s job.Step) Answer {
	return sim.answerTo(func(t Token) Event {
		return DryRun{Token: t, Host: "h", Path: "/b/" + string(id), Credential: c, Submission: job.Submission{Steps: []job.Step{s}}}
	})
}

// Guards against a dry run that submits the job, takes a token of its team, or differs from
// what then happens to the job.
func TestDryRunAgreesWithSubmission(t *testing.T) {
	sim := newReadySimulation(t, 51, 4, nil)
	sim.teamOf = func(job.ID) string { return "a" }
	sim.setTeams(team("a", 0.5, 40))
	before := sim.index
	for range 10 {
		a := sim.dryRun(keyOf("a"), "j", tasks(6, 4, 1000))
		if p := a.DryRun; a.Code != CodeOK || p == nil || !p.Accepted || p.Borrowed || p.Team != "a" || len(p.Steps) != 1 {
			t.Fatalf("answer %+v, dry run %+v", a, a.DryRun)
		}
	}
	p := sim.dryRun(keyOf("a"), "j", tasks(6, 4, 1000)).DryRun.Steps[0]
	if !p.StartsNow || p.FitNow != 6 || p.Workers != 4 || p.RunMS < 990 || p.RunMS > 1010 || p.FitsInMS != 0 || p.WithinLimit != 6 {
		t.Errorf("%+v", p)
	}
	if sim.state.Job("j") != nil || sim.index != before || len(sim.leader.steps) != 0 || sim.leader.teams.buckets["a"].tokens < minTokenBucket {
		t.Error("the dry run has changed the state")
	}
	sim.submit("/b/", job.Submission{ID: "j", Steps: []job.Step{tasks(6, 4, 1000)}})
	sim.run(sim.now + 300*time.Millisecond)
	s := sim.leader.steps[job.StepRef{Job: "j"}]
	if s == nil || len(s.runs) != 6 {
		t.Errorf("the job does not run as the dry run says: %+v", s)
	}
	if p := sim.dryRun(keyOf("a"), "k", tasks(6, 4, 1000)).DryRun.Steps[0]; p.WithinLimit != 4 || p.StartsNow {
		t.Errorf("beside 24 of 40 cores: %+v", p)
	}
}

// Guards against a dry run without the reason for which a job would be refused.
func TestDryRunTellsWhyAJobIsRefused(t *testing.T) {
	sim := newReadySimulation(t, 52, 2, nil)
	sim.teamOf = func(job.ID) string { return "a" }
	sim.setTeams(team("a", 10, 16))
	if a := sim.dryRun(Credential{}, "j", tasks(1, 1, 100)); a.Code != CodeUnauthenticated {
		t.Errorf("without a key: %+v", a)
	}
	if p := sim.dryRun(keyOf("a"), "j", tasks(1, 17, 100)).DryRun; p == nil || p.Accepted || p.Reason == "" {
		t.Errorf("beyond the limit: %+v", p)
	}
	if p := sim.dryRun(keyOf("a"), "j", tasks(0, 1, 100)).DryRun; p == nil || p.Accepted || p.Reason == "" {
		t.Errorf("without tasks: %+v", p)
	}
	gang := tasks(3, 4, 100)
	gang.Gang = true
	sim.submit("/b/", job.Submission{ID: "fill", Steps: []job.Step{tasks(2, 4, 5000)}})
	sim.run(sim.now + 200*time.Millisecond)
	if p := sim.dryRun(keyOf("a"), "j", gang).DryRun; p == nil || !p.Accepted || p.Steps[0].WaitsForCause != string(atTeamLimit) {
		t.Errorf("a gang at the limit: %+v", p)
	}
}
