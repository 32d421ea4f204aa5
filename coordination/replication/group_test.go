package replication

import (
	"testing"

	"github.com/primrosereach/primrosereach/state"
)

type counter uint64

func (c *counter) Uint64() uint64 { *c++; return uint64(*c) * 0x9e3779b97f4a7c15 }

// Guards against a group of one member that waits for an election timeout before it
// accepts proposals.
func TestSingleMemberStartsAtOnce(t *testing.T) {
	rng := new(counter)
	g := New(Config{Group: "d", Self: state.Member{Name: "a", Incarnation: 7}, Rand: rng, InitialMembers: []string{"a"}}, 0)
	drain := func() (committed int) {
		for {
			r := g.Ready()
			g.Persisted(r.Batch)
			committed += len(r.Committed)
			if r.Batch == 0 {
				return committed
			}
		}
	}
	drain()
	if _, _, err := g.Propose(0, state.Command{}); err != nil {
		t.Fatal(err)
	}
	if drain(); g.Committed() != 3 {
		t.Fatalf("committed %d, want 3: the membership, the empty entry of the term and the proposal", g.Committed())
	}
}
