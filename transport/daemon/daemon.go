// Package daemon wires the parts of an entry process together.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/protocol/access"
	"github.com/primrosereach/primrosereach/protocol/settings"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/storage"
	"github.com/primrosereach/primrosereach/transport/control"
	"github.com/primrosereach/primrosereach/transport/endpoint"
	"github.com/primrosereach/primrosereach/transport/httpapi"
	"github.com/primrosereach/primrosereach/transport/metrics"
	"github.com/primrosereach/primrosereach/transport/peer"
	"github.com/primrosereach/primrosereach/transport/persist"
)

// process is a running entry process.
type process struct {
	settings *settings.Settings
	logger   hclog.Logger
	loop     *control.Loop
	node     *coordination.Node
	peers    *peer.Client
	tasks    *endpoint.Client
	writer   *persist.Writer
	metrics  *metrics.Metrics
	access   *access.Access
	tls      *tlsFiles
	store    *storage.Store // nil without a disk
	wg       sync.WaitGroup
}

// Run serves until ctx ends, then stops gracefully. An error means that the
// process could not start, or that a listener or the storage failed.
func Run(ctx context.Context, s *settings.Settings) error {
	p := &process{settings: s, loop: control.NewLoop(), logger: newLogger(s)}
	var err error
	if p.access, err = access.Load(s); err != nil {
		return errors.Wrap(err, "load tokens")
	}
	if p.tls, err = loadTLS(s.TLS); err != nil {
		return errors.Wrap(err, "load TLS files")
	}
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	if err := p.open(); err != nil {
		listeners.close()
		return err
	}
	err = p.serve(ctx, listeners)
	if p.store == nil {
		return err
	}
	if closeErr := p.store.Close(); closeErr != nil {
		err = errors.Join(err, errors.Wrap(closeErr, "close data directory"))
	}
	return err
}

func newLogger(s *settings.Settings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "primrosereach", Level: hclog.LevelFromString(s.LogLevel), JSONFormat: true, Output: os.Stderr,
	}).With("process", s.Name, "domain", s.Domain)
}

// open reads the data directory and builds the node.
func (p *process) open() error {
	self := p.settings.Self()
	member := state.Member{Name: self.Name, Incarnation: randomUint64(), Address: p.settings.PeerAdvertise, Domain: p.settings.Domain, Disk: p.settings.DataDir != ""}
	peers := peersOf(p.settings)
	recovered := map[string]coordination.Recovered{}
	logs := map[string]persist.Log{}
	if member.Disk {
		if err := p.recover(&member, peers, recovered, logs); err != nil {
			return err
		}
	}
	p.writer = persist.NewWriter(logs, p.loop)
	p.node = coordination.New(coordination.Config{
		Self: member, Peers: peers, Recovered: recovered, Rand: cryptoRand{},
		NewScheduler: newScheduler,
	}, p.loop.Clock())
	return nil
}

func (p *process) recover(member *state.Member, peers []coordination.Peer, recovered map[string]coordination.Recovered, logs map[string]persist.Log) error {
	store, err := storage.Open(storage.OS(), p.settings.DataDir, member.Incarnation)
	if err != nil {
		return errors.Wrap(err, "open data directory")
	}
	p.store = store
	member.Incarnation = store.Incarnation()
	for _, group := range coordination.Groups(p.settings.Name, peers) {
		log, rec, err := store.Group(group)
		if err != nil {
			return errors.Wrapf(err, "recover group %s", group)
		}
		for _, d := range rec.Dropped {
			p.logger.Warn("dropped the torn tail of the log", "step", "recover", "group", group, "dropped", d.String())
		}
		recovered[group] = coordination.Recovered{HardState: rec.HardState, Snapshot: rec.Snapshot, Entries: rec.Entries}
		logs[group] = log
	}
	return nil
}

func peersOf(s *settings.Settings) []coordination.Peer {
	out := make([]coordination.Peer, len(s.Peers))
	for i, p := range s.Peers {
		out[i] = coordination.Peer{
			Member: state.Member{Name: p.Name, Address: p.Address, Domain: p.Domain, Disk: p.Disk},
			Region: p.Region, PublicAddress: p.PublicAddress,
		}
	}
	return out
}

// Execute implements control.Executor.
func (p *process) Execute(e coordination.Effect) {
	switch e := e.(type) {
	case coordination.Persist, coordination.SaveSnapshot:
		p.writer.Enqueue(e)
	case coordination.SendPeer:
		p.peers.Send(e.Address, e.Message)
	case coordination.StartTask, coordination.StopTask:
		p.tasks.Enqueue(e)
	case coordination.Measure:
		p.metrics.Observe(e)
	case coordination.Log:
		p.log(e)
	}
}

func (p *process) log(e coordination.Log) {
	args := []any{"step", e.Step}
	if e.Peer != "" {
		args = append(args, "peer", e.Peer)
	}
	if e.Request != "" {
		args = append(args, "request", e.Request)
	}
	p.logger.Log(hclog.LevelFromString(e.Level), e.Message, args...)
}

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
	p.loop.Stepped = p.metrics.Stepped
	requestTimeout := time.Duration(p.settings.Limits.RequestTimeoutMS) * time.Millisecond
	api := httpapi.New(httpapi.Config{
		Name: p.settings.Name, PeerAddress: p.settings.PeerAdvertise, Domains: coordination.Domains(peersOf(p.settings)),
		Loop: p.loop, Forwarder: p.peers, Access: p.access, MaxBody: p.settings.Limits.MaxBodyBytes, Metrics: p.metrics.Handler(),
		Timeout: requestTimeout, Crowded: l.public.crowded, Answered: p.metrics.Answered,
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
	defer time.AfterFunc(limit*3/4, api.EndWaits).Stop()
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

// cryptoRand implements replication.Rand.
type cryptoRand struct{}

func (cryptoRand) Uint64() uint64 { return randomUint64() }

// randomUint64 returns a random number other than 0.
func randomUint64() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never fails, see crypto/rand
		if v := binary.LittleEndian.Uint64(b[:]); v != 0 {
			return v
		}
	}
}
