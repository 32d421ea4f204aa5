package replication

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/state"
)

// Errors of proposals and membership changes.
var (
	ErrNotLeader      = errors.New("not the leader")
	ErrLeaseExpired   = errors.New("leader lease expired")
	ErrTooManyPending = errors.New("too many uncommitted entries")
	ErrTransferring   = errors.New("leadership is being transferred")
	ErrChangePending  = errors.New("a membership change is pending or the term has committed nothing yet")
	ErrNoMember       = errors.New("no such member")
	ErrRemoveLeader   = errors.New("the leader cannot be removed, transfer leadership first")
	ErrNoQuorum       = errors.New("the remaining members would have no majority in contact")
)

// Errors of Step for messages that are dropped.
var (
	ErrWrongGroup       = errors.New("message of another group")
	ErrWrongIncarnation = errors.New("message for another incarnation")
	ErrUnknownSender    = errors.New("sender is not in the membership")
	ErrMalformed        = errors.New("malformed message")
)

// Rand is a seeded source of random numbers.
type Rand interface{ Uint64() uint64 }

// Config is the starting point of a replica.
type Config struct {
	Group     string
	Self      state.Member
	Rand      Rand
	HardState state.HardState
	Snapshot  *state.Snapshot // the last saved one, or nil
	Entries   []state.Entry   // the saved log; entries that the snapshot covers are skipped
	Bootstrap []string        // names of the expected founding members, the same on all of them
	Contacts  []state.Member  // further processes to ask for admission, by name and address
	Open      bool            // processes with other names than the founders' may join
	MaxVoters int             // voters beyond which further processes stay spares, 0 for no limit
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// save is a Ready whose contents are not known to be synced.
type save struct {
	batch       uint64
	index       uint64 // last log index it covers, lowered when the log is cut
	hardVersion uint64
}

type heldMessage struct {
	hardVersion uint64
	m           Message
}

// membershipAt is a membership and the log index of its entry.
type membershipAt struct {
	index uint64
	state.Membership
}

// Group is one replica of a replication group. It is used by one goroutine.
type Group struct {
	cfg  Config
	self state.Member
	now  time.Duration

	term        uint64
	vote        string // voteID of the candidate voted for in term
	hardVersion uint64 // counts changes of term and vote
	hardTaken   uint64 // version last handed out by Ready
	hardSynced  uint64

	log         entryLog
	snapshot    *state.Snapshot
	installing  *state.Snapshot // received, not handed out yet
	commit      uint64
	applied     uint64 // handed out by Ready
	taken       uint64 // handed out for saving
	persisted   uint64
	saves       []save
	batch       uint64
	memberships []membershipAt // by index; the last one is in force
	// wasVoterEarlier: this incarnation was listed in a forgotten membership.
	wasVoterEarlier bool

	role        role
	leader      string
	lastContact time.Duration // with a leader
	electionAt  time.Duration
	votes       map[uint64]bool // by incarnation

	// As a follower.
	verified uint64   // the log is known to match the leader of this term up to here
	ack      *Message // header of the latest append whose answer waits for a sync, or nil

	// As a leader.
	electedAt        time.Duration
	termStart        uint64 // index of the first entry of the term
	peers            []*progress
	uncommittedBytes int
	allowed          map[string]bool
	transferTo       string
	transferBy       time.Duration

	// As a replica that is not in the membership.
	joinAt    time.Duration
	joinGroup uint64         // ID of the group that answered
	contacts  []state.Member // its voters
	nonce     uint64
	answered  map[uint64]bool    // incarnations that were told that this replica is empty
	founders  map[string]founder // empty replicas that answered
	founded   bool               // this process created the group and has told nobody yet

	held   []heldMessage
	outbox []Message
}

// New returns a replica as it was saved. A replica without a membership joins or
// bootstraps the group.
func New(c Config, now time.Duration) *Group {
	g := &Group{
		cfg: c, self: c.Self, now: now,
		term: c.HardState.Term, vote: c.HardState.Vote,
		snapshot: c.Snapshot,
		allowed:  map[string]bool{}, answered: map[uint64]bool{}, founders: map[string]founder{},
		nonce: c.Rand.Uint64(), joinAt: now,
		// A replica may have acknowledged a heartbeat just before it was restarted.
		// It waits as if it had, or the leader's lease could be violated.
		lastContact: now,
	}
	for _, name := range c.Bootstrap {
		g.allowed[name] = true
	}
	if s := c.Snapshot; s != nil {
		g.log.reset(s.Index, s.Term)
		g.commit, g.applied = s.Index, s.Index
		g.addMembership(s.Index, s.Membership)
	}
	for i := range c.Entries {
		if c.Entries[i].Index == g.log.last()+1 {
			g.appendEntries(c.Entries[i])
		}
	}
	g.taken, g.persisted = g.log.last(), g.log.last()
	g.term = max(g.term, g.log.lastTerm())
	g.resetElection()
	g.startAlone()
	return g
}

// startAlone begins a group whose only member is this one without any wait.
func (g *Group) startAlone() {
	if g.membership() == nil && len(g.cfg.Bootstrap) == 1 && g.cfg.Bootstrap[0] == g.self.Name {
		g.found()
	}
	if m := g.membership(); m != nil && len(m.Voters) == 1 && g.isVoter() {
		g.campaign(false)
	}
}

// membership returns the membership in force, or nil.
func (g *Group) membership() *state.Membership {
	if len(g.memberships) == 0 {
		return nil
	}
	return &g.memberships[len(g.memberships)-1].Membership
}

func (g *Group) voters() []state.Member {
	if m := g.membership(); m != nil {
		return m.Voters
	}
	return nil
}

func (g *Group) isVoter() bool { return listed(g.voters(), g.self.Incarnation) }

func listed(voters []state.Member, incarnation uint64) bool {
	for i := range voters {
		if voters[i].Incarnation == incarnation {
			return true
		}
	}
	return false
}

// groupID returns the ID of the group this replica belongs to or is joining, or 0.
func (g *Group) groupID() uint64 {
	if m := g.membership(); m != nil {
		return m.GroupID
	}
	return g.joinGroup
}

// advance sets the clock. A leader that lost contact to a majority, or resumes
// from a pause, steps down before it handles anything.
func (g *Group) advance(now time.Duration) {
	g.now = max(g.now, now)
	if g.role == leader && g.now-g.quorumContact() >= contactTimeout {
		g.becomeFollower(g.term, "")
	}
}

// Step handles a message from another replica. The error tells why a message was
// dropped; it needs no other handling than a log line or a counter.
func (g *Group) Step(now time.Duration, m Message) error {
	g.advance(now)
	if err := g.accepts(&m); err != nil {
		return errors.Wrapf(err, "%s from %s/%x", m.Type, m.From, m.FromIncarnation)
	}
	switch m.Type {
	case MsgJoin:
		g.handleJoin(&m)
	case MsgJoinResponse:
		g.handleJoinResponse(&m)
	case MsgPreVote:
		g.handlePreVote(&m)
	case MsgPreVoteResponse, MsgVoteResponse:
		g.handleVoteResponse(&m)
	case MsgVote:
		g.handleVote(&m)
	case MsgAppend, MsgSnapshot:
		g.handleLeaderMessage(&m)
	case MsgAppendResponse:
		g.handleAppendResponse(&m)
	case MsgTransferLeader:
		g.handleTransfer(&m)
	}
	return nil
}

// accepts checks that a message is meant for this incarnation of this group and
// that a response comes from an incarnation that may count.
func (g *Group) accepts(m *Message) error {
	if m.Group != g.cfg.Group || m.To != g.self.Name {
		return ErrWrongGroup
	}
	anyIncarnation := m.Type == MsgJoin && m.ToIncarnation == 0
	if m.ToIncarnation != g.self.Incarnation && !anyIncarnation {
		return ErrWrongIncarnation
	}
	switch m.Type {
	case MsgJoin:
		if m.Member == nil || m.Member.Name != m.From || m.Member.Incarnation != m.FromIncarnation {
			return ErrMalformed
		}
		return nil
	case MsgJoinResponse:
		return nil
	case MsgSnapshot:
		if m.Snapshot == nil || m.Snapshot.Membership.GroupID != m.GroupID {
			return ErrMalformed
		}
	}
	if m.GroupID == 0 || m.GroupID != g.groupID() {
		return ErrWrongGroup
	}
	switch m.Type {
	case MsgPreVoteResponse, MsgVoteResponse:
		if !listed(g.voters(), m.FromIncarnation) {
			return ErrUnknownSender
		}
	case MsgAppendResponse:
		if g.role == leader && g.peer(m.FromIncarnation) == nil {
			return ErrUnknownSender
		}
	}
	return nil
}

// Tick does what has become due.
func (g *Group) Tick(now time.Duration) {
	g.advance(now)
	if g.role == leader {
		g.tickLeader()
	} else if g.isVoter() && g.now >= g.electionAt {
		g.electionDue()
	}
	if g.wantsJoin() && g.now >= g.joinAt {
		g.sendJoins()
	}
}

// NextTick returns the time at which Tick has something to do. It is never more
// than an hour ahead.
func (g *Group) NextTick() time.Duration {
	next := g.now + time.Hour
	if g.role == leader {
		next = min(next, g.nextLeaderTick())
	} else if g.isVoter() {
		next = min(next, g.electionAt)
	}
	if g.wantsJoin() {
		next = min(next, g.joinAt)
	}
	return next
}

// maxPending and maxPendingBytes bound the uncommitted entries of a leader. At
// 130 task starts a second the first is half a minute of work.
const (
	maxPending      = 4096
	maxPendingBytes = 8 << 20
)

// Propose appends a command to the leader's log. It is accepted when it appears
// in Ready.Committed with the returned index and term; another term at that
// index means that it was lost to a new leader.
func (g *Group) Propose(now time.Duration, cmd state.Command) (index, term uint64, err error) {
	g.advance(now)
	switch {
	case g.role != leader:
		return 0, 0, ErrNotLeader
	case g.transferTo != "":
		return 0, 0, ErrTransferring
	case !g.HasLease(g.now):
		return 0, 0, ErrLeaseExpired
	case g.log.last()-g.commit >= maxPending || g.uncommittedBytes >= maxPendingBytes:
		return 0, 0, ErrTooManyPending
	}
	e := state.Entry{Index: g.log.last() + 1, Term: g.term, Command: cmd}
	g.uncommittedBytes += entrySize(&e)
	g.appendEntries(e)
	return e.Index, e.Term, nil
}

// appendEntries extends the log. Membership entries take effect here.
func (g *Group) appendEntries(es ...state.Entry) {
	g.log.append(es...)
	for i := range es {
		if es[i].Membership != nil {
			g.addMembership(es[i].Index, *es[i].Membership)
		}
	}
}

// truncate drops the log from index on, with the memberships in it. What was
// saved earlier counts only below the cut, even if equal entries return.
func (g *Group) truncate(index uint64) {
	g.log.truncate(index)
	g.taken = min(g.taken, index-1)
	g.persisted = min(g.persisted, index-1)
	for i := range g.saves {
		g.saves[i].index = min(g.saves[i].index, index-1)
	}
	for len(g.memberships) > 0 && g.memberships[len(g.memberships)-1].index >= index {
		g.memberships = g.memberships[:len(g.memberships)-1]
	}
}

// Leader returns the leader this replica knows of, or "", and the current term.
func (g *Group) Leader() (name string, term uint64) { return g.leader, g.term }

// IsLeader reports whether this replica leads. Only HasLease tells whether it may
// decide anything.
func (g *Group) IsLeader() bool { return g.role == leader }

// Committed returns the index of the last entry known to be committed.
func (g *Group) Committed() uint64 { return g.commit }

// GroupID returns the ID of the group this replica belongs to or is joining, or 0.
func (g *Group) GroupID() uint64 { return g.groupID() }
