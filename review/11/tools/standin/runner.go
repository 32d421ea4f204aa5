package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxLease  = 10 * time.Second
	beatTime  = 1500 * time.Millisecond
	stopTime  = 150 * time.Millisecond // within stopMs
	startTime = 500 * time.Millisecond // until a task that lasts is at work
)

// taskRun is a run that a runner has begun.
type taskRun struct {
	task    string
	number  int
	began   time.Time
	takes   time.Duration // 0 for a task that lasts
	stopped bool
}

// runner stands in for one life of a runner.
type runner struct {
	c                     *cluster
	id, machine, zone, ip string
	host                  int
	cpu, mem              int
	born                  int64
	start                 time.Time
	server                *http.Server

	mu       sync.Mutex
	alive    bool
	draining bool
	seq      int
	fence    uint64
	lease    int64 // on its clock, milliseconds
	runs     map[string]*taskRun
	highest  map[string]int // highest run of a task that was stopped or has ended here
	ended    [][]any
	lastEnd  int
	gone     map[int]bool // numbers of the ends that were forgotten
	waiting  int          // calls of /hold that wait
	late     *lateHold    // nil for none
	changed  chan struct{}
}

// startRunner starts a runner on a machine of the platform.
func (c *cluster) startRunner(machine string, host int, zone string, cpu, mem int, id string) (*runner, error) {
	c.mu.Lock()
	c.lives++
	if id == "" {
		id = fmt.Sprintf("i-%08x", c.lives)
	}
	c.mu.Unlock()
	r := &runner{c: c, id: id, machine: machine, zone: zone, ip: c.prefix + "." + strconv.Itoa(host), host: host, cpu: cpu, mem: mem,
		born: time.Now().UnixMilli(), start: time.Now(), alive: true, runs: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{}), gone: map[int]bool{}}
	l, err := net.Listen("tcp", r.address())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.order(r.runStart))
	mux.HandleFunc("POST /run-stop", r.order(r.runStop))
	mux.HandleFunc("POST /hold", r.order(r.hold))
	mux.HandleFunc("POST /pace", r.order(func(*orderBody) (int, map[string]any) { return http.StatusOK, nil }))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(l) }()
	c.mu.Lock()
	c.runners[machine] = r
	c.mu.Unlock()
	go r.live()
	go r.beat()
	return r, nil
}

func (c *cluster) runner(machine string) *runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runners[machine]
}

func (r *runner) address() string { return net.JoinHostPort(r.ip, strconv.Itoa(runnerPort)) }

func (r *runner) clock() int64 { return 1000 + time.Since(r.start).Milliseconds() }

func (r *runner) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// crash ends a runner at once.
func (r *runner) crash() {
	r.mu.Lock()
	r.alive = false
	for t := range r.runs {
		r.c.rec.add("runner %s: run %d of %s ends with its runner", r.id, r.runs[t].number, t)
	}
	r.runs = map[string]*taskRun{}
	r.notify()
	r.mu.Unlock()
	_ = r.server.Close()
}

// restartRunner ends a runner and starts another life on its machine after a time.
func (c *cluster) restartRunner(r *runner, after time.Duration) {
	r.crash()
	time.Sleep(after)
	c.mu.Lock()
	c.moved++
	host := 80 + c.moved // the next life of a machine has another address
	c.mu.Unlock()
	if _, err := c.startRunner(r.machine, host, r.zone, r.cpu, r.mem, ""); err != nil {
		c.rec.add("runner on %s cannot start: %v", r.machine, err)
	}
}

func (r *runner) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// live ends runs whose work is done or whose lease has expired.
func (r *runner) live() {
	for {
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		if !r.alive {
			r.mu.Unlock()
			return
		}
		lapsed := len(r.runs) > 0 && r.clock() >= r.lease
		for _, t := range r.runs {
			switch {
			case lapsed:
				r.end(t, "lapsed")
			case !t.stopped && t.takes > 0 && time.Since(t.began) >= t.takes:
				r.end(t, "done")
			}
		}
		r.mu.Unlock()
	}
}

func (r *runner) end(t *taskRun, how string) {
	delete(r.runs, t.task)
	r.highest[t.task] = max(r.highest[t.task], t.number)
	r.lastEnd++
	r.ended = append(r.ended, []any{r.lastEnd, t.task, t.number, how, ""})
	r.late.runEnded(r, t, how)
	r.c.rec.add("runner %s: run %d of %s ends: %s", r.id, t.number, t.task, how)
	r.notify()
}

// beat sends the heartbeats.
func (r *runner) beat() {
	for i := r.host; ; i++ {
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
		body := map[string]any{
			"service": poolName, "address": r.address(), "zone": r.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": r.cpu, "memMb": r.mem, "gpu": 0}, "labels": []string{"a", "r-" + r.zone}, "clockMs": r.clock(), "seq": r.seq,
			"born": r.born, "machine": r.machine,
		}
		if r.draining {
			body["remainingMs"] = 2000
		}
		r.mu.Unlock()
		for k := range 3 { // the next node if one does not acknowledge
			if status, _ := r.c.call("PUT", r.c.control(1+(i+k)%3), "/instances/"+r.id, body, nil, time.Second); status == http.StatusOK {
				break
			}
		}
		time.Sleep(beatTime)
	}
}

type orderBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckSeq       int64  `json:"ackSeq"`
	WaitMS       int    `json:"waitMs"`
}

func (r *runner) order(f func(*orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var b orderBody
		status, out := http.StatusBadRequest, map[string]any(nil)
		if json.NewDecoder(q.Body).Decode(&b) == nil {
			r.mu.Lock()
			switch {
			case q.Header.Get("Expect-Instance") != r.id:
				status = http.StatusMisdirectedRequest
			case b.FencingToken < r.fence:
				status, out = http.StatusConflict, map[string]any{"reason": "fence"}
			default:
				r.fence = b.FencingToken
				status, out = f(&b)
			}
			if out == nil {
				out = map[string]any{}
			}
			out["clockMs"], out["born"] = r.clock(), r.born
			r.mu.Unlock()
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(out)
	}
}

func (r *runner) extend(untilMS int64) {
	r.lease = max(r.lease, min(untilMS, r.clock()+maxLease.Milliseconds()))
}

func (r *runner) runStart(b *orderBody) (int, map[string]any) {
	if t := r.runs[b.Task]; t != nil && t.number == b.Run {
		r.extend(b.UntilMS)
		return http.StatusOK, nil
	}
	switch {
	case b.Run <= r.highest[b.Task]:
		r.extend(b.UntilMS)
		return http.StatusConflict, map[string]any{"reason": "old"}
	case b.UntilMS <= r.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	r.extend(b.UntilMS)
	t := &taskRun{task: b.Task, number: b.Run, began: time.Now()}
	if ms, ok := strings.CutPrefix(b.Spec, "batch "); ok {
		n, _ := strconv.Atoi(ms)
		t.takes = time.Duration(n) * time.Millisecond
	}
	r.runs[b.Task] = t
	r.c.rec.add("runner %s: starts run %d of %s, token %d", r.id, b.Run, b.Task, b.FencingToken)
	r.c.started(r, t)
	return http.StatusOK, nil
}

func (r *runner) runStop(b *orderBody) (int, map[string]any) {
	r.highest[b.Task] = max(r.highest[b.Task], b.Run)
	if t := r.runs[b.Task]; t != nil && t.number <= b.Run && !t.stopped {
		t.stopped = true
		r.c.rec.add("runner %s: is told to stop run %d of %s", r.id, t.number, t.task)
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.runs[t.task] == t {
				r.end(t, "stopped")
			}
		})
	}
	return http.StatusOK, nil
}

func (r *runner) hold(b *orderBody) (int, map[string]any) {
	if b.UntilMS > 0 {
		r.extend(b.UntilMS)
	}
	if r.late.leave(b) {
		r.mu.Unlock()
		time.Sleep(time.Second) // the caller has given up by then
		r.mu.Lock()
		return http.StatusServiceUnavailable, nil
	}
	r.forget(b.AckSeq)
	end := time.Now().Add(time.Duration(b.WaitMS) * time.Millisecond)
	for r.alive && len(r.list()) == 0 && time.Now().Before(end) {
		changed := r.changed
		r.waiting++
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		}
		r.mu.Lock()
		r.waiting--
	}
	running := [][]any{}
	for _, t := range r.runs {
		running = append(running, []any{t.task, t.number, "", t.percent(), 100})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": r.list()}
}

// forget drops the ends up to a number.
func (r *runner) forget(number int64) {
	for _, e := range r.ended {
		if n := e[0].(int); int64(n) <= number {
			r.gone[n] = true
		}
	}
}

func (r *runner) list() [][]any {
	out := [][]any{}
	for _, e := range r.ended {
		if !r.gone[e[0].(int)] && len(out) < 500 {
			out = append(out, e)
		}
	}
	return out
}

func (t *taskRun) percent() int {
	if t.takes == 0 {
		if time.Since(t.began) >= startTime {
			return 100
		}
		return 0
	}
	return int(min(99, 100*time.Since(t.began)/t.takes))
}
