package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the binary that the build of the deploy file makes. Cases run in the root of the
// repository.
const program = "target/primrosereach"

const (
	metricsPort  = 9102 // as in the template of the settings
	restartDelay = time.Second
	graceTime    = 6 * time.Second
)

// Ports are the ports of the processes, the same on all machines.
type Ports struct{ Peer, Control, Front, Ready int }

// Cluster is a small deployment: three core machines and three front machines in three zones,
// each machine with a loopback address of its own.
type Cluster struct {
	rec     *Record
	dir     string
	prefix  string // of the addresses: three numbers and a dot
	ports   Ports
	cloud   string // address of the stand-in of the platform's services
	Members []*Process
	Fronts  []*Process
}

// Process is one process of the system.
type Process struct {
	Name, Role, IP, Zone string
	c                    *Cluster
	settings, log        string
	mu                   sync.Mutex
	cmd                  *exec.Cmd
	exited               chan struct{}
}

var zones = [...]string{"za", "zb", "zc"}

// StartCluster starts all processes for the first time.
func StartCluster(rec *Record, cloud string) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &Cluster{rec: rec, dir: dir, cloud: cloud}
	if err := c.chooseAddresses(); err != nil {
		return nil, err
	}
	for i, z := range zones {
		c.Members = append(c.Members, c.newProcess("core-"+z+"-1", "member", z, i+1))
		c.Fronts = append(c.Fronts, c.newProcess("front-"+z+"-1", "gateway", z, i+11))
	}
	for _, p := range c.all() {
		if err := p.writeSettings(true); err != nil {
			return nil, err
		}
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) all() []*Process { return append(append([]*Process{}, c.Members...), c.Fronts...) }

// chooseAddresses draws addresses and ports until all of them are free.
func (c *Cluster) chooseAddresses() error {
	for range 50 {
		c.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 15000 + rand.IntN(10000)
		c.ports = Ports{Peer: base, Control: base + 1, Front: base + 2, Ready: base + 3}
		if c.free() {
			return nil
		}
	}
	return errors.New("no free addresses were found")
}

func (c *Cluster) free() bool {
	for _, n := range []int{1, 2, 3, 11, 12, 13} {
		for _, port := range []int{c.ports.Peer, c.ports.Control, c.ports.Front, c.ports.Ready, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", c.prefix, n, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (c *Cluster) newProcess(name, role, zone string, n int) *Process {
	return &Process{
		Name: name, Role: role, IP: fmt.Sprint(c.prefix, n), Zone: zone, c: c,
		settings: filepath.Join(c.dir, name+".json"), log: filepath.Join(c.dir, name+".log"),
	}
}

// ControlAddress returns the address at which a core machine serves runners and the operator.
func (p *Process) ControlAddress() string { return fmt.Sprint(p.IP, ":", p.c.ports.Control) }

// FrontAddress returns the address at which a front machine serves clients.
func (p *Process) FrontAddress() string { return fmt.Sprint(p.IP, ":", p.c.ports.Front) }

// writeSettings writes the settings as the template of the deploy file renders them. The values
// are those of the deployment tmq-primrose.
func (p *Process) writeSettings(first bool) error {
	var seeds []string
	for _, m := range p.c.Members {
		seeds = append(seeds, m.ControlAddress())
	}
	listen := map[string]string{"callers": "", "ready": "", "control": ""}
	s := map[string]any{
		"name": p.Name, "domain": p.Zone, "ip": p.IP, "peer_port": p.c.ports.Peer, "metrics_port": metricsPort,
		"seeds": seeds, "first_start": first, "losses": 1, "listen": listen, "advice_api": p.c.cloud, "vm_api": p.c.cloud, "memory_mb": 284,
		"bounds": map[string]any{
			"max_lease_ms": holdMax.Milliseconds(), "stop_ms": stopTime.Milliseconds(), "gang_wait_ms": gangWait.Milliseconds(), "status_s": 120,
			"far_factor": 1.5, "checkpoint_s": 2, "notice_ms": noticeTime.Milliseconds(), "max_stale_ms": 250, "maintenance_s": upkeepTime.Seconds(), "shutdown_s": graceTime.Seconds(),
		},
	}
	if p.Role == "member" {
		listen["control"] = p.ControlAddress()
		s["data_dir"] = filepath.Join(p.c.dir, p.Name+"-data")
		s["memory_mb"] = 280
	} else {
		listen["callers"] = p.FrontAddress()
		listen["ready"] = fmt.Sprint(p.IP, ":", p.c.ports.Ready)
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, b, 0o600)
}

// start starts the process with the command of the deploy file.
func (p *Process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, p.Role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PRIMROSEREACH_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s %s: %w", program, p.Role, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // processes are ended by signals
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // an error means that it has ended
}

// KillAndRestart ends the process with SIGKILL and starts it again after a short delay.
func (p *Process) KillAndRestart() {
	p.c.rec.Printf("disruption: kill the process on %s", p.Name)
	p.Signal(syscall.SIGKILL)
	<-p.exited
	time.AfterFunc(restartDelay, func() {
		p.c.rec.Printf("the process on %s is started again", p.Name)
		err := p.writeSettings(false) // the deployment does not start for the first time
		if err == nil {
			err = p.start()
		}
		if err != nil {
			p.c.rec.Printf("start: %v", err)
		}
	})
}

// Stop ends all processes and removes their files. If keep is not empty, the logs are copied to
// that folder first.
func (c *Cluster) Stop(keep string) {
	for _, p := range c.all() {
		if p.cmd != nil {
			p.Signal(syscall.SIGKILL)
			<-p.exited
		}
	}
	if keep != "" {
		_ = os.MkdirAll(keep, 0o700)
		for _, p := range c.all() {
			if b, err := os.ReadFile(p.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.Name+".log"), b, 0o600)
			}
		}
	}
	_ = os.RemoveAll(c.dir)
}
