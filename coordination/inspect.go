package coordination

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// View describes one group as this process sees it. The states must not be modified.
type View struct {
	Group      string
	DomainName string        // "" for the cell group and the job group
	Domain     *state.Domain // nil unless this is a domain group
	Cell       *state.Cell   // nil unless this is the cell group
	Leads      bool          // this process leads, has applied all earlier entries and holds the leader lease
	Term       uint64
	Membership state.Membership
}

// Views returns the view of each hosted group at the given time, for checks of
// invariants. Like Step it may be called only by the goroutine that owns the node.
func (n *Node) Views(now time.Duration) []View {
	views := make([]View, 0, len(n.hosted))
	for _, r := range n.hosted {
		_, term := r.raft.Leader()
		views = append(views, View{
			Group: r.group, DomainName: r.domainName, Domain: r.domain, Cell: r.cell,
			Leads: r.leaderState != nil && r.raft.HasLease(now), Term: term, Membership: r.raft.Membership(),
		})
	}
	return views
}

// Ready reports whether callers should be sent to this process. It must not be called
// on a node of the job group.
func (n *Node) Ready() bool { return n.ready() }
