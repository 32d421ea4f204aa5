package replicationtest

import (
	"hash/fnv"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
)

// position is an index in the log of one group.
type position struct{ group, index uint64 }

// version identifies an entry and, by a chained digest, all entries before it.
type version struct{ term, chain uint64 }

// entryKey identifies an entry by group, index and term.
type entryKey struct {
	position
	term uint64
}

// leadership identifies a term of one group.
type leadership struct{ group, term uint64 }

// checker records the entries, leaders and memberships seen so far, and the first
// violation of an invariant.
type checker struct {
	err       error
	committed map[position]version // entries as first applied
	// commitTerm is the term of the process that was the first to apply the entry.
	// It is not lower than the term in which the entry was committed.
	commitTerm          map[position]uint64
	highest             map[uint64]uint64               // highest committed index by group
	entryDigests        map[entryKey]uint64             // chained digest of each entry
	leaders             map[leadership]uint64           // incarnation of the leader
	admitted            map[position]bool               // incarnations that a membership listed; position.index holds the incarnation
	seenMemberships     map[position][]state.Membership // every membership seen at a position
	committedMembership map[uint64]uint64               // index of the last committed membership by group
}

func newChecker() checker {
	return checker{
		committed: map[position]version{}, commitTerm: map[position]uint64{}, highest: map[uint64]uint64{}, entryDigests: map[entryKey]uint64{},
		leaders: map[leadership]uint64{}, admitted: map[position]bool{}, seenMemberships: map[position][]state.Membership{}, committedMembership: map[uint64]uint64{},
	}
}

func (k *checker) fail(format string, args ...any) {
	if k.err == nil {
		k.err = errors.Errorf(format, args...)
	}
}

// digest extends the digest of a sequence of entries by one entry.
func digest(before uint64, e state.Entry) uint64 {
	h := fnv.New64a()
	add := func(vs ...uint64) {
		var b []byte
		for _, v := range vs {
			b = append(strconv.AppendUint(b, v, 36), ' ')
		}
		_, _ = h.Write(b)
	}
	add(before, e.Index, e.Term)
	if f := e.Command.Prune; f != nil {
		add(uint64(f.HorizonS))
	}
	if e.Membership != nil {
		add(e.Membership.GroupID)
		for _, v := range e.Membership.Voters {
			add(v.Incarnation)
			_, _ = h.Write([]byte(v.Name + v.Address))
		}
	}
	return h.Sum64()
}

// memoryLog holds the chained digests of the entries in a process's log, as computed
// from the output of its replica.
type memoryLog struct {
	first    uint64 // index before the first version
	base     uint64 // chained digest up to first
	versions []version
}

func (l *memoryLog) add(e state.Entry) version {
	if e.Index <= l.first {
		return version{}
	}
	l.versions = l.versions[:e.Index-l.first-1]
	before := l.base
	if n := len(l.versions); n > 0 {
		before = l.versions[n-1].chain
	}
	v := version{e.Term, digest(before, e)}
	l.versions = append(l.versions, v)
	return v
}

// at returns the version at an index, or false if the log has none.
func (l *memoryLog) at(index uint64) (version, bool) {
	if index <= l.first || index > l.first+uint64(len(l.versions)) {
		return version{}, false
	}
	return l.versions[index-l.first-1], true
}

// ready checks the output of a replica: entries, votes and leadership. Only listed
// incarnations may vote.
func (k *checker) ready(p *Process, r *replication.Ready) {
	group := p.Group.GroupID()
	if r.Snapshot != nil {
		k.recordMembership(r.Snapshot.Index, r.Snapshot.Membership)
	}
	for _, e := range r.Entries {
		k.entry(group, p, e)
	}
	for _, m := range r.Messages {
		vote := m.Type == replication.MsgVoteResponse || m.Type == replication.MsgPreVoteResponse
		if vote && !m.Reject && !k.admitted[position{m.GroupID, m.FromIncarnation}] {
			k.fail("%s/%x votes, but no membership of group %x lists it", m.From, m.FromIncarnation, m.GroupID)
		}
	}
	if p.Group.IsLeader() {
		k.leader(group, p)
	}
}

// entry checks Log Matching: an entry with equal index and term is the same in all
// logs, with the same entries before it.
func (k *checker) entry(group uint64, p *Process, e state.Entry) {
	if e.Membership != nil {
		k.recordMembership(e.Index, *e.Membership)
	}
	v := p.log.add(e)
	at := entryKey{position{group, e.Index}, e.Term}
	if old, ok := k.entryDigests[at]; ok && old != v.chain {
		k.fail("logs do not match: %s has another entry or history at index %d term %d", p.Self.Name, e.Index, e.Term)
	}
	k.entryDigests[at] = v.chain
}

func (k *checker) recordMembership(index uint64, m state.Membership) {
	for _, v := range m.Voters {
		k.admitted[position{m.GroupID, v.Incarnation}] = true
	}
	at := position{m.GroupID, index}
	k.seenMemberships[at] = append(k.seenMemberships[at], m)
}

// leader checks Election Safety (a term has at most one leader), Leader Completeness
// for a new leader, and that reads on the leader see all committed entries.
func (k *checker) leader(group uint64, p *Process) {
	_, term := p.Group.Leader()
	l := leadership{group, term}
	highest := k.highest[group]
	inc, known := k.leaders[l]
	if known && inc != p.Self.Incarnation {
		k.fail("two leaders in term %d: %x and %s/%x", term, inc, p.Self.Name, p.Self.Incarnation)
	}
	k.leaders[l] = p.Self.Incarnation
	if !known {
		k.leaderCompleteness(group, p, term)
	}
	if index, ok := p.Group.ReadIndex(p.Now()); ok && index < highest {
		k.fail("%s answers reads at index %d, but %d is committed", p.Self.Name, index, highest)
	}
}

// leaderCompleteness checks that a new leader has every entry that was committed in
// an earlier term. Delayed votes may elect a leader of a term that has already been
// superseded; that leader need not have the entries committed in later terms.
func (k *checker) leaderCompleteness(group uint64, p *Process, term uint64) {
	index := k.highest[group]
	for index > 0 && k.commitTerm[position{group, index}] >= term {
		index--
	}
	v, ok := p.log.at(index)
	if index > p.log.first && (!ok || v != k.committed[position{group, index}]) {
		k.fail("%s became leader of term %d without the committed entry %d", p.Self.Name, term, index)
	}
}

// applied checks State Machine Safety: all members apply the same entries in the
// same order, and committed entries do not change.
func (k *checker) applied(p *Process, e state.Entry) {
	group := p.Group.GroupID()
	at := position{group, e.Index}
	v := version{e.Term, p.state}
	old, ok := k.committed[at]
	if ok && old != v {
		k.fail("%s applies a different entry or history at index %d (term %d, committed in term %d)", p.Self.Name, e.Index, e.Term, old.term)
	}
	if !ok {
		k.committed[at] = v
		_, k.commitTerm[at] = p.Group.Leader()
		k.highest[group] = max(k.highest[group], e.Index)
		p.c.Committed++
	}
	if e.Membership != nil {
		k.committedMembership[group] = max(k.committedMembership[group], e.Index)
	}
}

// leases checks that at most one process, running or paused, holds a lease.
func (k *checker) leases(c *Cluster) {
	var holder *Process
	for _, p := range c.procs {
		if p.Group == nil || !p.Group.HasLease(p.Now()) {
			continue
		}
		if holder != nil && holder.Group.GroupID() == p.Group.GroupID() {
			k.fail("%s and %s both hold a lease at %s", holder.Self.Name, p.Self.Name, c.now)
		}
		holder = p
	}
}
