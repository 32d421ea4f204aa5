package httpapi

import (
	"net/http"
	"strings"

	"github.com/primrosereach/primrosereach/protocol"
)

// anonymous is the name that the audit trail shows for a client that sends no name while
// credentials are not checked.
const anonymous = "anonymous"

// requireRole calls h only for clients with a token of the role. It checks the token
// before the body is read.
func (s *Server) requireRole(role protocol.Role, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := s.identify(role, r)
		if err != nil {
			err.Step, err.Peer = "check credentials", r.RemoteAddr
			writeResult(w, protocol.ErrorResult(*err))
			return
		}
		h(w, r, id)
	}
}

func (s *Server) identify(role protocol.Role, r *http.Request) (protocol.Identity, *protocol.Error) {
	if s.access.Insecure() {
		return identityFromHeaders(role, r)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return protocol.Identity{}, &protocol.Error{Code: protocol.CodeUnauthorized, Message: "a bearer token is required"}
	}
	id := protocol.Identity{Role: role}
	switch role {
	case protocol.RoleCaller:
		id.Name, id.Team, ok = s.access.Caller(token)
	case protocol.RoleOperator:
		id.Name, ok = s.access.Operator(token)
	case protocol.RoleEndpoint:
		id.Name, ok = s.access.Endpoint(token)
	}
	if !ok {
		return id, &protocol.Error{Code: protocol.CodeForbidden, Message: "the token does not belong to any " + string(role)}
	}
	if name := r.PathValue("name"); role == protocol.RoleEndpoint && name != "" && name != id.Name {
		return id, &protocol.Error{Code: protocol.CodeForbidden, Message: "the token belongs to endpoint " + id.Name + ", not to " + name}
	}
	return id, nil
}

// identityFromHeaders trusts the identity that the headers claim. It is used without
// credentials, in closed test networks.
func identityFromHeaders(role protocol.Role, r *http.Request) (protocol.Identity, *protocol.Error) {
	id := protocol.Identity{Role: role, Name: r.Header.Get(protocol.HeaderOperator), Team: r.Header.Get(protocol.HeaderTeam)}
	if id.Name == "" {
		id.Name = anonymous
	}
	if role == protocol.RoleCaller && id.Team == "" {
		return id, &protocol.Error{Code: protocol.CodeUnauthorized, Message: "header " + protocol.HeaderTeam + " must name the team"}
	}
	return id, nil
}
