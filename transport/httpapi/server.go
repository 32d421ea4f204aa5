// Package httpapi serves the HTTP API to callers, endpoints and operators. It
// turns calls into operations, has them carried out by this process or the one
// that owns their subject, and writes the answers.
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

// Loop is the control goroutine as this package sees it.
type Loop interface {
	Call(ctx context.Context, build func(coordination.Token) coordination.Event) (coordination.Answer, bool)
}

// Config is the input of New.
type Config struct {
	Name        string   // of this process
	PeerAddress string   // its own, to recognise redirects to itself
	Domains     []string // all failure domains
	Loop        Loop
	Forwarder   Forwarder
	Access      *access.Access
	MaxBody     int64                          // bytes
	Timeout     time.Duration                  // of one call, its wait included
	Overloaded  func() bool                    // reports whether connections must be closed after an answer; nil for never
	OnAnswer    func(route string, status int) // called after each answer; nil for none
	Metrics     http.Handler                   // nil for none
}

// Server implements the API.
type Server struct {
	Config
	name        string
	peerAddress string
	loop        Loop
	forwarder   Forwarder
	access      *access.Access
	mux         *http.ServeMux
	ending      context.Context // ends all waits for outcomes
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
	s.ending, s.cancelWaits = context.WithCancel(context.Background())
	s.routes()
	return s
}

// Drain asks clients to close their connections after the next answer. A connection
// that is closed while a call is on its way interrupts that call.
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
	rec := &recorder{ResponseWriter: w, status: http.StatusOK}
	r = r.WithContext(ctx)
	s.mux.ServeHTTP(rec, r)
	if s.OnAnswer != nil {
		s.OnAnswer(r.Pattern, rec.status)
	}
}

func (s *Server) routes() {
	caller, operator, endpoint := protocol.RoleCaller, protocol.RoleOperator, protocol.RoleEndpoint
	for pattern, h := range map[string]http.HandlerFunc{
		"POST " + protocol.PathRequestIDs:                                         s.as(caller, s.issueID),
		"PUT " + protocol.PathRequest + "{id}":                                    s.as(caller, s.simple(protocol.OpSubmit, "id")),
		"GET " + protocol.PathRequest + "{id}":                                    s.as(caller, s.simple(protocol.OpLookup, "id")),
		"DELETE " + protocol.PathRequest + "{id}":                                 s.as(caller, s.simple(protocol.OpCancel, "id")),
		"GET " + protocol.PathRequests:                                            s.as(caller, s.listRequests),
		"GET " + protocol.PathConfiguration:                                       s.as(operator, s.simple(protocol.OpReadConfiguration, "")),
		"PUT " + protocol.PathConfiguration:                                       s.as(operator, s.simple(protocol.OpConfigure, "")),
		"GET " + protocol.PathAudit:                                               s.as(operator, s.audit),
		"GET " + protocol.PathEndpoints:                                           s.as(operator, s.listEndpoints),
		"GET " + protocol.PathStatus:                                              s.as(operator, s.status),
		"POST " + protocol.PathReports:                                            s.as(endpoint, s.simple(protocol.OpReport, "")),
		"POST " + protocol.PathEndpoint + "{name}/drain":                          s.as(operator, s.drainEndpoint),
		"POST " + protocol.PathEndpoint + "{name}" + protocol.PathHeartbeatSuffix: s.as(endpoint, s.simple(protocol.OpHeartbeat, "name")),
		"GET /{$}":     s.browser(s.as(operator, s.page)),
		"GET /status":  s.browser(s.as(operator, s.page)),
		"GET /healthz": s.healthz,
		"GET /readyz":  s.readyz,
	} {
		s.mux.HandleFunc(pattern, h)
	}
	if s.Metrics != nil {
		s.mux.Handle("GET /metrics", s.Metrics)
	}
}

type handler func(w http.ResponseWriter, r *http.Request, id protocol.Identity)

// simple serves an operation whose target, if any, is a part of the path.
func (s *Server) simple(name protocol.OperationName, target string) handler {
	return func(w http.ResponseWriter, r *http.Request, id protocol.Identity) {
		op := protocol.Operation{Name: name, Identity: id}
		if target != "" {
			op.Target = r.PathValue(target)
		}
		if err := s.readWait(r, &op); err != nil {
			write(w, s.fail(op, err))
			return
		}
		if err := s.readBody(w, r, &op); err != nil {
			write(w, s.fail(op, err))
			return
		}
		write(w, s.Route(r.Context(), op))
	}
}

// readWait reads how long the caller waits. Half of the call's time remains for
// finding the leader.
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

func write(w http.ResponseWriter, r protocol.Result) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body) // a caller that has gone comes back with the same ID
}

// issueID returns a new request ID. Nothing is written.
func (s *Server) issueID(w http.ResponseWriter, r *http.Request, _ protocol.Identity) {
	a, ok := s.loop.Call(r.Context(), func(t coordination.Token) coordination.Event {
		return coordination.ChooseDomain{Token: t}
	})
	if !ok {
		write(w, s.fail(protocol.Operation{Name: "issue request ID"}, &protocol.Error{Code: protocol.CodeUnavailable, Message: "the control goroutine does not answer"}))
		return
	}
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	id := state.NewRequestID(a.Domain, time.Now().Unix(), hex.EncodeToString(b[:]))
	write(w, protocol.OKResult(protocol.RequestIDResponse{ID: id}))
}
