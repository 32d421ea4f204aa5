package httpapi

import (
	"net/http"
	"time"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/transport/statuspage"
)

// withBasicAuth accepts an operator's token as the password of HTTP basic authentication,
// with any user name, so that operators can use a browser.
func (s *Server) withBasicAuth(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, password, ok := r.BasicAuth(); ok {
			r.Header.Set("Authorization", "Bearer "+password)
		} else if !s.access.Insecure() && r.Header.Get("Authorization") == "" {
			w.Header().Set("WWW-Authenticate", `Basic realm="operator token as password", charset="UTF-8"`)
		}
		h(w, r)
	}
}

// statusPage serves the state of the cell as an HTML page for operators.
func (s *Server) statusPage(w http.ResponseWriter, r *http.Request, id protocol.Identity) {
	st, ok := s.readStatus(r.Context(), false)
	if !ok {
		http.Error(w, "the control goroutine does not answer", http.StatusServiceUnavailable)
		return
	}
	p := statuspage.Page{Now: time.Now(), Process: protocol.NewProcessStatus(st)}
	p.Domains, p.Unreachable = gather[protocol.GroupStatus](s, r, protocol.Operation{Name: protocol.OpDomainStatus, Identity: id})
	html, err := statuspage.Render(p)
	if err != nil {
		http.Error(w, "render the page: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(html) // a write error means that the browser has disconnected
}
