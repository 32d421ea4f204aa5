package site

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/access"
	"github.com/primrosereach/primrosereach/protocol/settings"
	"github.com/primrosereach/primrosereach/transport/control"
	"github.com/primrosereach/primrosereach/transport/ingress"
	"github.com/primrosereach/primrosereach/transport/peer"
	"github.com/primrosereach/primrosereach/transport/random"
)

// Workers sends orders to workers. The calls return when the worker has answered or the
// call has failed.
type Workers interface {
	Start(ctx context.Context, o jobs.StartRun) jobs.StartAnswered
	Stop(ctx context.Context, o jobs.StopRun) jobs.StopAnswered
	Pace(ctx context.Context, o jobs.PaceRun) jobs.PaceAnswered
	Observe(ctx context.Context, o jobs.Observe) jobs.Observed
}

// Advisor asks the platform which workers may run a step.
type Advisor interface {
	// Advise returns a ticket for each approved worker, and how long the tickets are
	// valid.
	Advise(ctx context.Context, call protocol.AdviceRequest) ([]jobs.Ticket, time.Duration, error)
}

// VMs starts the maintenance of VMs.
type VMs interface {
	// Maintain starts the maintenance of one VM. holder is the name of the process that
	// makes the call.
	Maintain(ctx context.Context, s jobs.StartMaintenance, holder string) jobs.OrderResult
}

// Platform holds the clients for the services of a platform and builds its front ends.
type Platform struct {
	Workers Workers
	Advisor Advisor
	VMs     VMs
	// Callers and Control return the handlers for the addresses of the same names in the
	// settings. While closeConnections returns true, the handlers ask their clients to
	// close the connection, so that they connect to another process.
	Callers func(c *Client, closeConnections func() bool) http.Handler
	Control func(c *Client, closeConnections func() bool) http.Handler
	// DryRun returns the handler that answers what would happen to a job. It is served beside the
	// metrics, nil for none.
	DryRun func(c *Client) http.Handler
	// MaxCallerBody and MaxControlBody bound the bodies of the requests to these handlers, in bytes.
	MaxCallerBody, MaxControlBody int
}

// process holds the parts that members and gateways have in common.
type process struct {
	settings     *settings.Site
	platform     Platform
	logger       hclog.Logger
	peers        *peer.Client
	client       *Client
	draining     atomic.Bool
	reloadSignal chan os.Signal // receives SIGHUP, the request to reload the settings
	metrics      *metrics
	limits       ingress.Limits
	bodies       *ingress.Budget
	refusals     rejections
	wg           sync.WaitGroup
}

const (
	// headerTimeout bounds how long a client may take to send the header of a request.
	headerTimeout = 5 * time.Second
	// clientIdleTimeout bounds how long the connection of a client may be idle.
	clientIdleTimeout = 30 * time.Second
	maxHeaderBytes    = 16 << 10
	// answerTimeout bounds the time from the end of a request until its answer has been read. Calls
	// take up to 10 s.
	answerTimeout = 20 * time.Second
	// profileTimeout is the same for requests to the metrics port. A profile takes 30 s unless the
	// request says otherwise.
	profileTimeout = 2 * time.Minute
	// balancerDelay is how long a stopping gateway reports "not ready" before it closes
	// its listeners. The load balancer checks once a second and acts on the second answer.
	balancerDelay = 2200 * time.Millisecond
	// memoryShare is the share of the process's memory limit at which the garbage
	// collector starts to run more often.
	memoryShare = 0.6
)

// newProcess returns a process without listeners. maxConnections bounds its connections to one other
// process, 0 for no limit.
func newProcess(ctx context.Context, s *settings.Site, p Platform, logs *os.File, maxConnections int) *process {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * (1 << 20)))
	}
	reloadSignal := make(chan os.Signal, 1)
	signal.Notify(reloadSignal, syscall.SIGHUP)
	x := &process{reloadSignal: reloadSignal, settings: s, platform: p, logger: newLogger(logs, s.LogLevel, s.Name, s.Domain)}
	x.peers = peer.NewClient(ctx, &http.Client{Transport: newPeerTransport(maxConnections)}, "http", "", x.logger)
	x.peers.Self = peer.Self{Address: s.PeerAddress(), ClockID: random.Uint64(), Now: control.NewClock().Now}
	x.client = &Client{self: s.PeerAddress(), tracker: newTracker(s.SeedPeerAddresses()), peers: x.peers, logger: x.logger, maxStale: s.MaxStale()}
	x.limits = limitsOf(s)
	x.bodies = ingress.NewBudget(x.limits.BodyBytes)
	x.metrics = newMetrics(func() bool { return x.client.Ready() && !x.draining.Load() })
	x.client.observeCall = x.metrics.observeCall
	x.refusals = rejections{logger: x.logger, message: "a client was refused", count: func(reason string) { x.metrics.refused.WithLabelValues(reason).Inc() }}
	x.client.rejections.logger, x.client.rejections.message = x.logger, "an invalid message was rejected"
	x.client.rejections.count = func(kind string) { x.metrics.rejected.WithLabelValues(kind).Inc() }
	x.peers.OnCall = func(operation string) { x.metrics.peerCalls.WithLabelValues(operation).Inc() }
	x.client.tracker.sendHeartbeat = x.client.sendHeartbeat(s.Name)
	return x
}

// advise asks the platform for advice on behalf of the leader.
func (x *process) advise(ctx context.Context, op protocol.Operation) protocol.Result {
	var call protocol.AdviceRequest
	if err := json.Unmarshal(op.Body, &call); err != nil {
		return protocol.ErrorResult(protocol.Error{Code: protocol.CodeInvalid, Message: err.Error(), Step: string(op.Name), Peer: x.settings.Name})
	}
	var out protocol.AdviceResult
	approved, valid, err := x.platform.Advisor.Advise(ctx, call)
	out.Approved, out.ValidMS = approved, valid.Milliseconds()
	if err != nil {
		out.Error = err.Error()
	}
	b, err := json.Marshal(out)
	if err != nil {
		return protocol.ErrorResult(protocol.Error{Code: protocol.CodeInvalid, Message: err.Error(), Step: string(op.Name), Peer: x.settings.Name})
	}
	return protocol.Result{Status: http.StatusOK, Body: b}
}

// reloadInterval is the interval at which a process without contact to the group reloads
// its settings: they may name other seeds, and SIGHUP may not have been sent.
const reloadInterval = 2 * time.Second

// followSettings reloads the settings until ctx ends: after each SIGHUP, and at
// reloadInterval while the process has no contact to the group. Only changed seeds take
// effect; changed, if not nil, is then called with the new settings.
func (x *process) followSettings(ctx context.Context, load func() (*settings.Site, error), changed func(s *settings.Site)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	seeds := x.settings.Seeds
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-x.reloadSignal:
		case <-ticker.C:
			if x.client.Ready() {
				continue
			}
			cause = "no contact to the group"
		}
		s, err := load()
		if err != nil {
			x.logger.Error("the settings could not be reloaded and stay unchanged", "step", "reload", "cause", cause, "error", err.Error())
			continue
		}
		if slices.Equal(s.Seeds, seeds) {
			x.logger.Info("the settings are unchanged", "step", "reload", "cause", cause)
			continue
		}
		seeds = s.Seeds
		x.logger.Info("the seeds have changed", "step", "reload", "cause", cause, "seeds", s.Seeds)
		x.client.tracker.enqueueUpdate(func(time.Duration) { x.client.tracker.router.SetSeeds(s.SeedPeerAddresses()) })
		if changed != nil {
			changed(s)
		}
	}
}

// limitsOf returns the limits on clients in the settings, or the defaults.
func limitsOf(s *settings.Site) ingress.Limits {
	l := ingress.DefaultLimits(s.MemoryMB)
	if s.Limits.Connections > 0 {
		l.Connections = s.Limits.Connections
	}
	if s.Limits.BodyKB > 0 {
		l.BodyBytes = int64(s.Limits.BodyKB) << 10
	}
	return l
}

// peerConnectionFactor is the number of connections of other processes for each connection of
// a client that a listener allows. Each process keeps several connections to the leader.
const peerConnectionFactor = 2.5

// maxCheckBytes bounds the bodies of readiness checks, which have none.
const maxCheckBytes = 1 << 10

// maxCheckConnections bounds the connections for readiness checks, and those for metrics.
const maxCheckConnections = 64

// metricsListener is the kind of the listener for metrics, profiles and dry runs.
const metricsListener = "metrics"

// listener is an address that a process serves.
type listener struct {
	kind        string // for logs and metrics
	address     string
	handler     http.Handler
	connections int
	maxBody     int // bytes, 0 for bodies that the handler reads and bounds itself
}

// listenAndServe listens on an address and serves its handler in the background until the
// returned server is shut down.
func (x *process) listenAndServe(at listener, failed chan<- error) (*http.Server, error) {
	address, h := at.address, at.handler
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	guard := ingress.NewGuard(at.connections, x.bodies, func(r ingress.Reason) {
		x.refusals.add(time.Now(), at.kind+": "+string(r), nil)
	})
	guard.AnswerTimeout = answerTimeout
	if at.kind == metricsListener {
		guard.AnswerTimeout = profileTimeout
	}
	l = guard.Listener(l)
	if at.maxBody > 0 {
		h = guard.Handler(h, at.maxBody)
	}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: x.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	guard.Protect(s)
	x.wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- errors.Wrapf(err, "serve %s", address)
		}
	})
	return s, nil
}

// startListeners starts a server for each address in the settings and returns those that
// were started, also if there is an error.
func (x *process) startListeners(api peer.Performer, loop peer.Sender, relay peer.OrderRelay, failed chan<- error) (public []*http.Server, err error) {
	add := func(l listener) {
		if l.address == "" || l.handler == nil || err != nil {
			return
		}
		var s *http.Server
		if s, err = x.listenAndServe(l, failed); err == nil {
			public = append(public, s)
		}
	}
	peers := peer.NewHandler(loop, api, relay, access.NewInsecure(), x.logger)
	n := x.limits.Connections
	if x.settings.Listen.Callers != "" {
		add(listener{"callers", x.settings.Listen.Callers, x.platform.Callers(x.client, x.notReady), n, x.platform.MaxCallerBody})
	}
	if x.settings.Listen.Control != "" {
		add(listener{"control", x.settings.Listen.Control, x.platform.Control(x.client, x.draining.Load), n, x.platform.MaxControlBody})
	}
	add(listener{"ready", x.settings.Listen.Ready, x.readyHandler(), maxCheckConnections, maxCheckBytes})
	add(listener{"peers", cmp.Or(x.settings.Listen.Peers, x.settings.PeerAddress()), peers, int(peerConnectionFactor * float64(n)), 0})
	if x.settings.MetricsPort > 0 {
		add(listener{metricsListener, net.JoinHostPort(x.settings.IP, strconv.Itoa(x.settings.MetricsPort)), x.operatorHandler(), maxCheckConnections, max(maxCheckBytes, x.platform.MaxCallerBody)})
	}
	return public, err
}

// operatorHandler serves the metrics, and dry runs of jobs.
func (x *process) operatorHandler() http.Handler {
	if x.platform.DryRun == nil {
		return x.metrics.handler()
	}
	mux := http.NewServeMux()
	mux.Handle("/", x.metrics.handler())
	mux.Handle("POST /dry-run", x.platform.DryRun(x.client))
	return mux
}

// notReady reports whether callers should use another process, because this one is
// stopping or cannot reach the leader.
func (x *process) notReady() bool { return x.draining.Load() || !x.client.Ready() }

// readyHandler answers the readiness checks of the load balancer.
func (x *process) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if x.notReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// stop reports "not ready", closes the listeners after delay, and waits for the calls in
// progress. The delay gives the load balancer or another member time to react. Waiting ends
// 1 s before the shutdown timeout of the settings, but not within the first second.
func (x *process) stop(servers []*http.Server, delay time.Duration) {
	x.draining.Store(true)
	x.logger.Info("stopping", "step", "shutdown")
	grace := time.Duration(x.settings.Bounds.ShutdownS * float64(time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), max(time.Second, grace-time.Second))
	defer cancel()
	sleepContext(ctx, delay)
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			x.logger.Warn("calls under way were cut off", "step", "shutdown", "error", err.Error())
		}
	}
	x.logger.Info("stopped", "step", "shutdown")
}

var errNoGroup = errors.New("a gateway is not a member of the job group")

// noLoop rejects replication messages. A gateway uses it because it has no control loop.
type noLoop struct{}

// Send implements peer.Sender.
func (noLoop) Send(context.Context, coordination.Event) bool { return false }
