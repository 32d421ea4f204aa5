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
type Membership struct {
	GroupID uint64   `json:"group_id"` // random number drawn at bootstrap; distinguishes groups of the same name
	Voters  []Member `json:"voters"`   // sorted by name
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
