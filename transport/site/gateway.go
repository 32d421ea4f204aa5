package site

import (
	"context"
	"os"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/settings"
)

// RunGateway serves callers until ctx ends, then stops gracefully. It returns an error if
// the process cannot start or a listener fails.
func RunGateway(ctx context.Context, load func() (*settings.Site, error), newPlatform func(*settings.Site) Platform) error {
	s, err := load()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := newProcess(runCtx, s, newPlatform(s), os.Stdout, maxCallConnections)
	failed := make(chan error, 8)
	servers, err := x.startListeners(gatewayAPI{x}, noLoop{}, nil, failed)
	if err != nil {
		return err
	}
	x.wg.Go(func() { x.client.tracker.run(runCtx) })
	x.wg.Go(func() { x.followSettings(runCtx, load, nil) })
	x.logger.Info("serving", "step", "start", "role", "gateway", "seeds", s.Seeds, "first_start", s.FirstStart)
	select {
	case <-ctx.Done():
		x.stop(servers, balancerDelay)
		return nil
	case err := <-failed:
		return err
	}
}

// gatewayAPI performs the operations that other processes may request from a gateway.
type gatewayAPI struct{ x *process }

// Perform implements peer.Performer.
func (g gatewayAPI) Perform(ctx context.Context, op protocol.Operation) protocol.Result {
	if op.Name == protocol.OpRequestAdvice {
		return g.x.advise(ctx, op)
	}
	return protocol.ErrorResult(protocol.Error{Code: protocol.CodeUnavailable, Message: errNoGroup.Error(), Step: string(op.Name), Peer: g.x.settings.Name})
}
