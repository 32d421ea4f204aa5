package peer

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/access"
	"github.com/primrosereach/primrosereach/protocol/peerv1"
	"github.com/primrosereach/primrosereach/protocol/peerv1/peerv1connect"
)

// maxMessageBytes bounds what a peer may send in one call. A snapshot of the
// largest state has to fit.
const maxMessageBytes = 256 << 20

// compressBytes is the size from which answers are compressed. Preparing a compressor
// costs more processor time than a small answer costs to send.
const compressBytes = 4 << 10

// Sender hands events to the control goroutine.
type Sender interface {
	Send(ctx context.Context, ev coordination.Event) bool
}

// Performer carries out an operation on this process alone.
type Performer interface {
	Perform(ctx context.Context, op protocol.Operation) protocol.Result
}

type server struct {
	loop   Sender
	api    Performer
	logger hclog.Logger
}

// NewHandler returns the handler for the peer address.
func NewHandler(loop Sender, api Performer, a *access.Access, logger hclog.Logger) http.Handler {
	mux := http.NewServeMux()
	path, h := peerv1connect.NewPeerServiceHandler(&server{loop: loop, api: api, logger: logger}, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressBytes))
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
	return connect.NewResponse(&peerv1.DeliverResponse{}), nil
}

// Forward implements peerv1connect.PeerServiceHandler.
func (s *server) Forward(ctx context.Context, r *connect.Request[peerv1.ForwardRequest]) (*connect.Response[peerv1.ForwardResponse], error) {
	res := s.api.Perform(ctx, protocol.DecodeOperation(r.Msg))
	return connect.NewResponse(protocol.EncodeResult(res)), nil
}
