package coordinationtest

import "time"

// site is a place in the network: a process, an endpoint or a caller.
type site struct{ name, domain string }

// Network carries messages. Its faults may be changed at any time.
type Network struct {
	w        *World
	Drop     float64       // probability that a message is lost
	Dup      float64       // probability that it arrives twice
	Slow     float64       // probability that it takes up to MaxDelay
	MaxDelay time.Duration // of slow messages
	cuts     map[[2]string]int
	isolated map[string]int // failure domains
	silent   map[string]int // sites
}

func newNetwork(w *World) *Network {
	return &Network{w: w, MaxDelay: 2 * time.Second, cuts: map[[2]string]int{}, isolated: map[string]int{}, silent: map[string]int{}}
}

// Cut drops what one site sends to another.
func (n *Network) Cut(from, to string) { n.cuts[[2]string{from, to}]++ }

// Mend undoes one Cut.
func (n *Network) Mend(from, to string) { n.cuts[[2]string{from, to}]-- }

// Isolate cuts a failure domain off from everything outside.
func (n *Network) Isolate(domain string) { n.isolated[domain]++ }

// Rejoin undoes one Isolate.
func (n *Network) Rejoin(domain string) { n.isolated[domain]-- }

// Silence cuts a site off in both directions.
func (n *Network) Silence(name string) { n.silent[name]++ }

// Unsilence undoes one Silence.
func (n *Network) Unsilence(name string) { n.silent[name]-- }

// Heal ends all faults. Messages under way still arrive.
func (n *Network) Heal() {
	n.Drop, n.Dup, n.Slow = 0, 0, 0
	clear(n.cuts)
	clear(n.isolated)
	clear(n.silent)
}

func (n *Network) blocked(from, to site) bool {
	if from.domain != to.domain && (n.isolated[from.domain] > 0 || n.isolated[to.domain] > 0) {
		return true
	}
	return n.silent[from.name] > 0 || n.silent[to.name] > 0 || n.cuts[[2]string{from.name, to.name}] > 0
}

// send calls arrive once for each copy of a message that gets through. Independent
// delays reorder messages.
func (n *Network) send(from, to site, arrive func()) {
	copies := 1
	if n.w.chance(n.Dup) {
		copies = 2
	}
	for range copies {
		delay := n.delay(from, to)
		lost := n.blocked(from, to) || n.w.chance(n.Drop)
		if lost {
			continue
		}
		n.w.After(delay, func() {
			if !n.blocked(from, to) {
				arrive()
			}
		})
	}
}

func (n *Network) delay(from, to site) time.Duration {
	if n.w.chance(n.Slow) {
		return n.w.between(0, n.MaxDelay)
	}
	if from.domain == to.domain {
		return n.w.between(200*time.Microsecond, time.Millisecond)
	}
	return n.w.between(time.Millisecond, 3*time.Millisecond)
}
