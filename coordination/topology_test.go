package coordination

import (
	"fmt"
	"testing"

	"github.com/primrosereach/primrosereach/state"
)

// peersIn returns perDomain[i] processes of the i-th domain; domains are named a, b, c
// and so on.
func peersIn(perDomain ...int) []Peer {
	var out []Peer
	for d, n := range perDomain {
		domain := string(rune('a' + d))
		for i := range n {
			out = append(out, Peer{Member: state.Member{Name: fmt.Sprintf("%s-%d", domain, i+1), Domain: domain, Disk: true}})
		}
	}
	return out
}

// Guards against a group of an even size, or of fewer than three members where more
// are possible: it would not survive the loss of one member.
func TestInitialMembersOfDomainGroups(t *testing.T) {
	for _, c := range []struct {
		peers []Peer
		want  map[string]string
	}{
		{peersIn(2, 2, 2), map[string]string{"a": "[a-1 a-2 b-1]", "b": "[b-1 b-2 c-1]", "c": "[a-1 c-1 c-2]"}},
		{peersIn(1, 1, 1, 1, 1, 1, 1), map[string]string{"a": "[a-1 b-1 c-1]", "g": "[a-1 b-1 g-1]"}},
		{peersIn(2, 1), map[string]string{"a": "[a-1 a-2 b-1]", "b": "[a-1 a-2 b-1]"}},
		{peersIn(3, 2), map[string]string{"a": "[a-1 a-2 a-3]", "b": "[a-1 b-1 b-2]"}},
		{peersIn(1), map[string]string{"a": "[a-1]"}},
		{peersIn(7), map[string]string{"a": "[a-1 a-2 a-3 a-4 a-5]"}},
	} {
		for domain, want := range c.want {
			if got := fmt.Sprint(InitialMembers(DomainGroup(domain), c.peers)); got != want {
				t.Errorf("%d processes, domain %s: %s, want %s", len(c.peers), domain, got, want)
			}
		}
	}
}

// Guards against outside members of another region: the group would lose its majority
// whenever the regions lose contact.
func TestInitialMembersPreferTheRegion(t *testing.T) {
	peers := peersIn(1, 1, 1, 1)
	for i := range peers {
		peers[i].Region = []string{"west", "east", "west", "west"}[i]
	}
	if got := fmt.Sprint(InitialMembers(DomainGroup("a"), peers)); got != "[a-1 c-1 d-1]" {
		t.Errorf("got %s", got)
	}
}

// Guards against shares that add up to more than the quota: teams would exceed it
// while domains cannot communicate.
func TestSharesAddUpToTheQuota(t *testing.T) {
	domains := []string{"a", "b", "c"}
	for total := range 10 {
		quota := state.Resources{Slots: total, MilliCores: 1000 * total}
		var sum state.Resources
		for _, d := range domains {
			sum = sum.Add(share(quota, d, domains))
		}
		if sum != quota {
			t.Errorf("shares of %+v add up to %+v", quota, sum)
		}
	}
}
