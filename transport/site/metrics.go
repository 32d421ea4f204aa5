package site

import (
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/jobs"
)

const namespace = "primrosereach_"

// maxQueueLabels bounds the number of queues that have their own time series. Operators
// may configure hundreds of queues; further ones share the label "other".
const maxQueueLabels = 50

// secondsBuckets spans durations from the placement of a short task to the run of a long
// job, in seconds.
var secondsBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 300, 1800}

// metrics collects the measurements of a process.
type metrics struct {
	registry *prometheus.Registry

	calls       *prometheus.CounterVec
	callTime    *prometheus.HistogramVec
	orders      *prometheus.CounterVec
	decisions   *prometheus.CounterVec
	wait, total *prometheus.HistogramVec
	step        prometheus.Histogram
	queued      prometheus.Histogram
	peerCalls   *prometheus.CounterVec
	rejected    *prometheus.CounterVec
	refused     *prometheus.CounterVec
	group       *prometheus.GaugeVec
	teams       *teamMetrics
	queues      map[string]bool // queues that have their own time series
}

func newMetrics(ready func() bool) *metrics {
	m := &metrics{
		registry:  prometheus.NewRegistry(),
		calls:     counter("calls_total", "Calls performed at the leader, by operation and outcome.", "operation", "code"),
		callTime:  histogram("call_seconds", "Time that a call to the leader takes, attempts included.", "operation"),
		orders:    counter("orders_total", "Orders to workers and calls for advice, by result.", "order", "result"),
		decisions: counter("decisions_total", "Decisions of the leader that were logged.", "step"),
		wait:      histogram("step_wait_seconds", "Time from a step's readiness to the assignment of tasks.", "queue"),
		total:     histogram("job_seconds", "Time from acceptance to the final phase.", "queue", "phase"),
		step: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: namespace + "control_step_seconds", Help: "Time that the control goroutine takes for one event.", Buckets: []float64{1e-4, 1e-3, 5e-3, .01, .05, .1, .5},
		}),
		queued: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: namespace + "control_queue_seconds", Help: "Time that an event is queued before the control goroutine handles it.", Buckets: []float64{1e-3, 5e-3, .01, .025, .05, .1, .25, .5, 1, 2.5},
		}),
		peerCalls: counter("peer_calls_total", "Calls to other processes, by operation; deliver carries replication messages, relayed orders and their results.", "operation"),
		rejected:  counter("rejected_messages_total", "Messages from outside that were invalid and had no effect, by kind.", "kind"),
		refused:   counter("refused_clients_total", "Connections and requests of clients that were refused or closed to bound what they hold, by listener and reason.", "reason"),
		group: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: namespace + "group_members", Help: "Members of the group, by what they are to this process: voters as far as it knows; responsive voters and learners if it leads; leaders known to it.",
		}, []string{"group", "kind"}),
		queues: map[string]bool{},
		teams:  newTeamMetrics(),
	}
	m.teams.register(m.registry)
	m.registry.MustRegister(m.calls, m.callTime, m.orders, m.decisions, m.wait, m.total, m.step, m.queued, m.peerCalls, m.rejected, m.refused, m.group, collectors.NewGoCollector(),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: namespace + "ready", Help: "1 if the process serves callers."}, func() float64 {
			if ready() {
				return 1
			}
			return 0
		}))
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: namespace + name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: namespace + name, Help: help, Buckets: secondsBuckets}, labels)
}

// handler serves the metrics and, for the analysis of high load, the profiles of the
// process.
func (m *metrics) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}

// observeCall counts a call to the leader.
func (m *metrics) observeCall(operation string, code jobs.Code, took time.Duration) {
	m.calls.WithLabelValues(operation, string(code)).Inc()
	m.callTime.WithLabelValues(operation).Observe(took.Seconds())
}

// observeGroup records what the process knows about the members of its group.
func (m *metrics) observeGroup(e coordination.GroupChanged) {
	leaders := 0
	if e.Leader != "" {
		leaders = 1
	}
	for kind, count := range map[string]int{"voter": e.Contacts.Voters, "responsive": e.Contacts.Responsive, "learner": e.Contacts.Learners, "leader": leaders} {
		m.group.WithLabelValues(e.Group, kind).Set(float64(count))
	}
}

// observeMeasurement records a measurement of the leader. Only the control goroutine may
// call it.
func (m *metrics) observeMeasurement(e jobs.Measure) {
	queue := e.Queue
	if !m.queues[queue] {
		if len(m.queues) >= maxQueueLabels {
			queue = "other"
		} else {
			m.queues[queue] = true
		}
	}
	switch e.Metric {
	case jobs.MetricWait:
		m.wait.WithLabelValues(queue).Observe(e.Value.Seconds())
	case jobs.MetricTotal:
		m.total.WithLabelValues(queue, string(e.Phase)).Observe(e.Value.Seconds())
	}
}

// observeOrder counts the result of an order.
func (m *metrics) observeOrder(ev jobs.Event) {
	switch e := ev.(type) {
	case jobs.StartAnswered:
		m.orders.WithLabelValues("start", e.Result.String()).Inc()
	case jobs.StopAnswered:
		m.orders.WithLabelValues("stop", e.Result.String()).Inc()
	case jobs.PaceAnswered:
		m.orders.WithLabelValues("pace", e.Result.String()).Inc()
	case jobs.Observed:
		m.orders.WithLabelValues("observe", e.Result.String()).Inc()
	case jobs.MaintenanceAnswered:
		m.orders.WithLabelValues("service VM", e.Result.String()).Inc()
	case jobs.AdviceAnswered:
		result := "done"
		if e.Err != nil {
			result = "failed"
		}
		m.orders.WithLabelValues("advice", result).Inc()
	}
}
