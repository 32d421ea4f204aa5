package httpapi

import (
	"context"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// Perform performs an operation on this process, without forwarding it. The result may
// redirect to another process.
func (s *Server) Perform(ctx context.Context, op protocol.Operation) protocol.Result {
	switch op.Name {
	case protocol.OpSubmit:
		return s.submit(ctx, op)
	case protocol.OpLookup:
		return s.lookup(ctx, op)
	case protocol.OpCancel:
		return s.request(ctx, op, func(t coordination.Token) coordination.Event {
			return coordination.CancelRequest{Token: t, Key: requestKey(op), Actor: op.Identity.Name}
		})
	case protocol.OpList:
		return s.list(ctx, op)
	case protocol.OpConfigure:
		return s.configure(ctx, op)
	case protocol.OpReadConfiguration, protocol.OpCellAudit:
		return s.readCell(ctx, op)
	case protocol.OpEndpoints, protocol.OpDomainAudit:
		return s.endpoints(ctx, op)
	case protocol.OpDomainStatus:
		return s.domainStatus(ctx, op)
	case protocol.OpDrain:
		return s.drain(ctx, op)
	case protocol.OpHeartbeat:
		return s.heartbeat(ctx, op)
	case protocol.OpReport:
		return s.report(ctx, op)
	default:
		return s.fail(op, &protocol.Error{Code: protocol.CodeInvalid, Message: "unknown operation"})
	}
}

func requestKey(op protocol.Operation) state.Key {
	return state.Key{Team: op.Identity.Team, ID: state.RequestID(op.Target)}
}

// fail returns the result for an error. It fills in the step and the peer if they are
// empty.
func (s *Server) fail(op protocol.Operation, e *protocol.Error) protocol.Result {
	if e.Step == "" {
		e.Step = string(op.Name)
	}
	if e.Peer == "" {
		e.Peer = s.name
	}
	return protocol.ErrorResult(*e)
}

// call sends one event to the control goroutine. It returns the answer, and the error
// result to return to the caller if the event failed.
func (s *Server) call(ctx context.Context, op protocol.Operation, build func(coordination.Token) coordination.Event) (coordination.Answer, *protocol.Result) {
	a, ok := s.loop.Call(ctx, build)
	if !ok {
		r := s.fail(op, &protocol.Error{Code: protocol.CodeUnavailable, Message: "no answer in time"})
		return a, &r
	}
	if a.Code != coordination.CodeOK {
		r := protocol.AnswerError(a, string(op.Name), s.name)
		return a, &r
	}
	return a, nil
}

// request performs an operation whose answer is the status of a request.
func (s *Server) request(ctx context.Context, op protocol.Operation, build func(coordination.Token) coordination.Event) protocol.Result {
	a, failed := s.call(ctx, op, build)
	if failed != nil {
		return *failed
	}
	return protocol.AcceptedResult(protocol.NewRequestStatus(a.Record, a.WhyWaiting))
}

func (s *Server) submit(ctx context.Context, op protocol.Operation) protocol.Result {
	var body protocol.SubmitRequest
	if err := protocol.Decode(op.Body, &body); err != nil {
		return s.fail(op, err)
	}
	sub, err := body.Submission()
	if err != nil {
		return s.fail(op, err)
	}
	received := time.Now()
	res := s.request(ctx, op, func(t coordination.Token) coordination.Event {
		return coordination.Submit{Token: t, Key: requestKey(op), Submission: sub, Age: op.Age + time.Since(received)}
	})
	if res.Code != "" || res.RedirectName != "" || op.Wait == 0 {
		return res
	}
	return s.lookup(ctx, op)
}

func (s *Server) lookup(ctx context.Context, op protocol.Operation) protocol.Result {
	if op.Wait > 0 {
		if res, ok := s.awaitFinal(ctx, op); ok {
			return res
		}
	}
	return s.request(ctx, op, func(t coordination.Token) coordination.Event {
		return coordination.Lookup{Token: t, Key: requestKey(op)}
	})
}

// awaitFinal waits for the final outcome of a request, at most for op.Wait or until
// CancelWaits is called. It reports false if there was no answer by then.
func (s *Server) awaitFinal(ctx context.Context, op protocol.Operation) (protocol.Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, op.Wait)
	defer cancel()
	defer context.AfterFunc(s.waitsCtx, cancel)()
	a, ok := s.loop.Call(ctx, func(t coordination.Token) coordination.Event {
		return coordination.Lookup{Token: t, Key: requestKey(op), Wait: true}
	})
	if !ok {
		return protocol.Result{}, false
	}
	if a.Code != coordination.CodeOK {
		return protocol.AnswerError(a, string(op.Name), s.name), true
	}
	return protocol.AcceptedResult(protocol.NewRequestStatus(a.Record, a.WhyWaiting)), true
}

func (s *Server) list(ctx context.Context, op protocol.Operation) protocol.Result {
	a, failed := s.call(ctx, op, func(t coordination.Token) coordination.Event {
		return coordination.List{Token: t, Domain: op.Domain, Team: op.Identity.Team}
	})
	if failed != nil {
		return *failed
	}
	out := protocol.RequestList{Requests: make([]protocol.RequestStatus, len(a.Records))}
	for i, r := range a.Records {
		out.Requests[i] = protocol.NewRequestStatus(r, "")
	}
	return protocol.OKResult(out)
}

func (s *Server) configure(ctx context.Context, op protocol.Operation) protocol.Result {
	var body protocol.ConfigureRequest
	if err := protocol.Decode(op.Body, &body); err != nil {
		return s.fail(op, err)
	}
	if err := body.Check(); err != nil {
		return s.fail(op, err)
	}
	a, failed := s.call(ctx, op, func(t coordination.Token) coordination.Event {
		return coordination.ConfigureCell{Token: t, Configure: state.Configure{
			Actor: op.Identity.Name, ChangeID: body.ChangeID, Expected: body.Expected, Config: body.Configuration,
		}}
	})
	if a.Configured != nil {
		return protocol.ConfiguredResult(*a.Configured)
	}
	return *failed
}

func (s *Server) readCell(ctx context.Context, op protocol.Operation) protocol.Result {
	a, failed := s.call(ctx, op, func(t coordination.Token) coordination.Event {
		return coordination.ReadCell{Token: t}
	})
	if failed != nil {
		return *failed
	}
	if op.Name == protocol.OpCellAudit {
		return protocol.OKResult(protocol.AuditList{Records: a.Cell.Audit})
	}
	return protocol.OKResult(a.Cell.Current)
}

func (s *Server) endpoints(ctx context.Context, op protocol.Operation) protocol.Result {
	a, failed := s.call(ctx, op, func(t coordination.Token) coordination.Event {
		return coordination.ListEndpoints{Token: t, Domain: op.Domain}
	})
	if failed != nil {
		return *failed
	}
	if op.Name == protocol.OpDomainAudit {
		return protocol.OKResult(protocol.AuditList{Records: a.Audit})
	}
	return protocol.OKResult(endpointList(a.Endpoints))
}

// domainStatus returns the leader's view of a domain group.
func (s *Server) domainStatus(ctx context.Context, op protocol.Operation) protocol.Result {
	_, failed := s.call(ctx, op, func(t coordination.Token) coordination.Event {
		return coordination.ListEndpoints{Token: t, Domain: op.Domain} // only the leader answers; others redirect
	})
	if failed != nil {
		return *failed
	}
	if st, ok := s.readStatus(ctx, false); ok {
		for _, g := range protocol.NewProcessStatus(st).Groups {
			if g.Group == coordination.DomainGroup(op.Domain) && g.Leads {
				return protocol.OKResult(g)
			}
		}
	}
	return s.fail(op, &protocol.Error{Code: protocol.CodeUnavailable, Message: "leadership is changing"})
}

func endpointList(in []*state.Endpoint) protocol.EndpointList {
	out := protocol.EndpointList{Endpoints: make([]state.Endpoint, len(in))}
	for i, e := range in {
		out.Endpoints[i] = *e
	}
	return out
}

func (s *Server) drain(ctx context.Context, op protocol.Operation) protocol.Result {
	a, failed := s.call(ctx, op, func(t coordination.Token) coordination.Event {
		return coordination.DrainEndpoint{Token: t, Domain: op.Domain, Name: op.Target, Actor: op.Identity.Name}
	})
	if failed != nil {
		return *failed
	}
	return protocol.OKResult(endpointList(a.Endpoints))
}

func (s *Server) heartbeat(ctx context.Context, op protocol.Operation) protocol.Result {
	var body protocol.HeartbeatRequest
	if err := protocol.Decode(op.Body, &body); err != nil {
		return s.fail(op, err)
	}
	ev, err := body.Event(op.Target)
	if err != nil {
		return s.fail(op, err)
	}
	a, failed := s.call(ctx, op, func(t coordination.Token) coordination.Event {
		ev.Token = t
		return ev
	})
	if failed != nil {
		return *failed
	}
	return protocol.OKResult(protocol.NewHeartbeatResponse(a.Lease))
}

func (s *Server) report(ctx context.Context, op protocol.Operation) protocol.Result {
	var body protocol.ReportRequest
	if err := protocol.Decode(op.Body, &body); err != nil {
		return s.fail(op, err)
	}
	ev, err := body.Event()
	if err != nil {
		return s.fail(op, err)
	}
	_, failed := s.call(ctx, op, func(t coordination.Token) coordination.Event {
		ev.Token = t
		return ev
	})
	if failed != nil {
		return *failed
	}
	return protocol.OKResult(struct{}{})
}
