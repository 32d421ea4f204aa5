// Package gateway decides where a process without state sends its calls: it follows
// the leader of the job group through redirects, failures and changes of membership.
package gateway

import (
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the period of the heartbeats to the leader.
	HeartbeatInterval = 300 * time.Millisecond
	// RetryInterval is the pause before the next member is tried after a failure.
	RetryInterval = 50 * time.Millisecond
	// contactTimeout is the age of the last contact from which the process takes no
	// new connections. Most elections take less, so that a change of leader does not take
	// all processes out of rotation.
	contactTimeout = time.Second
	// electionTimeout is how long members that know no leader are taken to be about to elect
	// one. Elections take less; members that are cut off from the others never succeed.
	electionTimeout = 1200 * time.Millisecond
	// memberTimeout is the silence after which what members said about an election is old.
	memberTimeout = 300 * time.Millisecond
	// silentTimeout is the time for which a member that failed is tried last.
	silentTimeout = time.Second
)

// Router knows the members of the job group. It is used by one goroutine.
type Router struct {
	members []string // peer addresses
	seeds   []string
	leader  string // "" if unknown
	failed  map[string]time.Duration
	contact time.Duration // last answer of the leader
	met     bool
	next    int

	electing   time.Duration // when members began to say that nobody leads, 0 if none does
	electingAt time.Duration // when one said so last
}

// New returns a router that knows the seeds only.
func New(seeds []string) *Router {
	return &Router{members: slices.Clone(seeds), seeds: seeds, failed: map[string]time.Duration{}}
}

// Target returns the member to ask now.
func (r *Router) Target(now time.Duration) string {
	if r.leader != "" {
		return r.leader
	}
	if len(r.members) == 0 {
		return ""
	}
	for range r.members {
		m := r.members[r.next%len(r.members)]
		r.next++
		if at, ok := r.failed[m]; !ok || now-at > silentTimeout {
			return m
		}
	}
	return r.members[r.next%len(r.members)]
}

// Leader returns the member that is believed to lead, or "".
func (r *Router) Leader() string { return r.leader }

// Redirected notes that a member named the leader.
func (r *Router) Redirected(from, leader string) {
	if r.leader == "" || r.leader == from {
		r.leader = leader
	}
}

// NotLeader notes that a member neither leads nor knows who does.
func (r *Router) NotLeader(now time.Duration, from string) {
	r.Failed(now, from)
	if r.electing == 0 || now-r.electingAt > silentTimeout {
		r.electing = now
	}
	r.electingAt = now
}

// ElectionInProgress reports whether members are about to elect a leader, so that a
// short wait serves a caller sooner than a refusal.
func (r *Router) ElectionInProgress(now time.Duration) bool {
	return r.electing > 0 && now-r.electing < electionTimeout && now-r.electingAt < memberTimeout
}

// Failed notes that a member did not answer.
func (r *Router) Failed(now time.Duration, member string) {
	r.failed[member] = now
	if r.leader == member {
		r.leader = ""
	}
}

// Answered notes an answer of the leader and the members that it lists.
func (r *Router) Answered(now time.Duration, leader string, members []string) {
	r.leader, r.contact, r.met, r.electing = leader, now, true, 0
	delete(r.failed, leader)
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

// SetSeeds replaces the seed addresses after a change of the settings.
func (r *Router) SetSeeds(seeds []string) {
	r.seeds = seeds
	for _, s := range seeds {
		if !slices.Contains(r.members, s) {
			r.members = append(r.members, s)
		}
	}
}

// Ready reports whether the process can serve callers.
func (r *Router) Ready(now time.Duration) bool {
	return r.met && now-r.contact < contactTimeout
}
