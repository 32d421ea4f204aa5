package state

import "github.com/primrosereach/primrosereach/state/job"

// Member is one replica of a group.
type Member struct {
	Name        string `json:"name"`        // name of the process in its settings
	Incarnation uint64 `json:"incarnation"` // votes and acknowledgements of other incarnations are ignored
	Address     string `json:"address"`     // host:port, host is an IP number
	Domain      string `json:"domain"`      // failure domain of the VM
	Disk        bool   `json:"disk"`        // whether the process has a data directory
}

// Membership lists the voters of a group.
//
// While one voter replaces another, both are listed and the membership is a joint one: a
// decision needs a majority of the voters without the replacement, and a majority of the
// voters without the replaced one.
type Membership struct {
	GroupID     uint64   `json:"group_id"`              // random number drawn at bootstrap; distinguishes groups of the same name
	Voters      []Member `json:"voters"`                // sorted by name
	Replaced    uint64   `json:"replaced,omitempty"`    // incarnation of the voter that is being replaced, or 0
	Replacement uint64   `json:"replacement,omitempty"` // incarnation of the voter that replaces it, or 0
}

// IsJoint reports whether one voter is replacing another.
func (m *Membership) IsJoint() bool { return m.Replaced != 0 }

// Majorities calls f with each set of voters of which a decision needs a majority, until f
// returns false, and reports whether f never did. A set is given by the size of its
// majority and by the incarnation of the listed voter that does not belong to it, or 0.
func (m *Membership) Majorities(f func(need int, without uint64) bool) bool {
	if !m.IsJoint() {
		return f(len(m.Voters)/2+1, 0)
	}
	need := (len(m.Voters)-1)/2 + 1
	return f(need, m.Replacement) && f(need, m.Replaced)
}

// HasMajority reports whether the voters for which in returns true can decide.
func (m *Membership) HasMajority(in func(v *Member) bool) bool {
	return m.Majorities(func(need int, without uint64) bool {
		n := 0
		for i := range m.Voters {
			if v := &m.Voters[i]; v.Incarnation != without && in(v) {
				n++
			}
		}
		return n >= need
	})
}

// Find returns the voter of the given name, or nil.
func (m Membership) Find(name string) *Member {
	for i := range m.Voters {
		if m.Voters[i].Name == name {
			return &m.Voters[i]
		}
	}
	return nil
}

// Entry is one entry of a group's log. It changes either the state or the membership.
// The first entry of a new leader changes neither.
type Entry struct {
	Index      uint64      `json:"index"`
	Term       uint64      `json:"term"`
	Command    Command     `json:"command"`
	Membership *Membership `json:"membership,omitempty"`
}

// HardState is the term and vote of a replica. They must be synced before the replica
// sends a message that depends on them.
type HardState struct {
	Term uint64 `json:"term"`
	Vote string `json:"vote,omitempty"` // member voted for in Term
}

// Snapshot is the state of a group at one log index. One of Domain, Cell and
// Jobs is set.
type Snapshot struct {
	Index      uint64          `json:"index"`
	Term       uint64          `json:"term"` // term of the entry at Index
	Membership Membership      `json:"membership"`
	Domain     *DomainSnapshot `json:"domain,omitempty"`
	Cell       *CellSnapshot   `json:"cell,omitempty"`
	Jobs       *job.Snapshot   `json:"jobs,omitempty"`
}
