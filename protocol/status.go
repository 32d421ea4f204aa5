package protocol

import (
	"strconv"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// ProcessStatus answers GET /v1/status with the state of one process and of the groups
// that it hosts, as known to that process.
type ProcessStatus struct {
	Name          string        `json:"name"`
	Domain        string        `json:"domain"`
	Incarnation   string        `json:"incarnation"` // hexadecimal
	Ready         bool          `json:"ready"`
	Stopping      bool          `json:"stopping,omitempty"`
	StorageError  string        `json:"storage_error,omitempty"`
	UptimeS       int64         `json:"uptime_s"`
	Configuration uint64        `json:"configuration"`   // version in force in the process's domain
	CellVersion   uint64        `json:"cell_version"`    // newest configuration version that the process has seen
	CellContactMS int64         `json:"cell_contact_ms"` // time since the last contact with the cell group
	Groups        []GroupStatus `json:"groups"`
}

// GroupStatus is the state of one hosted group.
type GroupStatus struct {
	Group      string                       `json:"group"`
	Leader     string                       `json:"leader"` // name of the leader
	Leads      bool                         `json:"leads"`  // this process is the leader
	Term       uint64                       `json:"term"`
	Committed  uint64                       `json:"committed"`  // index of the last committed log entry
	Durability string                       `json:"durability"` // "none", "memory" or "disk", see replication.Durability
	Members    []MemberStatus               `json:"members"`
	Records    int                          `json:"records"` // number of request records
	Endpoints  map[state.EndpointStatus]int `json:"endpoints,omitempty"`
	Open       map[state.Class]OpenTasks    `json:"open,omitempty"`
	Waiting    []WaitingRequest             `json:"waiting,omitempty"` // set by the leader only
}

// MemberStatus is the state of one replica of a group.
type MemberStatus struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"` // hexadecimal
	Domain      string `json:"domain"`
	Disk        bool   `json:"disk"`
	Voter       bool   `json:"voter"`
	Match       uint64 `json:"match"` // last log index that the replica has synced; set by the leader only
}

// OpenTasks counts the open tasks of a class.
type OpenTasks struct {
	Queued   int   `json:"queued"`
	Assigned int   `json:"assigned"`
	OldestMS int64 `json:"oldest_ms,omitempty"` // time of acceptance of the request that has waited longest, Unix milliseconds
}

// WaitingRequest is a request that waits to start, with the reason.
type WaitingRequest struct {
	Team    string          `json:"team"`
	ID      state.RequestID `json:"id"`
	Kind    string          `json:"kind"`
	Class   state.Class     `json:"class"`
	SinceMS int64           `json:"since_ms"` // Unix milliseconds
	Why     string          `json:"why"`      // one sentence
}

// NewProcessStatus converts the status of a node.
func NewProcessStatus(s *coordination.Status) ProcessStatus {
	out := ProcessStatus{
		Name: s.Name, Domain: s.Domain, Incarnation: strconv.FormatUint(s.Incarnation, 16), Ready: s.Ready, Stopping: s.Stopping, StorageError: s.StorageError,
		UptimeS: int64(s.Uptime.Seconds()), Configuration: s.Configuration, CellVersion: s.CellVersion,
		CellContactMS: s.CellContactAge.Milliseconds(),
	}
	for i := range s.Groups {
		out.Groups = append(out.Groups, newGroupStatus(&s.Groups[i]))
	}
	return out
}

func newGroupStatus(g *coordination.GroupStatus) GroupStatus {
	out := GroupStatus{
		Group: g.Group, Leader: g.Replication.Leader, Leads: g.Leads, Term: g.Replication.Term, Committed: g.Replication.Commit,
		Durability: string(g.Replication.Durability), Records: g.Records,
	}
	for _, m := range g.Replication.Members {
		out.Members = append(out.Members, MemberStatus{
			Name: m.Name, Incarnation: strconv.FormatUint(m.Incarnation, 16), Domain: m.Domain, Disk: m.Disk, Voter: m.Voter, Match: m.Match,
		})
	}
	if len(g.Endpoints) > 0 {
		out.Endpoints = map[state.EndpointStatus]int{}
	}
	for _, e := range g.Endpoints {
		out.Endpoints[e.Status]++
	}
	if len(g.Open) > 0 {
		out.Open = map[state.Class]OpenTasks{}
	}
	for c, n := range g.Open {
		out.Open[c] = OpenTasks{Queued: n.Queued, Assigned: n.Assigned, OldestMS: n.OldestMS}
	}
	for _, w := range g.Waiting {
		out.Waiting = append(out.Waiting, WaitingRequest{Team: w.Key.Team, ID: w.Key.ID, Kind: w.Kind, Class: w.Class, SinceMS: w.SinceMS, Why: w.Reason})
	}
	return out
}
