package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// DryRun requests what would happen to a job if it were submitted now. It changes nothing.
type DryRun struct {
	Token      Token
	Host       string
	Path       string
	Credential Credential
	Submission job.Submission
}

func (DryRun) jobEvent() {}

// DryRunResult describes what the leader would decide about a job on its present state.
type DryRunResult struct {
	Queue        string       `json:"queue,omitempty"`
	Pool         string       `json:"pool,omitempty"`
	Team         string       `json:"team,omitempty"`
	Accepted     bool         `json:"accepted"`
	Borrowed     bool         `json:"borrowed,omitempty"`       // accepted beyond the rate of its team: all other work comes first
	Reason       string       `json:"reason,omitempty"`         // why it would be refused
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"` // for a refusal because of load
	ObjectiveMS  int64        `json:"objective_ms,omitempty"`   // time from acceptance by which it should be done
	Steps        []DryRunStep `json:"steps,omitempty"`          // those that need no other step
}

// DryRunStep describes where the tasks of a step would go.
type DryRunStep struct {
	Step          int      `json:"step"`
	Tasks         int      `json:"tasks"`
	StepsAhead    int      `json:"steps_ahead"`     // waiting steps that are placed first
	Workers       int      `json:"workers"`         // usable workers of the pool with the required label
	FitNow        int      `json:"fit_now"`         // tasks for which there is room now, advice apart
	WithinLimit   int      `json:"within_limit"`    // tasks that the limit of the team allows now
	Candidates    []string `json:"candidates"`      // workers with room that are tried first
	NeedsAdvice   bool     `json:"needs_advice"`    // only workers that the advice service approves may run the step
	StartsNow     bool     `json:"starts_now"`      // all tasks could be placed at once if the candidates are approved
	FitsInMS      int64    `json:"fits_in_ms"`      // expected time until there is room for all tasks, -1 if not known
	RunMS         int64    `json:"run_ms"`          // expected run time of a task on a worker of speed 1
	RunHighMS     int64    `json:"run_high_ms"`     // run time that nine of ten such tasks do not exceed
	RunsReliable  float64  `json:"run_reliability"` // share of recent runs within a factor of 2 of the expectation
	WaitsForCause string   `json:"waits_for_cause"` // what the step would wait for, "" for nothing
}

// maxDryRunCandidates bounds the workers that a dry run names for a step.
const maxDryRunCandidates = 5

// dryRun answers with the decisions about a job. It uses the functions that decide about jobs.
func (l *Leader) dryRun(e DryRun) {
	c, ok := l.resolveCall(e.Token, e.Host, e.Path, e.Credential)
	if !ok {
		return
	}
	q, id, team := c.queue, c.id, c.team
	e.Submission.ID = id
	out := &DryRunResult{Queue: q.Name, Pool: q.Pool, Team: team}
	l.dryRunAdmission(out, q, &e.Submission)
	if out.Accepted {
		l.dryRunSteps(out, q, &e.Submission)
	}
	l.host.Reply(e.Token, Answer{Code: CodeOK, DryRun: out})
}

// dryRunAdmission decides whether a job would be accepted, without taking a token of its team.
func (l *Leader) dryRunAdmission(out *DryRunResult, q *job.Queue, s *job.Submission) {
	if err := s.Validate(); err != nil {
		out.Reason = err.Error()
		return
	}
	if l.state.Job(s.ID) != nil {
		out.Reason = "a job with this ID was accepted before"
		return
	}
	if _, exceeds := l.exceedsTeamLimit(out.Team, s); exceeds {
		out.Reason = "a step needs more than the limit of the team"
		return
	}
	if l.overload.refuses(s.ID, q.Name, l.wallMS) {
		out.Reason, out.RetryAfterMS = "the leader does not keep up with its work", retryRefused.Milliseconds()
		return
	}
	out.Accepted = true
	if b := l.bucketOf(out.Team); b != nil {
		hasToken, wait := b.peek(l.now)
		out.Borrowed = !hasToken
		if !hasToken && l.teams.busy[q.Pool] {
			out.Accepted, out.Borrowed = false, false
			out.Reason, out.RetryAfterMS = "the team submits more than its share while no capacity is idle", wait.Milliseconds()
		}
	}
}

// dryRunSteps describes where the steps go that need no other step.
func (l *Leader) dryRunSteps(out *DryRunResult, q *job.Queue, s *job.Submission) {
	j := &job.Job{Submission: *s, Queue: q.Name, Team: out.Team, Borrowed: out.Borrowed, AcceptedMS: l.wallMS, Phase: job.Queued}
	waiting := l.waitingSteps()
	over := l.teamsOverShare(waiting)
	p := l.newPass()
	for i := range j.Steps {
		if len(j.Steps[i].After) > 0 {
			continue
		}
		st := &step{ref: job.StepRef{Job: j.ID, Step: i}, job: j, spec: &j.Steps[i], queue: *q, readyAt: l.now}
		st.setObjective()
		out.ObjectiveMS = st.objectiveMS - l.wallMS
		own := waitingStep{step: st, borrowed: out.Borrowed, overShare: over[out.Team], late: l.isLate(st)}
		ahead := 0
		for _, other := range waiting {
			other.overShare = over[other.job.Team]
			if compareWaiting(other, own) < 0 {
				ahead++
			}
		}
		x := l.dryRunStep(p, st)
		x.StepsAhead = ahead
		out.Steps = append(out.Steps, x)
	}
}

func (l *Leader) dryRunStep(p *schedulingPass, s *step) DryRunStep {
	need := s.spec.Count
	x := DryRunStep{Step: s.ref.Step, Tasks: need, WithinLimit: l.tasksWithinLimit(s, need), NeedsAdvice: s.queue.Advice != nil, FitsInMS: -1}
	for _, w := range p.usable {
		if matchesWorker(s, w) {
			x.Workers++
		}
	}
	for _, c := range l.candidates(p, s, p.usable, func(*worker) bool { return true }) {
		if len(x.Candidates) < maxDryRunCandidates {
			x.Candidates = append(x.Candidates, c.w.ID)
		}
		x.FitNow += c.tasksThatFit
	}
	expected := l.speeds.Predict(s.queue.Name, taskKind, s.spec.EstimateMS)
	x.RunMS, x.RunHighMS, x.RunsReliable = l.runTime(s, 1).Milliseconds(), expected.P90.Milliseconds(), expected.Reliability
	x.FitNow = min(x.FitNow, need)
	x.StartsNow = x.FitNow >= need && x.WithinLimit >= need
	if at, known := l.expectedFit(p, s, need); known {
		x.FitsInMS = max(0, at-l.now).Milliseconds()
	}
	x.WaitsForCause = string(waitCause(&x, s.spec.Gang))
	return x
}

// expectedFit returns when there is expected to be room for all tasks of a step, on all workers that
// may run it if they are approved.
func (l *Leader) expectedFit(p *schedulingPass, s *step, need int) (at time.Duration, known bool) {
	var rooms []roomAt
	for _, w := range p.usable {
		if matchesWorker(s, w) {
			rooms = l.appendRooms(rooms, p, s, w)
		}
	}
	if len(rooms) < need {
		return 0, false
	}
	slices.SortFunc(rooms, func(a, b roomAt) int { return cmp.Compare(a.at, b.at) })
	return rooms[need-1].at, true
}

func waitCause(x *DryRunStep, gang bool) placementOutcome {
	switch {
	case x.WithinLimit == 0 || gang && x.WithinLimit < x.Tasks:
		return atTeamLimit
	case x.FitNow == 0 || gang && x.FitNow < x.Tasks:
		return lacksRoom
	case x.NeedsAdvice:
		return awaitingAdvice
	}
	return ""
}

// peek reports whether there is a token, and the time until there is one, without taking it.
func (b *tokenBucket) peek(now time.Duration) (ok bool, wait time.Duration) {
	c := *b
	return c.take(now)
}
