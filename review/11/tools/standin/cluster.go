package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines of a deployment.
const (
	peerPort    = 7720
	frontPort   = 8161
	controlPort = 8166
	readyPort   = 8167
	runnerPort  = 8080
	vmPort      = 8169
	relayOffset = 100 // the last part of the address at which a process itself listens for peers
)

// machine is one process of the system.
type machine struct {
	name, role, zone, ip string
	cmd                  *exec.Cmd
	log                  *os.File
	logPath              string
}

// cluster is a small deployment: members, gateways, the platform's services and runners.
type cluster struct {
	rec      *record
	dir      string
	binary   string
	prefix   string // of all addresses, such as 127.31.7
	net      *network
	mu       sync.Mutex
	machines map[string]*machine
	order    []string
	vms      *vmService
	runners  map[string]*runner // by machine of the platform
	lives    int
	moved    int
	spare    bool // the configuration has a spare pool
	client   *http.Client
}

func newCluster(rec *record, binary string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, binary: binary, machines: map[string]*machine{}, runners: map[string]*runner{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
	c.net = newNetwork(c.owners)
	for range 50 { // an unused part of the loopback addresses
		c.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if l, err := net.Listen("tcp", c.addr(1, peerPort)); err == nil {
			_ = l.Close()
			return c, nil
		}
	}
	return nil, fmt.Errorf("no free addresses")
}

func (c *cluster) addr(host, port int) string {
	return net.JoinHostPort(c.prefix+"."+strconv.Itoa(host), strconv.Itoa(port))
}

// owners returns the names of the system's processes by the local ports of their connections.
func (c *cluster) owners() map[int]string {
	pids := map[string]int{}
	c.mu.Lock()
	for name, m := range c.machines {
		if m.cmd != nil {
			pids[name] = m.cmd.Process.Pid
		}
	}
	c.mu.Unlock()
	inodes := socketPorts()
	out := map[int]string{}
	for name, pid := range pids {
		for _, p := range portsOf(pid, inodes) {
			if _, known := out[p]; !known {
				out[p] = name
			}
		}
	}
	return out
}

// startSystem starts three members in three zones and a number of gateways.
func (c *cluster) startSystem(gateways int) error {
	var err error
	if c.vms, err = newVMService(c); err != nil {
		return err
	}
	seeds := []string{c.addr(1, controlPort), c.addr(2, controlPort), c.addr(3, controlPort)}
	for i := 1; i <= 3; i++ {
		if err := c.startMachine(fmt.Sprintf("core-%d", i), "member", i, seeds); err != nil {
			return err
		}
	}
	for i := 1; i <= gateways; i++ {
		if err := c.startMachine(fmt.Sprintf("front-%d", i), "gateway", 10+i, seeds); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startMachine(name, role string, host int, seeds []string) error {
	ip := c.prefix + "." + strconv.Itoa(host)
	own := c.prefix + "." + strconv.Itoa(host+relayOffset)
	zone := "zone-" + string(rune('a'+(host-1)%10%3))
	listen := map[string]string{"peers": net.JoinHostPort(own, strconv.Itoa(peerPort))}
	if role == "member" {
		listen["control"] = c.addr(host, controlPort)
	} else {
		listen["callers"], listen["ready"] = c.addr(host, frontPort), c.addr(host, readyPort)
	}
	vmAddress := net.JoinHostPort(own, strconv.Itoa(vmPort))
	settings := map[string]any{
		"name": name, "domain": zone, "ip": ip, "peer_port": peerPort, "seeds": seeds, "first_start": true, "losses": 1,
		"listen": listen, "advice_api": c.addr(200, vmPort), "vm_api": vmAddress, "memory_mb": 280,
		"bounds": map[string]any{
			"max_lease_ms": 10000, "stop_ms": 400, "gang_wait_ms": 3000, "status_s": 120, "far_factor": 1.5, "checkpoint_s": 2,
			"notice_ms": 4500, "max_stale_ms": 250, "maintenance_s": 2, "repair_time_s": 4, "shutdown_s": 6,
		},
	}
	if role == "member" {
		settings["data_dir"] = filepath.Join(c.dir, name)
	}
	b, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	m := &machine{name: name, role: role, zone: zone, ip: ip, logPath: filepath.Join(c.dir, name+".log")}
	if m.log, err = os.Create(m.logPath); err != nil {
		return err
	}
	c.mu.Lock()
	c.machines[name] = m
	c.order = append(c.order, name)
	c.mu.Unlock()
	if err := c.net.relay(net.JoinHostPort(ip, strconv.Itoa(peerPort)), "", name, listen["peers"]); err != nil {
		return err
	}
	if err := c.net.relay(vmAddress, name, "platform", c.vms.address); err != nil {
		return err
	}
	return c.run(m)
}

// run starts the process of a machine.
func (c *cluster) run(m *machine) error {
	cmd := exec.Command(c.binary, m.role, "--settings", filepath.Join(c.dir, m.name+".json"))
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	m.cmd = cmd
	c.mu.Unlock()
	go func() { _ = cmd.Wait() }()
	return nil
}

func (c *cluster) signal(name string, s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[name]; m != nil && m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	for _, name := range c.order {
		c.signal(name, syscall.SIGKILL)
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

// leader returns the member that logged last that it leads.
func (c *cluster) leader() string {
	best, at := "", ""
	for name, m := range c.machines {
		if m.role != "member" {
			continue
		}
		b, err := os.ReadFile(m.logPath)
		if err != nil {
			continue
		}
		for line := range strings.SplitSeq(string(b), "\n") {
			var x struct {
				Message string `json:"@message"`
				Time    string `json:"@timestamp"`
			}
			if strings.Contains(line, "leads the job group") && json.Unmarshal([]byte(line), &x) == nil && x.Time > at {
				best, at = name, x.Time
			}
		}
	}
	return best
}

// front returns the address for callers of a gateway.
func (c *cluster) front(i int) string { return c.addr(10+i, frontPort) }

// control returns the control address of a member.
func (c *cluster) control(i int) string { return c.addr(i, controlPort) }

// call sends a request and returns the status, 0 if there was no answer, and the body.
func (c *cluster) call(method, address, path string, body any, header map[string]string, timeout time.Duration) (int, []byte) {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+address+path, r)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		if k == "Host" {
			req.Host = v
			continue
		}
		req.Header.Set(k, v)
	}
	client := *c.client
	client.Timeout = timeout
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, b
}

// operate sends an order of the operator to the members in turn until one acknowledges it.
func (c *cluster) operate(method, path string, body any, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		status, _ := c.call(method, c.control(1+i%3), path, body, nil, time.Second)
		if status == http.StatusOK {
			c.rec.add("operator %s %s: 200", method, path)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

const (
	queueHost = "queue.example"
	poolName  = "pool-1"
)

// configure sends the configuration: one queue, without advice.
func (c *cluster) configure(version int) bool {
	services := []any{map[string]any{"name": poolName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "spare": false}}
	if c.spare {
		services = append(services, map[string]any{"name": "pool-spare", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "spare": true})
	}
	return c.operate("PUT", "/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-1", "host": queueHost, "pathPrefix": "/q/", "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000,
			"priority": 0, "service": poolName, "maxAttempts": 3, "stretch": 2.0}},
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}, 20*time.Second)
}

// job sends a call of a client about a job.
func (c *cluster) job(method string, gateway int, id string, body any, budget time.Duration) (int, []byte) {
	status, b := c.call(method, c.front(gateway), "/q/"+id, body, map[string]string{"Host": queueHost, "Time-Budget": strconv.FormatInt(budget.Milliseconds(), 10)}, budget)
	return status, b
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// awaitJobs waits until a job of one short task completes.
func (c *cluster) awaitJobs(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		id := newID()
		status, _ := c.job("POST", 1, id, batchJob(1, 100, 50), 2*time.Second)
		for status == http.StatusOK && time.Now().Before(end) {
			if _, b := c.job("GET", 1, id, nil, 2*time.Second); strings.Contains(string(b), "completed") {
				return true
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// batchJob returns a job of one step whose tasks take some milliseconds.
func batchJob(count, cpu, ms int) map[string]any {
	return map[string]any{"spec": "batch " + strconv.Itoa(ms), "steps": []any{map[string]any{"count": count, "cpu": cpu, "memMb": 256, "estimateMs": ms}}}
}
