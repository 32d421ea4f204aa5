package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times of the stand-in, those of the deployment tmq-primrose.
const (
	holdMax       = 10 * time.Second
	stopTime      = 400 * time.Millisecond
	gangWait      = 3 * time.Second
	noticeTime    = 4500 * time.Millisecond
	upkeepTime    = 2 * time.Second
	heartbeatTime = 1500 * time.Millisecond
	drainTime     = 2 * time.Second
	serviceStart  = 300 * time.Millisecond // startup of a task that lasts
)

// Fleet is the set of all runners and the jobs that they know. One lock guards everything, since
// a gang spans several runners.
type Fleet struct {
	mu      sync.Mutex
	rec     *Record
	control []string
	jobs    map[string]*Job // by ID
	Runners []*Runner
	gangs   map[string][]*Run // runs that belong together
	History []*Run            // all starts that were carried out, in order
}

// Run is a task that a runner has started.
type Run struct {
	Task   string
	Number int
	On     *Runner
	Job    *Job
	Step   int
	At     time.Time // of the start
	Ended  time.Time // zero while it runs
	How    string    // how it ended
	began  time.Time // of the work, zero while it waits for its gang
	timer  *time.Timer
}

type end struct {
	number int64
	run    *Run
}

// Runner is one life of a machine that runs tasks.
type Runner struct {
	ID, Machine, Service, Zone string
	Labels                     []string
	Draining                   bool
	Grey                       bool   // it fails all that it starts
	Proxy                      *Proxy // on the way to it, nil for none
	f                          *Fleet
	listener                   net.Listener
	server                     *http.Server
	born                       time.Time
	fence                      uint64
	until                      int64 // end of the lease, on the runner's clock
	running                    map[string]*Run
	highest                    map[string]int // highest run that was stopped or has ended, by task
	ended                      []end
	number                     int64
	seq                        int64
	changed                    chan struct{}
	gone                       bool
	drainAcked                 time.Time     // zero before
	beatNow                    chan struct{} // asks for a heartbeat at once
}

const (
	runnerCores  = 64_000 // thousandths
	runnerMemory = 256_000
)

// NewFleet returns a fleet without runners.
func NewFleet(rec *Record) *Fleet {
	return &Fleet{rec: rec, jobs: map[string]*Job{}, gangs: map[string][]*Run{}}
}

// Add starts a runner.
func (f *Fleet) Add(id, machine, service, zone string, labels ...string) error {
	labels = append(append([]string{"a"}, labels...), "r-"+machine) // each machine has a rack of its own
	return f.add(&Runner{ID: id, Machine: machine, Service: service, Zone: zone, Labels: labels}, "127.0.0.1:0")
}

// add starts a runner at an address.
func (f *Fleet) add(r *Runner, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.f, r.listener, r.born = f, l, time.Now()
	r.running, r.highest = map[string]*Run{}, map[string]int{}
	r.changed, r.beatNow = make(chan struct{}), make(chan struct{}, 1)
	if r.Proxy != nil {
		r.Proxy.SetTarget(l.Addr().String())
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.order(r.start))
	mux.HandleFunc("POST /run-stop", r.order(r.stop))
	mux.HandleFunc("POST /hold", r.order(r.hold))
	mux.HandleFunc("POST /pace", r.order(func(*order) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", r.ID) })
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(l) }() // returns an error when the runner ends
	f.mu.Lock()
	f.Runners = append(f.Runners, r)
	f.mu.Unlock()
	go r.heartbeats()
	return nil
}

func (r *Runner) clock() int64 { return time.Since(r.born).Milliseconds() }

func (r *Runner) heartbeats() {
	client := &http.Client{Timeout: time.Second}
	for i := 0; ; i++ {
		for try := range len(r.f.control) {
			body, ok := r.heartbeat()
			if !ok {
				return
			}
			url := "http://" + r.f.control[(i+try)%len(r.f.control)] + "/instances/" + r.ID
			req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
			if err != nil {
				return
			}
			req.Header.Set("Content-Type", "application/json")
			res, err := client.Do(req)
			if err == nil {
				res.Body.Close()
				if res.StatusCode/100 == 2 {
					r.acknowledged(body)
					break
				}
			}
		}
		select {
		case <-time.After(heartbeatTime):
		case <-r.beatNow:
		}
	}
}

// acknowledged notes that a heartbeat was acknowledged.
func (r *Runner) acknowledged(body []byte) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if r.Draining && bytes.Contains(body, []byte("\"draining\"")) && r.drainAcked.IsZero() {
		r.drainAcked = time.Now()
	}
}

// Drain reports that the runner drains, serves on for the agreed time and a little longer after
// the acknowledgement, takes its leave and ends.
func (r *Runner) Drain() {
	r.f.rec.Printf("planned work: runner %s drains", r.ID)
	r.f.mu.Lock()
	r.Draining = true
	r.f.mu.Unlock()
	r.beatNow <- struct{}{}
	for acked := false; !acked; time.Sleep(20 * time.Millisecond) {
		r.f.mu.Lock()
		acked = !r.drainAcked.IsZero()
		r.f.mu.Unlock()
	}
	r.f.rec.Printf("runner %s: that it drains is acknowledged", r.ID)
	time.Sleep(drainTime + 500*time.Millisecond)
	r.deregister()
	r.Leave("ended with its runner")
	r.f.rec.Printf("runner %s ends", r.ID)
}

// deregister tells the system that the runner takes its leave.
func (r *Runner) deregister() {
	client := &http.Client{Timeout: time.Second}
	for _, address := range r.f.control {
		req, err := http.NewRequest(http.MethodDelete, "http://"+address+"/instances/"+r.ID, nil)
		if err != nil {
			return
		}
		res, err := client.Do(req)
		if err != nil {
			continue
		}
		res.Body.Close()
		r.f.rec.Printf("runner %s: DELETE /instances/%s -> %d", r.ID, r.ID, res.StatusCode)
		if res.StatusCode/100 == 2 {
			break
		}
	}
}

func (r *Runner) heartbeat() ([]byte, bool) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	r.seq++
	address, state := r.listener.Addr().String(), "ready"
	if r.Proxy != nil {
		address = r.Proxy.listener.Addr().String()
	}
	if r.Draining {
		state = "draining"
	}
	b, err := json.Marshal(map[string]any{
		"service": r.Service, "address": address, "zone": r.Zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": runnerCores, "memMb": runnerMemory, "gpu": 0}, "labels": r.Labels,
		"clockMs": r.clock(), "seq": r.seq, "born": r.born.UnixMilli(), "machine": r.Machine,
	})
	return b, err == nil && !r.gone
}

// Leave ends the runner at once, with all that runs there.
func (r *Runner) Leave(why string) {
	r.f.mu.Lock()
	r.gone = true
	for _, x := range r.sorted() {
		r.finish(x, why)
	}
	r.ended = nil // nobody learns how they ended
	r.f.mu.Unlock()
	_ = r.server.Close() // closes the listener and all connections
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckSeq       int64  `json:"ackSeq"`
	WaitMS       int    `json:"waitMs"`
}

// order returns a handler that carries out orders with the lock held.
func (r *Runner) order(carryOut func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var o order
		if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.f.mu.Lock()
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		expected := q.Header.Get("Expect-Instance")
		switch {
		case expected != "" && expected != r.ID:
		case o.FencingToken < r.fence:
			status, body["reason"] = http.StatusConflict, "fence"
		default:
			r.fence = o.FencingToken
			status, body = carryOut(&o)
		}
		body["clockMs"], body["born"] = r.clock(), r.born.UnixMilli()
		r.f.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body) // an error means that the caller has gone
	}
}

// extend takes a later end of the lease, at most holdMax from now.
func (r *Runner) extend(until int64) {
	until = min(until, r.clock()+holdMax.Milliseconds())
	if until <= r.until {
		return
	}
	r.until = until
	time.AfterFunc(time.Duration(until-r.clock()+1)*time.Millisecond, func() {
		r.f.mu.Lock()
		defer r.f.mu.Unlock()
		if r.clock() >= r.until && !r.gone {
			for _, x := range r.sorted() {
				r.finish(x, "lapsed")
			}
		}
	})
}

func (r *Runner) sorted() []*Run {
	var out []*Run
	for _, x := range r.running {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *Run) int { return strings.Compare(a.Task, b.Task) })
	return out
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (r *Runner) start(o *order) (int, map[string]any) {
	if x := r.running[o.Task]; x != nil && x.Number == o.Run {
		r.extend(o.UntilMS)
		return http.StatusOK, map[string]any{}
	}
	if o.UntilMS <= r.clock() {
		return refused("late")
	}
	r.extend(o.UntilMS)
	if o.Run <= r.highest[o.Task] || r.running[o.Task] != nil {
		return refused("old")
	}
	id, _, step, _ := taskParts(o.Task)
	job := r.f.jobs[id]
	if job == nil || step >= len(job.Steps) {
		return http.StatusBadRequest, map[string]any{}
	}
	x := &Run{Task: o.Task, Number: o.Run, On: r, Job: job, Step: step, At: time.Now()}
	r.running[o.Task] = x
	r.f.History = append(r.f.History, x)
	r.f.rec.Printf("run: %s run %d starts on %s (service %s, machine %s, token %d)", o.Task, o.Run, r.ID, r.Service, r.Machine, o.FencingToken)
	switch s := &job.Steps[step]; {
	case r.Grey:
		x.after(5*time.Millisecond, func() { r.finish(x, "failed") })
	case s.Gang:
		r.f.joinGang(x, s)
	default:
		x.work(s)
	}
	return http.StatusOK, map[string]any{}
}

// after calls f with the lock held, unless the run has ended by then.
func (x *Run) after(d time.Duration, f func()) {
	x.timer = time.AfterFunc(d, func() {
		x.On.f.mu.Lock()
		defer x.On.f.mu.Unlock()
		if x.Ended.IsZero() {
			f()
		}
	})
}

func (x *Run) work(s *Step) {
	x.began = time.Now()
	switch {
	case x.Job.FailsAfter > 0:
		x.after(x.Job.FailsAfter, func() { x.On.finish(x, "failed") })
	case !s.Perpetual:
		x.after(time.Duration(s.EstimateMS)*time.Millisecond, func() { x.On.finish(x, "done") })
	}
}

func (x *Run) gang() string {
	return fmt.Sprint(x.Task[:strings.LastIndex(x.Task, ".")], "/", x.Number)
}

// joinGang lets the tasks of a gang work once all of one run are present.
func (f *Fleet) joinGang(x *Run, s *Step) {
	members := append(f.gangs[x.gang()], x)
	f.gangs[x.gang()] = members
	present := 0
	for _, m := range members {
		if m.Ended.IsZero() {
			present++
		}
	}
	if present < s.Count {
		x.after(gangWait, func() { x.On.finish(x, "alone") })
		return
	}
	for _, m := range members {
		if m.timer != nil {
			m.timer.Stop()
		}
		m.work(s)
	}
}

// finish ends a run and lists its end. In a gang that works, it ends the other members as well.
func (r *Runner) finish(x *Run, how string) {
	if !x.Ended.IsZero() {
		return
	}
	x.Ended, x.How = time.Now(), how
	if x.timer != nil {
		x.timer.Stop()
	}
	delete(r.running, x.Task)
	r.highest[x.Task] = max(r.highest[x.Task], x.Number)
	r.number++
	r.ended = append(r.ended, end{r.number, x})
	close(r.changed)
	r.changed = make(chan struct{})
	r.f.rec.Printf("run: %s run %d ends %s on %s", x.Task, x.Number, how, r.ID)
	if x.Job.Steps[x.Step].Gang && !x.began.IsZero() {
		others := "broken"
		if how == "done" {
			others = "done"
		}
		for _, m := range r.f.gangs[x.gang()] {
			m.On.finish(m, others)
		}
	}
}

func (r *Runner) stop(o *order) (int, map[string]any) {
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if x := r.running[o.Task]; x != nil && x.Number <= o.Run {
		r.f.rec.Printf("order: stop %s run %d on %s", o.Task, o.Run, r.ID)
		if x.timer != nil {
			x.timer.Stop()
		}
		x.after(stopTime/4, func() { r.finish(x, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

func (r *Runner) hold(o *order) (int, map[string]any) {
	if o.UntilMS > 0 {
		r.extend(o.UntilMS)
	}
	for len(r.ended) > 0 && r.ended[0].number <= o.AckSeq {
		r.ended = r.ended[1:]
	}
	if o.WaitMS > 0 && len(r.ended) == 0 {
		changed := r.changed
		r.f.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
		r.f.mu.Lock()
		if r.gone {
			r.f.mu.Unlock()
			panic(http.ErrAbortHandler) // the process has ended
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.sorted() {
		running = append(running, []any{x.Task, x.Number, "", x.percent(), x.Job.Steps[x.Step].CPU})
	}
	for _, e := range r.ended[:min(len(r.ended), 500)] {
		ended = append(ended, []any{e.number, e.run.Task, e.run.Number, e.run.How, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

func (x *Run) percent() int {
	s := &x.Job.Steps[x.Step]
	switch {
	case x.began.IsZero():
		return 0
	case s.Perpetual:
		return int(min(100, 100*time.Since(x.began)/serviceStart))
	}
	return int(min(100, 100*time.Since(x.began)/(time.Duration(max(1, s.EstimateMS))*time.Millisecond)))
}

// AtWork reports whether a task that lasts is at work.
func (x *Run) AtWork() bool { return x.Ended.IsZero() && x.percent() == 100 }

// overlaps describes the pairs of runs of one task that ran at the same time on two runners, both
// of them up.
func (f *Fleet) overlaps() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	byTask := map[string][]*Run{}
	var out []string
	for _, x := range f.History {
		for _, y := range byTask[x.Task] {
			if y.On != x.On && (y.Ended.IsZero() || y.Ended.After(x.At)) {
				out = append(out, fmt.Sprintf("%s run %d on %s ends %s after its run %d has started on %s", x.Task, y.Number, y.On.ID, overlap(y, x), x.Number, x.On.ID))
			}
		}
		byTask[x.Task] = append(byTask[x.Task], x)
	}
	return out
}

func overlap(y, x *Run) string {
	if y.Ended.IsZero() {
		return "later than now"
	}
	return fmt.Sprintf("%.1f s", y.Ended.Sub(x.At).Seconds())
}
