package settings

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/protocol/strictjson"
)

// Site are the settings of a process of a deployment with a job group: a member of
// the group, on a VM with a disk, or a gateway, which forwards calls to it.
type Site struct {
	Name           string     `json:"name" required:"true"`
	Domain         string     `json:"domain" required:"true"` // failure domain
	IP             string     `json:"ip" required:"true"`
	PeerPort       int        `json:"peer_port" required:"true" min:"1"` // the same on all VMs
	MetricsPort    int        `json:"metrics_port"`                      // 0 for none
	Seeds          []string   `json:"seeds" required:"true" min:"1"`     // control addresses of some members
	FirstStart     bool       `json:"first_start"`                       // the whole deployment starts for the first time
	FaultTolerance int        `json:"losses"`                            // number of members that may be lost at the same time
	DataDir        string     `json:"data_dir"`                          // of a member
	Listen         SiteListen `json:"listen"`
	AdviceAPI      string     `json:"advice_api"` // address of the service that tells which workers may run a step
	VMAPI          string     `json:"vm_api"`     // address of the service that maintains VMs
	MemoryMB       int        `json:"memory_mb"`  // limit of the process
	Bounds         SiteBounds `json:"bounds"`
	LogLevel       string     `json:"log_level"` // trace, debug, info, warn or error; default info
}

// SiteListen holds IP:port addresses; the ones that do not apply are empty.
type SiteListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Control string `json:"control"`
	Peers   string `json:"peers"` // where other processes connect, if it is not the IP and peer port of this process
}

// SiteBounds are limits that the deployment sets.
type SiteBounds struct {
	MaxLeaseMS       float64 `json:"max_lease_ms" required:"true"`
	StopMS           float64 `json:"stop_ms"`
	GangWaitMS       float64 `json:"gang_wait_ms"`
	StatusS          float64 `json:"status_s"`
	RemoteDataFactor float64 `json:"far_factor"` // run time of a task away from its data, as a multiple of the time near it
	CheckpointS      float64 `json:"checkpoint_s"`
	NoticeMS         float64 `json:"notice_ms"` // a service task counts as available after so long at work
	MaintenanceS     float64 `json:"maintenance_s"`
	ShutdownS        float64 `json:"shutdown_s"`   // from the stop signal to the kill
	MaxStaleMS       float64 `json:"max_stale_ms"` // after a process has answered under a configuration, until it answers under no older one
}

// LoadSite reads the settings file of a member or a gateway.
func LoadSite(path string) (*Site, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := ParseSite(data)
	if err != nil {
		return nil, errors.Wrapf(err, "settings %s", path)
	}
	return s, nil
}

// ParseSite checks settings. Its error is a strictjson.Faults that lists every fault.
func ParseSite(data []byte) (*Site, error) {
	s := &Site{}
	present, faults := strictjson.Decode(data, s)
	c := checker{present: present, faults: faults}
	if len(present) > 0 {
		c.site(s)
	}
	if err := c.faults.Err(); err != nil {
		return nil, err
	}
	setDefault(&s.LogLevel, DefaultLogLevel)
	return s, nil
}

func (c *checker) site(s *Site) {
	if _, err := netip.ParseAddr(s.IP); err != nil {
		c.addf("ip", "%q is not an IP address", s.IP)
	}
	for i, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			c.addf("seeds["+strconv.Itoa(i)+"]", "%q is not IP:port", seed)
		}
	}
	for path, v := range map[string]string{"listen.callers": s.Listen.Callers, "listen.ready": s.Listen.Ready, "listen.control": s.Listen.Control, "listen.peers": s.Listen.Peers} {
		if _, err := netip.ParseAddrPort(v); v != "" && err != nil {
			c.addf(path, "%q is not IP:port", v)
		}
	}
	if s.Bounds.MaxLeaseMS <= 0 {
		c.addf("bounds.max_lease_ms", "must be positive")
	}
}

// PeerAddress returns the peer address of this process.
func (s *Site) PeerAddress() string { return s.PeerAddressOf(s.IP) }

// SeedPeers returns the peer addresses of the seeds, which listen on the same port.
func (s *Site) SeedPeers() []string {
	var out []string
	for _, host := range s.SeedHosts() {
		out = append(out, s.PeerAddressOf(host))
	}
	return out
}

// SeedHosts returns the IP addresses of the seeds. They name members of the group.
func (s *Site) SeedHosts() []string {
	var out []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil { // checked when loaded
			out = append(out, host)
		}
	}
	return out
}

// PeerAddressOf returns the peer address of the process at an IP address.
func (s *Site) PeerAddressOf(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.PeerPort))
}

// maxStaleShare is the share of the bound that a held answer may use up.
const maxStaleShare = 0.8

// MaxStale returns how long an answer that depends on the configuration may be held.
func (s *Site) MaxStale() time.Duration {
	return time.Duration(maxStaleShare * s.Bounds.MaxStaleMS * float64(time.Millisecond))
}

// JobBounds returns the bounds for the leader of the job group.
func (s *Site) JobBounds() jobs.Bounds {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	b := s.Bounds
	return jobs.Bounds{
		MaxLease: ms(b.MaxLeaseMS), StopTime: ms(b.StopMS), GangWait: ms(b.GangWaitMS), StatusRetention: ms(b.StatusS * 1000),
		RemoteDataFactor: b.RemoteDataFactor, CheckpointInterval: ms(b.CheckpointS * 1000), MinAvailableTime: ms(b.NoticeMS), MaintenanceTime: ms(b.MaintenanceS * 1000),
	}
}
