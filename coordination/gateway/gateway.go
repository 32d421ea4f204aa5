// Package gateway selects the member of the job group to which a process without
// state sends its calls. It follows the leader through redirects, failures and
// changes of membership.
package gateway

import (
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the period of the heartbeats that keep contact to the
	// leader.
	HeartbeatInterval = 300 * time.Millisecond
	// RetryInterval is the pause before the next member is tried after a failure.
	RetryInterval = 50 * time.Millisecond
	// contactTimeout is the time since the last contact to the leader after which the
	// process is not ready and takes no new connections. Most elections are shorter,
	// so that a change of leader does not take all processes out of rotation.
	contactTimeout = time.Second
	// electionTimeout is how long members that know no leader are assumed to be
	// electing one. Elections are shorter; members that are isolated from the others
	// never complete one.
	electionTimeout = 1200 * time.Millisecond
	// electionReportTimeout is the age from which a member's report that there is no
	// leader is out of date.
	electionReportTimeout = 300 * time.Millisecond
	// failureTimeout is the time for which a failed member is tried last. Reports
	// that there is no leader belong to different elections if they are further apart
	// than this.
	failureTimeout = time.Second
)

// Router tracks the members and the leader of the job group. It is used by one
// goroutine.
type Router struct {
	members        []string                 // peer addresses
	seeds          []string                 // peer addresses from the settings, always kept among the members
	leader         string                   // "" if unknown
	failedAt       map[string]time.Duration // time of the last failure, by member
	leaderAnswered time.Duration            // time of the last answer of the leader
	contacted      bool                     // a leader has answered at least once
	nextMember     int                      // round-robin offset of the next member to try

	electionStart    time.Duration // time at which members began to report that there is no leader, 0 if none does
	electionReported time.Duration // time of the latest such report
}

// New returns a router that knows only the seeds.
func New(seeds []string) *Router {
	return &Router{members: slices.Clone(seeds), seeds: seeds, failedAt: map[string]time.Duration{}}
}

// Target returns the peer address of the member to call now: the leader, or else the
// next member that has not failed within failureTimeout, or the next member if all have.
// It returns "" if no member is known.
func (r *Router) Target(now time.Duration) string {
	if r.leader != "" {
		return r.leader
	}
	if len(r.members) == 0 {
		return ""
	}
	for range r.members {
		m := r.members[r.nextMember%len(r.members)]
		r.nextMember++
		if at, ok := r.failedAt[m]; !ok || now-at > failureTimeout {
			return m
		}
	}
	return r.members[r.nextMember%len(r.members)]
}

// Leader returns the member that is assumed to lead, or "".
func (r *Router) Leader() string { return r.leader }

// Redirected records that the member from named the leader. The redirect is ignored
// while a member other than from is assumed to lead, so that a late redirect does not
// replace the current leader.
func (r *Router) Redirected(from, leader string) {
	if r.leader == "" || r.leader == from {
		r.leader = leader
	}
}

// NotLeader records that a member neither leads nor knows the leader. The member is
// tried last for a while, like one that failed.
func (r *Router) NotLeader(now time.Duration, from string) {
	r.Failed(now, from)
	if r.electionStart == 0 || now-r.electionReported > failureTimeout {
		r.electionStart = now
	}
	r.electionReported = now
}

// ElectionInProgress reports whether members are assumed to be electing a leader, so
// that holding a call briefly serves the caller sooner than rejecting it.
func (r *Router) ElectionInProgress(now time.Duration) bool {
	return r.electionStart > 0 && now-r.electionStart < electionTimeout && now-r.electionReported < electionReportTimeout
}

// Failed records that a member did not answer.
func (r *Router) Failed(now time.Duration, member string) {
	r.failedAt[member] = now
	if r.leader == member {
		r.leader = ""
	}
}

// Answered records an answer of the leader. If members is not empty, it replaces the
// known members, apart from the seeds.
func (r *Router) Answered(now time.Duration, leader string, members []string) {
	r.leader, r.leaderAnswered, r.contacted, r.electionStart = leader, now, true, 0
	delete(r.failedAt, leader)
	if len(members) == 0 {
		return
	}
	r.members = slices.Clone(members)
	for _, s := range r.seeds {
		if !slices.Contains(r.members, s) {
			r.members = append(r.members, s)
		}
	}
}

// SetSeeds replaces the seed addresses after a change of the settings. Earlier seeds
// remain known until the leader next lists the members.
func (r *Router) SetSeeds(seeds []string) {
	r.seeds = seeds
	for _, s := range seeds {
		if !slices.Contains(r.members, s) {
			r.members = append(r.members, s)
		}
	}
}

// Ready reports whether the process can serve callers: the leader has answered within
// contactTimeout.
func (r *Router) Ready(now time.Duration) bool {
	return r.contacted && now-r.leaderAnswered < contactTimeout
}
