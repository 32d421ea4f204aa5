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

const (
	service     = "svc"
	host        = "jobs.example"
	peerPort    = 7720
	controlPort = 8166
	frontPort   = 8161
	readyPort   = 8167
)

// proc is one process of the system.
type proc struct {
	p          *platform
	name, role string
	ip, dir    string
	mu         sync.Mutex // guards the fields below
	cmd        *exec.Cmd
	exited     chan struct{}
	closed     bool
	overs      int // number of times that the process used more than its memory
}

func (x *proc) control() string { return fmt.Sprint(x.ip, ":", controlPort) }
func (x *proc) front() string   { return fmt.Sprint(x.ip, ":", frontPort) }

// platform holds the processes of the system and all stand-ins around them.
type platform struct {
	rec      *recorder
	dir      string
	binary   string
	prefix   string // of all addresses, such as "127.31.7."
	holdMax  time.Duration
	members  []*proc
	gateways []*proc
	client   *http.Client
	machines []*machine
	cloud    string // address of the platform's own interface
	memoryMB int    // memoryMb of the members

	mu       sync.Mutex
	runners  []*runner
	history  []span
	orders   map[string]time.Time // time of the last order that ended a run, by task
	upkeeps  map[string]bool      // "wave/machine" of the upkeeps that were begun
	onUpkeep func(m string)
	noted    map[string]time.Time // time at which the end of a task as done was taken note of
	late     time.Duration        // delay of the next start, which gets no answer; 0 for none
	lateOf   func(r *runner, task string)
	crashing map[string]bool // machines whose runner crashes when the next start arrives

	stopTime, listTime, firstBeat time.Duration // of runners: to stop a run, to answer with lists, until the first heartbeat
}

// span is a run from its beginning to its end.
type span struct {
	task   string
	number int
	runner *runner
	x      *run
	from   time.Time
	to     time.Time // zero while it runs
	how    string
}

func newPlatform(rec *recorder, binary string) (*platform, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, dir: dir, binary: binary, holdMax: 10 * time.Second, memoryMB: 280, orders: map[string]time.Time{}, upkeeps: map[string]bool{}, noted: map[string]time.Time{}, crashing: map[string]bool{}, stopTime: stopDuration,
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for range 50 {
		p.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if free(p.host(1), controlPort) && free(p.host(1), peerPort) && free(p.host(11), frontPort) {
			break
		}
	}
	return p, p.serveCloud()
}

func free(ip string, port int) bool {
	l, err := net.Listen("tcp", fmt.Sprint(ip, ":", port))
	if err != nil {
		return false
	}
	l.Close()
	return true
}

func (p *platform) host(n int) string { return fmt.Sprint(p.prefix, n) }

// start starts three members and two gateways, and waits until a configuration is in force.
func (p *platform) start(config []byte) error {
	for i := range 3 {
		p.members = append(p.members, &proc{p: p, name: fmt.Sprint("core-", i+1), role: "member", ip: p.host(i + 1)})
	}
	for i := range 2 {
		p.gateways = append(p.gateways, &proc{p: p, name: fmt.Sprint("front-", i+1), role: "gateway", ip: p.host(i + 11)})
	}
	for _, x := range append(p.members, p.gateways...) {
		x.dir = filepath.Join(p.dir, x.name)
		if err := os.MkdirAll(x.dir, 0o755); err != nil {
			return err
		}
		if err := x.run(true); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if p.configure(config) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("no configuration is in force after 20 s")
		}
	}
	for _, x := range append(p.members, p.gateways...) {
		if err := x.writeSettings(false); err != nil {
			return err
		}
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range p.gateways {
			if res, err := p.client.Get(fmt.Sprint("http://", g.ip, ":", readyPort, "/ready")); err == nil {
				res.Body.Close()
				if res.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == len(p.gateways) {
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready after 10 s")
}

// writeSettings writes the file that the template of the deploy file gives for this process, with
// the bounds of a small deployment.
func (x *proc) writeSettings(first bool) error {
	var seeds []string
	for _, m := range x.p.members {
		seeds = append(seeds, m.control())
	}
	listen := map[string]string{"callers": "", "ready": "", "control": ""}
	s := map[string]any{
		"name": x.name, "domain": "zone-" + x.name[len(x.name)-1:], "ip": x.ip, "peer_port": peerPort, "metrics_port": 9102,
		"seeds": seeds, "first_start": first, "losses": 1, "listen": listen, "advice_api": "", "vm_api": x.p.cloud, "memory_mb": x.p.memoryMB,
		"bounds": map[string]any{
			"max_lease_ms": x.p.holdMax.Milliseconds(), "stop_ms": 400, "gang_wait_ms": 3000, "status_s": 120, "far_factor": 1.5, "checkpoint_s": 2,
			"notice_ms": 4500, "max_stale_ms": 250, "maintenance_s": 2, "repair_time_s": 4, "shutdown_s": 6,
		},
	}
	if x.role == "member" {
		listen["control"] = x.control()
		s["data_dir"] = filepath.Join(x.dir, "data")
	} else {
		listen["callers"], listen["ready"] = x.front(), fmt.Sprint(x.ip, ":", readyPort)
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(x.settings(), b, 0o644)
}

func (x *proc) settings() string { return filepath.Join(x.dir, "settings.json") }

func (x *proc) run(first bool) error {
	if err := x.writeSettings(first); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(x.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	x.cmd = exec.Command(x.p.binary, x.role)
	x.cmd.Env = append(os.Environ(), "PRIMROSEREACH_NODE_FILE="+x.settings())
	x.cmd.Stdout, x.cmd.Stderr = log, log
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := x.cmd.Start(); err != nil {
		return err
	}
	x.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(x.cmd, x.exited)
	x.p.rec.logf("%s starts, process %d", x.name, x.cmd.Process.Pid)
	return nil
}

func (x *proc) kill() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil || x.cmd.Process == nil {
		return
	}
	_ = x.cmd.Process.Kill()
	<-x.exited
	x.p.rec.logf("%s is killed", x.name)
}

// anonymousMB returns the memory that the process uses of its own, without mapped files.
func (x *proc) anonymousMB() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil || x.cmd.Process == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

const (
	memoryCheck  = 100 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// watchMemory kills the process when it uses more than memoryMb, as the platform does, and starts it
// again after a short delay.
func (x *proc) watchMemory() {
	for {
		time.Sleep(memoryCheck)
		x.mu.Lock()
		closed := x.closed
		x.mu.Unlock()
		if closed {
			return
		}
		mb := x.anonymousMB()
		if mb <= x.p.memoryMB {
			continue
		}
		x.kill()
		x.mu.Lock()
		x.overs++
		n := x.overs
		x.mu.Unlock()
		x.p.rec.say("%s uses %d MB of %d and is killed, for the %d. time", x.name, mb, x.p.memoryMB, n)
		time.Sleep(restartDelay)
		x.mu.Lock()
		if !x.closed {
			_ = x.run(false)
		}
		x.mu.Unlock()
	}
}

// diskMB returns the size of the files of a member.
func (x *proc) diskMB() int {
	var n int64
	_ = filepath.Walk(filepath.Join(x.dir, "data"), func(_ string, f os.FileInfo, err error) error {
		if err == nil && !f.IsDir() {
			n += f.Size()
		}
		return nil
	})
	return int(n >> 20)
}

// close ends everything that the case has started.
func (p *platform) close() {
	for _, x := range append(p.members, p.gateways...) {
		x.mu.Lock()
		x.closed = true
		if x.cmd != nil && x.cmd.Process != nil {
			_ = x.cmd.Process.Kill()
			<-x.exited
		}
		x.mu.Unlock()
	}
	for _, r := range p.all() {
		r.vanish("the case is over")
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	} else {
		fmt.Println("kept:", p.dir)
	}
}

func (p *platform) all() []*runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*runner(nil), p.runners...)
}

// leader returns the member whose log says last that it leads.
func (p *platform) leader() *proc {
	var best *proc
	var at time.Time
	for _, m := range p.members {
		b, _ := os.ReadFile(filepath.Join(m.dir, "log"))
		for _, line := range strings.Split(string(b), "\n") {
			var e struct {
				Message string `json:"@message"`
				Time    string `json:"@timestamp"`
			}
			if !strings.Contains(line, "leads the job group") || json.Unmarshal([]byte(line), &e) != nil {
				continue
			}
			if t, err := time.Parse("2006-01-02T15:04:05.000000Z07:00", e.Time); err == nil && t.After(at) {
				best, at = m, t
			}
		}
	}
	return best
}

type route struct {
	name, prefix string
	priority     int
	attempts     int
}

func configuration(version int, routes ...route) []byte {
	var rs []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": r.priority, "service": service, "maxAttempts": r.attempts, "stretch": 2.0})
	}
	b, _ := json.Marshal(map[string]any{"version": version, "routes": rs,
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	return b
}

func (p *platform) call(method, url, hostName string, body []byte) (int, string) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if hostName != "" {
		q.Host = hostName
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Time-Budget", "3000")
	res, err := p.client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, strings.TrimSpace(string(b))
}

func (p *platform) configure(config []byte) bool {
	for _, m := range p.members {
		status, text := p.call("PUT", "http://"+m.control()+"/config", "", config)
		p.rec.logf("PUT /config at %s -> %d %s", m.name, status, text)
		if status == 200 {
			return true
		}
	}
	return false
}

// wave sends an order for upkeep until it is accepted.
func (p *platform) wave(n int, machines []string, durationS float64, most int) error {
	b, _ := json.Marshal(map[string]any{"wave": n, "machines": machines, "durationS": durationS, "cap": most})
	for i := range 20 {
		m := p.members[i%len(p.members)]
		status, text := p.call("POST", "http://"+m.control()+"/wave-start", "", b)
		p.rec.logf("POST /wave-start %s at %s -> %d %s", b, m.name, status, text)
		if status == 200 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("wave %d was not accepted", n)
}

type step struct {
	Count     int    `json:"count"`
	CPU       int    `json:"cpu"`
	MemMb     int    `json:"memMb"`
	Estimate  int    `json:"estimateMs,omitempty"`
	Perpetual bool   `json:"perpetual,omitempty"`
	MayMiss   int    `json:"mayMiss,omitempty"`
	Image     string `json:"image,omitempty"`
	Label     string `json:"requiredLabel,omitempty"`
	Apart     int    `json:"antiAffinity,omitempty"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in until it is accepted or 10 s are over.
func (p *platform) submit(id, prefix, spec string, steps ...step) error {
	b, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	for i, end := 0, time.Now().Add(10*time.Second); time.Now().Before(end); i++ {
		g := p.gateways[i%len(p.gateways)]
		status, text := p.call("POST", "http://"+g.front()+prefix+id, host, b)
		p.rec.logf("POST %s%s %s at %s -> %d %s", prefix, id, b, g.name, status, text)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks for the state of a job.
func (p *platform) state(id, prefix string) (int, string) {
	for i := range 4 {
		g := p.gateways[i%len(p.gateways)]
		status, text := p.call("GET", "http://"+g.front()+prefix+id, host, nil)
		p.rec.logf("GET %s%s at %s -> %d %s", prefix, id, g.name, status, text)
		if status == 200 || status == 410 {
			return status, text
		}
	}
	return 0, ""
}

func (p *platform) runBegan(r *runner, x *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, span{task: x.task, number: x.number, runner: r, x: x, from: x.began})
	p.rec.logf("RUN %s run %d begins on %s", x.task, x.number, r)
}

func (p *platform) runEnded(r *runner, x *run, how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.history {
		if s := &p.history[i]; s.x == x {
			s.to, s.how = time.Now(), how
		}
	}
	p.rec.logf("RUN %s run %d on %s ends: %s", x.task, x.number, r, how)
}

func (p *platform) takenNote(task, how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if how == "done" && p.noted[task].IsZero() {
		p.noted[task] = time.Now()
	}
}

// leavesUnanswered reports whether a start gets no answer. It is then carried out late, by the runner that
// has the id at that time.
func (p *platform) leavesUnanswered(r *runner, o *orderBody) bool {
	p.mu.Lock()
	delay, f := p.late, p.lateOf
	p.late = 0
	p.mu.Unlock()
	if delay == 0 {
		return false
	}
	p.rec.say("the start of %s run %d on %s gets no answer and is carried out %s later", o.Task, o.Run, r, delay)
	order := *o
	time.AfterFunc(delay, func() {
		for _, x := range p.all() {
			if x.id == r.id && x.isAlive() {
				status, out := x.start(&order)
				p.rec.say("the start of %s run %d is carried out on %s -> %d %v", order.Task, order.Run, x, status, out["reason"])
			}
		}
	})
	go f(r, o.Task)
	return true
}

// crashesNow ends a runner that is to crash when a start arrives, and starts it again under its id.
func (p *platform) crashesNow(r *runner) bool {
	p.mu.Lock()
	crashes := p.crashing[r.m.name]
	delete(p.crashing, r.m.name)
	p.mu.Unlock()
	if !crashes {
		return false
	}
	go func() {
		r.vanish("crash as a start arrives")
		time.Sleep(30 * time.Millisecond)
		if _, err := p.startRunner(r.m, r.id, r.address); err != nil {
			p.rec.logf("runner %s does not start again: %v", r, err)
		}
	}()
	return true
}

func (p *platform) ordered(task, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders[task] = time.Now()
	p.rec.logf("%s ends the run of %s", what, task)
}

// spans returns the runs of a task, in the order of their beginning.
func (p *platform) spans(task string) []span {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []span
	for _, s := range p.history {
		if s.task == task {
			out = append(out, s)
		}
	}
	return out
}

// awaitRun waits until a task runs, and returns its run.
func (p *platform) awaitRun(task string, limit time.Duration) (span, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, s := range p.spans(task) {
			if s.to.IsZero() {
				return s, true
			}
		}
	}
	return span{}, false
}

// freeOn returns the capacity in thousandths of a core that is free on a runner.
func (r *runner) freeOn(cpuOf func(task string) int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.alive || r.draining {
		return 0
	}
	used := 0
	for t := range r.runs {
		used += cpuOf(t)
	}
	return r.m.cpu - used
}

// serveCloud serves the platform's list of machines and its upkeep.
func (p *platform) serveCloud() error {
	l, err := net.Listen("tcp", p.host(201)+":0")
	if err != nil {
		return err
	}
	p.cloud = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		var out []map[string]any
		for _, m := range p.machines {
			state, id := "down", ""
			if r := p.on(m.name); r != nil {
				state, id = "up", r.id
			}
			out = append(out, map[string]any{"machine": m.name, "pool": service, "state": state, "zone": m.zone, "labels": m.labels,
				"capacity": map[string]int{"cpu": m.cpu, "memMb": m.mem, "gpu": 0}, "id": id})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"machines": out, "nextToken": ""})
	})
	mux.HandleFunc("POST /machine-upkeep", func(w http.ResponseWriter, q *http.Request) {
		var b struct {
			Machine string `json:"machine"`
			Wave    int    `json:"wave"`
		}
		_ = json.NewDecoder(q.Body).Decode(&b)
		status, reason := p.upkeep(b.Machine, b.Wave)
		p.rec.logf("POST /machine-upkeep %s wave %d by %s token %s -> %d %s", b.Machine, b.Wave, q.Header.Get("Duty-Holder"), q.Header.Get("Fencing-Token"), status, reason)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(map[string]any{"reason": reason})
	})
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return nil
}

func (p *platform) on(name string) *runner {
	for _, r := range p.all() {
		if r.m.name == name && r.isAlive() {
			return r
		}
	}
	return nil
}

// upkeepTime is maintenanceS.
const upkeepTime = 2 * time.Second

func (p *platform) upkeep(name string, wave int) (int, string) {
	key := fmt.Sprint(wave, "/", name)
	p.mu.Lock()
	begun := p.upkeeps[key]
	p.mu.Unlock()
	if begun {
		return 200, ""
	}
	r := p.on(name)
	if r == nil || r.draining {
		return 409, "busy"
	}
	p.mu.Lock()
	p.upkeeps[key] = true
	f := p.onUpkeep
	p.mu.Unlock()
	if f != nil {
		f(name)
	}
	r.vanish("its machine has its upkeep")
	time.AfterFunc(upkeepTime, func() {
		_, _ = p.startRunner(r.m, "i-"+newID()[:8], "")
	})
	return 200, ""
}

// addMachines adds machines in the zones in turn, with a runner each.
func (p *platform) addMachines(n, cpu int, label func(i int) []string) error {
	for i := range n {
		if err := p.addMachine(fmt.Sprint("zone-", i%3+1), cpu, label(i)); err != nil {
			return err
		}
	}
	return nil
}

// addMachinesIn adds machines in given zones, with a runner each.
func (p *platform) addMachinesIn(n, cpu int, zone func(i int) string) error {
	for i := range n {
		if err := p.addMachine(zone(i), cpu, []string{"a", "r-" + zone(i)}); err != nil {
			return err
		}
	}
	return nil
}

func (p *platform) addMachine(zone string, cpu int, labels []string) error {
	m := &machine{name: fmt.Sprintf("m-%02d", len(p.machines)+1), zone: zone, cpu: cpu, mem: 262144, labels: labels}
	p.machines = append(p.machines, m)
	_, err := p.startRunner(m, "i-"+newID()[:8], "")
	return err
}
