// Package settings reads the settings of one process. Parsing is strict: an unknown
// field, a wrong type or an impossible value prevents the start, and all faults are
// reported at once.
package settings

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/protocol/strictjson"
)

// Settings are the settings of one entry process.
type Settings struct {
	Name   string `json:"name"`   // name of this process, unique in the cell
	Domain string `json:"domain"` // failure domain of this process
	Region string `json:"region"` // optional, for display only

	Listen        string `json:"listen"`         // IP:port for callers, endpoints and operators
	PeerListen    string `json:"peer_listen"`    // IP:port for the other processes
	Advertise     string `json:"advertise"`      // IP:port that others use for Listen; default Listen
	PeerAdvertise string `json:"peer_advertise"` // IP:port that others use for PeerListen; default PeerListen

	DataDir string `json:"data_dir"` // absolute path; "" for a VM without a disk
	Peers   []Peer `json:"peers"`    // all entry processes of the cell, this one included

	Tokens   *Tokens `json:"tokens"`   // nil only if Insecure
	Insecure bool    `json:"insecure"` // no credentials are checked: closed test networks only
	TLS      *TLS    `json:"tls"`      // nil for plain connections

	Limits   Limits `json:"limits"`
	LogLevel string `json:"log_level"` // trace, debug, info, warn or error; default info
}

// Peer is one entry process of the cell.
type Peer struct {
	Name          string `json:"name"`
	Domain        string `json:"domain"`
	Region        string `json:"region"`         // optional; if a group needs members from other domains, it prefers those of its own region
	Address       string `json:"address"`        // its peer_advertise, IP:port
	PublicAddress string `json:"public_address"` // its advertise, IP:port
	Disk          bool   `json:"disk"`           // whether it has a data directory
}

// Tokens names the token files, each a JSON list as read by protocol/access.
type Tokens struct {
	CallersFile   string `json:"callers_file"`
	OperatorsFile string `json:"operators_file"`
	EndpointsFile string `json:"endpoints_file"`
	PeerFile      string `json:"peer_file"`
}

// TLS names PEM files.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"` // optional; "" means the certificate authorities of the system
}

// Limits bound the load that one process accepts.
type Limits struct {
	MaxBodyBytes      int64 `json:"max_body_bytes"`      // largest body of one request or answer, in bytes
	MaxConnections    int   `json:"max_connections"`     // largest number of connections open at the same time on Listen
	RequestTimeoutMS  int64 `json:"request_timeout_ms"`  // longest time for one call, blocking queries included
	ShutdownTimeoutMS int64 `json:"shutdown_timeout_ms"` // longest time from the stop signal to the last answer
}

// Defaults of Limits and LogLevel.
const (
	DefaultMaxBodyBytes      = 1 << 20 // the body is replicated to every member of a group
	DefaultMaxConnections    = 1024
	DefaultRequestTimeoutMS  = 60_000 // twice the longest blocking query (30 s)
	DefaultShutdownTimeoutMS = 30_000 // docs/design.md 10, planned stop
	DefaultLogLevel          = "info"
)

// Load reads a settings file. Faults in its content are returned as a
// strictjson.Faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	if err != nil {
		return nil, errors.Wrapf(err, "settings %s", path)
	}
	return s, nil
}

// Parse decodes and checks settings and fills in the defaults. Its error is a
// strictjson.Faults that lists every fault.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	present, faults := strictjson.Decode(data, s)
	if len(present) == 0 && len(faults) > 0 {
		return nil, faults
	}
	c := checker{present: present, faults: faults}
	c.check(s)
	if err := c.faults.Err(); err != nil {
		return nil, err
	}
	s.applyDefaults()
	return s, nil
}

func (s *Settings) applyDefaults() {
	setDefault(&s.Advertise, s.Listen)
	setDefault(&s.PeerAdvertise, s.PeerListen)
	setDefault(&s.LogLevel, DefaultLogLevel)
	setDefault(&s.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.Limits.MaxConnections, DefaultMaxConnections)
	setDefault(&s.Limits.RequestTimeoutMS, DefaultRequestTimeoutMS)
	setDefault(&s.Limits.ShutdownTimeoutMS, DefaultShutdownTimeoutMS)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Self returns this process's own entry in Peers.
func (s *Settings) Self() Peer {
	for _, p := range s.Peers {
		if p.Name == s.Name {
			return p
		}
	}
	return Peer{}
}
