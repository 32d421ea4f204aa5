package replication

import (
	"encoding/binary"
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/job"
)

// fuzzedGroup returns a replica with a log of a few entries in a group of three members. It
// leads if lead is set.
func fuzzedGroup(t *testing.T, lead bool) *Group {
	var voters []state.Member
	for i, name := range []string{"a", "b", "c"} {
		voters = append(voters, state.Member{Name: name, Incarnation: uint64(i + 1), Address: name, Disk: true})
	}
	entries := []state.Entry{{Index: 1, Term: 1, Membership: &state.Membership{GroupID: 7, Voters: voters}}}
	for i := uint64(2); i <= 4; i++ {
		entries = append(entries, state.Entry{Index: i, Term: 1})
	}
	g := New(Config{Group: "g", Self: voters[0], Rand: rand.New(rand.NewPCG(1, 1)), HardState: state.HardState{Term: 1}, Entries: entries}, time.Second)
	if lead {
		g.campaign(false)
		drainReady(g)
		for _, from := range []uint64{2, 3} {
			m := Message{Type: MsgVoteResponse, Group: "g", GroupID: 7, From: "b", To: "a", FromIncarnation: from, ToIncarnation: 1, Term: g.term}
			if err := g.Step(time.Second, m); err != nil {
				t.Fatal(err)
			}
		}
		if !g.IsLeader() {
			t.Fatal("the replica does not lead")
		}
	}
	return g
}

// drainReady takes all output of a replica, as if everything was stored at once.
func drainReady(g *Group) {
	for range 10 {
		rd := g.Ready()
		if rd.Batch == 0 && len(rd.Messages) == 0 && len(rd.Committed) == 0 {
			return
		}
		if rd.Batch > 0 {
			g.Persisted(rd.Batch)
		}
	}
}

// messageReader builds messages from arbitrary bytes. Most have the right group and
// incarnations, so that they are handled.
type messageReader struct{ data []byte }

func (r *messageReader) byte() byte {
	if len(r.data) == 0 {
		return 0
	}
	b := r.data[0]
	r.data = r.data[1:]
	return b
}

// number returns a small number, one at the end of its range, or any.
func (r *messageReader) number() uint64 {
	switch b := r.byte(); {
	case b < 200:
		return uint64(b % 8)
	case b < 220:
		return math.MaxUint64 - uint64(b%4)
	case b < 235:
		return 1<<62 + uint64(b%3) - 1
	}
	var raw [8]byte
	for i := range raw {
		raw[i] = r.byte()
	}
	return binary.LittleEndian.Uint64(raw[:])
}

func (r *messageReader) message() Message {
	from := 2 + uint64(r.byte()%3)
	m := Message{
		Type: MessageType(r.byte() % 12), Group: "g", GroupID: 7, From: "b", To: "a", FromIncarnation: from, ToIncarnation: 1,
		Term: r.number(), Index: r.number(), LogTerm: r.number(), Commit: r.number(), Hint: r.number(), SentAt: time.Duration(r.number()),
		Reject: r.byte()%2 == 0, Transfer: r.byte()%2 == 0, SenderInGroup: r.byte()%2 == 0, Nonce: r.number(),
	}
	for range r.byte() % 4 {
		e := state.Entry{Index: r.number(), Term: r.number()}
		if r.byte()%8 == 0 {
			e.Membership = &state.Membership{GroupID: 7, Voters: []state.Member{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: from}}}
		}
		m.Entries = append(m.Entries, e)
	}
	if r.byte()%4 == 0 {
		m.Member = &state.Member{Name: "b", Incarnation: from}
		m.Members = []state.Member{*m.Member}
	}
	if r.byte()%4 == 0 {
		m.Snapshot = &state.Snapshot{Index: r.number(), Term: r.number(), Membership: state.Membership{GroupID: 7}, Jobs: &job.Snapshot{}}
		if r.byte()%2 == 0 {
			m.Snapshot.Membership.Voters = []state.Member{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: from}}
		}
	}
	return m
}

// FuzzStep feeds arbitrary messages to a follower and to a leader. It guards against a damaged
// message of a peer that ends the process, and against a log with gaps.
func FuzzStep(f *testing.F) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 9))
		data := make([]byte, 400)
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		f.Add(data, seed%2 == 0)
	}
	f.Fuzz(func(t *testing.T, data []byte, lead bool) {
		g := fuzzedGroup(t, lead)
		r := &messageReader{data}
		now := time.Second
		for range 64 {
			if len(r.data) == 0 {
				break
			}
			now += time.Duration(r.byte()) * time.Millisecond
			_ = g.Step(now, r.message()) // an error means that the message was dropped
			g.Tick(now)
			drainReady(g)
			checkLog(t, g)
		}
	})
}

// checkLog fails the test if the log has gaps, or if entries count as committed that do not exist.
func checkLog(t *testing.T, g *Group) {
	t.Helper()
	for i := range g.log.entries {
		if want := g.log.offset + uint64(i) + 1; g.log.entries[i].Index != want {
			t.Fatalf("entry %d has the index %d", want, g.log.entries[i].Index)
		}
	}
	if g.commit > g.log.last() {
		t.Fatalf("commit index %d, last entry %d", g.commit, g.log.last())
	}
}

// Guards against a damaged message of a peer that ends the process or leaves a gap in the log.
func TestMalformedMessagesAreDropped(t *testing.T) {
	head := Message{Group: "g", GroupID: 7, From: "b", To: "a", FromIncarnation: 2, ToIncarnation: 1}
	for name, c := range map[string]struct {
		lead   bool
		change func(m *Message)
	}{
		"append with a gap": {false, func(m *Message) {
			m.Type, m.Term, m.Index, m.LogTerm, m.Entries = MsgAppend, 2, 4, 1, []state.Entry{{Index: 9, Term: 2}}
		}},
		"append with a stale index": {false, func(m *Message) {
			m.Type, m.Term, m.Index, m.LogTerm, m.Entries = MsgAppend, 2, 4, 1, []state.Entry{{Index: 0, Term: 2}}
		}},
		"append with falling terms": {false, func(m *Message) {
			m.Type, m.Term, m.Index, m.LogTerm, m.Entries = MsgAppend, 2, 4, 1, []state.Entry{{Index: 5, Term: 0}}
		}},
		"entry of a later term": {false, func(m *Message) {
			m.Type, m.Term, m.Index, m.LogTerm, m.Entries = MsgAppend, 2, 4, 1, []state.Entry{{Index: 5, Term: 3}}
		}},
		"term at its end":           {false, func(m *Message) { m.Type, m.Term = MsgAppend, math.MaxUint64 }},
		"vote with a term too high": {false, func(m *Message) { m.Type, m.Term = MsgVote, 1<<63 }},
		"snapshot without voters": {false, func(m *Message) {
			m.Type, m.Term, m.Snapshot = MsgSnapshot, 2, &state.Snapshot{Index: 9, Term: 2, Membership: state.Membership{GroupID: 7}}
		}},
		"no snapshot":              {false, func(m *Message) { m.Type, m.Term = MsgSnapshot, 2 }},
		"ack of missing entries":   {true, func(m *Message) { m.Type, m.Term, m.Index, m.Hint = MsgAppendResponse, 2, 1<<40, 1<<40 }},
		"match of missing entries": {true, func(m *Message) { m.Type, m.Term, m.Hint = MsgAppendResponse, 2, 1<<40 }},
	} {
		g := fuzzedGroup(t, c.lead)
		m := head
		c.change(&m)
		before := g.term
		if err := g.Step(time.Second, m); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
		g.Tick(time.Second + time.Millisecond)
		drainReady(g)
		checkLog(t, g)
		if g.term != before {
			t.Errorf("%s: the term rose from %d to %d", name, before, g.term)
		}
	}
}
