// Package access loads token files and finds the holder of a token.
package access

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"os"
	"slices"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/protocol/settings"
	"github.com/primrosereach/primrosereach/protocol/strictjson"
)

// minTokenLength is the smallest number of characters of a token: 32 hexadecimal
// digits carry 128 bits.
const minTokenLength = 32

// Access maps tokens to their holders. It is immutable and safe for concurrent use.
type Access struct {
	callers, operators, endpoints, peers holders

	ownToken string // token of this process for calls to its peers
	insecure bool
}

// holder is one entry of a token file, a JSON list.
type holder struct {
	Token string `json:"token"`
	Name  string `json:"name"`
	Team  string `json:"team"` // callers only
}

// holders indexes the holders of one token file by a keyed digest of their tokens. The key
// is drawn at random when the file is loaded, so the duration of a lookup reveals nothing
// about the tokens.
type holders struct {
	key      []byte
	list     []holder // in the order of the file
	byDigest map[[sha256.Size]byte]holder
}

// Load reads the token files named in the settings. With insecure settings it
// reads nothing and every lookup fails.
func Load(s *settings.Settings) (*Access, error) {
	if s.Tokens == nil {
		return &Access{insecure: s.Insecure}, nil
	}
	l := loader{}
	a := &Access{
		callers:   l.load("tokens.callers_file", s.Tokens.CallersFile, true),
		operators: l.load("tokens.operators_file", s.Tokens.OperatorsFile, false),
		endpoints: l.load("tokens.endpoints_file", s.Tokens.EndpointsFile, false),
		peers:     l.load("tokens.peer_file", s.Tokens.PeerFile, false),
	}
	// This process presents the first token with its name. A second one may be listed
	// while tokens are being rotated.
	if i := slices.IndexFunc(a.peers.list, func(h holder) bool { return h.Name == s.Name }); i >= 0 {
		a.ownToken = a.peers.list[i].Token
	}
	if a.ownToken == "" && len(l.faults) == 0 {
		l.faults.Add("tokens.peer_file", fmt.Sprintf("no token is named %q, the name of this process", s.Name))
	}
	if err := l.faults.Err(); err != nil {
		return nil, errors.Wrap(err, "load tokens")
	}
	return a, nil
}

// Insecure reports whether credentials are not checked. Every lookup fails then.
func (a *Access) Insecure() bool { return a.insecure }

// Caller returns the name and the team of the caller that holds a token.
func (a *Access) Caller(token string) (name, team string, ok bool) {
	h, ok := a.callers.find(token)
	return h.Name, h.Team, ok
}

// Operator returns the name of the operator who holds a token.
func (a *Access) Operator(token string) (name string, ok bool) {
	h, ok := a.operators.find(token)
	return h.Name, ok
}

// Endpoint returns the name of the endpoint that holds a token.
func (a *Access) Endpoint(token string) (name string, ok bool) {
	h, ok := a.endpoints.find(token)
	return h.Name, ok
}

// Peer returns the name of the entry process that holds a token.
func (a *Access) Peer(token string) (name string, ok bool) {
	h, ok := a.peers.find(token)
	return h.Name, ok
}

// OwnPeerToken returns the token that this process presents to its peers, "" with
// insecure settings.
func (a *Access) OwnPeerToken() string { return a.ownToken }

func (s holders) digest(token string) (d [sha256.Size]byte) {
	m := hmac.New(sha256.New, s.key)
	m.Write([]byte(token))
	m.Sum(d[:0])
	return d
}

func (s holders) find(token string) (holder, bool) {
	h, ok := s.byDigest[s.digest(token)]
	return h, ok
}

type loader struct{ faults strictjson.Faults }

func (l *loader) load(path, file string, wantTeam bool) holders {
	s := holders{key: make([]byte, sha256.Size), byDigest: map[[sha256.Size]byte]holder{}}
	rand.Read(s.key) // never fails, see crypto/rand
	data, err := os.ReadFile(file)
	if err != nil {
		l.faults.Add(path, err.Error())
		return s
	}
	at := path + " " + file
	_, faults := strictjson.Decode(data, &s.list)
	for _, f := range faults {
		l.faults.Add(at, f.String())
	}
	for i, h := range s.list {
		if fault := s.add(h, wantTeam); fault != "" {
			l.faults.Add(at, fmt.Sprintf("[%d].%s", i, fault))
		}
	}
	if len(s.list) == 0 && len(faults) == 0 {
		l.faults.Add(at, "lists no token")
	}
	return s
}

func (s holders) add(h holder, wantTeam bool) string {
	d := s.digest(h.Token)
	other, taken := s.byDigest[d]
	switch {
	case len(h.Token) < minTokenLength:
		return fmt.Sprintf("token: want at least %d characters", minTokenLength)
	case h.Name == "":
		return "name: required"
	case wantTeam && h.Team == "":
		return "team: required"
	case !wantTeam && h.Team != "":
		return "team: only callers have one"
	case taken:
		return fmt.Sprintf("token: the same as that of %q", other.Name)
	}
	s.byDigest[d] = h
	return ""
}
