package peer

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/access"
	"github.com/primrosereach/primrosereach/protocol/peerv1"
	"github.com/primrosereach/primrosereach/protocol/peerv1/peerv1connect"
)

// maxMessageBytes bounds the size of one call from a peer. A snapshot of the largest
// state must fit.
const maxMessageBytes = 256 << 20

// compressBytes is the smallest size of an answer that is compressed. For smaller
// answers, setting up the compressor costs more CPU time than sending them uncompressed.
const compressBytes = 4 << 10

// Sender sends events to the control goroutine.
type Sender interface {
	Send(ctx context.Context, ev coordination.Event) bool
}

// Performer performs operations on this process, without forwarding them.
type Performer interface {
	Perform(ctx context.Context, op protocol.Operation) protocol.Result
}

// OrderRelay sends orders to workers for another process.
type OrderRelay interface {
	// RelayOrder sends an order and later reports its result to the process that issued it.
	// It does not block.
	RelayOrder(from Origin, order jobs.Effect)
	// ReadClock returns the ID and a reading of the clock of this process.
	ReadClock() (id uint64, now time.Duration)
}

type server struct {
	loop   Sender
	api    Performer
	relay  OrderRelay // nil if this process relays no orders
	logger hclog.Logger
}

// NewHandler returns the handler for calls from other processes. Peers authenticate with
// a token, unless a is configured not to check credentials. relay is nil if the process
// relays no orders.
func NewHandler(loop Sender, api Performer, relay OrderRelay, a *access.Access, logger hclog.Logger) http.Handler {
	mux := http.NewServeMux()
	path, h := peerv1connect.NewPeerServiceHandler(&server{loop: loop, api: api, relay: relay, logger: logger}, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressBytes))
	mux.Handle(path, authenticate(a, h))
	return mux
}

func authenticate(a *access.Access, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.Insecure() {
			token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			if _, ok := a.Peer(token); !ok {
				http.Error(w, "check credentials: the token does not belong to a peer", http.StatusForbidden)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// Deliver implements peerv1connect.PeerServiceHandler.
func (s *server) Deliver(ctx context.Context, r *connect.Request[peerv1.DeliverRequest]) (*connect.Response[peerv1.DeliverResponse], error) {
	for _, m := range r.Msg.Messages {
		msg, err := protocol.DecodeMessage(m)
		if err != nil {
			s.logger.Warn("message dropped", "step", "deliver", "peer", m.From, "error", err.Error())
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if !s.loop.Send(ctx, coordination.PeerMessage{Group: msg.Group, Message: msg}) {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("the process is stopping"))
		}
	}
	if err := s.relayOrders(r.Msg); err != nil {
		s.logger.Warn("orders dropped", "step", "relay", "peer", r.Msg.Sender, "error", err.Error())
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	for _, x := range r.Msg.Reports {
		report, err := protocol.DecodeOrderReport(x)
		if err != nil {
			s.logger.Warn("report dropped", "step", "relay", "peer", r.Msg.Sender, "error", err.Error())
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if !s.loop.Send(ctx, coordination.JobEvent{Event: report}) {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("the process is stopping"))
		}
	}
	res := &peerv1.DeliverResponse{}
	if s.relay != nil {
		id, now := s.relay.ReadClock()
		res.ClockId, res.ClockNs = id, int64(now)
	}
	return connect.NewResponse(res), nil
}

func (s *server) relayOrders(m *peerv1.DeliverRequest) error {
	if len(m.Orders) > 0 && s.relay == nil {
		return errors.New("this process relays no orders")
	}
	for _, x := range m.Orders {
		order, err := protocol.DecodeOrder(x)
		if err != nil {
			return err
		}
		s.relay.RelayOrder(Origin{Address: m.Sender, ClockID: m.ClockId, SentAt: time.Duration(x.SentAtNs)}, order)
	}
	return nil
}

// Forward implements peerv1connect.PeerServiceHandler.
func (s *server) Forward(ctx context.Context, r *connect.Request[peerv1.ForwardRequest]) (*connect.Response[peerv1.ForwardResponse], error) {
	res := s.api.Perform(ctx, protocol.DecodeOperation(r.Msg))
	return connect.NewResponse(protocol.EncodeResult(res)), nil
}
