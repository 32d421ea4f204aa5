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
	ErrChangePending  = errors.New("a membership change is pending or no entry of the term is committed yet")
	ErrNoMember       = errors.New("no such member")
	ErrRemoveLeader   = errors.New("the leader cannot be removed, transfer leadership first")
	ErrNoQuorum       = errors.New("the remaining members would have no majority in contact")
)

// Errors that Step returns for dropped messages.
var (
	ErrWrongGroup       = errors.New("message of another group")
	ErrWrongIncarnation = errors.New("message for another incarnation")
	ErrUnknownSender    = errors.New("sender is not in the membership")
	ErrMalformed        = errors.New("malformed message")
)

// Rand is a seeded source of random numbers.
type Rand interface{ Uint64() uint64 }

// Config holds the settings and the saved state of a replica.
type Config struct {
	Group          string
	Self           state.Member
	Rand           Rand
	HardState      state.HardState
	Snapshot       *state.Snapshot // last saved snapshot, or nil
	Entries        []state.Entry   // saved log; entries that the snapshot covers are skipped
	InitialMembers []string        // names of the initial members, the same list on all of them
	Contacts       []state.Member  // further processes that receive join requests, by name and address
	AllowAnyName   bool            // processes whose names are not in InitialMembers may join without AllowMember
	MaxVoters      int             // number of voters above which further processes stay spares; 0 for no limit
	// RepairTime is the time from the start of a replacement process until another voter may
	// be lost; 0 for a default of 4 s. A spare has replaced a lost voter by then.
	RepairTime time.Duration
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// pendingSave describes a Ready whose contents have not been reported as synced.
type pendingSave struct {
	batch       uint64
	index       uint64 // index of the last entry that the save covers; lowered when the log is truncated
	hardVersion uint64
}

// heldMessage is a message that is sent when the term and vote of version hardVersion
// are synced.
type heldMessage struct {
	hardVersion uint64
	m           Message
}

// membershipAt is a membership and the log index of its entry.
type membershipAt struct {
	index uint64
	state.Membership
}

// Group is one replica of a replication group. It is not safe for concurrent use.
type Group struct {
	cfg  Config
	self state.Member
	now  time.Duration

	term        uint64
	vote        string // voteID of the candidate voted for in term
	hardVersion uint64 // incremented at each change of term or vote
	hardEmitted uint64 // version last returned by Ready
	hardSynced  uint64 // version last reported as synced

	log          entryLog
	snapshot     *state.Snapshot
	installing   *state.Snapshot // received, not returned by Ready yet
	commit       uint64
	applied      uint64 // index of the last entry returned by Ready for applying
	emitted      uint64 // index of the last entry returned by Ready for saving
	persisted    uint64 // index of the last synced entry
	pendingSaves []pendingSave
	batch        uint64
	memberships  []membershipAt // in index order; the last one is in force
	// wasVoterInPruned is set if this incarnation was a voter in a committed
	// membership that has been pruned.
	wasVoterInPruned bool

	leaving     bool // set by Leave
	role        role
	leader      string
	lastContact time.Duration   // time of the last message from a leader
	electionAt  time.Duration   // time of the next election timeout
	votes       map[uint64]bool // votes granted, by incarnation

	// State of a follower, reset when the term changes.
	verified   uint64   // index up to which the log is known to match that of the leader of this term
	pendingAck *Message // header of the latest append whose response waits for a sync, or nil

	// State of a leader.
	electedAt        time.Duration
	termStart        uint64 // index of the first entry of the term
	peers            []*progress
	uncommittedBytes int
	allowedNames     map[string]bool // names that may join as new members
	transferTo       string          // name of the voter that is to become leader, or ""
	transferDeadline time.Duration   // time at which a pending transfer is abandoned

	// State of a replica that joins or bootstraps the group.
	joinAt              time.Duration           // time of the next join requests
	joinGroupID         uint64                  // ID of the group that answered a join request, or 0
	contacts            []state.Member          // voters of that group, as last reported
	nonce               uint64                  // sent in join requests; a response with another nonce is ignored
	reportedEmptyTo     map[uint64]bool         // incarnations to which this replica has reported that it is empty
	emptyReplicas       map[string]emptyReplica // empty replicas that answered a join request, by name
	unreportedBootstrap bool                    // this process created the group and has reported it to no other replica yet

	held    []heldMessage // messages that wait for a sync of term and vote
	outbox  []Message     // messages for the next Ready
	notices []Notice      // notices for the next Ready

	declinedAt time.Duration // time of the last NoticeJoinDeclined, or 0
	joiningAt  time.Duration // time of the last NoticeJoining, or 0
}

// New restores a replica from its saved state. A replica without a membership
// joins the group or takes part in its bootstrap.
func New(c Config, now time.Duration) *Group {
	g := &Group{
		cfg: c, self: c.Self, now: now,
		term: c.HardState.Term, vote: c.HardState.Vote,
		snapshot:     c.Snapshot,
		allowedNames: map[string]bool{}, reportedEmptyTo: map[uint64]bool{}, emptyReplicas: map[string]emptyReplica{},
		nonce: c.Rand.Uint64(), joinAt: now,
		// The replica may have acknowledged a heartbeat just before it was restarted.
		// Assuming so keeps it from voting while the leader's lease may still be valid.
		lastContact: now,
	}
	for _, name := range c.InitialMembers {
		g.allowedNames[name] = true
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
	g.emitted, g.persisted = g.log.last(), g.log.last()
	g.term = max(g.term, g.log.lastTerm())
	g.resetElection()
	g.startSingleMember()
	return g
}

// startSingleMember bootstraps the group if this replica is its only initial
// member, and starts an election at once if it is the only voter: there is no other
// member to wait for.
func (g *Group) startSingleMember() {
	if g.membership() == nil && len(g.cfg.InitialMembers) == 1 && g.cfg.InitialMembers[0] == g.self.Name {
		g.bootstrap()
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

func (g *Group) isVoter() bool { return containsIncarnation(g.voters(), g.self.Incarnation) }

func containsIncarnation(voters []state.Member, incarnation uint64) bool {
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
	return g.joinGroupID
}

// advanceClock sets the current time. A leader that has been out of contact with a
// majority for contactTimeout, for example because the process was paused, steps
// down before it handles anything else.
func (g *Group) advanceClock(now time.Duration) {
	g.now = max(g.now, now)
	if g.role == leader && g.now-g.quorumContact() >= contactTimeout {
		g.becomeFollower(g.term, "")
	}
}

// Step handles a message from another replica. The error is the reason why the
// message was dropped; the caller needs only to log or count it.
func (g *Group) Step(now time.Duration, m Message) error {
	g.advanceClock(now)
	if err := g.validate(&m); err != nil {
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

// validate checks that a message is addressed to this group and incarnation, and
// that a vote response comes from a voter and an append response from a peer.
func (g *Group) validate(m *Message) error {
	if m.Group != g.cfg.Group || m.To != g.self.Name {
		return ErrWrongGroup
	}
	anyIncarnation := m.Type == MsgJoin && m.ToIncarnation == 0
	if m.ToIncarnation != g.self.Incarnation && !anyIncarnation {
		return ErrWrongIncarnation
	}
	if !g.isWellFormed(m) {
		return ErrMalformed
	}
	switch m.Type {
	case MsgJoin:
		if m.Member == nil || m.Member.Name != m.From || m.Member.Incarnation != m.FromIncarnation {
			return ErrMalformed
		}
		return nil
	case MsgJoinResponse:
		return nil
	}
	if m.GroupID == 0 || m.GroupID != g.groupID() {
		return ErrWrongGroup
	}
	switch m.Type {
	case MsgPreVoteResponse, MsgVoteResponse:
		if !containsIncarnation(g.voters(), m.FromIncarnation) {
			return ErrUnknownSender
		}
	case MsgAppendResponse:
		if g.role == leader && g.peer(m.FromIncarnation) == nil {
			return ErrUnknownSender
		}
		if g.role == leader && m.Term == g.term && !m.Reject && max(m.Index, m.Hint) > g.log.last() {
			return ErrMalformed // it acknowledges entries that this leader does not have
		}
	}
	return nil
}

// Tick performs the actions that are due: heartbeats, elections and join requests.
func (g *Group) Tick(now time.Duration) {
	g.advanceClock(now)
	if g.role == leader {
		g.tickLeader()
	} else if g.isVoter() && g.now >= g.electionAt {
		g.handleElectionTimeout()
	}
	if g.needsJoin() && g.now >= g.joinAt {
		g.sendJoins()
	}
}

// NextTick returns the time at which Tick must be called next. It is at most one
// hour ahead.
func (g *Group) NextTick() time.Duration {
	next := g.now + time.Hour
	if g.role == leader {
		next = min(next, g.nextLeaderTick())
	} else if g.isVoter() {
		next = min(next, g.electionAt)
	}
	if g.needsJoin() {
		next = min(next, g.joinAt)
	}
	return next
}

// maxPending and maxPendingBytes limit the uncommitted entries of a leader. At 130
// task starts per second, maxPending corresponds to half a minute of work.
const (
	maxPending      = 4096
	maxPendingBytes = 8 << 20
)

// Propose appends a command to the leader's log. The command is accepted when it
// appears in Ready.Committed with the returned index and term. An entry of another
// term at that index means that a new leader has overwritten the command.
func (g *Group) Propose(now time.Duration, cmd state.Command) (index, term uint64, err error) {
	g.advanceClock(now)
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
	g.uncommittedBytes += EntrySize(&e)
	g.appendEntries(e)
	return e.Index, e.Term, nil
}

// appendEntries appends to the log. A membership takes effect when its entry is
// appended, not when the entry is committed.
func (g *Group) appendEntries(es ...state.Entry) {
	g.log.append(es...)
	for i := range es {
		if es[i].Membership != nil {
			g.addMembership(es[i].Index, *es[i].Membership)
		}
	}
}

// truncate removes the entries from index on and the memberships in them. Earlier
// saves then count as synced only below index, even if equal entries are appended
// again.
func (g *Group) truncate(index uint64) {
	g.log.truncate(index)
	g.emitted = min(g.emitted, index-1)
	g.persisted = min(g.persisted, index-1)
	for i := range g.pendingSaves {
		g.pendingSaves[i].index = min(g.pendingSaves[i].index, index-1)
	}
	for len(g.memberships) > 0 && g.memberships[len(g.memberships)-1].index >= index {
		g.memberships = g.memberships[:len(g.memberships)-1]
	}
}

// Leader returns the name of the known leader, or "", and the current term.
func (g *Group) Leader() (name string, term uint64) { return g.leader, g.term }

// IsLeader reports whether this replica is the leader of its term. It may make
// decisions only while HasLease is true as well.
func (g *Group) IsLeader() bool { return g.role == leader }

// Committed returns the index of the last entry known to be committed.
func (g *Group) Committed() uint64 { return g.commit }

// GroupID returns the ID of the group this replica belongs to or is joining, or 0.
func (g *Group) GroupID() uint64 { return g.groupID() }
