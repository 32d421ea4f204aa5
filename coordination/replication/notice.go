package replication

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// NoticeKind says what a Notice reports.
type NoticeKind uint8

// Kinds of notices. All but NoticeJoining come from a leader.
const (
	NoticeVoterSilent     NoticeKind = iota + 1 // a voter has acknowledged nothing for contactTimeout; Silence
	NoticeVoterResponsive                       // a silent voter acknowledges messages again
	NoticeJoinDeclined                          // a process asked to join and was not admitted
	NoticeLearnerAdded                          // a process was admitted as a learner
	NoticeLearnerCaughtUp                       // a learner could become a voter; Lag
	NoticeLearnerDropped                        // a learner did not respond; Silence, Lag
	NoticeJoining                               // this process asks to be admitted; Receivers
)

// joinNoticeInterval is the time between two notices of the same kind about join requests,
// which are repeated every joinInterval.
const joinNoticeInterval = 5 * time.Second

// Notice reports a change that concerns the membership, for logs and metrics. Its time is
// that of the call that caused it.
type Notice struct {
	Kind      NoticeKind
	Member    state.Member
	Silence   time.Duration // time since the last acknowledgement, or since the election if there was none
	Lag       uint64        // entries that the learner lacks
	Receivers int           // number of processes asked
}

func (g *Group) notify(n Notice) { g.notices = append(g.notices, n) }

// notifyContacts reports voters that stopped or resumed to acknowledge messages, and
// learners that have caught up.
func (g *Group) notifyContacts() {
	for _, v := range g.voters() {
		p := g.peer(v.Incarnation)
		if p == nil {
			continue
		}
		silence := g.silence(&v)
		switch {
		case !p.silent && silence >= contactTimeout:
			p.silent = true
			g.notify(Notice{Kind: NoticeVoterSilent, Member: v, Silence: silence})
		case p.silent && silence < contactTimeout:
			p.silent = false
			g.notify(Notice{Kind: NoticeVoterResponsive, Member: v})
		}
	}
	for _, p := range g.peers {
		if p.learner && !p.caughtUp && g.caughtUp(p) {
			p.caughtUp = true
			g.notify(Notice{Kind: NoticeLearnerCaughtUp, Member: p.member, Lag: g.lag(p)})
		}
	}
}

func (g *Group) lag(p *progress) uint64 { return g.log.last() - min(p.match, g.log.last()) }

// notifyDeclined reports that a process was not admitted, at most once in
// joinNoticeInterval.
func (g *Group) notifyDeclined(m state.Member) {
	if g.declinedAt == 0 || g.now-g.declinedAt >= joinNoticeInterval {
		g.declinedAt = g.now
		g.notify(Notice{Kind: NoticeJoinDeclined, Member: m})
	}
}

// notifyJoining reports that this process asks for admission, at most once in
// joinNoticeInterval.
func (g *Group) notifyJoining(receivers int) {
	if g.joiningAt == 0 || g.now-g.joiningAt >= joinNoticeInterval {
		g.joiningAt = g.now
		g.notify(Notice{Kind: NoticeJoining, Member: g.self, Receivers: receivers})
	}
}
