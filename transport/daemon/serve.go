package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/transport/endpoint"
	"github.com/primrosereach/primrosereach/transport/httpapi"
	"github.com/primrosereach/primrosereach/transport/ingress"
	"github.com/primrosereach/primrosereach/transport/peer"
)

// listeners holds the listeners for clients and for other processes.
type listeners struct {
	public *limited
	peer   net.Listener
}

func (l *listeners) close() {
	_ = l.public.Close()
	_ = l.peer.Close()
}

func (p *process) listen() (*listeners, error) {
	public, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", p.settings.Listen)
	}
	peerListener, err := net.Listen("tcp", p.settings.PeerListen)
	if err != nil {
		_ = public.Close()
		return nil, errors.Wrapf(err, "listen on %s", p.settings.PeerListen)
	}
	return &listeners{public: limitListener(public, p.settings.Limits.MaxConnections), peer: peerListener}, nil
}

const (
	// headerTimeout and idleTimeout bound how long a client may take to send the header
	// of a request and how long its connection may be idle.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the header of a call.
	maxHeaderBytes = 16 << 10
	// writeMargin is the time that a client has to read an answer that is written at the
	// end of the request timeout. Without a write timeout, a client that does not read
	// would keep its connection open and block a graceful shutdown indefinitely.
	writeMargin = 10 * time.Second
)

func (p *process) serve(ctx context.Context, l *listeners) error {
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	p.peers = peer.NewClient(runCtx, &http.Client{Transport: p.tls.transport()}, p.tls.scheme(), p.access.OwnPeerToken(), p.logger)
	p.tasks = endpoint.NewClient(runCtx, p.tls.transport(), p.tls.scheme(), p.loop, p.logger)
	p.metrics = p.newMetrics(l)
	p.loop.OnStep = func(_, took time.Duration) { p.metrics.ObserveStep(took) }
	requestTimeout := time.Duration(p.settings.Limits.RequestTimeoutMS) * time.Millisecond
	api := httpapi.New(httpapi.Config{
		Name: p.settings.Name, PeerAddress: p.settings.PeerAdvertise, Domains: coordination.Domains(peersOf(p.settings)),
		Loop: p.loop, Forwarder: p.peers, Access: p.access, MaxBody: p.settings.Limits.MaxBodyBytes, Metrics: p.metrics.Handler(),
		Timeout: requestTimeout, Overloaded: l.public.overloaded, OnAnswer: p.metrics.ObserveAnswer,
	})
	guard := ingress.NewGuard(p.settings.Limits.MaxConnections, ingress.NewBudget(ingress.DefaultLimits(0).BodyBytes), func(r ingress.Reason) {
		p.logger.Debug("a client was refused", "step", "reject", "reason", string(r))
	})
	public := p.newServer(guard.Handler(api, int(p.settings.Limits.MaxBodyBytes)))
	public.ReadTimeout, public.WriteTimeout = requestTimeout, requestTimeout+writeMargin
	peers := p.newServer(peer.NewHandler(p.loop, api, nil, p.access, p.logger))

	failed := make(chan error, 2)
	p.start(public, l.public, failed)
	p.start(peers, l.peer, failed)
	p.wg.Go(func() { p.writer.Run(runCtx) })
	p.wg.Go(func() { p.loop.Run(runCtx, p.node, p) })
	p.logger.Info("serving", "step", "start", "listen", l.public.Addr().String(), "peer_listen", l.peer.Addr().String())

	var err error
	select {
	case <-ctx.Done():
		err = p.shutdown(public, api)
	case err = <-failed:
	}
	_ = peers.Close()
	stop()
	p.wg.Wait()
	p.peers.Wait()
	p.tasks.Wait()
	return err
}

func (p *process) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		TLSConfig: p.tls.serverConfig(),
		ErrorLog:  p.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

func (p *process) start(s *http.Server, l net.Listener, failed chan<- error) {
	p.wg.Go(func() {
		var err error
		if s.TLSConfig != nil {
			err = s.ServeTLS(l, "", "")
		} else {
			err = s.Serve(l)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			failed <- errors.Wrapf(err, "serve %s", l.Addr())
		}
	})
}

const (
	// drainDelay is the shortest time for which the process reports "not ready" before it
	// closes its listener, unless the shutdown timeout ends first. In that time the load
	// balancer starts to send new callers to other processes.
	drainDelay = time.Second
	// handoverTimeout bounds the wait for a new leader. An election takes up to 2 s, and
	// a group without another running voter cannot elect a leader.
	handoverTimeout      = 3 * time.Second
	handoverPollInterval = 50 * time.Millisecond
)

// shutdown transfers leadership, reports "not ready" to the load balancer and waits for
// the calls in progress. Calls that wait for an outcome continue at the new leader.
// Those that still wait after three quarters of the shutdown timeout are answered with
// the current outcome, which leaves the rest of the timeout for sending the answers.
func (p *process) shutdown(public *http.Server, api *httpapi.Server) error {
	p.logger.Info("stopping", "step", "shutdown")
	limit := time.Duration(p.settings.Limits.ShutdownTimeoutMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	p.loop.Send(ctx, coordination.Shutdown{})
	api.Drain()
	defer time.AfterFunc(limit*3/4, api.CancelWaits).Stop()
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	p.awaitHandover(ctx)
	if err := public.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "wait for calls under way")
	}
	return nil
}

// awaitHandover waits until this process leads no group that has other members, but no
// longer than handoverTimeout.
func (p *process) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for p.leads(ctx) {
		select {
		case <-time.After(handoverPollInterval):
		case <-ctx.Done():
			p.logger.Warn("stopping as leader: no other member took over in time", "step", "shutdown")
			return
		}
	}
}

// leads reports whether this process leads a group that has other members. It returns
// false if the control goroutine does not answer.
func (p *process) leads(ctx context.Context) bool {
	a, ok := p.loop.Call(ctx, func(t coordination.Token) coordination.Event { return coordination.ReadStatus{Token: t} })
	if !ok || a.Status == nil {
		return false
	}
	for i := range a.Status.Groups {
		if g := &a.Status.Groups[i]; g.Leads && len(g.Replication.Members) > 1 {
			return true
		}
	}
	return false
}
