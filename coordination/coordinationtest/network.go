package coordinationtest

import "time"

// site is a network address and its failure domain: of a process, an endpoint, a
// caller or an operator.
type site struct{ name, domain string }

// Network delivers messages between sites with random delays. Its faults may be
// changed at any time.
type Network struct {
	sim          *Simulation
	Drop         float64           // probability that a message is lost
	Dup          float64           // probability that a message is delivered twice
	Slow         float64           // probability that a message is delayed by up to MaxDelay
	MaxDelay     time.Duration     // longest delay of a slow message
	cutLinks     map[[2]string]int // number of cuts in force, by sender and receiver
	isolated     map[string]int    // number of partitions in force, by failure domain
	disconnected map[string]int    // number of disconnections in force, by site
}

func newNetwork(sim *Simulation) *Network {
	return &Network{sim: sim, MaxDelay: 2 * time.Second, cutLinks: map[[2]string]int{}, isolated: map[string]int{}, disconnected: map[string]int{}}
}

// CutLink drops all messages from one site to another, in this direction only.
func (n *Network) CutLink(from, to string) { n.cutLinks[[2]string{from, to}]++ }

// RestoreLink undoes one CutLink.
func (n *Network) RestoreLink(from, to string) { n.cutLinks[[2]string{from, to}]-- }

// Isolate partitions a failure domain from all others.
func (n *Network) Isolate(domain string) { n.isolated[domain]++ }

// Rejoin undoes one Isolate.
func (n *Network) Rejoin(domain string) { n.isolated[domain]-- }

// Disconnect drops all messages from and to a site.
func (n *Network) Disconnect(name string) { n.disconnected[name]++ }

// Reconnect undoes one Disconnect.
func (n *Network) Reconnect(name string) { n.disconnected[name]-- }

// Heal ends all network faults. Delayed messages are still delivered.
func (n *Network) Heal() {
	n.Drop, n.Dup, n.Slow = 0, 0, 0
	clear(n.cutLinks)
	clear(n.isolated)
	clear(n.disconnected)
}

func (n *Network) blocked(from, to site) bool {
	if from.domain != to.domain && (n.isolated[from.domain] > 0 || n.isolated[to.domain] > 0) {
		return true
	}
	return n.disconnected[from.name] > 0 || n.disconnected[to.name] > 0 || n.cutLinks[[2]string{from.name, to.name}] > 0
}

// send delivers a message, by a call of arrive for each copy that is not lost. A copy is
// lost at random, or if the link is blocked when it is sent or when it arrives. The copies
// have independent random delays, so messages can be reordered.
func (n *Network) send(from, to site, arrive func()) {
	copies := 1
	if n.sim.chance(n.Dup) {
		copies = 2
	}
	for range copies {
		delay := n.delay(from, to)
		lost := n.blocked(from, to) || n.sim.chance(n.Drop)
		if lost {
			continue
		}
		n.sim.After(delay, func() {
			if !n.blocked(from, to) {
				arrive()
			}
		})
	}
}

func (n *Network) delay(from, to site) time.Duration {
	if n.sim.chance(n.Slow) {
		return n.sim.randomBetween(0, n.MaxDelay)
	}
	if from.domain == to.domain {
		return n.sim.randomBetween(200*time.Microsecond, time.Millisecond)
	}
	return n.sim.randomBetween(time.Millisecond, 3*time.Millisecond)
}
