package processtest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/demo/load"
	"github.com/primrosereach/primrosereach/protocol/settings"
)

// Config configures the processes of a cell.
type Config struct {
	Domains   []string // names of the failure domains
	PerDomain int      // number of processes in each domain
	// Change, if not nil, modifies the settings of every process before they are
	// written.
	Change func(*settings.Settings)
}

// Cluster consists of the entry processes of one cell.
type Cluster struct {
	Config
	Processes []*Process
	Journal   *load.Journal // executions on all endpoints

	next atomic.Uint64
}

// Start starts the processes of a cell and waits until all are ready. They are stopped
// at the end of the test.
func Start(t testing.TB, cfg Config) *Cluster {
	t.Helper()
	c := &Cluster{Config: cfg, Journal: load.NewJournal()}
	dir := t.TempDir()
	var peers []settings.Peer
	for _, d := range cfg.Domains {
		for i := range cfg.PerDomain {
			peers = append(peers, settings.Peer{
				Name: fmt.Sprintf("%s-%d", d, i+1), Domain: d, Address: freeAddress(t), PublicAddress: freeAddress(t), Disk: true,
			})
		}
	}
	for _, p := range peers {
		c.Processes = append(c.Processes, c.newProcess(t, dir, p, peers))
	}
	t.Cleanup(func() {
		for _, p := range c.Processes {
			p.stopAndCheckLog(t)
		}
	})
	for _, p := range c.Processes {
		p.Start(t)
	}
	c.AwaitReady(t)
	return c
}

// newProcess writes the settings of a process and creates its data directory.
func (c *Cluster) newProcess(t testing.TB, dir string, p settings.Peer, peers []settings.Peer) *Process {
	t.Helper()
	s := settings.Settings{
		Name: p.Name, Domain: p.Domain, Listen: p.PublicAddress, PeerListen: p.Address, DataDir: filepath.Join(dir, p.Name),
		Peers: peers, Insecure: true, LogLevel: "debug",
	}
	if c.Change != nil {
		c.Change(&s)
	}
	file := filepath.Join(dir, p.Name+".json")
	WriteSettings(t, file, &s)
	if err := os.MkdirAll(s.DataDir, 0o700); err != nil {
		t.Fatal(err)
	}
	return &Process{Peer: p, SettingsFile: file, DataDir: s.DataDir, logFile: filepath.Join(dir, p.Name+".log")}
}

// WriteSettings writes a settings file. Fields that are not set are omitted, because a
// limit of zero is invalid.
func WriteSettings(t testing.TB, file string, s *settings.Settings) {
	t.Helper()
	fields := map[string]any{}
	b, err := json.Marshal(s)
	if err == nil {
		err = json.Unmarshal(b, &fields)
	}
	if err != nil {
		t.Fatal(err)
	}
	dropUnset(fields)
	if b, err = json.Marshal(fields); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

func dropUnset(fields map[string]any) {
	for k, v := range fields {
		switch v := v.(type) {
		case nil:
			delete(fields, k)
		case string:
			if v == "" {
				delete(fields, k)
			}
		case float64:
			if v == 0 {
				delete(fields, k)
			}
		case map[string]any:
			if dropUnset(v); len(v) == 0 {
				delete(fields, k)
			}
		}
	}
}

// AwaitReady waits until every running process is ready.
func (c *Cluster) AwaitReady(t testing.TB) {
	t.Helper()
	for _, p := range c.Processes {
		if p.Running() {
			Await(t, p.Name+" is ready", p.Ready)
		}
	}
}

// Servers returns the public addresses of all processes.
func (c *Cluster) Servers() []string {
	out := make([]string, len(c.Processes))
	for i, p := range c.Processes {
		out[i] = p.PublicAddress
	}
	return out
}

// Process returns the process with a name. It fails the test if there is none.
func (c *Cluster) Process(t testing.TB, name string) *Process {
	t.Helper()
	for _, p := range c.Processes {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no process %q", name)
	return nil
}

// Leader waits until a process other than the given ones leads a group, and returns
// it.
func (c *Cluster) Leader(t testing.TB, group string, except ...*Process) *Process {
	t.Helper()
	var leader *Process
	Await(t, "a leader of "+group, func() bool {
		leader = c.currentLeader(group, except)
		return leader != nil
	})
	return leader
}

func (c *Cluster) currentLeader(group string, except []*Process) *Process {
next:
	for _, p := range c.Processes {
		for _, x := range except {
			if p == x {
				continue next
			}
		}
		if g := p.Group(group); g != nil && g.Leads {
			return p
		}
	}
	return nil
}

// WatchReadiness polls the readiness of all processes until the test ends, as a load
// balancer does. pick returns the public address of a process that was ready at the
// last poll; it waits while none is.
func (c *Cluster) WatchReadiness(t testing.TB) (pick func() string) {
	t.Helper()
	ready := make([]atomic.Bool, len(c.Processes))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	t.Cleanup(func() { close(stop); wg.Wait() })
	for i, p := range c.Processes {
		ready[i].Store(p.Ready())
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pollInterval):
					ready[i].Store(p.Ready())
				}
			}
		})
	}
	return func() string {
		for {
			for range c.Processes {
				i := int(c.next.Add(1) % uint64(len(c.Processes)))
				if ready[i].Load() {
					return c.Processes[i].PublicAddress
				}
			}
			time.Sleep(pollInterval) // no process is ready: the caller waits, as with a load balancer
		}
	}
}

// DomainGroup returns the name of the replication group of a failure domain.
func DomainGroup(domain string) string { return coordination.DomainGroup(domain) }
