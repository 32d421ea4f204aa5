package replication_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/primrosereach/primrosereach/coordination/replication/replicationtest"
)

// cluster starts members a, b, c, ...; the first ones, as many as disks, have a disk.
func cluster(seed uint64, members, disks int, drift float64) *replicationtest.Cluster {
	o := replicationtest.Options{Seed: seed, Drift: drift, SnapshotEvery: 40}
	for i := range members {
		o.Members = append(o.Members, replicationtest.MemberOptions{Name: string(rune('a' + i)), Disk: i < disks})
	}
	return replicationtest.NewCluster(o)
}

// settleLimit limits the recovery after the faults end. It allows several failovers
// and admissions in sequence.
const settleLimit = 30 * time.Second

func runHistory(c *replicationtest.Cluster, ops []uint32) error {
	for _, op := range ops {
		if err := c.InjectFault(op); err != nil {
			return err
		}
	}
	return c.Settle(settleLimit)
}

// Guards against violations of the checker's invariants, and against a group that
// does not recover, under random faults and clock drift.
func TestRandomHistories(t *testing.T) {
	const histories = 200
	for _, k := range []struct {
		members, disks int
		seed           int64
	}{{3, 3, 1}, {3, 2, 2}, {3, 0, 3}, {5, 5, 4}, {5, 2, 5}, {2, 2, 6}, {4, 1, 7}} {
		t.Run(fmt.Sprintf("members=%d,disks=%d", k.members, k.disks), func(t *testing.T) {
			t.Parallel()
			p := gopter.DefaultTestParametersWithSeed(k.seed)
			p.MinSuccessfulTests = histories
			p.MaxShrinkCount = 20
			var steps, messages, committed int
			properties := gopter.NewProperties(p)
			properties.Property("invariants and recovery", prop.ForAll(func(seed uint64, ops []uint32) (bool, error) {
				c := cluster(seed, k.members, k.disks, 0.1)
				err := runHistory(c, ops)
				steps += c.Steps
				messages += c.MessageTotal()
				committed += c.Committed
				return err == nil, err
			}, gen.UInt64(), gen.SliceOfN(30, gen.UInt32())))
			properties.TestingRun(t)
			t.Logf("%d histories, %d steps, %d messages, %d committed entries", histories, steps, messages, committed)
		})
	}
}
