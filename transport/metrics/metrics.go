// Package metrics exposes the measures of a process to Prometheus.
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// scrapeTimeout bounds how long a scrape waits for the control goroutine.
const scrapeTimeout = 2 * time.Second

// Loop is the control goroutine as this package sees it.
type Loop interface {
	Call(ctx context.Context, build func(coordination.Token) coordination.Event) (coordination.Answer, bool)
}

// Metrics collects measurements and reads the status at each scrape. All label
// sets are bounded: classes, outcomes, states and hosted groups.
type Metrics struct {
	loop     Loop
	registry *prometheus.Registry
	wait     *prometheus.HistogramVec
	total    *prometheus.HistogramVec
	refused  prometheus.Counter

	open, endpoints, reserved, capacity *prometheus.Desc
	ready, leads, committed, config     *prometheus.Desc
	contact                             *prometheus.Desc
}

// secondsBuckets spans lookups of milliseconds and runs of hours.
var secondsBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1.1, 2.5, 5, 10, 30, 60, 300, 1800, 7200, 28800}

// New returns the metrics of a process.
func New(loop Loop) *Metrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("primrosereach_"+name, help, labels, nil)
	}
	m := &Metrics{
		loop: loop, registry: prometheus.NewRegistry(),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "primrosereach_request_wait_seconds", Help: "Time from acceptance to the assignment of a task.", Buckets: secondsBuckets,
		}, []string{"class"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "primrosereach_request_total_seconds", Help: "Time from acceptance to the final outcome.", Buckets: secondsBuckets,
		}, []string{"class", "outcome"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "primrosereach_requests_refused_total", Help: "Requests refused at admission.",
		}),
		open:      desc("tasks_open", "Open tasks in the groups that this process hosts.", "group", "class", "status"),
		endpoints: desc("endpoints", "Endpoints by status.", "group", "status"),
		reserved:  desc("reserved", "Reserved endpoint capacity.", "group", "resource"),
		capacity:  desc("capacity", "Announced endpoint capacity.", "group", "resource"),
		ready:     desc("ready", "1 if callers may be sent to this process."),
		leads:     desc("leader", "1 if this process leads the group.", "group"),
		committed: desc("log_committed_index", "Index of the last committed entry.", "group"),
		config:    desc("configuration_version", "Configuration version in force in the process's domain."),
		contact:   desc("cell_contact_age_seconds", "Time since the last contact to the cell group."),
	}
	m.registry.MustRegister(m, m.wait, m.total, m.refused, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Observe records one measurement.
func (m *Metrics) Observe(e coordination.Measure) {
	seconds := float64(e.MS) / 1000
	switch e.Metric {
	case coordination.MetricWait:
		m.wait.WithLabelValues(string(e.Class)).Observe(seconds)
	case coordination.MetricTotal:
		m.total.WithLabelValues(string(e.Class), string(e.Outcome)).Observe(seconds)
	case coordination.MetricRefused:
		m.refused.Inc()
	}
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.open, m.endpoints, m.reserved, m.capacity, m.ready, m.leads, m.committed, m.config, m.contact} {
		c <- d
	}
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(c chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	a, ok := m.loop.Call(ctx, func(t coordination.Token) coordination.Event { return coordination.ReadStatus{Token: t} })
	if !ok || a.Status == nil {
		return
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(m.ready, truth(a.Status.Ready))
	gauge(m.config, float64(a.Status.Configuration))
	gauge(m.contact, a.Status.CellContactAge.Seconds())
	for i := range a.Status.Groups {
		m.collectGroup(&a.Status.Groups[i], gauge)
	}
}

func (m *Metrics) collectGroup(g *coordination.GroupStatus, gauge func(*prometheus.Desc, float64, ...string)) {
	gauge(m.leads, truth(g.Leads), g.Group)
	gauge(m.committed, float64(g.Replication.Commit), g.Group)
	for class, n := range g.Open {
		gauge(m.open, float64(n.Queued), g.Group, string(class), "queued")
		gauge(m.open, float64(n.Assigned), g.Group, string(class), "assigned")
	}
	status := map[state.EndpointStatus]int{}
	var reserved, capacity state.Resources
	for _, e := range g.Endpoints {
		status[e.Status]++
		reserved, capacity = reserved.Add(e.Reserved), capacity.Add(e.Capacity)
	}
	for s, n := range status {
		gauge(m.endpoints, float64(n), g.Group, string(s))
	}
	for _, r := range []struct {
		name           string
		reserved, have int
	}{
		{"slots", reserved.Slots, capacity.Slots},
		{"milli_cores", reserved.MilliCores, capacity.MilliCores},
		{"memory_mb", reserved.MemoryMB, capacity.MemoryMB},
		{"accelerators", reserved.Accelerators, capacity.Accelerators},
	} {
		gauge(m.reserved, float64(r.reserved), g.Group, r.name)
		gauge(m.capacity, float64(r.have), g.Group, r.name)
	}
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
