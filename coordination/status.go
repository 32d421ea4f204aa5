package coordination

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
)

// Metric names what a Measure effect measures.
type Metric string

// Metrics.
const (
	MetricWait     Metric = "wait"     // time from acceptance to assignment
	MetricTotal    Metric = "total"    // time from acceptance to the final outcome
	MetricAccepted Metric = "accepted" // one acceptance
	MetricRefused  Metric = "refused"  // one refusal at admission
	MetricLate     Metric = "late"     // one final outcome after the deadline
)

// Measure is an effect that reports one measurement.
type Measure struct {
	Metric  Metric
	Class   state.Class
	Outcome state.Outcome
	MS      int64 // milliseconds, for MetricWait and MetricTotal
}

func (Measure) effect() {}

// Status describes a process and its groups.
type Status struct {
	Name           string
	Domain         string
	Incarnation    uint64
	Uptime         time.Duration
	Ready          bool
	Stopping       bool
	StorageError   string        // error of the storage, "" for none
	Configuration  uint64        // version in force in the process's own domain
	CellVersion    uint64        // newest version that the process's replica of the cell group has applied
	CellContactAge time.Duration // time since a leader of the cell group was last known
	Groups         []GroupStatus // nil in a brief status
}

// GroupStatus describes one hosted group as this process sees it.
type GroupStatus struct {
	Group       string
	Replication replication.Status
	Leads       bool // this process leads the group and has applied all earlier entries
	Records     int  // number of records, final ones included
	Endpoints   []*state.Endpoint
	Waiting     []Waiting                 // the longest waiting requests, if this process leads
	Open        map[state.Class]OpenCount // nil unless this is a domain group
}

// Waiting describes a request that has not started, with the reason.
type Waiting struct {
	Key     state.Key
	Kind    string
	Class   state.Class
	SinceMS int64 // time of acceptance, Unix milliseconds
	Reason  string
}

// OpenCount counts the open tasks of a class.
type OpenCount struct {
	Queued, Assigned int
	OldestMS         int64 // time at which the longest waiting request was accepted, Unix milliseconds; 0 if none waits
}

// maxWaitingListed bounds the waiting requests in a status.
const maxWaitingListed = 50

// ready reports whether callers should be sent to this process: it is not stopping, its
// storage works, and the replica of its own domain knows a leader and has applied an
// entry of the leader's term.
func (n *Node) ready() bool {
	leader, term := n.home.raft.Leader()
	return !n.stopping && n.storageErr == nil && leader != "" && n.home.appliedTerm == term
}

// status describes the process. A brief one leaves out the groups, whose cost grows
// with the number of records.
func (n *Node) status(brief bool) *Status {
	s := &Status{
		Name: n.self.Name, Domain: n.self.Domain, Incarnation: n.self.Incarnation, Uptime: n.clock.Now,
		Ready: n.ready(), Stopping: n.stopping,
		Configuration: n.home.domain.Configuration().Version, CellVersion: n.cell.cell.Configuration().Version,
		CellContactAge: n.clock.Now - n.cellContact,
	}
	if n.storageErr != nil {
		s.StorageError = n.storageErr.Error()
	}
	if brief {
		return s
	}
	for _, r := range n.hosted {
		s.Groups = append(s.Groups, n.groupStatus(r))
	}
	return s
}

func (n *Node) groupStatus(r *replica) GroupStatus {
	g := GroupStatus{Group: r.group, Replication: r.raft.Status(n.clock.Now), Leads: r.leaderState != nil}
	if r.domain == nil {
		return g
	}
	g.Records = r.domain.RecordCount()
	g.Open = map[state.Class]OpenCount{}
	g.Endpoints = r.domain.Endpoints()
	for _, rec := range r.domain.OpenRecords() {
		g.Open[rec.Class] = countOpen(g.Open[rec.Class], rec)
		if r.leaderState != nil && len(g.Waiting) < maxWaitingListed && rec.Outcome() == state.OutcomeWaiting {
			g.Waiting = append(g.Waiting, Waiting{Key: rec.Key, Kind: rec.Kind, Class: rec.Class, SinceMS: rec.AcceptedMS, Reason: r.leaderState.sched.WhyWaiting(rec.Key)})
		}
	}
	return g
}

// countOpen adds the open tasks of a record. Records must be passed in the order of
// their acceptance.
func countOpen(c OpenCount, rec *state.Record) OpenCount {
	for i := range rec.State {
		switch rec.State[i].Status {
		case state.TaskQueued:
			c.Queued++
			if c.OldestMS == 0 {
				c.OldestMS = rec.AcceptedMS
			}
		case state.TaskAssigned:
			c.Assigned++
		}
	}
	return c
}
