package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The runner stand-in follows the pages: leases on its own clock, fencing tokens, run numbers, ends that
// are listed until they are acknowledged, Expect-Instance, and heartbeats to any member in turn.

const (
	beatPeriod   = 1500 * time.Millisecond
	beatRetry    = 200 * time.Millisecond
	startupTime  = 300 * time.Millisecond // of a task that lasts, until it is at work
	maxListed    = 500
	leaseCheck   = 10 * time.Millisecond
	stopDuration = 100 * time.Millisecond // of a run, at most stopMs
)

// machine is where one runner lives at a time.
type machine struct {
	name, zone string
	labels     []string
	cpu, mem   int
}

type run struct {
	task    string
	number  int
	spec    string
	began   time.Time
	work    time.Duration // 0 for a task that lasts
	timer   *time.Timer
	stopped bool
}

type endRow struct {
	n    int64
	task string
	run  int
	how  string
}

// runner is one life of a machine.
type runner struct {
	p       *platform
	m       *machine
	id      string
	address string
	born    time.Time
	server  *http.Server

	mu       sync.Mutex
	alive    bool
	draining bool
	drained  time.Time // time of the first acknowledgement of a heartbeat that says draining
	fence    uint64
	until    int64
	runs     map[string]*run
	highest  map[string]int
	ended    []endRow
	n, seq   int64
	changed  chan struct{}
	isCut    bool  // cut off from all machines of the system
	lapsed   int64 // number of the last end before the lease lapsed
}

// startRunner starts a runner on a machine at an address, "" for a free port.
func (p *platform) startRunner(m *machine, id, address string) (*runner, error) {
	if address == "" {
		address = p.host(200) + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &runner{p: p, m: m, id: id, address: l.Addr().String(), born: time.Now(), alive: true,
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handle(r.start))
	mux.HandleFunc("POST /run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /hold", r.handle(r.hold))
	mux.HandleFunc("POST /pace", r.handle(func(*orderBody) (int, map[string]any) { return 200, map[string]any{} }))
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(l) }()
	p.mu.Lock()
	p.runners = append(p.runners, r)
	p.mu.Unlock()
	p.rec.logf("runner %s starts on %s at %s", id, m.name, r.address)
	go r.beat()
	go r.watchLease()
	return r, nil
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1000 }

type orderBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckSeq       int64  `json:"ackSeq"`
	WaitMs       int    `json:"waitMs"`
}

func (r *runner) handle(f func(*orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var o orderBody
		if r.cutOff() {
			time.Sleep(time.Second)
			panic(http.ErrAbortHandler) // no answer
		}
		status, out := 400, map[string]any{}
		if x := q.Header.Get("Expect-Instance"); x != "" && x != r.id {
			status = 421
		} else if json.NewDecoder(q.Body).Decode(&o) == nil {
			if q.URL.Path == "/run-start" && r.p.crashesNow(r) {
				panic(http.ErrAbortHandler) // no answer
			}
			if q.URL.Path == "/run-start" && r.p.leavesUnanswered(r, &o) {
				time.Sleep(time.Second)
				panic(http.ErrAbortHandler) // no answer
			}
			status, out = f(&o)
		}
		if q.URL.Path == "/hold" {
			time.Sleep(r.p.listTime)
		}
		out["clockMs"] = r.clock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(out)
		if q.URL.Path != "/hold" {
			r.p.rec.logf("%s %s %s run %d token %d -> %d %v", r.id, q.URL.Path, o.Task, o.Run, o.FencingToken, status, out["reason"])
		}
	}
}

func refused(reason string) (int, map[string]any) { return 409, map[string]any{"reason": reason} }

// checkFence is called with the lock held.
func (r *runner) checkFence(o *orderBody) bool {
	if o.FencingToken < r.fence {
		return false
	}
	r.fence = o.FencingToken
	return true
}

func (r *runner) extend(until int64) {
	r.until = max(r.until, min(until, r.clock()+r.p.holdMax.Milliseconds()))
}

func (r *runner) start(o *orderBody) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch x := r.runs[o.Task]; {
	case !r.checkFence(o):
		return refused("fence")
	case o.UntilMs <= r.clock():
		return refused("late")
	case x != nil && x.number == o.Run:
		r.extend(o.UntilMs)
		return 200, map[string]any{}
	case x != nil || r.highest[o.Task] >= o.Run:
		r.extend(o.UntilMs)
		return refused("old")
	}
	r.extend(o.UntilMs)
	x := &run{task: o.Task, number: o.Run, spec: o.Spec, began: time.Now()}
	how := "done"
	for _, word := range strings.Fields(o.Spec) {
		if ms, ok := strings.CutPrefix(word, "work="); ok {
			n, _ := strconv.Atoi(ms)
			x.work = time.Duration(n) * time.Millisecond
		}
		if word == "fails" {
			how = "failed"
		}
	}
	r.runs[o.Task] = x
	r.p.runBegan(r, x)
	if x.work > 0 {
		x.timer = time.AfterFunc(x.work, func() { r.end(x, how) })
	}
	return 200, map[string]any{}
}

func (r *runner) end(x *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLocked(x, how)
}

func (r *runner) endLocked(x *run, how string) {
	if !r.alive || r.runs[x.task] != x {
		return
	}
	if x.timer != nil {
		x.timer.Stop()
	}
	delete(r.runs, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.number)
	r.n++
	r.ended = append(r.ended, endRow{r.n, x.task, x.number, how})
	r.p.runEnded(r, x, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) stop(o *orderBody) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.checkFence(o) {
		return refused("fence")
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if x := r.runs[o.Task]; x != nil && x.number <= o.Run && !x.stopped {
		x.stopped = true
		r.p.ordered(x.task, "a stop")
		time.AfterFunc(r.p.stopTime, func() { r.end(x, "stopped") })
	}
	return 200, map[string]any{}
}

func (r *runner) hold(o *orderBody) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.checkFence(o) {
		return refused("fence")
	}
	if o.UntilMs > 0 {
		r.extend(o.UntilMs)
	}
	for len(r.ended) > 0 && r.ended[0].n <= o.AckSeq {
		r.p.rec.logf("%s end %d of %s run %d (%s) is taken note of", r.id, r.ended[0].n, r.ended[0].task, r.ended[0].run, r.ended[0].how)
		if r.ended[0].n > r.lapsed {
			r.p.takenNote(r.ended[0].task, r.ended[0].how)
		}
		r.ended = r.ended[1:]
	}
	if o.WaitMs > 0 && len(r.ended) == 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		r.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.runs {
		running = append(running, []any{x.task, x.number, "", x.percent(), 0})
	}
	for _, e := range r.ended[:min(len(r.ended), maxListed)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return 200, map[string]any{"running": running, "ended": ended, "born": r.born.UnixMilli()}
}

func (x *run) percent() int {
	t := time.Since(x.began)
	if x.work == 0 {
		return int(min(100, 100*t/startupTime))
	}
	return int(min(99, 100*t/x.work))
}

// atWork reports whether a task that lasts is past its startup.
func (x *run) atWork() bool { return time.Since(x.began) >= startupTime }

func (r *runner) watchLease() {
	for {
		time.Sleep(leaseCheck)
		r.mu.Lock()
		if !r.alive {
			r.mu.Unlock()
			return
		}
		if r.clock() > r.until {
			r.lapsed = r.n
		}
		if len(r.runs) > 0 && r.clock() > r.until {
			for _, x := range r.sorted() {
				r.endLocked(x, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

func (r *runner) sorted() []*run {
	var out []*run
	for _, x := range r.runs {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *run) int { return strings.Compare(a.task, b.task) })
	return out
}

// vanish ends this life: its port refuses connections, what runs is over and is not listed.
func (r *runner) vanish(why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.alive {
		return
	}
	for _, x := range r.sorted() {
		if x.timer != nil {
			x.timer.Stop()
		}
		r.p.runEnded(r, x, "lost: "+why)
	}
	r.alive, r.runs = false, map[string]*run{}
	_ = r.server.Close()
	r.p.rec.logf("runner %s ends: %s", r.id, why)
}

func (r *runner) isAlive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.alive
}

func (r *runner) cutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isCut
}

func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	r.isCut = cut
	r.mu.Unlock()
	r.p.rec.say("runner %s is cut off from all machines: %v", r, cut)
}

func (r *runner) drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
}

// beat sends heartbeats: to the next member after a failure.
func (r *runner) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	time.Sleep(r.p.firstBeat)
	for i := int(r.born.UnixNano() % 3); ; {
		r.mu.Lock()
		if !r.alive {
			r.mu.Unlock()
			return
		}
		r.seq++
		state := "ready"
		if r.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": r.address, "zone": r.m.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": r.m.cpu, "memMb": r.m.mem, "gpu": 0}, "labels": r.m.labels, "clockMs": r.clock(),
			"seq": r.seq, "born": r.born.UnixMilli(), "machine": r.m.name,
		})
		r.mu.Unlock()
		members := r.p.members
		to := members[i%len(members)]
		q, _ := http.NewRequest("PUT", "http://"+to.control()+"/instances/"+r.id, bytes.NewReader(body))
		q.Header.Set("Content-Type", "application/json")
		wait := beatPeriod
		if r.cutOff() {
			time.Sleep(beatRetry)
			continue
		}
		res, err := client.Do(q)
		status := 0
		if err == nil {
			status = res.StatusCode
			res.Body.Close()
		}
		if status/100 != 2 {
			i++
			wait = beatRetry
			r.p.rec.logf("heartbeat of %s at %s: %d %v", r.id, to.name, status, err)
		} else if state == "draining" {
			r.mu.Lock()
			if r.drained.IsZero() {
				r.drained = time.Now()
				r.p.rec.logf("runner %s: %s acknowledges that it is draining", r.id, to.name)
			}
			r.mu.Unlock()
		}
		time.Sleep(wait)
	}
}

func (r *runner) String() string { return fmt.Sprintf("%s(%s)", r.id, r.m.name) }
