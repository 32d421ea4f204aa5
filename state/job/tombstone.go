package job

import (
	"cmp"
	"slices"
)

// submissionEpochs is the number of submission epochs whose submissions are accepted: the one in force
// and those right before it.
const submissionEpochs = 2

// Tombstone marks a job as cancelled before it was accepted, so that a late copy of its submission is not
// accepted. The leader proposes it for a job that it does not know, and does not propose a submission that
// a tombstone covers: Apply accepts such a submission, as earlier versions do.
type Tombstone struct {
	Job   ID     `json:"job"`
	Team  string `json:"team,omitempty"` // team of the caller that cancelled the job, empty if the call needed no key
	Epoch int64  `json:"epoch"`          // submission epoch of the cancel
}

// AdvanceEpoch starts a submission epoch. Each submission carries the epoch that its sender knew before it
// sent the first copy. Copies of earlier epochs than the last submissionEpochs are not accepted, so the
// tombstones of these epochs are deleted.
type AdvanceEpoch struct {
	Epoch int64 `json:"epoch"`
	AtMS  int64 `json:"at_ms"` // Unix milliseconds
}

// tombstones holds the epoch of the last cancel of each job that was not known, by job and team.
type tombstones struct {
	epochs map[ID]map[string]int64
	count  map[string]int // by team
	total  int
}

func newTombstones() tombstones {
	return tombstones{epochs: map[ID]map[string]int64{}, count: map[string]int{}}
}

func (t *tombstones) add(x Tombstone) {
	byTeam := t.epochs[x.Job]
	if byTeam == nil {
		byTeam = map[string]int64{}
		t.epochs[x.Job] = byTeam
	}
	if _, known := byTeam[x.Team]; !known {
		t.count[x.Team]++
		t.total++
	}
	byTeam[x.Team] = max(byTeam[x.Team], x.Epoch)
}

// removeBefore deletes the tombstones of the epochs before a given one.
func (t *tombstones) removeBefore(epoch int64) {
	for id, byTeam := range t.epochs {
		for team, e := range byTeam {
			if e < epoch {
				t.remove(id, team)
			}
		}
	}
}

func (t *tombstones) remove(id ID, team string) {
	delete(t.epochs[id], team)
	if len(t.epochs[id]) == 0 {
		delete(t.epochs, id)
	}
	if t.count[team]--; t.count[team] == 0 {
		delete(t.count, team)
	}
	t.total--
}

// list returns the tombstones, ordered by job and team.
func (t *tombstones) list() []Tombstone {
	out := make([]Tombstone, 0, t.total)
	for id, byTeam := range t.epochs {
		for team, e := range byTeam {
			out = append(out, Tombstone{Job: id, Team: team, Epoch: e})
		}
	}
	slices.SortFunc(out, func(a, b Tombstone) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Team, b.Team))
	})
	return out
}

// Epoch returns the submission epoch in force, counted from 1.
func (s *State) Epoch() int64 { return s.epoch }

// EpochStartMS returns the time at which the submission epoch began, in Unix milliseconds, or 0 for the
// first one.
func (s *State) EpochStartMS() int64 { return s.epochStartMS }

// AcceptsEpoch reports whether a submission of an epoch may be accepted. A sender of an earlier version
// states none, 0, and its submissions are accepted whatever their age.
func (s *State) AcceptsEpoch(epoch int64) bool { return epoch == 0 || !s.EpochExpired(epoch) }

// EpochExpired reports whether no submission that was sent in an epoch or before it can be accepted any more.
func (s *State) EpochExpired(epoch int64) bool { return epoch <= s.epoch-submissionEpochs }

// TombstoneEpoch returns the epoch in which a team last cancelled a job that was not known, or 0.
func (s *State) TombstoneEpoch(id ID, team string) int64 { return s.tombstones.epochs[id][team] }

// HasTombstone reports whether the submission of a job by a team was cancelled before it was accepted. Any
// caller may cancel a job that belongs to no team.
func (s *State) HasTombstone(id ID, team string) bool {
	byTeam := s.tombstones.epochs[id]
	if team == "" {
		return len(byTeam) > 0
	}
	return byTeam[team] > 0
}

// Tombstones returns the number of tombstones of a team, and of all teams.
func (s *State) Tombstones(team string) (ofTeam, total int) {
	return s.tombstones.count[team], s.tombstones.total
}

func (s *State) addTombstone(c *Tombstone) Applied {
	switch {
	case s.jobs[c.Job] != nil:
		return rejected("job %s is known", c.Job)
	case c.Epoch <= 0 || s.EpochExpired(c.Epoch):
		return rejected("tombstone of job %s: epoch %d is over", c.Job, c.Epoch)
	}
	s.tombstones.add(*c)
	return Applied{}
}

func (s *State) advanceEpoch(c *AdvanceEpoch) Applied {
	if c.Epoch <= s.epoch {
		return rejected("submission epoch %d is not above %d", c.Epoch, s.epoch)
	}
	s.epoch, s.epochStartMS = c.Epoch, c.AtMS
	s.tombstones.removeBefore(s.epoch - submissionEpochs + 1)
	return Applied{}
}
