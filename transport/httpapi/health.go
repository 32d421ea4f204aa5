package httpapi

import (
	"context"
	"net/http"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/protocol"
)

// healthz reports whether the control goroutine answers.
func (s *Server) healthz(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.readStatus(r.Context(), true); !ok {
		http.Error(w, "the control goroutine does not answer", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// readyz reports to the load balancer whether this process can serve callers.
func (s *Server) readyz(w http.ResponseWriter, r *http.Request) {
	st, ok := s.readStatus(r.Context(), true)
	if !ok || !st.Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// readStatus returns the status of this process, without its groups if brief is set. It
// reports false if the control goroutine did not answer.
func (s *Server) readStatus(ctx context.Context, brief bool) (*coordination.Status, bool) {
	a, ok := s.loop.Call(ctx, func(t coordination.Token) coordination.Event {
		return coordination.ReadStatus{Token: t, Brief: brief}
	})
	return a.Status, ok && a.Status != nil
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, _ protocol.Identity) {
	st, ok := s.readStatus(r.Context(), false)
	if !ok {
		writeResult(w, s.fail(protocol.Operation{Name: "status"}, &protocol.Error{Code: protocol.CodeUnavailable, Message: "the control goroutine does not answer"}))
		return
	}
	writeResult(w, protocol.OKResult(protocol.NewProcessStatus(st)))
}
