package coordination

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/health"
	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

// Recovered is what a process found in its data directory for one group.
type Recovered struct {
	HardState state.HardState
	Snapshot  *state.Snapshot // nil if there is none
	Entries   []state.Entry   // after the snapshot
}

// Config holds the identity of a process, its recovered data and the settings from
// which New creates a node.
type Config struct {
	Self      state.Member
	Peers     []Peer               // all entry processes of the settings, this one included
	Recovered map[string]Recovered // by group name
	Rand      replication.Rand
	// NewScheduler returns the scheduler of a new term. The tracker follows the health
	// of the domain's endpoints; history holds attempts that ended before the term,
	// oldest first.
	NewScheduler func(t *health.Tracker, history []scheduling.Observation) scheduling.Scheduler
	Jobs         *JobConfig // if set, the node is a member of the job group only
}

// Node is the control state of one entry process. It is used by one goroutine.
type Node struct {
	cfg         Config
	self        state.Member
	domains     []string
	clock       scheduling.Clock    // time of the current step
	replicas    map[string]*replica // by group name
	hosted      []*replica          // the replicas in the order of their creation
	home        *replica            // replica of the process's own failure domain, nil with a job group
	cell        *replica            // replica of the cell group, nil with a job group
	effects     []Effect            // effects of the current step
	cellContact time.Duration       // last time at which a leader of the cell group was known
	storageErr  error               // error of the storage; once it is set, nothing is acknowledged
	stopping    bool                // a graceful stop has begun
	nextMember  int                 // round-robin offset over the members of groups that this process does not host
}

// New returns a node that hosts every group of which the process is an initial
// member, or only the job group if cfg.Jobs is set.
func New(cfg Config, c scheduling.Clock) *Node {
	n := &Node{cfg: cfg, self: cfg.Self, domains: Domains(cfg.Peers), clock: c, replicas: map[string]*replica{}}
	if cfg.Jobs != nil {
		n.hostJobGroup()
		return n
	}
	for _, d := range n.domains {
		n.host(DomainGroup(d))
	}
	n.host(CellGroup)
	n.home = n.replicas[DomainGroup(n.self.Domain)]
	n.cell = n.replicas[CellGroup]
	return n
}

// Groups returns the names of the groups of which the process is an initial member,
// for a caller that has to open their logs before New.
func Groups(self string, peers []Peer) []string {
	var groups []string
	names := append([]string{}, Domains(peers)...)
	for i := range names {
		names[i] = DomainGroup(names[i])
	}
	for _, g := range append(names, CellGroup) {
		for _, f := range InitialMembers(g, peers) {
			if f == self {
				groups = append(groups, g)
			}
		}
	}
	return groups
}

// host creates the replica of a group if this process is an initial member of it.
func (n *Node) host(group string) {
	initialMembers := InitialMembers(group, n.cfg.Peers)
	for _, f := range initialMembers {
		if f == n.self.Name {
			r := n.newReplica(group, initialMembers)
			n.replicas[group] = r
			n.hosted = append(n.hosted, r)
			return
		}
	}
}

// Step processes one event at the time c and returns the effects to execute.
func (n *Node) Step(c scheduling.Clock, ev Event) []Effect {
	n.clock = c
	n.effects = nil
	n.handle(ev)
	for _, r := range n.hosted {
		n.advance(r)
	}
	if n.cell == nil {
		return n.effects
	}
	if leader, _ := n.cell.raft.Leader(); leader != "" {
		n.cellContact = c.Now
	}
	return n.effects
}

func (n *Node) handle(ev Event) {
	switch e := ev.(type) {
	case Tick:
	case PeerMessage:
		n.peerMessage(e)
	case Persisted:
		if r := n.replicas[e.Group]; r != nil {
			r.raft.Persisted(e.Batch)
		}
	case SnapshotSaved:
		if r := n.replicas[e.Group]; r != nil {
			r.savingSnapshot = false
			r.raft.SnapshotTaken(e.Snapshot)
		}
	case StorageFailed:
		n.storageErr = e.Err
		for _, r := range n.hosted {
			r.raft.StepDown(n.clock.Now) // without storage it cannot be elected again
		}
		n.log("error", e.Step, "", "storage failed, this process no longer acknowledges anything: "+e.Err.Error())
	case Submit:
		n.submit(e)
	case ChooseDomain:
		n.reply(e.Token, Answer{Code: CodeOK, Domain: n.chooseDomain()})
	case Lookup:
		n.lookup(e)
	case List:
		n.list(e)
	case CancelRequest:
		n.cancel(e)
	case CallerDisconnected:
		n.callerDisconnected(e.Token)
	case Heartbeat:
		n.heartbeat(e)
	case TaskReport:
		n.taskReport(e)
	case StartAnswered:
		n.startAnswered(e)
	case ConfigureCell:
		n.configure(e)
	case ReadCell:
		n.readCell(e)
	case ListEndpoints:
		n.listEndpoints(e)
	case DrainEndpoint:
		n.drainEndpoint(e)
	case ReadStatus:
		n.emit(Reply{Token: e.Token, Answer: Answer{Code: CodeOK, Status: n.status(e.Brief)}})
	case ContactsChanged:
		for _, r := range n.hosted {
			r.raft.SetContacts(e.Contacts)
		}
	case JobEvent:
		n.jobEvent(e)
	case ConfirmWorker:
		n.confirmWorker(e)
	case Shutdown:
		n.shutdown()
	}
}

// minTickInterval is the shortest time between two ticks. Work that is due but cannot
// be done yet must not keep the control goroutine busy.
const minTickInterval = time.Millisecond

// NextTick returns the monotonic time at which Step has to be called with a Tick if
// no other event comes first. A leader without its lease has no timed work of its
// own; only the timers of its replication group count.
func (n *Node) NextTick() time.Duration {
	nextTick := n.clock.Now + time.Second
	for _, r := range n.hosted {
		nextTick = earlier(nextTick, r.raft.NextTick())
		if r.leaderState != nil && r.raft.HasLease(n.clock.Now) {
			nextTick = earlier(nextTick, r.leaderState.nextTick())
		}
	}
	return max(nextTick, n.clock.Now+minTickInterval)
}

// earlier returns the earlier of two times; 0 means never.
func earlier(a, b time.Duration) time.Duration {
	if b == 0 || a != 0 && a < b {
		return a
	}
	return b
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) reply(t Token, a Answer) {
	if t != 0 {
		n.emit(Reply{Token: t, Answer: a})
	}
}

func (n *Node) log(level, step, peer, message string) {
	n.emit(Log{Level: level, Step: step, Peer: peer, Message: message})
}

func (n *Node) peerMessage(e PeerMessage) {
	r := n.replicas[e.Group]
	if r == nil {
		return
	}
	if err := r.raft.Step(n.clock.Now, e.Message); err != nil {
		n.log("debug", "replication", e.Message.From, err.Error())
	}
}

// shutdown announces the stop to all groups and transfers the leadership of those that
// this process leads. Submissions that arrive afterwards go to the new leaders.
func (n *Node) shutdown() {
	n.stopping = true
	for _, r := range n.hosted {
		r.raft.Leave(n.clock.Now)
		if r.raft.IsLeader() {
			n.transferLeadership(r)
		}
	}
}

// transferLeadership transfers leadership to a caught-up member, preferably one of
// the group's own domain. A process that is not stopping transfers it only to a
// member of that domain.
func (n *Node) transferLeadership(r *replica) {
	to := n.successor(r, r.domainName, n.stopping)
	if to == "" {
		return
	}
	if err := r.raft.TransferLeadership(n.clock.Now, to); err != nil {
		n.log("debug", "transfer leadership", to, r.group+": "+err.Error())
	}
}
