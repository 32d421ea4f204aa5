package replication

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// MessageType selects the meaning of a Message's fields.
type MessageType uint8

// Message types. The values are not stable across releases; encodings use names.
const (
	MsgJoin            MessageType = iota + 1 // Member, Nonce, SentAt: requests the group's voters and admission to the group
	MsgJoinResponse                           // Member, Nonce; of an empty replica SentAt; of a member SenderInGroup, Members, Entries: the group's first entry if it lists the joiner and is not compacted
	MsgPreVote                                // Term: term of the vote that would follow; Index, LogTerm: last entry
	MsgPreVoteResponse                        // Reject
	MsgVote                                   // Index, LogTerm: last entry; Transfer
	MsgVoteResponse                           // Reject
	MsgAppend                                 // Index, LogTerm: entry before Entries; Commit, SentAt
	MsgAppendResponse                         // Index, Hint, Reject, SentAt, Leaving
	MsgSnapshot                               // Snapshot, SentAt
	MsgTransferLeader                         // the receiver starts an election at once
)

var messageNames = [...]string{
	MsgJoin: "join", MsgJoinResponse: "join_response", MsgPreVote: "pre_vote", MsgPreVoteResponse: "pre_vote_response",
	MsgVote: "vote", MsgVoteResponse: "vote_response", MsgAppend: "append", MsgAppendResponse: "append_response",
	MsgSnapshot: "snapshot", MsgTransferLeader: "transfer_leader",
}

// String returns the name used in log lines and encodings, or "unknown".
func (t MessageType) String() string {
	if t == 0 || int(t) >= len(messageNames) {
		return "unknown"
	}
	return messageNames[t]
}

// ParseMessageType is the inverse of String. It returns 0 for an unknown name.
func ParseMessageType(name string) MessageType {
	for i, n := range messageNames {
		if n == name && i != 0 {
			return MessageType(i)
		}
	}
	return 0
}

// Message is exchanged between the replicas of one group. Entries and Snapshot
// are shared with the sender's log and must not be changed.
type Message struct {
	Type            MessageType
	Group           string
	GroupID         uint64 // 0 if the sender does not know the group yet
	From, To        string
	FromIncarnation uint64
	ToIncarnation   uint64 // 0 in a MsgJoin: the sender does not know it
	FromAddress     string // host:port
	ToAddress       string // host:port; empty if only the receiver's name is known
	Term            uint64

	Index   uint64 // see MessageType; in an append response the synced index that matches, or the rejected one
	LogTerm uint64
	Commit  uint64
	Hint    uint64        // in an append response the index that matches, synced or not; if rejected, the index to try next
	SentAt  time.Duration // by the clock of the leader or joiner; echoed in the response, so that leases and join requests are timed from the sending
	Reject  bool

	Transfer      bool           // the leader stepped down for this election, so that its lease does not prevent votes
	Leaving       bool           // the sender is stopping and gives its vote to a spare
	SenderInGroup bool           // the sender belongs to a group
	Nonce         uint64         // of the join request; echoed in the response
	Member        *state.Member  // the sender
	Members       []state.Member // voters of the sender's group
	Entries       []state.Entry
	Snapshot      *state.Snapshot
}
