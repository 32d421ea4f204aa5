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

type server struct {
	loop   Sender
	api    Performer
	logger hclog.Logger
}

// NewHandler returns the handler for calls from other processes. Peers authenticate with
// a token, unless a is configured not to check credentials.
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
