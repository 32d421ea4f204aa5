package jobs

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// This file decides which calls are accepted for which team, how much a team may have running,
// and whose work comes first. Load pattern: one team sends many times its usual while capacity is
// short. Its excess is refused or yields to all other work, so that the others are served as
// without it; it is served at its own rate, and its excess uses what is idle.

// Credential is what a caller presents with a call.
type Credential struct {
	KeyDigest string `json:"key_digest,omitempty"` // digest of the key, empty if none was sent
	Malformed bool   `json:"malformed,omitempty"`  // the credential cannot be read
}

const (
	// tokenBucketTime is the time in which a full bucket of a team fills: short bursts stay within
	// the team's rate.
	tokenBucketTime = 2 * time.Second
	// minTokenBucket is the least number of jobs that a full bucket allows at once.
	minTokenBucket = 4.0
	// fullPoolShare is the used share of the cores or memory from which a pool counts as full. The
	// rest is lost to fragmentation and to workers that a step may not use.
	fullPoolShare = 0.9
	// maxBorrowedWait is the time that some step has waited from which no further job is accepted
	// beyond a team's rate: there is no idle room.
	maxBorrowedWait = time.Second
	// shareTolerance and shareMargin are the factor and the part of all capacity by which a team may
	// exceed its share before its work comes after that of others. One gang of a small team would
	// otherwise put the team's urgent work last.
	shareTolerance = 1.25
	shareMargin    = 0.05
	// teamReportInterval is the minimum time between two reports on the teams.
	teamReportInterval = time.Second
	// maxRetryAfter bounds the delay that a refused caller is given.
	maxRetryAfter = 30 * time.Second
)

// teamLedger is the leader's record of the teams in force.
type teamLedger struct {
	pending    map[string]resource.Amount // capacity of tasks whose assignment is being committed, by team
	buckets    map[string]*tokenBucket
	counts     map[string]*teamCounts // since the last report
	busy       map[string]bool        // pools that have no idle room for borrowed jobs
	nextReport time.Duration
}

// teamCounts counts decisions about a team.
type teamCounts struct{ accepted, borrowed, refused, preempted int }

func newTeamLedger() teamLedger {
	return teamLedger{pending: map[string]resource.Amount{}, buckets: map[string]*tokenBucket{}, counts: map[string]*teamCounts{}, busy: map[string]bool{}}
}

// tokenBucket allows a number of jobs a second, and some more at once.
type tokenBucket struct {
	rate      float64 // tokens a second
	size      float64
	tokens    float64
	updatedAt time.Duration
}

func newTokenBucket(now time.Duration, rate float64) *tokenBucket {
	size := max(minTokenBucket, rate*tokenBucketTime.Seconds())
	return &tokenBucket{rate: rate, size: size, tokens: size, updatedAt: now}
}

func (b *tokenBucket) fill(now time.Duration) {
	b.tokens = min(b.size, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// take takes a token. If there is none it returns false, and the time until there is one.
func (b *tokenBucket) take(now time.Duration) (ok bool, wait time.Duration) {
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, min(maxRetryAfter, time.Duration((1-b.tokens)/b.rate*float64(time.Second)))
}

// authenticate returns the team that a call belongs to, "" if it needs none. If the call may not
// be performed, it answers the call and returns false.
func (l *Leader) authenticate(t Token, q *job.Queue, c Credential) (team string, ok bool) {
	if !l.state.Configuration().HasTeams {
		return "", true
	}
	switch {
	case c.Malformed:
		l.host.Reply(t, Answer{Code: CodeInvalid, Message: "the credential cannot be read"})
		return "", false
	case c.KeyDigest == "" && q.Public:
		return "", true
	}
	owner := l.state.TeamOfKey(c.KeyDigest)
	if owner == nil {
		l.host.Reply(t, Answer{Code: CodeUnauthenticated, Message: "the key is missing or unknown"})
		return "", false
	}
	return owner.Name, true
}

// authorize reports whether a call of a team may read or cancel a job. If not, it answers the
// call. Jobs that were submitted without a key belong to nobody.
func (l *Leader) authorize(t Token, team string, j *job.Job) bool {
	if j.Team == "" || j.Team == team || !l.state.Configuration().HasTeams {
		return true
	}
	l.host.Reply(t, Answer{Code: CodeForbidden, Message: "the job belongs to another team"})
	return false
}

// admit decides whether a new job of a team is accepted. A job beyond the team's rate is accepted
// as borrowed while its pool has idle room, and otherwise refused with the time until the team's
// next token.
func (l *Leader) admit(team string, q *job.Queue) (borrowed, ok bool, wait time.Duration) {
	b, counts := l.bucketOf(team), l.countsOf(team)
	if b == nil {
		return false, true, 0
	}
	ok, wait = b.take(l.now)
	switch {
	case ok:
	case l.teams.busy[q.Pool]:
		counts.refused++
		return false, false, wait
	default:
		borrowed = true
		counts.borrowed++
	}
	counts.accepted++
	return borrowed, true, 0
}

// bucketOf returns the bucket of a team in force, or nil.
func (l *Leader) bucketOf(team string) *tokenBucket {
	t := l.state.Team(team)
	if t == nil {
		return nil
	}
	b := l.teams.buckets[team]
	if b == nil || b.rate != t.Weight {
		b = newTokenBucket(l.now, t.Weight)
		l.teams.buckets[team] = b
	}
	return b
}

func (l *Leader) countsOf(team string) *teamCounts {
	c := l.teams.counts[team]
	if c == nil {
		c = &teamCounts{}
		if l.state.Team(team) != nil {
			l.teams.counts[team] = c
		}
	}
	return c
}

// teamsChanged drops what is known about teams that are not in force any more.
func (l *Leader) teamsChanged() {
	for name := range l.teams.buckets {
		if l.state.Team(name) == nil {
			delete(l.teams.buckets, name)
			delete(l.teams.counts, name)
		}
	}
}

// exceedsTeamLimit returns the first step of a submission that a team may never run, since one of
// its tasks, or all of a gang, exceed the team's limit.
func (l *Leader) exceedsTeamLimit(team string, s *job.Submission) (step int, exceeds bool) {
	t := l.state.Team(team)
	if t == nil {
		return 0, false
	}
	for i := range s.Steps {
		need := s.Steps[i].Reserved()
		if s.Steps[i].Gang {
			need = need.Scale(s.Steps[i].Count)
		}
		if t.Exceeds(need) {
			return i, true
		}
	}
	return 0, false
}

// tasksWithinLimit returns how many of n further tasks of a step the limit of its team allows.
func (l *Leader) tasksWithinLimit(s *step, n int) int {
	room, limited := l.state.RoomOf(s.job.Team)
	if !limited {
		return n
	}
	return fits(room.Sub(l.teams.pending[s.job.Team]), s.spec.Reserved(), n)
}

// addPending adds the capacity of tasks whose assignment is being committed; amount is negative
// once it was committed or not.
func (l *Leader) addPending(team string, amount resource.Amount) {
	if team == "" {
		return
	}
	sum := l.teams.pending[team].Add(amount)
	if sum == (resource.Amount{}) {
		delete(l.teams.pending, team)
		return
	}
	l.teams.pending[team] = sum
}

// teamsOverShare returns the teams that use more than their share, by weight among the teams with
// waiting or running work, while the capacity of all workers is nearly in use. Otherwise it
// returns nil.
func (l *Leader) teamsOverShare(waiting []waitingStep) map[string]bool {
	if !l.state.Configuration().HasTeams {
		return nil
	}
	used, all := l.totalCapacity()
	if !isFull(used, all) {
		return nil
	}
	active := map[string]bool{}
	for i := range waiting {
		active[waiting[i].job.Team] = true
	}
	total := 0.0
	for _, t := range l.state.Configuration().Teams {
		if active[t.Name] || l.state.Usage(t.Name) != (resource.Amount{}) {
			total += t.Weight
		}
	}
	over := map[string]bool{}
	for team := range active {
		t := l.state.Team(team)
		if t != nil && dominantShare(l.state.Usage(team), all) > shareTolerance*t.Weight/total+shareMargin {
			over[team] = true
		}
	}
	return over
}

// totalCapacity returns the assigned and the whole capacity of the workers that answer.
func (l *Leader) totalCapacity() (used, all resource.Amount) {
	for _, w := range l.byID {
		if !w.unresponsive {
			used = used.Add(w.rec.Reserved).Add(w.pendingAmount)
			all = all.Add(w.rec.Capacity)
		}
	}
	return used, all
}

func isFull(used, all resource.Amount) bool {
	return all.MilliCores == 0 || dominantShare(used, all) >= fullPoolShare
}

// dominantShare returns the largest part of any resource that an amount takes.
func dominantShare(amount, all resource.Amount) float64 {
	share := 0.0
	for _, x := range [...][2]int{{amount.MilliCores, all.MilliCores}, {amount.MemoryMB, all.MemoryMB}, {amount.Accelerators, all.Accelerators}} {
		if x[1] > 0 {
			share = max(share, float64(x[0])/float64(x[1]))
		}
	}
	return share
}

// updateBusyPools records the pools without idle room: they are full, or a step that its team may
// run has waited for maxBorrowedWait.
func (l *Leader) updateBusyPools() {
	if !l.state.Configuration().HasTeams {
		return
	}
	clear(l.teams.busy)
	shares := poolShares{}
	for i := range l.state.Configuration().Pools {
		pool := l.state.Configuration().Pools[i].Name
		l.teams.busy[pool] = shares.of(l, pool).highest >= fullPoolShare
	}
	for _, s := range l.steps {
		if !s.job.Borrowed && s.mayHaveWaiting() && !s.job.Phase.Final() && s.lastTry != atTeamLimit && l.now-max(s.readyAt, s.runEndedAt) > maxBorrowedWait {
			l.teams.busy[s.queue.Pool] = true
		}
	}
}

// reportTeams emits the use of each team, and logs the teams with refused or preempted work.
func (l *Leader) reportTeams() {
	c := l.state.Configuration()
	if !c.HasTeams || l.now < l.teams.nextReport {
		return
	}
	l.teams.nextReport = l.now + teamReportInterval
	waiting := map[string]int{}
	for _, s := range l.steps {
		if !s.job.Phase.Final() && s.mayHaveWaiting() {
			waiting[s.job.Team]++
		}
	}
	report := TeamReport{}
	for i := range c.Teams {
		t := &c.Teams[i]
		n := l.countsOf(t.Name)
		report.Teams = append(report.Teams, TeamUsage{
			Team: t.Name, Usage: l.state.Usage(t.Name), Limit: t.Limit, Weight: t.Weight, WaitingSteps: waiting[t.Name],
			Accepted: n.accepted, Borrowed: n.borrowed, Refused: n.refused, Preempted: n.preempted,
		})
	}
	clear(l.teams.counts)
	l.host.Emit(report)
	l.logTeams(report.Teams)
}

// maxLoggedTeams bounds the teams that are logged in teamReportInterval.
const maxLoggedTeams = 3

func (l *Leader) logTeams(teams []TeamUsage) {
	pressed := slices.DeleteFunc(slices.Clone(teams), func(t TeamUsage) bool { return t.Refused == 0 && t.Preempted == 0 })
	slices.SortStableFunc(pressed, func(a, b TeamUsage) int { return b.Refused + b.Preempted - a.Refused - a.Preempted })
	for _, t := range pressed[:min(len(pressed), maxLoggedTeams)] {
		l.log("info", "team", "", "", "work of a team was refused or preempted", "team", t.Team, "accepted", t.Accepted, "borrowed", t.Borrowed,
			"refused", t.Refused, "preempted", t.Preempted, "waiting_steps", t.WaitingSteps, "usage", t.Usage, "limit", t.Limit, "weight", t.Weight, "teams", len(pressed))
	}
}
