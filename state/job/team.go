package job

import (
	"fmt"
	"math"

	"github.com/primrosereach/primrosereach/state/resource"
)

// Team owns jobs. Its callers authenticate with one of its keys.
type Team struct {
	Name       string          `json:"name"`
	KeyDigests []string        `json:"key_digests"` // digests of its keys; the keys themselves are not stored
	Weight     float64         `json:"weight"`      // jobs a second that it may submit, and its share while all capacity is in use
	Limit      resource.Amount `json:"limit"`       // largest amount that its tasks reserve at a time; 0 in a field means no limit
}

// validateTeams returns the first error found in the teams of a configuration.
func validateTeams(teams []Team) error {
	names, owners := map[string]bool{}, map[string]string{}
	for i := range teams {
		t := &teams[i]
		switch {
		case t.Name == "" || names[t.Name]:
			return fmt.Errorf("team %q: the name is empty or not unique", t.Name)
		case len(t.KeyDigests) == 0:
			return fmt.Errorf("team %s: it has no key", t.Name)
		case !(t.Weight > 0) || math.IsInf(t.Weight, 0):
			return fmt.Errorf("team %s: the weight %v is not a positive number", t.Name, t.Weight)
		case t.Limit.IsNegative():
			return fmt.Errorf("team %s: the limit %+v is negative", t.Name, t.Limit)
		}
		names[t.Name] = true
		for _, d := range t.KeyDigests {
			if owner, ok := owners[d]; ok && owner != t.Name {
				return fmt.Errorf("team %s: it shares a key with team %s", t.Name, owner)
			}
			owners[d] = t.Name
		}
	}
	return nil
}

// teamIndex finds teams by name and by the digest of a key.
type teamIndex struct {
	byName, byDigest map[string]*Team
}

func indexTeams(teams []Team) teamIndex {
	x := teamIndex{byName: map[string]*Team{}, byDigest: map[string]*Team{}}
	for i := range teams {
		t := &teams[i]
		x.byName[t.Name] = t
		for _, d := range t.KeyDigests {
			x.byDigest[d] = t
		}
	}
	return x
}

// Team returns a team of the configuration in force, or nil.
func (s *State) Team(name string) *Team { return s.teams.byName[name] }

// TeamOfKey returns the team of the configuration in force that has the key with a digest, or nil.
func (s *State) TeamOfKey(digest string) *Team { return s.teams.byDigest[digest] }

// Usage returns the capacity that the tasks of a team reserve. It includes each run that may
// still be executed somewhere.
func (s *State) Usage(team string) resource.Amount { return s.usage[team] }

func (s *State) addUsage(j *Job, amount resource.Amount) {
	if j.Team != "" {
		s.usage[j.Team] = s.usage[j.Team].Add(amount)
	}
}

// subUsage removes the entry of a team without usage, so that the number of entries is
// bounded by the teams with assigned tasks.
func (s *State) subUsage(j *Job, amount resource.Amount) {
	if j.Team == "" {
		return
	}
	u := s.usage[j.Team].Sub(amount)
	if u == (resource.Amount{}) {
		delete(s.usage, j.Team)
		return
	}
	s.usage[j.Team] = u
}

// RoomOf returns the amount that a team's limit leaves for further tasks. limited is false if
// the team has no limit or is not configured.
func (s *State) RoomOf(team string) (room resource.Amount, limited bool) {
	t := s.teams.byName[team]
	if t == nil || t.Limit == (resource.Amount{}) {
		return resource.Amount{}, false
	}
	return t.fullLimit().Sub(s.usage[team]), true
}

// Exceeds reports whether an amount is more than the team may have running at all.
func (t *Team) Exceeds(amount resource.Amount) bool { return !amount.FitsIn(t.fullLimit()) }

// fullLimit returns the limit with unlimitedAmount for each resource without one.
func (t *Team) fullLimit() resource.Amount {
	orUnlimited := func(v int) int {
		if v == 0 {
			return unlimitedAmount
		}
		return v
	}
	l := t.Limit
	return resource.Amount{Slots: orUnlimited(l.Slots), MilliCores: orUnlimited(l.MilliCores), MemoryMB: orUnlimited(l.MemoryMB), Accelerators: orUnlimited(l.Accelerators)}
}

// unlimitedAmount is above the sum of any number of tasks within MaxTasks and MaxAmount that a
// deployment can run, and leaves room for sums.
const unlimitedAmount = 1 << 60

// checkTeamLimit returns an error if a further amount exceeds the limit of a job's team. Without
// teams in the configuration it never does, so logs of earlier versions are applied as before.
func (s *State) checkTeamLimit(j *Job, amount resource.Amount) error {
	if room, limited := s.RoomOf(j.Team); limited && !amount.FitsIn(room) {
		return fmt.Errorf("team %s is at its limit: %+v are left, %+v are needed", j.Team, room, amount)
	}
	return nil
}
