package site

import (
	"context"
	"encoding/json"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/settings"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/storage"
	"github.com/primrosereach/primrosereach/transport/control"
	"github.com/primrosereach/primrosereach/transport/peer"
	"github.com/primrosereach/primrosereach/transport/persist"
	"github.com/primrosereach/primrosereach/transport/random"
)

// member is a process that replicates the state of the job group.
type member struct {
	*process
	loop   *control.Loop
	node   *coordination.Node
	writer *persist.Writer
	runCtx context.Context
	load   controlLoad
}

// RunMember serves the job group until ctx ends, then transfers leadership and stops. It
// returns an error if the process cannot start or a listener fails.
func RunMember(ctx context.Context, load func() (*settings.Site, error), newPlatform func(*settings.Site) Platform) error {
	s, err := load()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := &member{process: newProcess(runCtx, s, newPlatform(s), os.Stdout, 0), loop: control.NewLoop(), runCtx: runCtx}
	m.client.local = m.Perform
	m.client.confirmWorker = m.confirmWorker
	debug.SetGCPercent(memberGCPercent)
	store, err := m.openStore(ctx)
	if err != nil {
		return err
	}
	m.loop.OnStep = m.observeStep
	failed := make(chan error, 8)
	servers, err := m.startListeners(m, m.loop, m, failed)
	if err != nil {
		return errors.Join(err, store.Close())
	}
	m.wg.Go(func() { m.writer.Run(runCtx) })
	m.wg.Go(func() { m.loop.Run(runCtx, m.node, m) })
	m.wg.Go(func() { m.client.tracker.run(runCtx) })
	m.wg.Go(func() {
		m.followSettings(runCtx, load, func(s *settings.Site) {
			m.loop.Send(runCtx, coordination.ContactsChanged{Contacts: contacts(s)})
		})
	})
	m.logger.Info("serving", "step", "start", "role", "member", "seeds", s.Seeds, "first_start", s.FirstStart, "incarnation", store.Incarnation())
	select {
	case <-ctx.Done():
		m.loop.Send(runCtx, coordination.Shutdown{})
		m.stop(servers, handoverDelay)
		return nil
	case err := <-failed:
		return err
	}
}

// memberGCPercent is the growth of the heap of a member at which the garbage collector runs.
// Members have memory to spare and lack processor time; the memory limit still holds.
const memberGCPercent = 300

// observeStep records one step of the control goroutine, and writes a log line about its
// load once a second while events wait.
func (m *member) observeStep(queued, took time.Duration) {
	m.metrics.step.Observe(took.Seconds())
	m.metrics.queued.Observe(queued.Seconds())
	if line, ok := m.load.add(time.Now(), queued, took); ok {
		m.logger.Info("load of the control goroutine", line...)
	}
}

// handoverDelay gives another member time to take over leadership before the listeners
// close.
const handoverDelay = balancerDelay / 4

// fullRetry is the delay after which a start that a full disk has prevented is tried again.
const fullRetry = 500 * time.Millisecond

// openStore reads the data directory and builds the node. While the disk is full it waits: a
// process that ends is started again and finds the same disk.
func (m *member) openStore(ctx context.Context) (*storage.Store, error) {
	for {
		store, err := m.openData()
		if !errors.Is(err, storage.ErrFull) {
			return store, err
		}
		m.logger.Error("the start waits for room on the disk", "step", "recover", "error", err.Error())
		if !sleepContext(ctx, fullRetry) {
			return nil, err
		}
	}
}

func (m *member) openData() (*storage.Store, error) {
	s := m.settings
	if err := os.MkdirAll(s.DataDir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create data directory")
	}
	store, err := storage.Open(storage.OS(), s.DataDir, random.Uint64())
	if err != nil {
		return nil, errors.Wrap(err, "open data directory")
	}
	log, rec, err := store.Group(coordination.JobGroup)
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "recover the job group"), store.Close())
	}
	for _, d := range rec.Dropped {
		m.logger.Warn("dropped the incomplete tail of the log", "step", "recover", "dropped", d.String())
	}
	m.writer = persist.NewWriter(map[string]persist.Log{coordination.JobGroup: log}, m.loop)
	self := state.Member{Name: s.IP, Incarnation: store.Incarnation(), Address: s.PeerAddress(), Domain: s.Domain, Disk: true}
	m.node = coordination.New(coordination.Config{
		Self: self, Rand: random.Source{},
		Recovered: map[string]coordination.Recovered{coordination.JobGroup: {HardState: rec.HardState, Snapshot: rec.Snapshot, Entries: rec.Entries}},
		Jobs:      m.jobConfig(),
	}, m.loop.Clock())
	return store, nil
}

// jobConfig returns the configuration of the job group. Only at the first start of the
// whole deployment do the seeds form a new group, as its initial members. At any other
// start a member without data joins the existing group.
func (m *member) jobConfig() *coordination.JobConfig {
	c := &coordination.JobConfig{Bounds: m.settings.JobBounds(), FaultTolerance: m.settings.FaultTolerance, RepairTime: m.settings.RepairTime(), Address: m.settings.PeerAddressOf}
	c.Contacts = contacts(m.settings)
	if m.settings.FirstStart && m.isSeed() {
		c.InitialMembers = m.settings.SeedHosts()
	}
	return c
}

// contacts returns the seeds as members that can be asked to admit this one.
func contacts(s *settings.Site) []state.Member {
	var out []state.Member
	for _, host := range s.SeedHosts() {
		out = append(out, state.Member{Name: host, Address: s.PeerAddressOf(host)})
	}
	return out
}

func (m *member) isSeed() bool {
	for _, host := range m.settings.SeedHosts() {
		if host == m.settings.IP {
			return true
		}
	}
	return false
}

// Perform implements peer.Performer. It performs an operation on this process, without
// forwarding it.
func (m *member) Perform(ctx context.Context, op protocol.Operation) protocol.Result {
	if op.Name == protocol.OpRequestAdvice {
		return m.advise(ctx, op)
	}
	var decodeErr error
	a, ok := m.loop.Call(ctx, func(t coordination.Token) coordination.Event {
		ev, err := protocol.DecodeJobEvent(op, jobs.Token(t))
		if err != nil {
			decodeErr = err
			return coordination.CallerDisconnected{Token: t}
		}
		return coordination.JobEvent{Token: t, Event: ev}
	})
	switch {
	case decodeErr != nil:
		return m.fail(op, protocol.CodeInvalid, decodeErr.Error())
	case !ok:
		return m.answer(op, jobs.Answer{Code: jobs.CodeUnknown, Message: "no answer in time"})
	case a.Code == coordination.CodeRedirect:
		return protocol.Result{RedirectName: a.Redirect.Name, RedirectAddress: a.Redirect.Address}
	case a.Job != nil:
		return m.answer(op, *a.Job)
	}
	return m.fail(op, protocol.CodeUnavailable, a.Message)
}

// confirmWorker asks the control goroutine whether this process may acknowledge a heartbeat.
func (m *member) confirmWorker(ctx context.Context, e jobs.WorkerHeartbeat) bool {
	a, ok := m.loop.Call(ctx, func(t coordination.Token) coordination.Event {
		return coordination.ConfirmWorker{Token: t, Heartbeat: e}
	})
	return ok && a.Code == coordination.CodeOK
}

func (m *member) answer(op protocol.Operation, a jobs.Answer) protocol.Result {
	res, err := protocol.EncodeJobAnswer(a)
	if err != nil {
		return m.fail(op, protocol.CodeUnavailable, err.Error())
	}
	return res
}

func (m *member) fail(op protocol.Operation, code protocol.Code, message string) protocol.Result {
	return protocol.ErrorResult(protocol.Error{Code: code, Message: message, Step: string(op.Name), Peer: m.settings.Name})
}

// Execute implements control.Executor.
func (m *member) Execute(e coordination.Effect) {
	switch e := e.(type) {
	case coordination.Persist, coordination.SaveSnapshot:
		m.writer.Enqueue(e)
	case coordination.SendPeer:
		m.peers.Send(e.Address, e.Message)
	case coordination.JobEffect:
		if measure, ok := e.Effect.(jobs.Measure); ok {
			m.metrics.observeMeasurement(measure)
			return
		}
		if report, ok := e.Effect.(jobs.TeamReport); ok {
			m.metrics.teams.observe(&report)
			return
		}
		m.startOrder(e.Effect)
	case coordination.GroupChanged:
		m.metrics.observeGroup(e)
	case coordination.JobLog:
		m.metrics.decisions.WithLabelValues(e.Line.Step).Inc()
		m.logLine(&e.Line)
	case coordination.Log:
		m.logger.Log(hclog.LevelFromString(e.Level), e.Message, "step", e.Step, "peer", e.Peer)
	}
}

func (m *member) logLine(l *jobs.LogLine) {
	level := hclog.LevelFromString(l.Level)
	if level < m.logger.GetLevel() {
		return
	}
	args := append([]any{"step", l.Step}, l.Fields...)
	if l.Request != "" {
		args = append(args, "request", l.Request)
	}
	if l.Peer != "" {
		args = append(args, "peer", l.Peer)
	}
	m.logger.Log(level, l.Message, args...)
}

// startOrder passes an order to its relay, or executes it in the background.
func (m *member) startOrder(e jobs.Effect) {
	relay := jobs.RelayOf(e)
	switch {
	case relay == "":
		go m.executeOrder(e, m.peers.Self.Now())
	case m.peers.CanRelay(relay):
		m.peers.SendOrder(relay, e)
	default:
		report, _ := jobs.Report(jobs.NotSent(e))
		go m.loop.Send(m.runCtx, coordination.JobEvent{Event: report})
	}
}

// executeOrder executes one order, issued at a reading of the process's clock, and sends its
// result to the control goroutine. The leader limits the orders in flight for each worker and
// step, which bounds the number of goroutines.
func (m *member) executeOrder(e jobs.Effect, issuedAt time.Duration) {
	age := m.peers.Self.Now() - issuedAt
	ev := m.sendToWorker(e, age)
	switch e := e.(type) {
	case jobs.RequestAdvice:
		ev = m.requestAdvice(e)
	case jobs.StartMaintenance:
		ev = m.maintain(e, age)
	}
	if ev == nil {
		return
	}
	m.metrics.observeOrder(ev)
	m.loop.Send(m.runCtx, coordination.JobEvent{Event: ev})
}

// RelayOrder implements peer.OrderRelay. The leader that issues the orders limits their number.
func (m *member) RelayOrder(from peer.Origin, order jobs.Effect) {
	go func() {
		ev := jobs.NotSent(order)
		if age, ok := m.peers.Age(from); ok {
			ev = m.sendToWorker(order, age)
		}
		if report, ok := jobs.Report(ev); ok {
			m.metrics.observeOrder(ev)
			m.peers.SendReport(from.Address, report)
		}
	}()
}

// ReadClock implements peer.OrderRelay.
func (m *member) ReadClock() (id uint64, now time.Duration) {
	return m.peers.Self.ClockID, m.peers.Self.Now()
}

// sendToWorker sends an order to its worker, unless it is too old, and returns the result. It
// returns nil for other effects.
func (m *member) sendToWorker(e jobs.Effect, age time.Duration) jobs.Event {
	if jobs.TooOldToSend(age) {
		return jobs.NotSent(e)
	}
	switch e := e.(type) {
	case jobs.StartRun:
		return m.platform.Workers.Start(m.runCtx, e)
	case jobs.StopRun:
		return m.platform.Workers.Stop(m.runCtx, e)
	case jobs.PaceRun:
		return m.platform.Workers.Pace(m.runCtx, e)
	case jobs.Observe:
		return m.platform.Workers.Observe(m.runCtx, e)
	}
	return nil
}

// maintain sends a request for maintenance to the platform, unless it is too old.
func (m *member) maintain(e jobs.StartMaintenance, age time.Duration) jobs.MaintenanceAnswered {
	if jobs.TooOldToSend(age) {
		return jobs.MaintenanceAnswered{Start: e, Result: jobs.OrderNotSent}
	}
	return jobs.MaintenanceAnswered{Start: e, Result: m.platform.VMs.Maintain(m.runCtx, e, m.settings.Name)}
}

// requestAdvice asks for advice through the process that the leader chose, which may be
// this one.
func (m *member) requestAdvice(e jobs.RequestAdvice) jobs.AdviceAnswered {
	out := jobs.AdviceAnswered{Request: e}
	ctx, cancel := context.WithTimeout(m.runCtx, e.Timeout)
	defer cancel()
	body, err := json.Marshal(protocol.AdviceRequest{Step: e.Step, Workers: e.WorkerIDs()})
	if err != nil {
		out.Err = errors.Wrap(err, "encode")
		return out
	}
	op := protocol.Operation{Name: protocol.OpRequestAdvice, Body: body}
	var res protocol.Result
	if e.Agent == m.settings.PeerAddress() {
		res = m.advise(ctx, op)
	} else if res, err = m.peers.Forward(ctx, e.Agent, op); err != nil {
		out.Err = err
		return out
	}
	var a protocol.AdviceResult
	if err := json.Unmarshal(res.Body, &a); err != nil {
		out.Err = errors.Wrapf(err, "decode the answer of %s", e.Agent)
		return out
	}
	if a.Error != "" {
		out.Err = errors.New(a.Error)
	}
	out.Approved, out.ValidMS = a.Approved, a.ValidMS
	return out
}
