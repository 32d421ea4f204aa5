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
	"github.com/primrosereach/primrosereach/transport/peer"
)

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
	// headerTimeout and idleTimeout close the connections of slow and idle clients.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the header of a call.
	maxHeaderBytes = 16 << 10
	// writeMargin is the time that a client has to read an answer given at the end of
	// its request timeout. Without a bound, a client that reads nothing would hold its
	// connection, and with it a planned stop, for ever.
	writeMargin = 10 * time.Second
)

func (p *process) serve(ctx context.Context, l *listeners) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	p.peers = peer.NewClient(running, &http.Client{Transport: p.tls.transport()}, p.tls.scheme(), p.access.OwnPeerToken(), p.logger)
	p.tasks = endpoint.NewClient(running, p.tls.transport(), p.tls.scheme(), p.loop, p.logger)
	p.metrics = p.newMetrics(l)
	p.loop.Stepped = p.metrics.ObserveStep
	requestTimeout := time.Duration(p.settings.Limits.RequestTimeoutMS) * time.Millisecond
	api := httpapi.New(httpapi.Config{
		Name: p.settings.Name, PeerAddress: p.settings.PeerAdvertise, Domains: coordination.Domains(peersOf(p.settings)),
		Loop: p.loop, Forwarder: p.peers, Access: p.access, MaxBody: p.settings.Limits.MaxBodyBytes, Metrics: p.metrics.Handler(),
		Timeout: requestTimeout, Overloaded: l.public.overloaded, OnAnswer: p.metrics.ObserveAnswer,
	})
	public := p.newServer(api)
	public.ReadTimeout, public.WriteTimeout = requestTimeout, requestTimeout+writeMargin
	peers := p.newServer(peer.NewHandler(p.loop, api, p.access, p.logger))

	failed := make(chan error, 2)
	p.start(public, l.public, failed)
	p.start(peers, l.peer, failed)
	p.wg.Go(func() { p.writer.Run(running) })
	p.wg.Go(func() { p.loop.Run(running, p.node, p) })
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
	// drainDelay is how long the process answers "not ready" before it closes its
	// listener, so that the balancer sends new callers elsewhere first.
	drainDelay = time.Second
	// handoverTimeout bounds the wait for a successor. An election takes up to 2 s; a
	// group that has no other live voter finds none.
	handoverTimeout = 3 * time.Second
	handoverPoll    = 50 * time.Millisecond
)

// shutdown passes leadership on, lets the balancer notice and waits for the calls
// under way. Calls that wait for an outcome go on at the new leader. Those that still
// wait after three quarters of the limit are told the current outcome, so that the
// rest of it is left for their answers.
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

// awaitHandover returns when this process leads no group any more.
func (p *process) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for p.leads(ctx) {
		select {
		case <-time.After(handoverPoll):
		case <-ctx.Done():
			p.logger.Warn("stops as leader: no other member could take over", "step", "shutdown")
			return
		}
	}
}

// leads reports whether this process leads a group that has other voters.
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
