package jobs

import "github.com/primrosereach/primrosereach/state/job"

// This file decides what the cancel of a job does, and which submissions come too late. A caller whose
// submission was not answered may cancel the job while a copy of the submission is in flight. The answer
// "no such job" promises that the job never runs, so it is given once a tombstone is committed that keeps
// the copy out. A tombstone is deleted when copies of its submission epoch are too old to be accepted.

const (
	// maxTeamTombstones and maxTombstones bound the tombstones of one team, and of all teams.
	maxTeamTombstones = 2048
	maxTombstones     = 16 * 1024
)

// cancels is the leader's record of cancels whose outcome is not known yet.
type cancels struct {
	afterSubmit map[job.ID][]Cancel            // cancels that wait for the outcome of a submission
	committing  map[job.ID]map[string][]Cancel // cancels whose tombstone is being committed, by job and team
	pending     map[string]int                 // tombstones that are being committed, by team
	allPending  int                            // the same of all teams
	refused     int                            // cancels of unknown jobs that were refused since the last log line
	late        lateCopies
}

// lateCopies counts the submissions that came too late since the last log line about them.
type lateCopies struct {
	count  int
	id     job.ID // job of the last of them
	reason string // why it was not accepted
}

func (c *lateCopies) add(id job.ID, reason string) { c.count, c.id, c.reason = c.count+1, id, reason }

func newCancels() cancels {
	return cancels{afterSubmit: map[job.ID][]Cancel{}, committing: map[job.ID]map[string][]Cancel{}, pending: map[string]int{}}
}

func (l *Leader) cancel(e Cancel) {
	c, ok := l.resolveCall(e.Token, e.Host, e.Path, e.Credential)
	if !ok {
		return
	}
	j := l.state.Job(c.id)
	switch {
	case j == nil && l.submitting[c.id] > 0:
		l.cancels.afterSubmit[c.id] = append(l.cancels.afterSubmit[c.id], e)
	case j == nil && c.id.Validate() != nil:
		l.host.Reply(e.Token, noJob()) // no submission with this ID is accepted
	case j == nil:
		l.cancelUnknown(e, c)
	case !l.authorize(e.Token, c.team, j):
	case j.Phase.Final():
		l.host.Reply(e.Token, Answer{Code: CodeOK, Phase: j.Phase})
	default:
		l.cancelJob(e.Token, c.id)
	}
}

// cancelJob cancels an open job.
func (l *Leader) cancelJob(t Token, id job.ID) {
	l.proposeForCall(t, &job.Command{Cancel: &job.Cancel{Job: id, AtMS: l.wallMS}}, "cancel", func() {
		l.log("info", "cancel", string(id), "", "the job was cancelled")
		l.host.Reply(t, Answer{Code: CodeOK, Phase: job.Cancelled})
	})
}

// cancelUnknown cancels a job that is not known: it answers once a tombstone of the epoch in force is
// committed. A tombstone of an earlier epoch does not suffice, since it is deleted before copies of the
// epoch in force are too old.
func (l *Leader) cancelUnknown(e Cancel, c jobCall) {
	if l.state.TombstoneEpoch(c.id, c.team) == l.state.Epoch() {
		l.host.Reply(e.Token, noJob())
		return
	}
	if waiting := l.cancels.committing[c.id][c.team]; waiting != nil {
		l.cancels.committing[c.id][c.team] = append(waiting, e)
		return
	}
	if !l.hasRoomForTombstone(c) {
		l.cancels.refused++
		l.host.Reply(e.Token, Answer{Code: CodeUnavailable, Message: "too many unknown jobs were cancelled lately", RetryAfter: maxRetryAfter})
		return
	}
	l.proposeTombstone(e, c)
}

// logLateCalls writes at most one log line about cancels, and one about submissions, for each periodic check.
func (l *Leader) logLateCalls() {
	if n := l.cancels.refused; n > 0 {
		l.log("warn", "cancel", "", "", "cancels of unknown jobs were refused, since too many came lately", "count", n)
		l.cancels.refused = 0
	}
	if c := l.cancels.late; c.count > 0 {
		l.log("info", "submit", string(c.id), "", "submissions came too late and were not accepted", "count", c.count, "reason", c.reason, "epoch", l.state.Epoch())
		l.cancels.late = lateCopies{}
	}
}

// hasRoomForTombstone reports whether one more tombstone stays within the bounds.
func (l *Leader) hasRoomForTombstone(c jobCall) bool {
	if l.state.TombstoneEpoch(c.id, c.team) > 0 {
		return true // it is renewed
	}
	ofTeam, total := l.state.Tombstones(c.team)
	return ofTeam+l.cancels.pending[c.team] < maxTeamTombstones && total+l.cancels.allPending < maxTombstones
}

func (l *Leader) proposeTombstone(e Cancel, c jobCall) {
	cmd := &job.Command{Tombstone: &job.Tombstone{Job: c.id, Team: c.team, Epoch: l.state.Epoch()}}
	ok := l.propose(cmd, func(a job.Applied, committed bool) { l.tombstoneCommitted(c, a, committed) })
	if !ok {
		l.host.Reply(e.Token, logUnavailable())
		return
	}
	byTeam := l.cancels.committing[c.id]
	if byTeam == nil {
		byTeam = map[string][]Cancel{}
		l.cancels.committing[c.id] = byTeam
	}
	byTeam[c.team] = []Cancel{e}
	l.cancels.pending[c.team]++
	l.cancels.allPending++
}

// tombstoneCommitted answers the cancels that have waited for a tombstone.
func (l *Leader) tombstoneCommitted(c jobCall, a job.Applied, committed bool) {
	waiting := l.cancels.committing[c.id][c.team]
	delete(l.cancels.committing[c.id], c.team)
	if len(l.cancels.committing[c.id]) == 0 {
		delete(l.cancels.committing, c.id)
	}
	if l.cancels.pending[c.team]--; l.cancels.pending[c.team] == 0 {
		delete(l.cancels.pending, c.team)
	}
	l.cancels.allPending--
	answer := noJob()
	switch {
	case !committed:
		answer = outcomeUnknown("cancel")
	case a.Rejected != nil: // the epoch has ended meanwhile
		answer = unavailable(a.Rejected.Error())
	default:
		l.log("info", "cancel", string(c.id), "", "a job was cancelled that is not known; its submission is not accepted any more", "team", c.team, "epoch", l.state.Epoch())
	}
	for _, e := range waiting {
		l.host.Reply(e.Token, answer)
	}
}

func noJob() Answer { return Answer{Code: CodeNoJob, Message: "no such job"} }

// isLateCopy reports whether a submission of a job that is not known must not be accepted: the job was
// cancelled, or the submission is so old that the tombstone of a cancel may have been deleted. If so, it answers
// the call.
func (l *Leader) isLateCopy(e *Submit, team string) bool {
	id := e.Submission.ID
	answer := unavailable("the submission was sent too long ago")
	switch {
	case l.isCancelled(id, team):
		answer = Answer{Code: CodeRefused, Message: "the job was cancelled before it was accepted"}
	case l.state.AcceptsEpoch(e.Epoch):
		return false
	}
	l.cancels.late.add(id, answer.Message)
	l.host.Reply(e.Token, answer)
	return true
}

// isCancelled reports whether the submission of a job by a team was cancelled, or is being cancelled.
func (l *Leader) isCancelled(id job.ID, team string) bool {
	committing := l.cancels.committing[id]
	if team == "" && len(committing) > 0 || committing[team] != nil {
		return true
	}
	return l.state.HasTombstone(id, team)
}
