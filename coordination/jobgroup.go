package coordination

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/job"
)

// JobGroup is the name of the only group of a deployment in which just a few VMs have
// disks. It owns jobs, workers and the configuration. Processes on other VMs keep no
// state and forward their calls to it.
const JobGroup = "jobs"

// JobConfig makes a node a member of the job group instead of domain groups.
type JobConfig struct {
	InitialMembers []string       // names of the processes that form the group at first start; empty on later starts
	Contacts       []state.Member // names and addresses of the processes that a non-member asks to admit it to the group
	FaultTolerance int            // number of members that may be lost at the same time
	RepairTime     time.Duration  // time from the start of a replacement process until another member may be lost
	Bounds         jobs.Bounds
	Address        func(name string) string // returns the peer address (host:port) of a process that is not a member yet
}

type (
	// JobEvent is an event for the leader of the job group.
	JobEvent struct {
		Token Token // 0 if nobody waits for an answer
		Event jobs.Event
	}

	// ConfirmWorker asks whether this process may acknowledge a heartbeat of a worker by
	// itself: its replica of the job group holds the same record. It is answered with CodeOK
	// or CodeUnavailable.
	ConfirmWorker struct {
		Token     Token
		Heartbeat jobs.WorkerHeartbeat
	}

	// ContactsChanged replaces the processes that a non-member asks to admit it to the
	// job group.
	ContactsChanged struct{ Contacts []state.Member }

	// JobEffect is an effect of the leader of the job group.
	JobEffect struct{ Effect jobs.Effect }

	// JobLog is a log line of the leader of the job group.
	JobLog struct{ Line jobs.LogLine }
)

func (JobEvent) event()        {}
func (ConfirmWorker) event()   {}
func (ContactsChanged) event() {}
func (JobEffect) effect()      {}
func (JobLog) effect()         {}

// hostJobGroup creates the node's replica of the job group from its recovered data.
func (n *Node) hostJobGroup() {
	r := &replica{group: JobGroup, proposals: map[uint64]proposal{}}
	rec := n.cfg.Recovered[JobGroup]
	r.jobs = job.New()
	r.reset(rec.Snapshot)
	r.raft = replication.New(replication.Config{
		Group: JobGroup, Self: n.self, Rand: n.cfg.Rand,
		HardState: rec.HardState, Snapshot: rec.Snapshot, Entries: rec.Entries,
		InitialMembers: n.cfg.Jobs.InitialMembers, Contacts: n.cfg.Jobs.Contacts, AllowAnyName: true,
		MaxVoters:  2*max(1, n.cfg.Jobs.FaultTolerance) + 1,
		RepairTime: n.cfg.Jobs.RepairTime,
	}, n.clock.Now)
	n.replicas[JobGroup] = r
	n.hosted = append(n.hosted, r)
}

// jobEvent passes an event to the leader of the job group and redirects calls that
// this process cannot answer. Events without a token, such as results of orders, are
// passed on even while the leader holds no lease: they report what has happened,
// decisions based on them take effect only when committed, and an order whose result is
// dropped would count as in progress forever.
func (n *Node) jobEvent(e JobEvent) {
	if e.Token == 0 {
		if r := n.replicas[JobGroup]; r != nil && r.leaderState != nil {
			r.leaderState.jobs.SetClock(n.clock.Now, n.clock.WallMS)
			r.leaderState.jobs.Handle(e.Event)
		}
		return
	}
	r := n.owner(JobGroup, e.Token)
	if r == nil {
		return
	}
	if n.stopping {
		n.reply(e.Token, unavailable("this process is stopping"))
		return
	}
	r.leaderState.jobs.SetClock(n.clock.Now, n.clock.WallMS)
	r.leaderState.jobs.Handle(e.Event)
}

// confirmWorker answers a ConfirmWorker. The leader does not confirm heartbeats: it handles
// them itself.
func (n *Node) confirmWorker(e ConfirmWorker) {
	r := n.replicas[JobGroup]
	if r == nil || r.leaderState != nil || n.stopping || !jobs.MatchesRecord(r.jobs, e.Heartbeat) {
		n.reply(e.Token, unavailable("the heartbeat is not confirmed by this process"))
		return
	}
	n.reply(e.Token, Answer{Code: CodeOK})
}

// jobHost executes what the leader of the job group decides. It implements jobs.Host.
type jobHost struct {
	n *Node
	r *replica
}

// Propose implements jobs.Host.
func (h jobHost) Propose(c *job.Command, done func(a job.Applied, committed bool)) bool {
	return h.n.propose(h.r, state.Command{Job: c}, func(a state.Applied, committed bool) {
		if done != nil {
			done(a.Job, committed)
		}
	})
}

// Emit implements jobs.Host.
func (h jobHost) Emit(e jobs.Effect) { h.n.emit(JobEffect{e}) }

// Reply implements jobs.Host.
func (h jobHost) Reply(t jobs.Token, a jobs.Answer) {
	h.n.reply(Token(t), Answer{Code: CodeOK, Job: &a})
}

// Log implements jobs.Host.
func (h jobHost) Log(l jobs.LogLine) { h.n.emit(JobLog{l}) }

// Members implements jobs.Host. It returns the peer addresses of the voters.
func (h jobHost) Members() []string {
	var out []string
	for _, m := range h.r.raft.Membership().Voters {
		out = append(out, m.Address)
	}
	return out
}

// relayContactTimeout is the time since the last answer of a member after which it relays no
// orders. Members answer heartbeats every 100 ms.
const relayContactTimeout = 350 * time.Millisecond

// Relays implements jobs.Host. It returns the other voters that have answered recently.
func (h jobHost) Relays() []jobs.Relay {
	var out []jobs.Relay
	for _, m := range h.r.raft.Status(h.n.clock.Now).Members {
		if m.Voter && m.Incarnation != h.n.self.Incarnation && m.Contacted && h.n.clock.Now-m.LastContact < relayContactTimeout {
			out = append(out, jobs.Relay{Address: m.Address, Domain: m.Domain})
		}
	}
	slices.SortFunc(out, func(a, b jobs.Relay) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// startJobLeader creates the leader of the job group for the current term.
func (n *Node) startJobLeader(r *replica, l *leadership) {
	l.jobs = jobs.NewLeader(jobHost{n, r}, r.jobs, n.cfg.Jobs.Bounds, l.term, n.clock.Now, n.clock.WallMS)
}
