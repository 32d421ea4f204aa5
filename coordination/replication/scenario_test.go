package replication_test

import (
	"errors"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/coordination/replication/replicationtest"
	"github.com/primrosereach/primrosereach/state"
)

const scenarioSeeds = 40

// scenario runs a test with scenarioSeeds seeds, each on a cluster of two members
// with a disk and one without.
func scenario(t *testing.T, run func(t *testing.T, c *replicationtest.Cluster, l *replicationtest.Process)) {
	t.Helper()
	for seed := range uint64(scenarioSeeds) {
		c := cluster(seed, 3, 2, 0.1)
		l, err := c.WaitLeader(5 * time.Second)
		must(t, err)
		must(t, c.RunUntil(5*time.Second, func() bool { return c.AllAdmitted(c.Processes()...) }))
		run(t, c, l)
		must(t, c.Settle(settleLimit))
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func commit(t *testing.T, c *replicationtest.Cluster) {
	t.Helper()
	_, err := c.WaitCommit(5 * time.Second)
	must(t, err)
}

// newLeader waits until a process other than old is a leader that answers reads. It
// returns the virtual time that this took.
func newLeader(t *testing.T, c *replicationtest.Cluster, old *replicationtest.Process) time.Duration {
	t.Helper()
	start := c.Now()
	must(t, c.RunUntil(5*time.Second, func() bool {
		l := c.Leader()
		if l == nil || l == old {
			return false
		}
		_, ok := l.Group.ReadIndex(l.Now())
		return ok
	}))
	return c.Now() - start
}

// Guards against a failover that takes 2 s or more after a crash of the leader.
func TestFailover(t *testing.T) {
	var worst time.Duration
	scenario(t, func(t *testing.T, c *replicationtest.Cluster, l *replicationtest.Process) {
		l.Crash()
		worst = max(worst, newLeader(t, c, l))
	})
	if worst >= 2*time.Second {
		t.Errorf("failover took %s, want less than 2 s", worst)
	}
	t.Logf("worst of %d failovers: %s", scenarioSeeds, worst)
}

// Guards against a leader that acts on outdated state after a pause in which another
// leader was elected.
func TestPausedLeader(t *testing.T) {
	scenario(t, func(t *testing.T, c *replicationtest.Cluster, l *replicationtest.Process) {
		l.Pause()
		newLeader(t, c, l)
		commit(t, c)
		before := l.Group.Committed()
		if l.Group.HasLease(l.Now()) {
			t.Error("a paused leader still has its lease after another was elected")
		}
		if _, ok := l.Group.ReadIndex(l.Now()); ok {
			t.Error("a paused leader answers a read")
		}
		if _, _, err := l.Group.Propose(l.Now(), state.Command{}); !errors.Is(err, replication.ErrLeaseExpired) && !errors.Is(err, replication.ErrNotLeader) {
			t.Errorf("a paused leader proposes: %v", err)
		}
		if l.Group.Committed() != before {
			t.Error("a paused leader commits")
		}
	})
}

// Guards against a leader that can send but not receive messages: it must step down,
// and must not keep the others from electing a leader.
func TestOneWayPartition(t *testing.T) {
	scenario(t, func(t *testing.T, c *replicationtest.Cluster, l *replicationtest.Process) {
		for _, p := range c.Processes() {
			c.Net.Cut(p.Self.Address, l.Self.Address)
		}
		newLeader(t, c, l)
		commit(t, c)
	})
}

// Guards against a member that raises its term during a partition and deposes the
// working leader when the partition ends.
func TestIsolatedMemberDoesNotDeposeLeader(t *testing.T) {
	scenario(t, func(t *testing.T, c *replicationtest.Cluster, l *replicationtest.Process) {
		_, term := l.Group.Leader()
		for _, p := range c.Processes() {
			if p != l {
				c.Net.Isolate(p.Self.Address)
				break
			}
		}
		must(t, c.Run(5*time.Second))
		c.Net.Heal()
		must(t, c.Run(5*time.Second))
		if _, now := l.Group.Leader(); now != term || !l.Group.IsLeader() {
			t.Errorf("term %d became %d", term, now)
		}
	})
}

// Guards against a replaced member that becomes a voter before it has caught up: a
// second failure right after the replacement must not lose committed entries.
func TestSecondFailureAfterRepair(t *testing.T) {
	scenario(t, func(t *testing.T, c *replicationtest.Cluster, l *replicationtest.Process) {
		must(t, c.RunLoaded(2*time.Second))
		first := c.Processes()[0]
		first.Crash()
		first.Wipe()
		commit(t, c)
		first.Restart()
		must(t, c.RunUntil(10*time.Second, func() bool { return c.AllAdmitted(c.Processes()...) }))
		second := c.Processes()[1]
		second.Crash()
		second.Wipe()
		commit(t, c)
		second.Restart()
		must(t, c.RunUntil(10*time.Second, func() bool { return c.AllAdmitted(c.Processes()...) }))
	})
}

// Guards against a replacement with a new address that is never admitted, or that
// is a voter together with the member that it replaces.
func TestReplacementWithNewAddress(t *testing.T) {
	scenario(t, func(t *testing.T, c *replicationtest.Cluster, _ *replicationtest.Process) {
		old := c.Processes()[0]
		old.Crash()
		p := c.Start(old.Self.Name, "a-new", true)
		must(t, c.RunUntil(10*time.Second, func() bool {
			return c.AllAdmitted(p, c.Processes()[1], c.Processes()[2])
		}))
		old.Restart()
		must(t, c.RunLoaded(2*time.Second))
		if !c.AllAdmitted(p, c.Processes()[1], c.Processes()[2]) {
			t.Error("the replaced member is listed again")
		}
	})
}

// Guards against a group that does not survive a restart of all processes. The
// member without a disk restarts as a new incarnation.
func TestRestartOfAll(t *testing.T) {
	scenario(t, func(t *testing.T, c *replicationtest.Cluster, l *replicationtest.Process) {
		commit(t, c)
		id, committed := l.Group.GroupID(), l.Group.Committed()
		for _, p := range c.Processes() {
			p.Crash()
		}
		for _, p := range c.Processes() {
			p.Restart()
		}
		must(t, c.RunUntil(10*time.Second, func() bool { return c.AllAdmitted(c.Processes()...) }))
		if g := c.Leader().Group; g.GroupID() != id || g.Committed() < committed {
			t.Errorf("group %x at %d became %x at %d", id, committed, g.GroupID(), g.Committed())
		}
	})
}

// Guards against messages of an earlier group that are accepted in a group
// bootstrapped after the loss of all disks.
func TestLossOfAllDisks(t *testing.T) {
	scenario(t, func(t *testing.T, c *replicationtest.Cluster, l *replicationtest.Process) {
		commit(t, c)
		id := l.Group.GroupID()
		for _, p := range c.Processes() {
			p.Crash()
			p.Wipe()
		}
		for _, p := range c.Processes() {
			p.Restart()
		}
		commit(t, c)
		if c.Leader().Group.GroupID() == id {
			t.Error("the group ID is that of the lost group")
		}
	})
}

// Guards against a planned transfer of leadership that costs an election timeout or
// violates the lease: the successor must lead within a few round trips.
func TestTransferLeadership(t *testing.T) {
	scenario(t, func(t *testing.T, c *replicationtest.Cluster, l *replicationtest.Process) {
		commit(t, c)
		l.Do(func(g *replication.Group, now time.Duration) { must(t, g.TransferLeadership(now, "")) })
		if took := newLeader(t, c, l); took > 250*time.Millisecond {
			t.Errorf("transfer took %s", took)
		}
	})
}

// Guards against an increase of replication traffic. Each follower costs one
// heartbeat and one response per interval when idle, and one append and one response
// per entry when each entry is committed alone.
func TestMessageCounts(t *testing.T) {
	c := cluster(1, 3, 2, 0)
	_, err := c.WaitLeader(5 * time.Second)
	must(t, err)
	must(t, c.Run(2*time.Second))
	before := c.MessageTotal()
	must(t, c.Run(10*time.Second))
	perSecond := float64(c.MessageTotal()-before) / 10
	if perSecond > 41 {
		t.Errorf("%.1f messages per idle second, want at most 40 and one for rounding", perSecond)
	}
	before, committed := c.MessageTotal(), c.Committed
	must(t, c.RunLoaded(10*time.Second))
	perEntry := float64(c.MessageTotal()-before) / float64(c.Committed-committed)
	if perEntry > 4.1 {
		t.Errorf("%.2f messages per committed entry, want 4", perEntry)
	}
	t.Logf("3 members: %.1f messages per idle second, %.2f per entry at 40 entries a second", perSecond, perEntry)
}
