package protocol

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/protocol/peerv1"
	"github.com/primrosereach/primrosereach/state"
)

// EncodeMessage returns the transmitted form of a replication message.
func EncodeMessage(m *replication.Message) (*peerv1.Message, error) {
	out := &peerv1.Message{
		Type: m.Type.String(), Group: m.Group, GroupId: m.GroupID, From: m.From, To: m.To,
		FromIncarnation: m.FromIncarnation, ToIncarnation: m.ToIncarnation, Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Hint: m.Hint, SentAtNs: int64(m.SentAt),
		Reject: m.Reject, Transfer: m.Transfer, Leaving: m.Leaving, Known: m.SenderInGroup, Nonce: m.Nonce,
	}
	if m.Member != nil {
		out.Member = encodeMember(m.Member)
	}
	for i := range m.Members {
		out.Members = append(out.Members, encodeMember(&m.Members[i]))
	}
	for i := range m.Entries {
		e, err := encodeEntry(&m.Entries[i])
		if err != nil {
			return nil, errors.Wrapf(err, "encode entry %d of %s", m.Entries[i].Index, m.Group)
		}
		out.Entries = append(out.Entries, e)
	}
	if m.Snapshot != nil {
		s, err := encodeSnapshot(m.Snapshot)
		if err != nil {
			return nil, errors.Wrapf(err, "encode snapshot of %s", m.Group)
		}
		out.Snapshot = s
	}
	return out, nil
}

// DecodeMessage is the inverse of EncodeMessage.
func DecodeMessage(m *peerv1.Message) (replication.Message, error) {
	out := replication.Message{
		Type: replication.ParseMessageType(m.Type), Group: m.Group, GroupID: m.GroupId, From: m.From, To: m.To,
		FromIncarnation: m.FromIncarnation, ToIncarnation: m.ToIncarnation, Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Hint: m.Hint, SentAt: time.Duration(m.SentAtNs),
		Reject: m.Reject, Transfer: m.Transfer, Leaving: m.Leaving, SenderInGroup: m.Known, Nonce: m.Nonce,
	}
	if out.Type == 0 {
		return out, errors.Errorf("decode message from %s: unknown type %q", m.From, m.Type)
	}
	if m.Member != nil {
		member := decodeMember(m.Member)
		out.Member = &member
	}
	for _, v := range m.Members {
		out.Members = append(out.Members, decodeMember(v))
	}
	for _, e := range m.Entries {
		entry, err := decodeEntry(e)
		if err != nil {
			return out, errors.Wrapf(err, "decode entry %d from %s", e.Index, m.From)
		}
		out.Entries = append(out.Entries, entry)
	}
	if m.Snapshot != nil {
		s, err := decodeSnapshot(m.Snapshot)
		if err != nil {
			return out, errors.Wrapf(err, "decode snapshot from %s", m.From)
		}
		out.Snapshot = s
	}
	return out, nil
}

func encodeMember(m *state.Member) *peerv1.Member {
	return &peerv1.Member{Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, Domain: m.Domain, Disk: m.Disk}
}

func decodeMember(m *peerv1.Member) state.Member {
	return state.Member{Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, Domain: m.Domain, Disk: m.Disk}
}

func encodeMembership(m *state.Membership) *peerv1.Membership {
	out := &peerv1.Membership{GroupId: m.GroupID, Replaced: m.Replaced, Replacement: m.Replacement}
	for i := range m.Voters {
		out.Voters = append(out.Voters, encodeMember(&m.Voters[i]))
	}
	return out
}

func decodeMembership(m *peerv1.Membership) state.Membership {
	out := state.Membership{GroupID: m.GetGroupId(), Replaced: m.GetReplaced(), Replacement: m.GetReplacement()}
	for _, v := range m.GetVoters() {
		out.Voters = append(out.Voters, decodeMember(v))
	}
	return out
}

func encodeEntry(e *state.Entry) (*peerv1.Entry, error) {
	out := &peerv1.Entry{Index: e.Index, Term: e.Term}
	if e.Command != (state.Command{}) {
		b, err := state.EncodeCommand(e.Command)
		if err != nil {
			return nil, err
		}
		out.Command = b
	}
	if e.Membership != nil {
		out.Membership = encodeMembership(e.Membership)
	}
	return out, nil
}

func decodeEntry(e *peerv1.Entry) (state.Entry, error) {
	out := state.Entry{Index: e.Index, Term: e.Term}
	if len(e.Command) > 0 {
		c, err := state.DecodeCommand(e.Command)
		if err != nil {
			return out, err
		}
		out.Command = c
	}
	if e.Membership != nil {
		m := decodeMembership(e.Membership)
		out.Membership = &m
	}
	return out, nil
}

// encodeSnapshot encodes the state in its stored form, without the index, term and
// membership, since the message has its own fields for them.
func encodeSnapshot(s *state.Snapshot) (*peerv1.Snapshot, error) {
	b, err := json.Marshal(state.Snapshot{Domain: s.Domain, Cell: s.Cell, Jobs: s.Jobs})
	if err != nil {
		return nil, err
	}
	return &peerv1.Snapshot{Index: s.Index, Term: s.Term, Membership: encodeMembership(&s.Membership), State: b}, nil
}

func decodeSnapshot(s *peerv1.Snapshot) (*state.Snapshot, error) {
	out := &state.Snapshot{}
	if err := json.Unmarshal(s.State, out); err != nil {
		return nil, err
	}
	out.Index, out.Term, out.Membership = s.Index, s.Term, decodeMembership(s.Membership)
	return out, nil
}

// EncodeOperation returns the forwarded form of an operation.
func EncodeOperation(op Operation) *peerv1.ForwardRequest {
	return &peerv1.ForwardRequest{
		Name: string(op.Name), Role: string(op.Identity.Role), Identity: op.Identity.Name, Team: op.Identity.Team,
		Target: op.Target, Domain: op.Domain, WaitMs: op.Wait.Milliseconds(), AgeMs: op.Age.Milliseconds(), Body: op.Body,
	}
}

// DecodeOperation is the inverse of EncodeOperation.
func DecodeOperation(r *peerv1.ForwardRequest) Operation {
	return Operation{
		Name:     OperationName(r.Name),
		Identity: Identity{Role: Role(r.Role), Name: r.Identity, Team: r.Team},
		Target:   r.Target, Domain: r.Domain, Body: r.Body,
		Wait: time.Duration(r.WaitMs) * time.Millisecond, Age: time.Duration(r.AgeMs) * time.Millisecond,
	}
}

// EncodeResult returns the transmitted form of a result.
func EncodeResult(r Result) *peerv1.ForwardResponse {
	return &peerv1.ForwardResponse{
		Status: int32(r.Status), Body: r.Body, Code: string(r.Code),
		RedirectName: r.RedirectName, RedirectAddress: r.RedirectAddress,
	}
}

// DecodeResult is the inverse of EncodeResult.
func DecodeResult(r *peerv1.ForwardResponse) Result {
	return Result{
		Status: int(r.Status), Body: r.Body, Code: Code(r.Code),
		RedirectName: r.RedirectName, RedirectAddress: r.RedirectAddress,
	}
}
