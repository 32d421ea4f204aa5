package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// network relays the connections between the processes of a case. It can cut pairs of places
// from each other, as a partition that drops packets does: what was sent on a connection that
// was open before is held and arrives after the cut, unless its sender resets the connection;
// what is sent on a connection that is opened during the cut never arrives.
type network struct {
	mu     sync.Mutex
	cut    map[[2]string]bool // by sorted pair of places
	change chan struct{}      // closed at each change of cut
	owners func() map[int]string
	lookup sync.Mutex
	known  map[int]string // by local port, as last looked up
}

// roundTrip is the time from the first bytes after a cut until the sender can send more.
const roundTrip = 3 * time.Millisecond

func newNetwork(owners func() map[int]string) *network {
	return &network{cut: map[[2]string]bool{}, change: make(chan struct{}), owners: owners}
}

func pairOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// setCut cuts a place from others, or heals the cut.
func (n *network) setCut(place string, others []string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range others {
		n.cut[pairOf(place, o)] = cut
	}
	close(n.change)
	n.change = make(chan struct{})
}

func (n *network) isCut(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[pairOf(a, b)], n.change
}

// await returns once two places are not cut from each other. It reports whether they were.
func (n *network) await(a, b string) (waited bool) {
	for {
		cut, change := n.isCut(a, b)
		if !cut {
			return waited
		}
		waited = true
		<-change
	}
}

// relay listens on an address and passes connections on to a place at another address. from
// names the place that connects, "" if the process that owns the connection decides.
func (n *network) relay(address, from, place, to string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c.(*net.TCPConn), from, place, to)
		}
	}()
	return nil
}

func (n *network) serve(c *net.TCPConn, from, place, to string) {
	if from == "" {
		from = n.ownerOf(c.RemoteAddr().(*net.TCPAddr).Port)
	}
	if cut, _ := n.isCut(from, place); cut {
		n.await(from, place)
		_ = c.SetLinger(0)
		_ = c.Close() // its packets were dropped
		return
	}
	d, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	go n.copy(d.(*net.TCPConn), c, from, place)
	n.copy(c, d.(*net.TCPConn), from, place)
}

// copy passes what one connection sends on to another.
func (n *network) copy(to, from *net.TCPConn, a, b string) {
	buf := make([]byte, 64<<10)
	for {
		k, err := from.Read(buf)
		n.await(a, b)
		if k > 0 {
			if _, werr := to.Write(buf[:k]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if isReset(err) {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
		time.Sleep(roundTrip) // the end follows when the data has been confirmed
		_ = to.CloseWrite()
		return
	}
}

func isReset(err error) bool { return strings.Contains(err.Error(), "reset") }

// ownerOf returns the place whose process has a connection from a local port. A port may be used
// again by another process, so an earlier answer does not count.
func (n *network) ownerOf(port int) string {
	n.lookup.Lock()
	defer n.lookup.Unlock()
	if name := n.known[port]; name != "" {
		delete(n.known, port)
		return name
	}
	for range 20 {
		n.known = n.owners()
		if name := n.known[port]; name != "" {
			delete(n.known, port)
			return name
		}
		time.Sleep(time.Millisecond)
	}
	return ""
}

// portsOf returns the local ports of the connections of a process that this program started.
func portsOf(pid int, inodes map[string]int) []int {
	var ports []int
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err != nil {
			continue
		}
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			if p, ok := inodes[strings.TrimSuffix(inode, "]")]; ok {
				ports = append(ports, p)
			}
		}
	}
	return ports
}

// socketPorts returns the local port of each TCP socket, by inode.
func socketPorts() map[string]int {
	out := map[string]int{}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return out
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) < 10 {
			continue
		}
		_, port, ok := strings.Cut(fields[1], ":")
		p, err := strconv.ParseInt(port, 16, 32)
		if ok && err == nil {
			out[fields[9]] = int(p)
		}
	}
	return out
}
