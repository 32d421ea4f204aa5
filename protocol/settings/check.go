package settings

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/primrosereach/primrosereach/protocol/strictjson"
)

// namePattern allows no dot: request IDs use dots between their parts.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// Bounds of Limits. The upper bounds exceed what a small VM can serve; they catch
// values that are given in a wrong unit.
const (
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 64 << 20
	maxConnections = 65_536
	minTimeoutMS   = 100
	maxTimeoutMS   = 600_000
)

type checker struct {
	present strictjson.Present
	faults  strictjson.Faults
}

// addf reports a fault, unless one is reported for the path already, such as a value
// of the wrong type.
func (c *checker) addf(path, format string, args ...any) {
	for _, f := range c.faults {
		if f.Path == path {
			return
		}
	}
	c.faults.Add(path, fmt.Sprintf(format, args...))
}

func (c *checker) check(s *Settings) {
	c.name("name", s.Name)
	c.name("domain", s.Domain)
	c.addresses(s)
	if s.DataDir != "" && !filepath.IsAbs(s.DataDir) {
		c.addf("data_dir", "%q is not an absolute path", s.DataDir)
	}
	c.peers(s)
	c.self(s)
	c.credentials(s)
	c.limits(s.Limits)
	if s.LogLevel != "" && !slices.Contains(logLevels, s.LogLevel) {
		c.addf("log_level", "%q is not one of %s", s.LogLevel, strings.Join(logLevels, ", "))
	}
}

func (c *checker) name(path, v string) {
	switch {
	case v == "":
		c.addf(path, "required")
	case !namePattern.MatchString(v):
		c.addf(path, "%q: want lower-case letters, digits and hyphens, at most 63", v)
	}
}

// address checks IP:port. An advertised address must be one that others can
// connect to.
func (c *checker) address(path, v string, advertised bool) {
	if v == "" {
		c.addf(path, "required")
		return
	}
	ap, err := netip.ParseAddrPort(v)
	switch {
	case err != nil:
		c.addf(path, "%q: want an IP address and a port, such as 10.0.0.1:7400", v)
	case ap.Port() == 0:
		c.addf(path, "%q: port 0 is not an address that others can use", v)
	case advertised && ap.Addr().IsUnspecified():
		c.addf(path, "%q: others cannot connect to an unspecified address", v)
	}
}

func (c *checker) addresses(s *Settings) {
	c.address("listen", s.Listen, false)
	c.address("peer_listen", s.PeerListen, false)
	if s.Listen != "" && s.Listen == s.PeerListen {
		c.addf("peer_listen", "%q is the same as listen", s.PeerListen)
	}
	c.advertised("advertise", s.Advertise, "listen", s.Listen)
	c.advertised("peer_advertise", s.PeerAdvertise, "peer_listen", s.PeerListen)
}

func (c *checker) advertised(path, v, listenPath, listen string) {
	if v != "" {
		c.address(path, v, true)
		return
	}
	if ap, err := netip.ParseAddrPort(listen); err == nil && ap.Addr().IsUnspecified() {
		c.addf(path, "required, because %s is %q, to which others cannot connect", listenPath, listen)
	}
}

func (c *checker) peers(s *Settings) {
	if len(s.Peers) == 0 {
		c.addf("peers", "required: list every entry process of the cell, this one included")
	}
	names, addresses := map[string]string{}, map[string]string{}
	for i, p := range s.Peers {
		at := fmt.Sprintf("peers[%d].", i)
		c.name(at+"name", p.Name)
		c.name(at+"domain", p.Domain)
		c.address(at+"address", p.Address, true)
		c.address(at+"public_address", p.PublicAddress, true)
		c.unique(names, at+"name", p.Name)
		c.unique(addresses, at+"address", p.Address)
		c.unique(addresses, at+"public_address", p.PublicAddress)
	}
}

func (c *checker) unique(seen map[string]string, path, v string) {
	if v == "" {
		return
	}
	if first, ok := seen[v]; ok {
		c.addf(path, "%q is already used by %s", v, first)
		return
	}
	seen[v] = path
}

// self checks that the entry of this process in peers, which the other processes
// also read, agrees with the rest of the settings.
func (c *checker) self(s *Settings) {
	i := slices.IndexFunc(s.Peers, func(p Peer) bool { return p.Name == s.Name })
	if i < 0 {
		if s.Name != "" && len(s.Peers) > 0 {
			c.addf("peers", "no entry is named %q, the name of this process", s.Name)
		}
		return
	}
	at, p, full := fmt.Sprintf("peers[%d].", i), s.Peers[i], *s
	full.applyDefaults()
	c.same(at+"domain", p.Domain, "domain", s.Domain)
	c.same(at+"address", p.Address, "peer_advertise", full.PeerAdvertise)
	c.same(at+"public_address", p.PublicAddress, "advertise", full.Advertise)
	if p.Disk != (s.DataDir != "") {
		c.addf(at+"disk", "%t does not agree with data_dir %q of this process", p.Disk, s.DataDir)
	}
}

func (c *checker) same(path, v, otherPath, other string) {
	if v != "" && other != "" && v != other {
		c.addf(path, "%q does not agree with %s %q of this process", v, otherPath, other)
	}
}

func (c *checker) credentials(s *Settings) {
	switch {
	case s.Tokens == nil && !s.Insecure && !c.present["tokens"]:
		c.addf("tokens", "required; only a closed test network may set \"insecure\": true instead")
	case s.Tokens != nil && s.Insecure:
		c.addf("insecure", "contradicts tokens: remove one of them")
	}
	if t := s.Tokens; t != nil {
		c.required("tokens.callers_file", t.CallersFile)
		c.required("tokens.operators_file", t.OperatorsFile)
		c.required("tokens.endpoints_file", t.EndpointsFile)
		c.required("tokens.peer_file", t.PeerFile)
	}
	if t := s.TLS; t != nil {
		c.required("tls.cert_file", t.CertFile)
		c.required("tls.key_file", t.KeyFile)
	}
}

func (c *checker) required(path, v string) {
	if v == "" {
		c.addf(path, "required")
	}
}

func (c *checker) limits(l Limits) {
	c.within("limits.max_body_bytes", l.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	c.within("limits.max_connections", int64(l.MaxConnections), 1, maxConnections)
	c.within("limits.request_timeout_ms", l.RequestTimeoutMS, minTimeoutMS, maxTimeoutMS)
	c.within("limits.shutdown_timeout_ms", l.ShutdownTimeoutMS, minTimeoutMS, maxTimeoutMS)
}

func (c *checker) within(path string, v, low, high int64) {
	if c.present[path] && (v < low || v > high) {
		c.addf(path, "%d is not between %d and %d", v, low, high)
	}
}
