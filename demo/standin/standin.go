// Package standin is a small endpoint for tests and the demonstration. It follows
// the endpoint protocol: it registers by heartbeat, runs tasks under a lease, answers
// repeated starts with the first answer, and resends its reports until they are
// acknowledged. It is not part of the product.
package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// Config describes one endpoint.
type Config struct {
	Name     string
	Domain   string
	Kind     state.EndpointKind
	Capacity state.Resources
	Rack     string
	Servers  []string // public addresses of entry processes
	Token    string   // "" with insecure settings
	Speed    float64  // 1 is typical, 0.1 runs ten times longer
	FailAll  bool     // every task fails
	// Journal, if set, is called at each start and each end of an execution.
	Journal func(Execution)
}

// Execution is one line of the journal.
type Execution struct {
	Endpoint string          `json:"endpoint"`
	Team     string          `json:"team"`
	ID       state.RequestID `json:"id"`
	Task     int             `json:"task"`
	Attempt  int             `json:"attempt"`
	Event    string          `json:"event"` // "start", "done", "failed" or "stopped"
	AtMS     int64           `json:"at_ms"` // Unix milliseconds
}

// Work is the payload that sets how long a stand-in runs a task and whether the task fails.
type Work struct {
	RunMS int64 `json:"run_ms"`
	Fail  bool  `json:"fail,omitempty"`
}

// stopMargin is the time before the end of the lease at which repeatable tasks are
// stopped and starts are declined.
const stopMargin = 500 * time.Millisecond

// Endpoint is a running stand-in.
type Endpoint struct {
	cfg         Config
	incarnation uint64
	address     string
	client      *http.Client
	server      *http.Server
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu              sync.Mutex
	term            uint64 // newest term received
	leaseUntil      time.Time
	lowWatermarkSeq uint64 // starts up to this sequence number are settled
	interval        time.Duration
	assigner        string // IP:port to which calls are sent, "" if unknown
	nextServer      int    // index in cfg.Servers of the next server to try without an assigner
	leaving         bool
	used            state.Resources
	attempts        map[uint64]*attempt // by sequence number
}

// attempt is a start that was answered, or an attempt that was stopped before it started.
type attempt struct {
	ref     protocol.Attempt
	start   protocol.StartRequest
	started bool
	stop    context.CancelFunc
	report  *protocol.ReportRequest // nil until the attempt has ended; its Status is empty once it is acknowledged
}

// Start starts an endpoint, which sends heartbeats and runs tasks until Close.
func Start(cfg Config) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{
		cfg: cfg, incarnation: newIncarnation(), address: l.Addr().String(), ctx: ctx, cancel: cancel,
		client: &http.Client{Timeout: 3 * time.Second}, interval: 200 * time.Millisecond, attempts: map[uint64]*attempt{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathTasks, e.handleStart)
	mux.HandleFunc("POST "+protocol.PathTasksStop, e.handleStop)
	e.server = &http.Server{Handler: mux}
	e.wg.Go(func() { _ = e.server.Serve(l) }) // ends with Close
	e.wg.Go(e.heartbeatLoop)
	e.wg.Go(e.enforceLease)
	return e, nil
}

// newIncarnation returns a number that is higher at each start: the Unix time in
// milliseconds, followed by 20 random bits.
func newIncarnation() uint64 { return uint64(time.Now().UnixMilli())<<20 | rand.Uint64N(1<<20) }

// Address returns the IP:port at which the endpoint accepts starts and stops.
func (e *Endpoint) Address() string { return e.address }

// Close stops the endpoint at once, as a crash would.
func (e *Endpoint) Close() {
	e.cancel()
	_ = e.server.Close()
	e.wg.Wait()
}

// Leave reports in the next heartbeats that the endpoint is leaving, so that it gets no
// new work. It keeps running until Close.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
}

// Running returns the number of tasks that run or whose report is not
// acknowledged.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, a := range e.attempts {
		if a.started && (a.report == nil || a.report.Status != "") {
			n++
		}
	}
	return n
}

func (e *Endpoint) handleStart(w http.ResponseWriter, r *http.Request) {
	var req protocol.StartRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	respondJSON(w, e.start(req))
}

// start accepts or declines a start and keeps the answer by sequence number.
func (e *Endpoint) start(req protocol.StartRequest) protocol.StartResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.Incarnation != e.incarnation {
		// The previous incarnation may have run the attempt, so it is not declined.
		return protocol.StartResponse{Reason: "the endpoint has restarted"}
	}
	if a := e.attempts[req.Seq]; a != nil {
		return protocol.StartResponse{Started: a.started, Declined: !a.started}
	}
	if req.Seq <= e.lowWatermarkSeq {
		return protocol.StartResponse{Declined: true, Reason: "the assignment is settled"}
	}
	if req.Term < e.term {
		// The sender is no longer the leader: its successor decides on this assignment.
		return protocol.StartResponse{Reason: "a newer leader is known"}
	}
	a := &attempt{ref: req.Attempt, start: req}
	e.attempts[req.Seq] = a
	e.term = max(e.term, req.Term)
	switch {
	case time.Now().After(e.leaseUntil.Add(-stopMargin)):
		return protocol.StartResponse{Declined: true, Reason: "the endpoint has no lease"}
	case !e.used.Add(req.PerTask).FitsIn(e.cfg.Capacity):
		return protocol.StartResponse{Declined: true, Reason: "the endpoint has no room"}
	}
	a.started = true
	e.used = e.used.Add(req.PerTask)
	ctx, cancel := context.WithCancel(e.ctx)
	a.stop = cancel
	e.wg.Go(func() { e.run(ctx, a) })
	return protocol.StartResponse{Started: true}
}

func (e *Endpoint) run(ctx context.Context, a *attempt) {
	defer a.stop()
	var work Work
	_ = json.Unmarshal(a.start.Payload, &work) // a task with any other payload ends at once
	e.recordEvent(a, "start")
	t := time.NewTimer(time.Duration(float64(work.RunMS) / e.cfg.Speed * float64(time.Millisecond)))
	defer t.Stop()
	status, event, message := state.TaskDone, "done", ""
	select {
	case <-t.C:
		if work.Fail || e.cfg.FailAll {
			status, event, message = state.TaskFailed, "failed", "the work failed"
		}
	case <-ctx.Done():
		status, event, message = state.TaskCancelled, "stopped", "stopped"
	}
	e.recordEvent(a, event)
	e.finish(a, status, message)
}

func (e *Endpoint) finish(a *attempt, status state.TaskStatus, message string) {
	result, _ := json.Marshal(map[string]string{"endpoint": e.cfg.Name, "id": string(a.ref.ID)}) // cannot fail
	e.mu.Lock()
	e.used = e.used.Sub(a.start.PerTask)
	a.report = &protocol.ReportRequest{
		Attempt: a.ref, Domain: e.cfg.Domain, Endpoint: e.cfg.Name, Incarnation: e.incarnation, Status: status, Error: message,
	}
	if status == state.TaskDone {
		a.report.Result = result
	}
	e.mu.Unlock()
	e.wg.Go(func() { e.deliverReport(a) })
}

// deliverReport sends a report until it is acknowledged.
func (e *Endpoint) deliverReport(a *attempt) {
	for e.ctx.Err() == nil {
		if e.post(protocol.PathReports, a.report, &struct{}{}) == nil {
			e.mu.Lock()
			a.report = &protocol.ReportRequest{}
			e.mu.Unlock()
			return
		}
		e.sleep(200 * time.Millisecond)
	}
}

func (e *Endpoint) handleStop(w http.ResponseWriter, r *http.Request) {
	var req protocol.StopRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.Incarnation == e.incarnation {
		e.stopAttempt(req.Attempt)
	}
	respondJSON(w, struct{}{})
}

// stopAttempt stops a running attempt, or prevents one from starting and reports it as
// not run.
func (e *Endpoint) stopAttempt(ref protocol.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[ref.Seq]
	unknown := a == nil && ref.Seq > e.lowWatermarkSeq
	if unknown || a != nil && !a.started && a.report == nil { // the answer that declined it may have been lost
		a = &attempt{ref: ref}
		e.attempts[ref.Seq] = a
		a.report = &protocol.ReportRequest{
			Attempt: ref, Domain: e.cfg.Domain, Endpoint: e.cfg.Name, Incarnation: e.incarnation,
			Status: state.TaskNotRun, Error: "stopped before it started",
		}
		e.wg.Go(func() { e.deliverReport(a) })
		return
	}
	if a != nil && a.started && a.report == nil {
		a.stop()
	}
}

// enforceLease stops repeatable tasks before the lease ends, since they may be started
// elsewhere after it. Other tasks keep running: they are never started elsewhere.
func (e *Endpoint) enforceLease() {
	for e.sleep(100 * time.Millisecond) {
		e.mu.Lock()
		if time.Now().After(e.leaseUntil.Add(-stopMargin)) {
			for _, a := range e.attempts {
				if a.started && a.report == nil && a.start.Repeatable {
					a.stop()
				}
			}
		}
		e.mu.Unlock()
	}
}

func (e *Endpoint) heartbeatLoop() {
	for {
		e.heartbeatOnce()
		e.mu.Lock()
		d := e.interval
		e.mu.Unlock()
		if !e.sleep(d) {
			return
		}
	}
}

func (e *Endpoint) heartbeatOnce() {
	sent := time.Now()
	var res protocol.HeartbeatResponse
	if err := e.post(protocol.PathEndpoint+e.cfg.Name+protocol.PathHeartbeatSuffix, e.heartbeatRequest(), &res); err != nil {
		return
	}
	e.mu.Lock()
	e.term = max(e.term, res.Term)
	e.leaseUntil = sent.Add(time.Duration(res.LeaseMS) * time.Millisecond)
	e.interval = time.Duration(res.IntervalMS) * time.Millisecond
	e.assigner = res.Assigner
	e.lowWatermarkSeq = max(e.lowWatermarkSeq, res.LowWatermark)
	for seq, a := range e.attempts {
		if seq <= e.lowWatermarkSeq && (!a.started || a.report != nil && a.report.Status == "") {
			delete(e.attempts, seq)
		}
	}
	e.mu.Unlock()
	for _, s := range res.Stop {
		e.stopAttempt(s)
	}
}

func (e *Endpoint) heartbeatRequest() protocol.HeartbeatRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := protocol.HeartbeatRequest{
		Domain: e.cfg.Domain, Kind: e.cfg.Kind, Address: e.address, Incarnation: e.incarnation,
		Capacity: e.cfg.Capacity, Used: e.used, Rack: e.cfg.Rack, Leaving: e.leaving,
	}
	for _, a := range e.attempts {
		if a.started && (a.report == nil || a.report.Status != "") {
			h.Running = append(h.Running, a.ref)
		}
	}
	return h
}

// post sends to the assigner. After an error the next call goes to the next entry
// process.
func (e *Endpoint) post(path string, body, into any) error {
	e.mu.Lock()
	server := e.assigner
	if server == "" {
		server = e.cfg.Servers[e.nextServer%len(e.cfg.Servers)]
		e.nextServer++
	}
	e.mu.Unlock()
	err := Post(e.ctx, e.client, "http://"+server+path, e.cfg.Token, body, into)
	if err != nil {
		e.mu.Lock()
		e.assigner = ""
		e.mu.Unlock()
	}
	return err
}

// sleep waits for d and returns true, or returns false as soon as the endpoint is closed.
func (e *Endpoint) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-e.ctx.Done():
		return false
	}
}

func (e *Endpoint) recordEvent(a *attempt, event string) {
	if e.cfg.Journal == nil {
		return
	}
	e.cfg.Journal(Execution{
		Endpoint: e.cfg.Name, Team: a.ref.Team, ID: a.ref.ID, Task: a.ref.Task, Attempt: a.ref.Attempt,
		Event: event, AtMS: time.Now().UnixMilli(),
	})
}

func respondJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the sender repeats the call if the answer is lost
}
