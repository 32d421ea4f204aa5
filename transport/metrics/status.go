package metrics

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
)

const (
	// scrapeTimeout bounds how long a scrape waits for the control goroutine.
	scrapeTimeout = 2 * time.Second
	// recentContact is the time since the last contact from which a voter no longer
	// counts as in contact with the leader. Heartbeats are sent every 100 ms, and a leader
	// tolerates 400 ms without an answer.
	recentContact = 2 * time.Second
)

// Loop sends events to the control goroutine.
type Loop interface {
	Call(ctx context.Context, build func(coordination.Token) coordination.Event) (coordination.Answer, bool)
}

// statusCollector reads the status of the process at each scrape. Only the leader of a
// domain exposes the domain's state, so that sums over all processes are correct.
type statusCollector struct {
	loop Loop

	ready, storageFailed, config, cellConfig, contact *prometheus.Desc

	leads, hasLeader, voters, voterContacts, durable, committed *prometheus.Desc

	open, oldest, endpoints *prometheus.Desc
	resources               []resource
}

// resource describes the two metrics for one kind of endpoint resource, such as cores.
type resource struct {
	reserved, capacity *prometheus.Desc
	amount             func(state.Resources) float64 // returns the amount in the unit of the metrics
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(namespace+name, help, labels, nil)
}

func newStatusCollector(loop Loop) *statusCollector {
	return &statusCollector{
		loop:          loop,
		ready:         desc("ready", "1 if callers may be sent to this process."),
		storageFailed: desc("storage_failed", "1 if the data directory could not be written."),
		config:        desc("configuration_version", "Configuration version in force in the process's domain."),
		cellConfig:    desc("cell_configuration_version", "Newest configuration version known to the process."),
		contact:       desc("cell_contact_age_seconds", "Time since the cell group last had a leader known to the process."),
		leads:         desc("leader", "1 if this process leads the group.", "group"),
		hasLeader:     desc("group_has_leader", "1 if the process knows a leader of the group.", "group"),
		voters:        desc("group_voters", "Voters of the group, from its leader.", "group"),
		voterContacts: desc("group_voters_in_contact", "Voters that have answered the leader recently, itself included.", "group"),
		durable:       desc("group_durable", "1 if a voter of the group has a disk.", "group"),
		committed:     desc("log_committed_index", "Index of the last committed entry.", "group"),
		open:          desc("tasks_open", "Open tasks, from the leader.", "group", "class", "status"),
		oldest:        desc("oldest_waiting_seconds", "Age of the request that has waited longest, from the leader.", "group", "class"),
		endpoints:     desc("endpoints", "Endpoints by status, from the leader.", "group", "status"),
		resources: []resource{
			newResource("slots", "runner slots", func(r state.Resources) float64 { return float64(r.Slots) }),
			newResource("cores", "cores", func(r state.Resources) float64 { return float64(r.MilliCores) / 1000 }),
			newResource("memory_bytes", "memory in bytes", func(r state.Resources) float64 { return float64(r.MemoryMB) * (1 << 20) }),
			newResource("accelerators", "accelerators", func(r state.Resources) float64 { return float64(r.Accelerators) }),
		},
	}
}

func newResource(name, what string, amount func(state.Resources) float64) resource {
	return resource{
		reserved: desc("reserved_"+name, "Reserved "+what+" of ready endpoints, from the leader.", "group"),
		capacity: desc("capacity_"+name, "Announced "+what+" of ready endpoints, from the leader.", "group"),
		amount:   amount,
	}
}

// Describe implements prometheus.Collector.
func (s *statusCollector) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		s.ready, s.storageFailed, s.config, s.cellConfig, s.contact,
		s.leads, s.hasLeader, s.voters, s.voterContacts, s.durable, s.committed, s.open, s.oldest, s.endpoints,
	} {
		c <- d
	}
	for _, r := range s.resources {
		c <- r.reserved
		c <- r.capacity
	}
}

type gaugeFunc func(d *prometheus.Desc, v float64, labels ...string)

func gaugesTo(c chan<- prometheus.Metric) gaugeFunc {
	return func(d *prometheus.Desc, v float64, labels ...string) {
		c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
}

// Collect implements prometheus.Collector.
func (s *statusCollector) Collect(c chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	a, ok := s.loop.Call(ctx, func(t coordination.Token) coordination.Event { return coordination.ReadStatus{Token: t} })
	if !ok || a.Status == nil {
		return
	}
	gauge := gaugesTo(c)
	gauge(s.ready, boolToFloat(a.Status.Ready))
	gauge(s.storageFailed, boolToFloat(a.Status.StorageError != ""))
	gauge(s.config, float64(a.Status.Configuration))
	gauge(s.cellConfig, float64(a.Status.CellVersion))
	gauge(s.contact, a.Status.CellContactAge.Seconds())
	for i := range a.Status.Groups {
		g := &a.Status.Groups[i]
		s.group(g, gauge)
		if g.Leads {
			s.members(g, a.Status.Uptime, gauge)
			s.tasks(g, gauge)
			s.capacity(g, gauge)
		}
	}
}

func (s *statusCollector) group(g *coordination.GroupStatus, gauge gaugeFunc) {
	gauge(s.leads, boolToFloat(g.Leads), g.Group)
	gauge(s.hasLeader, boolToFloat(g.Replication.Leader != ""), g.Group)
	gauge(s.durable, boolToFloat(g.Replication.Durability == replication.DurabilityDisk), g.Group)
	gauge(s.committed, float64(g.Replication.Commit), g.Group)
}

// members exposes the number of voters of a group and how many of them are in contact with
// the leader. now is the uptime of the process, to which LastContact refers.
func (s *statusCollector) members(g *coordination.GroupStatus, now time.Duration, gauge gaugeFunc) {
	voters, contacts := 0, 0
	for _, m := range g.Replication.Members {
		if !m.Voter {
			continue
		}
		voters++
		if m.Contacted && now-m.LastContact < recentContact {
			contacts++
		}
	}
	gauge(s.voters, float64(voters), g.Group)
	gauge(s.voterContacts, float64(contacts), g.Group)
}

func (s *statusCollector) tasks(g *coordination.GroupStatus, gauge gaugeFunc) {
	for class, n := range g.Open {
		gauge(s.open, float64(n.Queued), g.Group, string(class), "queued")
		gauge(s.open, float64(n.Assigned), g.Group, string(class), "assigned")
		if n.OldestMS > 0 {
			gauge(s.oldest, max(0, time.Since(time.UnixMilli(n.OldestMS)).Seconds()), g.Group, string(class))
		}
	}
}

func (s *statusCollector) capacity(g *coordination.GroupStatus, gauge gaugeFunc) {
	status := map[state.EndpointStatus]int{}
	var reserved, capacity state.Resources
	for _, e := range g.Endpoints {
		status[e.Status]++
		if e.Status == state.EndpointReady {
			reserved, capacity = reserved.Add(e.Reserved), capacity.Add(e.Capacity)
		}
	}
	for st, n := range status {
		gauge(s.endpoints, float64(n), g.Group, string(st))
	}
	if len(g.Endpoints) == 0 {
		return
	}
	for _, r := range s.resources {
		gauge(r.reserved, r.amount(reserved), g.Group)
		gauge(r.capacity, r.amount(capacity), g.Group)
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
