package replicationtest

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/replication"
)

// Network delivers messages between processes. A link is identified by the addresses
// of its sender and receiver.
type Network struct {
	Drop      float64       // fraction of the messages that are lost
	Duplicate float64       // fraction that are delivered twice
	Late      float64       // fraction that are delayed by up to MaxLate
	MaxLate   time.Duration // maximum additional delay of late messages
	Reorder   bool          // messages of one link may overtake each other

	c            *Cluster
	cuts         map[[2]string]bool
	lastDelivery map[[2]string]time.Duration // delivery time of the last message on a link
}

func newNetwork(c *Cluster) Network {
	return Network{c: c, cuts: map[[2]string]bool{}, lastDelivery: map[[2]string]time.Duration{}}
}

// Cut drops all messages from one address to another, including those in flight.
func (n *Network) Cut(from, to string) { n.cuts[[2]string{from, to}] = true }

// CutBoth cuts both directions.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Isolate cuts an address from all others.
func (n *Network) Isolate(address string) {
	for _, p := range n.c.procs {
		if p.Self.Address != address {
			n.CutBoth(address, p.Self.Address)
		}
	}
}

// Heal removes all cuts and stops the random faults.
func (n *Network) Heal() {
	n.cuts = map[[2]string]bool{}
	n.Drop, n.Duplicate, n.Late, n.Reorder = 0, 0, 0, false
}

func (n *Network) send(from *Process, m replication.Message) {
	n.c.Messages[m.Type]++
	to := m.ToAddress
	if to == "" {
		to = n.c.resolve(m.To)
	}
	link := [2]string{from.Self.Address, to}
	if n.cuts[link] || n.c.rng.Float64() < n.Drop {
		n.c.Dropped++
		return
	}
	n.schedule(link, m)
	if n.c.rng.Float64() < n.Duplicate {
		n.schedule(link, m)
	}
}

func (n *Network) schedule(link [2]string, m replication.Message) {
	at := n.c.now + n.c.rng.Between(n.c.opt.MinDelay, n.c.opt.MaxDelay)
	if n.c.rng.Float64() < n.Late {
		at += n.c.rng.Between(0, n.MaxLate)
	}
	if !n.Reorder {
		at = max(at, n.lastDelivery[link])
		n.lastDelivery[link] = at
	}
	n.c.at(at, func() {
		if p := n.c.Process(link[1]); p != nil && !n.cuts[link] {
			p.receive(m)
		} else {
			n.c.Dropped++
		}
	})
}

// resolve returns the address of the process of a name that was added last, or "". It
// stands for the address that the operator has configured for the name.
func (c *Cluster) resolve(name string) string {
	for i := len(c.procs) - 1; i >= 0; i-- {
		if c.procs[i].Self.Name == name {
			return c.procs[i].Self.Address
		}
	}
	return ""
}
