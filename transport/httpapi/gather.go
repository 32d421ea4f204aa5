package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// gather performs an operation in every domain and decodes the answers. The second
// result lists the domains without a valid answer.
func gather[T any](s *Server, r *http.Request, op protocol.Operation) (answers []T, unreachable []string) {
	results := make([]protocol.Result, len(s.Domains))
	ctx, cancel := context.WithTimeout(r.Context(), forwardTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i, d := range s.Domains {
		part := op
		part.Domain = d
		wg.Go(func() { results[i] = s.Route(ctx, part) })
	}
	wg.Wait()
	for i := range results {
		var v T
		if results[i].Status != http.StatusOK || json.Unmarshal(results[i].Body, &v) != nil {
			unreachable = append(unreachable, s.Domains[i])
			continue
		}
		answers = append(answers, v)
	}
	return answers, unreachable
}

func (s *Server) listRequests(w http.ResponseWriter, r *http.Request, id protocol.Identity) {
	parts, missing := gather[protocol.RequestList](s, r, protocol.Operation{Name: protocol.OpList, Identity: id})
	out := protocol.RequestList{Requests: []protocol.RequestStatus{}, Unreachable: missing}
	for _, p := range parts {
		out.Requests = append(out.Requests, p.Requests...)
	}
	writeResult(w, protocol.OKResult(out))
}

func (s *Server) listEndpoints(w http.ResponseWriter, r *http.Request, id protocol.Identity) {
	parts, missing := gather[protocol.EndpointList](s, r, protocol.Operation{Name: protocol.OpEndpoints, Identity: id})
	out := protocol.EndpointList{Endpoints: []state.Endpoint{}, Unreachable: missing}
	for _, p := range parts {
		out.Endpoints = append(out.Endpoints, p.Endpoints...)
	}
	writeResult(w, protocol.OKResult(out))
}

// audit merges the audit trail of the cell group with those of the domains.
func (s *Server) audit(w http.ResponseWriter, r *http.Request, id protocol.Identity) {
	parts, missing := gather[protocol.AuditList](s, r, protocol.Operation{Name: protocol.OpDomainAudit, Identity: id})
	var own protocol.AuditList
	cell := s.Route(r.Context(), protocol.Operation{Name: protocol.OpCellAudit, Identity: id})
	if cell.Status != http.StatusOK || json.Unmarshal(cell.Body, &own) != nil {
		missing = append(missing, coordination.CellGroup)
	}
	out := protocol.AuditList{Records: own.Records, Unreachable: missing}
	for _, p := range parts {
		out.Records = append(out.Records, p.Records...)
	}
	protocol.SortAudit(out.Records)
	writeResult(w, protocol.OKResult(out))
}

// drainEndpoint tries each domain in turn, since an operator need not know the domain of
// an endpoint.
func (s *Server) drainEndpoint(w http.ResponseWriter, r *http.Request, id protocol.Identity) {
	op := protocol.Operation{Name: protocol.OpDrain, Identity: id, Target: r.PathValue("name")}
	var last protocol.Result
	for _, d := range s.Domains {
		op.Domain = d
		res := s.Route(r.Context(), op)
		if res.Status == http.StatusOK {
			writeResult(w, res)
			return
		}
		if last.Status == 0 || last.Code == protocol.CodeNotFound {
			last = res // "unavailable" from one domain takes precedence over "not found" from another
		}
	}
	writeResult(w, last)
}
