package jobs

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// call passes a call to the leader and returns the answer after the time of a commit.
func (sim *simulation) call(e func(t Token) Event) Answer {
	sim.t.Helper()
	sim.token++
	token := sim.token
	sim.handle(e(token))
	sim.run(sim.now + 100*time.Millisecond)
	return sim.answers[token]
}

func (sim *simulation) cancelAs(c Credential, id job.ID) Answer {
	sim.t.Helper()
	return sim.call(func(t Token) Event { return Cancel{Token: t, Host: "h", Path: "/u/" + string(id), Credential: c} })
}

// copyOf returns a submission of one short task as a gateway sends it now.
func (sim *simulation) copyOf(id job.ID) Submit {
	s := job.Submission{ID: id, Steps: []job.Step{tasks(1, 1, 200)}}
	sim.specs[id] = s
	return Submit{Host: "h", Path: "/u/" + string(id), Credential: sim.credentialOf(id), Submission: s, Epoch: sim.state.Epoch()}
}

// arrive passes a copy of a submission to the leader and returns the answer.
func (sim *simulation) arrive(e Submit) Answer {
	sim.t.Helper()
	return sim.call(func(t Token) Event { e.Token = t; return e })
}

func (sim *simulation) lookUp(id job.ID) Answer {
	sim.t.Helper()
	return sim.call(func(t Token) Event {
		return Lookup{Token: t, Host: "h", Path: "/u/" + string(id), Credential: sim.credentialOf(id)}
	})
}

// replaceLeader elects a new leader at once.
func (sim *simulation) replaceLeader() {
	sim.endTerm()
	sim.elect()
}

// restartMembers replaces the replicated state by one that was read from its stored snapshot, and elects a leader.
func (sim *simulation) restartMembers() {
	sim.t.Helper()
	b, err := json.Marshal(sim.state.Snapshot())
	if err != nil {
		sim.t.Fatal(err)
	}
	var snap job.Snapshot
	if err := json.Unmarshal(b, &snap); err != nil {
		sim.t.Fatal(err)
	}
	sim.endTerm()
	sim.state = job.Restore(&snap)
	sim.elect()
}

// Guards against a job that runs although its cancel was answered with "no such job": a copy of its
// submission, whose sender has given it up, arrives after the cancel.
func TestCopyOfACancelledSubmissionIsNotAccepted(t *testing.T) {
	for name, between := range map[string]func(sim *simulation){
		"nothing":            func(*simulation) {},
		"change of leader":   (*simulation).replaceLeader,
		"restart of members": (*simulation).restartMembers,
		"clock set back":     func(sim *simulation) { sim.leader.SetClock(sim.now, sim.wallMS()-5000) },
		"long partition":     func(sim *simulation) { sim.run(sim.now + 10*time.Minute) },
		"change of leader every few seconds": func(sim *simulation) {
			for range 100 {
				sim.run(sim.now + 5*time.Second)
				sim.replaceLeader()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newReadySimulation(t, 51, 2, nil)
			late := sim.copyOf("c")
			if a := sim.cancelAs(Credential{}, "c"); a.Code != CodeNoJob {
				t.Fatalf("the cancel is answered with %+v", a)
			}
			between(sim)
			if a := sim.arrive(late); a.Code != CodeRefused && a.Code != CodeUnavailable {
				t.Errorf("the copy is answered with %+v", a)
			}
			sim.run(sim.now + 3*time.Second)
			if a := sim.lookUp("c"); a.Code != CodeNoJob {
				t.Errorf("the job is shown as %+v", a)
			}
			if n := sim.highestStart[job.TaskRef{StepRef: job.StepRef{Job: "c"}}]; n != 0 {
				t.Errorf("the task was started, run %d", n)
			}
		})
	}
}

// Guards against the answer "no such job" to the cancel of a job whose submission is being committed.
func TestCancelWaitsForASubmissionThatIsBeingCommitted(t *testing.T) {
	sim := newReadySimulation(t, 52, 2, nil)
	submitted := sim.submit("/u/", sim.copyOf("c").Submission)
	sim.token++
	cancelled := sim.token
	sim.handle(Cancel{Token: cancelled, Host: "h", Path: "/u/c"})
	if a, ok := sim.answers[cancelled]; ok {
		t.Errorf("the cancel is answered before the submission: %+v", a)
	}
	sim.run(sim.now + 3*time.Second)
	if a := sim.answers[submitted]; a.Code != CodeOK {
		t.Errorf("the submission is answered with %+v", a)
	}
	if a := sim.answers[cancelled]; a.Code != CodeOK || a.Phase != job.Cancelled {
		t.Errorf("the cancel is answered with %+v", a)
	}
	if p := sim.phase("c"); p != job.Cancelled {
		t.Errorf("the job is %q", p)
	}
}

// Guards against an answer to a cancel whose submission may still be committed by the next leader.
func TestCancelBesideASubmissionOfUnknownOutcomeIsUnknown(t *testing.T) {
	sim := newReadySimulation(t, 53, 2, nil)
	sim.submit("/u/", sim.copyOf("c").Submission)
	sim.token++
	cancelled := sim.token
	sim.handle(Cancel{Token: cancelled, Host: "h", Path: "/u/c"})
	sim.endTerm()
	sim.run(sim.now + time.Second)
	if a := sim.answers[cancelled]; a.Code != CodeUnknown {
		t.Errorf("the cancel is answered with %+v", a)
	}
}

// Guards against a submission that is accepted while the tombstone of its job is being committed.
func TestCopyThatArrivesWhileItsCancelIsCommittedIsNotAccepted(t *testing.T) {
	sim := newReadySimulation(t, 54, 2, nil)
	late := sim.copyOf("c")
	sim.token++
	cancelled := sim.token
	sim.handle(Cancel{Token: cancelled, Host: "h", Path: "/u/c"})
	if a := sim.arrive(late); a.Code != CodeRefused {
		t.Errorf("the copy is answered with %+v", a)
	}
	if a := sim.answers[cancelled]; a.Code != CodeNoJob || sim.state.Job("c") != nil {
		t.Errorf("the cancel is answered with %+v, and the job is %q", a, sim.phase("c"))
	}
}

// Guards against a team that blocks the ID of another team's job, or learns from an answer that it is in use.
func TestCancelOfAnUnknownJobHoldsForItsTeamOnly(t *testing.T) {
	sim := newReadySimulation(t, 55, 2, nil)
	sim.setTeams(team("a", 1, 0), team("b", 1, 0))
	sim.teamOf = func(job.ID) string { return "a" }
	for range 2 {
		if a := sim.cancelAs(keyOf("b"), "c"); a.Code != CodeNoJob {
			t.Errorf("the cancel of the other team is answered with %+v", a)
		}
	}
	if a := sim.arrive(sim.copyOf("c")); a.Code != CodeOK {
		t.Errorf("the submission is answered with %+v", a)
	}
	if a := sim.cancelAs(keyOf("a"), "d"); a.Code != CodeNoJob {
		t.Errorf("the cancel is answered with %+v", a)
	}
	if a := sim.arrive(sim.copyOf("d")); a.Code != CodeRefused {
		t.Errorf("the cancelled submission is answered with %+v", a)
	}
}

// Guards against cancels of unknown jobs that fill the log or the memory of the members, and against one
// team's flood of them that takes the room of the others.
func TestFloodOfCancelsOfUnknownJobsIsBounded(t *testing.T) {
	sim := newReadySimulation(t, 56, 1, nil)
	sim.stateCheckInterval = 1000
	sim.setTeams(team("a", 1, 0), team("b", 1, 0))
	before := sim.index
	sim.token++
	beside := sim.token // a cancel of another team while those of the flood are being committed
	sim.after(time.Millisecond, func() {
		sim.handle(Cancel{Token: beside, Host: "h", Path: "/u/beside", Credential: keyOf("b")})
	})
	for i := range 3 * maxTeamTombstones {
		sim.handle(Cancel{Host: "h", Path: fmt.Sprint("/u/f", i), Credential: keyOf("a")})
		sim.handle(Cancel{Host: "h", Path: "/u/same", Credential: keyOf("a")})
		sim.handle(Cancel{Host: "h", Path: "/u/" + fmt.Sprintf("%065d", i), Credential: keyOf("a")}) // no ID of a job
	}
	sim.run(sim.now + time.Second)
	if n := sim.index - before; n > maxTeamTombstones+10 {
		t.Errorf("the flood made %d entries", n)
	}
	if a := sim.cancelAs(keyOf("a"), "one-more"); a.Code != CodeUnavailable || a.RetryAfter == 0 {
		t.Errorf("a cancel beyond the bound is answered with %+v", a)
	}
	if a := sim.answers[beside]; a.Code != CodeNoJob {
		t.Errorf("the cancel of another team beside the flood is answered with %+v", a)
	}
	if a := sim.cancelAs(keyOf("b"), "other"); a.Code != CodeNoJob {
		t.Errorf("the cancel of another team is answered with %+v", a)
	}
	sim.run(sim.now + 3*sim.leader.epochTime())
	if _, total := sim.state.Tombstones("a"); total != 0 {
		t.Errorf("%d tombstones are kept for good", total)
	}
	if a := sim.cancelAs(keyOf("a"), "one-more"); a.Code != CodeNoJob {
		t.Errorf("a cancel after the flood is answered with %+v", a)
	}
}

// Guards against a job that runs a second time: a copy of its submission arrives after the record of the
// job was deleted. The deployments have other retentions.
func TestCopyOfAPrunedJobIsNotAccepted(t *testing.T) {
	for _, retention := range []time.Duration{5 * time.Second, 120 * time.Second, 20 * time.Minute} {
		bounds := defaultBounds()
		bounds.StatusRetention = retention
		sim := readySimulation(newSimulationWithBounds(t, 57, bounds), 2, nil)
		sim.run(sim.now + sim.leader.epochTime()*3/4)
		late := sim.copyOf("c")
		if a := sim.arrive(late); a.Code != CodeOK {
			t.Fatalf("the submission is answered with %+v", a)
		}
		for range 100 {
			sim.run(sim.now + retention/20 + time.Second)
			if a := sim.arrive(late); a.Phase == job.Queued || sim.highestStart[job.TaskRef{StepRef: job.StepRef{Job: "c"}}] > 1 {
				t.Fatalf("retention %v: the copy is answered with %+v at %v", retention, a, sim.now)
			}
		}
		if sim.state.Job("c") != nil {
			t.Errorf("retention %v: the job is kept for good", retention)
		}
	}
}

// Guards against fair submissions that are refused: the epoch that their gateway knows is up to a heartbeat
// or an outage of the leader old, and clocks are stepped.
func TestFairSubmissionsAreAcceptedInEachEpoch(t *testing.T) {
	for _, retention := range []time.Duration{0, 120 * time.Second} {
		bounds := defaultBounds()
		bounds.StatusRetention = retention
		sim := readySimulation(newSimulationWithBounds(t, 58, bounds), 2, nil)
		for i := range 60 {
			s := sim.copyOf(job.ID(fmt.Sprint("f", i)))
			sim.run(sim.now + 12*time.Second) // maxBudget of callers, and an election
			if a := sim.arrive(s); a.Code != CodeOK {
				t.Errorf("retention %v: the submission is answered with %+v at %v", retention, a, sim.now)
			}
		}
		if sim.state.Epoch() < 4 {
			t.Errorf("retention %v: epoch %d after %v", retention, sim.state.Epoch(), sim.now)
		}
	}
}

// Guards against submissions of a process of an earlier version, which states no epoch, that are refused.
func TestSubmissionWithoutAnEpochIsAccepted(t *testing.T) {
	sim := newReadySimulation(t, 59, 2, nil)
	sim.run(sim.now + 5*sim.leader.epochTime())
	s := sim.copyOf("c")
	s.Epoch = 0
	if a := sim.arrive(s); a.Code != CodeOK {
		t.Errorf("the submission is answered with %+v", a)
	}
}
