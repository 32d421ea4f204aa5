// Package httpapi serves the HTTP API to callers, endpoints and operators. It turns calls
// into operations, routes them to the process that leads the group, and writes the
// answers.
package httpapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/access"
	"github.com/primrosereach/primrosereach/state"
)

// Loop sends events to the control goroutine.
type Loop interface {
	Call(ctx context.Context, build func(coordination.Token) coordination.Event) (coordination.Answer, bool)
}

// Config is the input of New.
type Config struct {
	Name        string   // name of this process
	PeerAddress string   // peer address of this process, to recognise redirects to itself
	Domains     []string // names of all failure domains
	Loop        Loop
	Forwarder   Forwarder
	Access      *access.Access
	MaxBody     int64                          // largest body of a call, in bytes
	Timeout     time.Duration                  // timeout of one call, including its wait for an outcome
	Overloaded  func() bool                    // reports whether connections must be closed after an answer; nil if they never are
	OnAnswer    func(route string, status int) // called after each answer; nil for none
	Metrics     http.Handler                   // nil for none
}

// Server is the HTTP handler for the API of an entry process. It checks credentials and
// passes each operation to the process that leads the group concerned.
type Server struct {
	Config
	name        string
	peerAddress string
	loop        Loop
	forwarder   Forwarder
	access      *access.Access
	mux         *http.ServeMux
	waitsCtx    context.Context // ends all waits for outcomes
	cancelWaits context.CancelFunc
	draining    atomic.Bool
}

// maxWait bounds how long a call may wait for a final outcome.
const maxWait = 30 * time.Second

// New returns a server for the given configuration.
func New(c Config) *Server {
	s := &Server{
		Config: c, name: c.Name, peerAddress: c.PeerAddress, loop: c.Loop, forwarder: c.Forwarder, access: c.Access,
		mux: http.NewServeMux(),
	}
	s.waitsCtx, s.cancelWaits = context.WithCancel(context.Background())
	s.routes()
	return s
}

// Drain makes the server ask clients to close their connections after the next answer. If
// the server closed idle connections itself, it could interrupt a call that is just being
// sent.
func (s *Server) Drain() { s.draining.Store(true) }

// CancelWaits ends all waits for outcomes: the calls are answered with the current state.
func (s *Server) CancelWaits() { s.cancelWaits() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() || s.Overloaded != nil && s.Overloaded() {
		w.Header().Set("Connection", "close")
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.Timeout)
	defer cancel()
	rec := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
	r = r.WithContext(ctx)
	s.mux.ServeHTTP(rec, r)
	if s.OnAnswer != nil {
		s.OnAnswer(r.Pattern, rec.status)
	}
}

func (s *Server) routes() {
	caller, operator, endpoint := protocol.RoleCaller, protocol.RoleOperator, protocol.RoleEndpoint
	for pattern, h := range map[string]http.HandlerFunc{
		"POST " + protocol.PathRequestIDs:                                         s.requireRole(caller, s.issueID),
		"PUT " + protocol.PathRequest + "{id}":                                    s.requireRole(caller, s.serveOperation(protocol.OpSubmit, "id")),
		"GET " + protocol.PathRequest + "{id}":                                    s.requireRole(caller, s.serveOperation(protocol.OpLookup, "id")),
		"DELETE " + protocol.PathRequest + "{id}":                                 s.requireRole(caller, s.serveOperation(protocol.OpCancel, "id")),
		"GET " + protocol.PathRequests:                                            s.requireRole(caller, s.listRequests),
		"GET " + protocol.PathConfiguration:                                       s.requireRole(operator, s.serveOperation(protocol.OpReadConfiguration, "")),
		"PUT " + protocol.PathConfiguration:                                       s.requireRole(operator, s.serveOperation(protocol.OpConfigure, "")),
		"GET " + protocol.PathAudit:                                               s.requireRole(operator, s.audit),
		"GET " + protocol.PathEndpoints:                                           s.requireRole(operator, s.listEndpoints),
		"GET " + protocol.PathStatus:                                              s.requireRole(operator, s.status),
		"POST " + protocol.PathReports:                                            s.requireRole(endpoint, s.serveOperation(protocol.OpReport, "")),
		"POST " + protocol.PathEndpoint + "{name}/drain":                          s.requireRole(operator, s.drainEndpoint),
		"POST " + protocol.PathEndpoint + "{name}" + protocol.PathHeartbeatSuffix: s.requireRole(endpoint, s.serveOperation(protocol.OpHeartbeat, "name")),
		"GET /{$}":     s.withBasicAuth(s.requireRole(operator, s.statusPage)),
		"GET /status":  s.withBasicAuth(s.requireRole(operator, s.statusPage)),
		"GET /healthz": s.healthz,
		"GET /readyz":  s.readyz,
	} {
		s.mux.HandleFunc(pattern, h)
	}
	if s.Metrics != nil {
		s.mux.Handle("GET /metrics", s.Metrics)
	}
}

// handler serves a call of a client whose credentials have been checked.
type handler func(w http.ResponseWriter, r *http.Request, id protocol.Identity)

// serveOperation returns a handler for an operation. Its target is the path value with
// the given name, "" for none.
func (s *Server) serveOperation(name protocol.OperationName, target string) handler {
	return func(w http.ResponseWriter, r *http.Request, id protocol.Identity) {
		op := protocol.Operation{Name: name, Identity: id}
		if target != "" {
			op.Target = r.PathValue(target)
		}
		if err := s.readWait(r, &op); err != nil {
			writeResult(w, s.fail(op, err))
			return
		}
		if err := s.readBody(w, r, &op); err != nil {
			writeResult(w, s.fail(op, err))
			return
		}
		writeResult(w, s.Route(r.Context(), op))
	}
}

// readWait reads how long the caller waits for an outcome. The wait is limited to maxWait
// and to half of the call's timeout, which leaves the other half for finding the leader.
func (s *Server) readWait(r *http.Request, op *protocol.Operation) *protocol.Error {
	v := r.URL.Query().Get("wait")
	if v == "" {
		return nil
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		return &protocol.Error{Code: protocol.CodeInvalid, Message: fmt.Sprintf(`wait: %q is not a duration such as "30s"`, v)}
	}
	op.Wait = min(d, maxWait, s.Timeout/2)
	return nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request, op *protocol.Operation) *protocol.Error {
	if r.Method == http.MethodGet || r.Method == http.MethodDelete {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &protocol.Error{Code: protocol.CodeTooLarge, Message: fmt.Sprintf("the body exceeds %d bytes", tooLarge.Limit), Peer: r.RemoteAddr}
	}
	if err != nil {
		return &protocol.Error{Code: protocol.CodeInvalid, Message: "read body: " + err.Error(), Peer: r.RemoteAddr}
	}
	op.Body = body
	return nil
}

func writeResult(w http.ResponseWriter, r protocol.Result) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body) // a caller that has disconnected can send the call again with the same ID
}

// issueID answers with a new request ID for a failure domain that the control goroutine
// chooses. It stores nothing.
func (s *Server) issueID(w http.ResponseWriter, r *http.Request, _ protocol.Identity) {
	a, ok := s.loop.Call(r.Context(), func(t coordination.Token) coordination.Event {
		return coordination.ChooseDomain{Token: t}
	})
	if !ok {
		writeResult(w, s.fail(protocol.Operation{Name: "issue request ID"}, &protocol.Error{Code: protocol.CodeUnavailable, Message: "the control goroutine does not answer"}))
		return
	}
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	id := state.NewRequestID(a.Domain, time.Now().Unix(), hex.EncodeToString(b[:]))
	writeResult(w, protocol.OKResult(protocol.RequestIDResponse{ID: id}))
}
