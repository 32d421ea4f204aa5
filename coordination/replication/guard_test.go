package replication

import (
	"errors"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// These tests drive a single replica step by step into situations that random
// histories rarely reach.

const testGroupID = 99

// voters returns members a, b, c, ... with incarnations 1, 2, 3, ... There is one
// argument for each member: whether it has a disk.
func voters(disks ...bool) []state.Member {
	var vs []state.Member
	for i, d := range disks {
		vs = append(vs, state.Member{Name: string(rune('a' + i)), Incarnation: uint64(i + 1), Disk: d})
	}
	return vs
}

// replica returns member a as restored after a restart. Its log holds the first
// membership entry and one entry for each of the given terms.
func replica(vs []state.Member, terms ...uint64) *Group {
	m := state.Membership{GroupID: testGroupID, Voters: vs}
	es := []state.Entry{{Index: 1, Term: 1, Membership: &m}}
	for _, t := range terms {
		es = append(es, state.Entry{Index: uint64(len(es) + 1), Term: t})
	}
	return New(Config{Group: "d", Self: vs[0], Rand: new(counter), Entries: es, HardState: state.HardState{Term: es[len(es)-1].Term}}, 0)
}

// from returns m as a message of a term from v to member a.
func from(v state.Member, term uint64, m Message) Message {
	m.Group, m.GroupID, m.From, m.FromIncarnation, m.To, m.ToIncarnation = "d", testGroupID, v.Name, v.Incarnation, "a", 1
	m.Term = term
	return m
}

func step(t *testing.T, g *Group, now time.Duration, m Message) Ready {
	t.Helper()
	if err := g.Step(now, m); err != nil {
		t.Fatal(err)
	}
	return g.Ready()
}

func find(r Ready, typ MessageType) *Message {
	for i := range r.Messages {
		if r.Messages[i].Type == typ {
			return &r.Messages[i]
		}
	}
	return nil
}

// elect makes g the leader with the vote of b. It returns the time of the election.
func elect(t *testing.T, g *Group, b state.Member) time.Duration {
	t.Helper()
	now := g.NextTick()
	g.Tick(now)
	g.Ready()
	step(t, g, now, from(b, g.term+1, Message{Type: MsgPreVoteResponse}))
	g.Persisted(g.batch)
	step(t, g, now, from(b, g.term, Message{Type: MsgVoteResponse}))
	if !g.IsLeader() {
		t.Fatal("not elected")
	}
	g.Persisted(g.batch)
	return now
}

func ack(v state.Member, g *Group, index uint64) Message {
	return from(v, g.term, Message{Type: MsgAppendResponse, Index: index, Hint: index, SentAt: g.now})
}

// Guards against a vote that is sent before it is synced: after a crash the replica
// could vote twice in a term.
func TestVoteWaitsForSync(t *testing.T) {
	vs := voters(true, true, true)
	g := replica(vs)
	r := step(t, g, time.Second, from(vs[1], 2, Message{Type: MsgVote, Index: 1, LogTerm: 1}))
	if r.Batch == 0 || !r.MustSync || find(r, MsgVoteResponse) != nil {
		t.Fatalf("batch %d, messages %v", r.Batch, r.Messages)
	}
	g.Persisted(r.Batch)
	if m := find(g.Ready(), MsgVoteResponse); m == nil || m.Reject {
		t.Fatal("no vote after the sync")
	}
}

// Guards against a candidate that requests votes before its term and its own vote
// are synced: after a crash it could vote for another candidate in the same term.
func TestCandidacyWaitsForSync(t *testing.T) {
	vs := voters(true, true, true)
	g := replica(vs)
	g.Tick(g.NextTick())
	r := step(t, g, g.now, from(vs[1], 2, Message{Type: MsgPreVoteResponse}))
	if find(r, MsgVote) != nil {
		t.Fatal("votes were requested before the term was synced")
	}
	step(t, g, g.now, from(vs[1], 2, Message{Type: MsgVoteResponse}))
	if g.IsLeader() {
		t.Fatal("elected with an own vote that is not synced")
	}
	g.Persisted(r.Batch)
	if !g.IsLeader() {
		t.Fatal("not elected after the sync")
	}
}

// Guards against an entry that is acknowledged before it is synced and is lost in a
// crash.
func TestAppendAnswerWaitsForSync(t *testing.T) {
	vs := voters(true, true, true)
	g := replica(vs)
	r := step(t, g, 0, from(vs[1], 1, Message{Type: MsgAppend, Index: 1, LogTerm: 1, Entries: []state.Entry{{Index: 2, Term: 1}}}))
	if find(r, MsgAppendResponse) != nil {
		t.Fatal("answered before the sync")
	}
	hb := step(t, g, 0, from(vs[1], 1, Message{Type: MsgAppend, Index: 2, LogTerm: 1, SentAt: 7}))
	if m := find(hb, MsgAppendResponse); m == nil || m.Index != 1 || m.SentAt != 7 {
		t.Fatalf("heartbeat answer %+v, want the synced index 1", m)
	}
	g.Persisted(r.Batch)
	if m := find(g.Ready(), MsgAppendResponse); m == nil || m.Index != 2 {
		t.Fatalf("answer %+v, want index 2", m)
	}
}

// Guards against a vote within 500 ms of a restart: the replica may have
// acknowledged a heartbeat before the restart, and the leader's lease is still valid.
func TestNoVoteRightAfterRestart(t *testing.T) {
	vs := voters(true, true, true)
	g := replica(vs)
	voteRequest := from(vs[1], 2, Message{Type: MsgVote, Index: 1, LogTerm: 1})
	if m := find(step(t, g, minElectionTimeout-1, voteRequest), MsgVoteResponse); m == nil || !m.Reject || g.term != 1 {
		t.Fatal("voted too early")
	}
	if step(t, g, minElectionTimeout, voteRequest); g.vote != voteID("b", 2) {
		t.Fatal("did not vote after the wait")
	}
}

// Guards against two leaders in a term: an earlier incarnation of a member and its
// replacement both request the vote of this replica.
func TestVoteIncludesIncarnation(t *testing.T) {
	vs := voters(true, true, true)
	g := replica(vs)
	step(t, g, time.Second, from(vs[1], 2, Message{Type: MsgVote, Index: 1, LogTerm: 1}))
	other := vs[1]
	other.Incarnation = 77
	step(t, g, time.Second, from(other, 2, Message{Type: MsgVote, Index: 1, LogTerm: 1}))
	g.Persisted(g.batch)
	rejected := 0
	for _, m := range g.Ready().Messages {
		if m.Type == MsgVoteResponse && m.Reject {
			rejected++
		}
	}
	if rejected != 1 {
		t.Fatalf("%d votes refused, want that of the other incarnation", rejected)
	}
}

// Guards against a group of three that has no majority after one failure because
// the third member started late, when the first entry was already compacted, and
// does not vote with its empty log.
func TestEmptyInitialMemberVotes(t *testing.T) {
	vs := voters(true, true, true)
	g := New(Config{Group: "d", Self: vs[0], Rand: new(counter), InitialMembers: []string{"a", "b", "c"}}, 0)
	g.Tick(0)
	answer := from(vs[1], 0, Message{Type: MsgJoinResponse, SenderInGroup: true, Nonce: g.nonce, Member: &vs[1], Members: vs})
	step(t, g, 0, answer)
	step(t, g, time.Second, from(vs[1], 3, Message{Type: MsgVote, Index: 50, LogTerm: 2}))
	if g.vote != voteID("b", 2) {
		t.Fatal("a listed member that is empty does not vote")
	}
}

// Guards against the commit of an earlier term's entry by counting copies: a
// candidate with a later term could still replace it.
func TestCommitOnlyOwnTerm(t *testing.T) {
	vs := voters(true, true, true)
	g := replica(vs, 2, 2)
	now := elect(t, g, vs[1])
	step(t, g, now, ack(vs[1], g, 3))
	if g.Committed() != 0 {
		t.Fatalf("committed %d by counting entries of an earlier term", g.Committed())
	}
	step(t, g, now, ack(vs[1], g, 4))
	if g.Committed() != 4 {
		t.Fatalf("committed %d, want 4", g.Committed())
	}
}

// Guards against disjoint majorities, which arise from a second membership change
// before the first is committed, or from a change before an entry of the current
// term is committed.
func TestOneMembershipChangeAtATime(t *testing.T) {
	vs := voters(true, true, true, true, true)
	g := replica(vs)
	step(t, g, 0, from(vs[1], 1, Message{Type: MsgAppend, Index: 1, LogTerm: 1, Commit: 1}))
	now := electOfFive(t, g, vs)
	for _, v := range vs[1:] {
		step(t, g, now, ack(v, g, 1))
	}
	if err := g.RemoveMember(now, "e"); !errors.Is(err, ErrChangePending) {
		t.Fatalf("change before an entry of the current term is committed: %v", err)
	}
	for _, v := range vs[1:] {
		step(t, g, now, ack(v, g, 2))
	}
	if err := g.RemoveMember(now, "e"); err != nil {
		t.Fatal(err)
	}
	if err := g.RemoveMember(now, "d"); !errors.Is(err, ErrChangePending) {
		t.Fatalf("second change while one is pending: %v", err)
	}
}

// electOfFive makes g the leader of five voters with the votes of b and c. It
// returns the time of the election.
func electOfFive(t *testing.T, g *Group, vs []state.Member) time.Duration {
	t.Helper()
	now := g.NextTick()
	g.Tick(now)
	term := g.term + 1
	for _, typ := range []MessageType{MsgPreVoteResponse, MsgVoteResponse} {
		for _, v := range vs[1:3] {
			step(t, g, now, from(v, term, Message{Type: typ}))
		}
		g.Persisted(g.batch)
	}
	g.Ready()
	g.Persisted(g.batch)
	if !g.IsLeader() {
		t.Fatal("not elected")
	}
	return now
}

// Guards against a commit of entries that are held only in memory although a voter
// has a disk.
func TestCommitNeedsADiskCopy(t *testing.T) {
	vs := voters(false, true, false)
	g := replica(vs)
	now := elect(t, g, vs[1])
	step(t, g, now, ack(vs[2], g, 2))
	if g.Committed() != 0 {
		t.Fatal("committed by memory members only")
	}
	step(t, g, now, ack(vs[1], g, 2))
	if g.Committed() != 2 {
		t.Fatalf("committed %d, want 2", g.Committed())
	}
}

// Guards against two lease holders after a transfer: the message to the successor
// may arrive late, and the election that it starts ignores the lease.
func TestTransferEndsLease(t *testing.T) {
	vs := voters(true, true, true)
	g := replica(vs)
	now := elect(t, g, vs[1])
	step(t, g, now, ack(vs[1], g, 2))
	if err := g.TransferLeadership(now, "b"); err != nil {
		t.Fatal(err)
	}
	if find(g.Ready(), MsgTransferLeader) == nil || g.IsLeader() || g.HasLease(now) {
		t.Fatal("still leads after the transfer was sent")
	}
}

// Guards against reads and proposals after the lease has expired. The lease ends
// 400 ms after the sending of the message that a majority acknowledged, whenever the
// acknowledgements arrive.
func TestLeaseCountsFromSending(t *testing.T) {
	vs := voters(true, true, true)
	g := replica(vs)
	sent := elect(t, g, vs[1])
	m := ack(vs[1], g, 2)
	step(t, g, sent+300*time.Millisecond, m)
	if _, ok := g.ReadIndex(sent + leaseDuration - 1); !ok {
		t.Error("no read within the lease")
	}
	if _, ok := g.ReadIndex(sent + leaseDuration); ok {
		t.Error("read after the lease")
	}
	if _, _, err := g.Propose(sent+leaseDuration, state.Command{}); !errors.Is(err, ErrLeaseExpired) {
		t.Errorf("proposal after the lease: %v", err)
	}
}

// Guards against accepting messages from or for another incarnation of a member, or
// from another group.
func TestIncarnationsAreChecked(t *testing.T) {
	vs := voters(true, true, true)
	g := replica(vs)
	g.Tick(g.NextTick())
	unlisted := vs[1]
	unlisted.Incarnation = 77
	if err := g.Step(g.now, from(unlisted, 2, Message{Type: MsgPreVoteResponse})); !errors.Is(err, ErrUnknownSender) {
		t.Errorf("answer of an unlisted incarnation: %v", err)
	}
	m := from(vs[1], 2, Message{Type: MsgPreVoteResponse})
	m.ToIncarnation = 77
	if err := g.Step(g.now, m); !errors.Is(err, ErrWrongIncarnation) {
		t.Errorf("answer for another incarnation: %v", err)
	}
	m = from(vs[1], 2, Message{Type: MsgPreVoteResponse})
	m.GroupID++
	if err := g.Step(g.now, m); !errors.Is(err, ErrWrongGroup) {
		t.Errorf("answer of an earlier group: %v", err)
	}
}

// Guards against replication traffic that grows with the number of proposals: each
// proposal was sent to each follower in a message of its own, and acknowledged in another.
func TestEntriesWaitForTheLastAppend(t *testing.T) {
	vs := voters(true, true, true)
	g := replica(vs)
	now := elect(t, g, vs[1])
	step(t, g, now, ack(vs[1], g, 2))
	propose := func() Ready {
		if _, _, err := g.Propose(now, state.Command{}); err != nil {
			t.Fatal(err)
		}
		return g.Ready()
	}
	first := find(propose(), MsgAppend)
	if first == nil || len(first.Entries) != 1 || first.To != "b" {
		t.Fatalf("the first entry was not sent to b: %+v", first)
	}
	for range 10 {
		if m := find(propose(), MsgAppend); m != nil {
			t.Fatalf("%d entries were sent to %s before it acknowledged the last append", len(m.Entries), m.To)
		}
	}
	next := find(step(t, g, now, ack(vs[1], g, 3)), MsgAppend)
	if next == nil || len(next.Entries) != 10 {
		t.Errorf("after the acknowledgement: %+v; want one append of the 10 entries that waited", next)
	}
}
