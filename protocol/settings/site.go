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

// Site holds the settings of a process in a deployment with a job group: a member of
// the group, on a VM with a disk, or a gateway, which forwards calls to the group.
type Site struct {
	Name           string     `json:"name" required:"true"`
	Domain         string     `json:"domain" required:"true"` // failure domain
	IP             string     `json:"ip" required:"true"`
	PeerPort       int        `json:"peer_port" required:"true" min:"1"` // port for the other processes, the same on all VMs
	MetricsPort    int        `json:"metrics_port"`                      // port for metrics, 0 for none
	Seeds          []string   `json:"seeds" required:"true" min:"1"`     // control addresses of some members
	FirstStart     bool       `json:"first_start"`                       // the whole deployment starts for the first time, with the seeds as members of the job group
	FaultTolerance int        `json:"losses"`                            // number of members that may be lost at the same time
	DataDir        string     `json:"data_dir"`                          // data directory of a member
	Listen         SiteListen `json:"listen"`
	AdviceAPI      string     `json:"advice_api"` // address of the service that advises which workers may run a step
	VMAPI          string     `json:"vm_api"`     // address of the service that maintains VMs
	MemoryMB       int        `json:"memory_mb"`  // memory limit of the process in MiB, 0 for none
	Limits         SiteLimits `json:"limits"`
	Bounds         SiteBounds `json:"bounds"`
	LogLevel       string     `json:"log_level"` // trace, debug, info, warn or error; default info
}

// SiteListen holds the IP:port addresses on which a process listens; those that do not
// apply to it are empty.
type SiteListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Control string `json:"control"`
	Peers   string `json:"peers"` // where other processes connect, if it is not the IP and peer port of this process
}

// SiteLimits bound what clients can make a process hold. Fields that are 0 follow from MemoryMB.
type SiteLimits struct {
	Connections int `json:"connections"` // open connections of one listener for callers, workers or operators
	BodyKB      int `json:"body_kb"`     // KiB of request bodies that are being received or handled
}

// SiteBounds are limits that the deployment sets.
type SiteBounds struct {
	MaxLeaseMS          float64 `json:"max_lease_ms" required:"true"` // longest lease that a worker grants
	StopTimeMS          float64 `json:"stop_ms"`                      // longest time that a stop may take
	GangWaitMS          float64 `json:"gang_wait_ms"`                 // longest time that a member of a gang waits for the others
	StatusRetentionS    float64 `json:"status_s"`                     // time for which the phase of a final job can be read
	RemoteDataFactor    float64 `json:"far_factor"`                   // run time of a task away from its data, as a multiple of the time near it
	CheckpointIntervalS float64 `json:"checkpoint_s"`                 // time between two checkpoints of a task
	MinAvailableMS      float64 `json:"notice_ms"`                    // time for which a service task must have been running to count as available
	MaintenanceS        float64 `json:"maintenance_s"`                // time for which a VM is down for maintenance
	ShutdownS           float64 `json:"shutdown_s"`                   // time from the stop signal until the process is killed
	RepairTimeS         float64 `json:"repair_time_s"`                // time from the start of a replacement member until another member may be lost; 0 for a default
	MaxStaleMS          float64 `json:"max_stale_ms"`                 // longest time for which a process may still answer under an older configuration after it has answered under a newer one
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

// ParseSite decodes and checks settings. Its error is a strictjson.Faults that lists every fault.
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
	if s.Limits.Connections < 0 {
		c.addf("limits.connections", "must not be negative")
	}
	if s.Limits.BodyKB < 0 {
		c.addf("limits.body_kb", "must not be negative")
	}
	if s.Bounds.RepairTimeS < 0 {
		c.addf("bounds.repair_time_s", "must not be negative")
	}
	if s.Bounds.MaxLeaseMS <= 0 {
		c.addf("bounds.max_lease_ms", "must be positive")
	}
}

// PeerAddress returns the address (IP:port) at which other processes reach this one.
func (s *Site) PeerAddress() string { return s.PeerAddressOf(s.IP) }

// SeedPeerAddresses returns the peer addresses of the seeds. All processes have the
// same peer port.
func (s *Site) SeedPeerAddresses() []string {
	var out []string
	for _, host := range s.SeedHosts() {
		out = append(out, s.PeerAddressOf(host))
	}
	return out
}

// SeedHosts returns the IP addresses of the seeds, which are also their names as
// members of the group.
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

// maxStaleShare is the share of SiteBounds.MaxStaleMS that is used as the time-out of queue
// lookups.
const maxStaleShare = 0.8

// MaxStale returns the time-out of queue lookups, whose answers depend on the configuration;
// 0 means no limit.
func (s *Site) MaxStale() time.Duration {
	return time.Duration(maxStaleShare * s.Bounds.MaxStaleMS * float64(time.Millisecond))
}

// RepairTime returns the time in which a lost member has to be replaced; 0 for a default.
func (s *Site) RepairTime() time.Duration {
	return time.Duration(s.Bounds.RepairTimeS * float64(time.Second))
}

// JobBounds returns the bounds for the leader of the job group.
func (s *Site) JobBounds() jobs.Bounds {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	b := s.Bounds
	return jobs.Bounds{
		MaxLease: ms(b.MaxLeaseMS), StopTime: ms(b.StopTimeMS), GangWait: ms(b.GangWaitMS), StatusRetention: ms(b.StatusRetentionS * 1000),
		RemoteDataFactor: b.RemoteDataFactor, CheckpointInterval: ms(b.CheckpointIntervalS * 1000), MinAvailableTime: ms(b.MinAvailableMS), MaintenanceTime: ms(b.MaintenanceS * 1000),
	}
}
