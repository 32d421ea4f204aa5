package gateway

import (
	"testing"
	"time"
)

// Guards against a process that keeps calling a member that does not answer while
// another one leads.
func TestRouterTriesNextMember(t *testing.T) {
	r := New([]string{"a", "b", "c"})
	now := 10 * time.Second
	first := r.Target(now)
	r.Failed(now, first)
	if next := r.Target(now); next == first {
		t.Errorf("%s is asked again at once", next)
	}
	r.Redirected("b", "c")
	if got := r.Target(now); got != "c" {
		t.Errorf("target %s after a redirect to c", got)
	}
	now += 2 * time.Second // the first failure has expired by then
	r.Answered(now, "c", []string{"a", "c", "d"})
	r.Failed(now, "c")
	if r.Leader() != "" {
		t.Error("a member that does not answer is still assumed to lead")
	}
	seen := map[string]bool{}
	for range 20 {
		seen[r.Target(now)] = true
	}
	if !seen["a"] || !seen["b"] || !seen["d"] || seen["c"] {
		t.Errorf("asked %v; the members, the seeds and no failed one were expected", seen)
	}
}

// Guards against a late redirect by a former leader that replaces the current leader.
func TestLateRedirectChangesNothing(t *testing.T) {
	r := New([]string{"a", "b"})
	r.Answered(time.Second, "b", nil)
	r.Redirected("a", "a")
	if got := r.Leader(); got != "b" {
		t.Errorf("leader %s", got)
	}
}

// Guards against a process that is ready although it cannot reach the leader, and
// against one that becomes unready during an ordinary election.
func TestReadinessFollowsContact(t *testing.T) {
	r := New([]string{"a"})
	if r.Ready(0) {
		t.Error("ready before any contact")
	}
	r.Answered(time.Second, "a", nil)
	if !r.Ready(time.Second + 700*time.Millisecond) {
		t.Error("not ready during an election of 0.7 s")
	}
	if r.Ready(3 * time.Second) {
		t.Error("ready 2 s after the last contact")
	}
}

// Guards against new seeds that are never tried when all known members have been
// removed.
func TestNewSeedsAreTried(t *testing.T) {
	r := New([]string{"a"})
	r.SetSeeds([]string{"z"})
	seen := map[string]bool{}
	for range 4 {
		seen[r.Target(time.Minute)] = true
	}
	if !seen["z"] {
		t.Errorf("asked %v", seen)
	}
}

// Guards against calls that are rejected although a leader is elected within a
// fraction of a second, and against calls that are held while no election can
// succeed.
func TestElectionIsDetected(t *testing.T) {
	r := New([]string{"a", "b"})
	r.Answered(time.Second, "a", nil)
	now := 2 * time.Second
	r.Failed(now, "a")
	if r.ElectionInProgress(now) {
		t.Error("an election is assumed although no member has reported one")
	}
	r.NotLeader(now, "b")
	if !r.ElectionInProgress(now + 100*time.Millisecond) {
		t.Error("the election was not detected")
	}
	for range 20 { // b is isolated from the others
		now += 100 * time.Millisecond
		r.NotLeader(now, "b")
	}
	if r.ElectionInProgress(now) {
		t.Error("an election is expected to succeed after 2 s")
	}
	now += 3 * time.Second // all members were stopped and have restarted
	r.NotLeader(now, "b")
	if !r.ElectionInProgress(now) {
		t.Error("the next election was not detected")
	}
	r.Answered(now, "b", nil)
	if r.ElectionInProgress(now) {
		t.Error("the election is over")
	}
}
