package httpapi

import (
	"net/http"
	"strings"

	"github.com/primrosereach/primrosereach/protocol"
)

// anonymous is the name in the audit trail when no credentials are checked and the
// caller gave none.
const anonymous = "anonymous"

// as lets only holders of a role's token pass. It runs before the body is read.
func (s *Server) as(role protocol.Role, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := s.identify(role, r)
		if err != nil {
			err.Step, err.Peer = "check credentials", r.RemoteAddr
			write(w, protocol.ErrorResult(*err))
			return
		}
		h(w, r, id)
	}
}

func (s *Server) identify(role protocol.Role, r *http.Request) (protocol.Identity, *protocol.Error) {
	if s.access.Insecure() {
		return unchecked(role, r)
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

// unchecked takes the identity from headers, for closed test networks.
func unchecked(role protocol.Role, r *http.Request) (protocol.Identity, *protocol.Error) {
	id := protocol.Identity{Role: role, Name: r.Header.Get(protocol.HeaderOperator), Team: r.Header.Get(protocol.HeaderTeam)}
	if id.Name == "" {
		id.Name = anonymous
	}
	if role == protocol.RoleCaller && id.Team == "" {
		return id, &protocol.Error{Code: protocol.CodeUnauthorized, Message: "header " + protocol.HeaderTeam + " must name the team"}
	}
	return id, nil
}
