// Package daemon assembles and runs an entry process.
package daemon

import (
	"context"
	"os"
	"sync"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/protocol/access"
	"github.com/primrosereach/primrosereach/protocol/settings"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/storage"
	"github.com/primrosereach/primrosereach/transport/control"
	"github.com/primrosereach/primrosereach/transport/endpoint"
	"github.com/primrosereach/primrosereach/transport/metrics"
	"github.com/primrosereach/primrosereach/transport/peer"
	"github.com/primrosereach/primrosereach/transport/persist"
	"github.com/primrosereach/primrosereach/transport/random"
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
	store    *storage.Store // nil without a data directory
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
	if err := p.openNode(); err != nil {
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

// openNode recovers the state from the data directory, if there is one, and creates the
// node and the log writer.
func (p *process) openNode() error {
	self := p.settings.Self()
	member := state.Member{Name: self.Name, Incarnation: random.Uint64(), Address: p.settings.PeerAdvertise, Domain: p.settings.Domain, Disk: p.settings.DataDir != ""}
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
		Self: member, Peers: peers, Recovered: recovered, Rand: random.Source{},
		NewScheduler: newScheduler,
	}, p.loop.Clock())
	return nil
}

// recover opens the data directory and sets the member's incarnation from it. It adds the
// recovered state and the log of each group to recovered and logs.
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
			p.logger.Warn("dropped the incomplete tail of the log", "step", "recover", "group", group, "dropped", d.String())
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
