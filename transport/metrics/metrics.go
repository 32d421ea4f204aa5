// Package metrics exposes the measurements of a process to Prometheus.
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/primrosereach/primrosereach/coordination"
)

const namespace = "primrosereach_"

// Limit is a bounded resource of this process.
type Limit struct {
	Name string // value of the label "limit"
	Used func() int
	Max  int
}

// Config is the input of New.
type Config struct {
	Loop   Loop
	Limits []Limit
	// FreeBytes returns the free space of the data directory; nil without one.
	FreeBytes func() (uint64, error)
}

// Metrics collects measurements and reads the status at each scrape. All label values are
// from bounded sets: classes, outcomes, states, routes and hosted groups.
type Metrics struct {
	registry *prometheus.Registry

	wait, duration          *prometheus.HistogramVec
	accepted, refused, late *prometheus.CounterVec
	answers                 *prometheus.CounterVec
	steps                   prometheus.Histogram
}

// secondsBuckets spans lookups of milliseconds and runs of hours, in seconds. 1.1 s is
// the target for urgent work.
var secondsBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1.1, 2.5, 5, 10, 30, 60, 300, 1800, 7200, 28800}

// stepBuckets spans steps from single events to the planning at peak load, in seconds.
var stepBuckets = []float64{1e-5, 1e-4, 1e-3, 5e-3, .01, .05, .1, .5}

// New returns the metrics of a process.
func New(cfg Config) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: namespace + "request_wait_seconds", Help: "Time from acceptance to the assignment of a task.", Buckets: secondsBuckets,
		}, []string{"class"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: namespace + "request_duration_seconds", Help: "Time from acceptance to the final outcome.", Buckets: secondsBuckets,
		}, []string{"class", "outcome"}),
		accepted: counter("requests_accepted_total", "Requests accepted.", "class"),
		refused:  counter("requests_refused_total", "Requests refused at admission.", "class"),
		late:     counter("requests_late_total", "Requests whose final outcome came after their deadline.", "class"),
		answers:  counter("http_answers_total", "Answers on the public address.", "route", "status"),
		steps: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: namespace + "control_step_seconds", Help: "Time that the control goroutine takes for one event.", Buckets: stepBuckets,
		}),
	}
	m.registry.MustRegister(
		m.wait, m.duration, m.accepted, m.refused, m.late, m.answers, m.steps,
		newStatusCollector(cfg.Loop), newLimitCollector(cfg.Limits, cfg.FreeBytes),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: namespace + name, Help: help}, labels)
}

// Handler returns an HTTP handler that serves the registered metrics to Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveAnswer counts one answer on the public address. route is a pattern of the API,
// "" for a call that matches none.
func (m *Metrics) ObserveAnswer(route string, status int) {
	m.answers.WithLabelValues(route, strconv.Itoa(status)).Inc()
}

// ObserveStep records the duration of one step of the control goroutine.
func (m *Metrics) ObserveStep(d time.Duration) { m.steps.Observe(d.Seconds()) }

// Observe updates the counter or histogram that belongs to e.Metric.
func (m *Metrics) Observe(e coordination.Measure) {
	seconds, class := float64(e.MS)/1000, string(e.Class)
	switch e.Metric {
	case coordination.MetricWait:
		m.wait.WithLabelValues(class).Observe(seconds)
	case coordination.MetricTotal:
		m.duration.WithLabelValues(class, string(e.Outcome)).Observe(seconds)
	case coordination.MetricAccepted:
		m.accepted.WithLabelValues(class).Inc()
	case coordination.MetricRefused:
		m.refused.WithLabelValues(class).Inc()
	case coordination.MetricLate:
		m.late.WithLabelValues(class).Inc()
	}
}
