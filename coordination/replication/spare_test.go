package replication_test

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/coordination/replication/replicationtest"
)

// withSpare returns a cluster of three initial members and a spare, all with disks.
func withSpare(t *testing.T, seed uint64) *replicationtest.Cluster {
	t.Helper()
	o := replicationtest.Options{Seed: seed, SnapshotEvery: 40, MaxVoters: 3}
	for _, name := range []string{"a", "b", "c"} {
		o.Members = append(o.Members, replicationtest.MemberOptions{Name: name, Disk: true})
	}
	c := replicationtest.NewCluster(o)
	if _, err := c.WaitLeader(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	c.Start("d", "d", true)
	run(t, c, 3*time.Second)
	return c
}

func run(t *testing.T, c *replicationtest.Cluster, d time.Duration) {
	t.Helper()
	if err := c.RunLoaded(d); err != nil {
		t.Fatal(err)
	}
}

func voters(t *testing.T, c *replicationtest.Cluster) []string {
	t.Helper()
	l, err := c.WaitLeader(5 * time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, v := range l.Group.Membership().Voters {
		names = append(names, v.Name)
	}
	return names
}

// Guards against a spare that becomes the fourth voter: in a partition into two
// halves, neither side would have a majority.
func TestSpareDoesNotVote(t *testing.T) {
	for seed := range uint64(20) {
		c := withSpare(t, seed)
		if got := voters(t, c); len(got) != 3 {
			t.Fatalf("seed %d: voters %v", seed, got)
		}
		for _, x := range []string{"a", "b"} {
			for _, y := range []string{"c", "d"} {
				c.Net.CutBoth(x, y)
			}
		}
		run(t, c, 3*time.Second)
		if c.Leader() == nil {
			t.Fatalf("seed %d: no leader in either half", seed)
		}
	}
}

// Guards against a permanently failed voter that is not replaced although a spare is
// running: a second failure would cost the group its majority.
func TestSpareReplacesLostVoter(t *testing.T) {
	for seed := range uint64(20) {
		c := withSpare(t, seed)
		lost := c.Processes()[seed%3]
		lost.Crash()
		run(t, c, 20*time.Second)
		if got := voters(t, c); len(got) != 3 || got[2] != "d" {
			t.Fatalf("seed %d: voters %v after the loss of %s", seed, got, lost.Self.Name)
		}
	}
}

// Guards against a group that cannot commit after the loss of one disk, and later of
// a second one in a power failure of all members.
func TestSecondDiskLostAfterRepair(t *testing.T) {
	for seed := range uint64(60) {
		c := withSpare(t, seed)
		first := c.Processes()[seed%4]
		if seed%2 == 0 {
			first = c.Leader()
		}
		first.Crash()
		first.Wipe()
		run(t, c, time.Second)
		first.Restart()
		run(t, c, 4*time.Second)
		cut := c.Processes()[(seed/4)%4]
		c.Net.Isolate(cut.Self.Address)
		run(t, c, 6*time.Second)
		c.Net.Heal()
		run(t, c, 4*time.Second)
		second := c.Processes()[(seed/2)%4]
		for _, p := range c.Processes() {
			p.Crash()
		}
		second.Wipe()
		run(t, c, time.Second)
		for _, p := range c.Processes() {
			p.Restart()
		}
		if _, err := c.WaitCommit(10 * time.Second); err != nil {
			t.Fatalf("seed %d: first %s, cut %s, second %s: %v", seed, first.Self.Name, cut.Self.Name, second.Self.Name, err)
		}
	}
}
