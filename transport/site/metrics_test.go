package site

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/transport/metrics/metricstest"
)

// example returns metrics with one sample of each family.
func example() *metrics {
	m := newMetrics(func() bool { return true })
	m.observeCall("submit job", jobs.CodeUnavailable, time.Millisecond)
	m.observeOrder(jobs.Observed{Result: jobs.OrderDone})
	m.decisions.WithLabelValues("adopt").Inc()
	m.observeMeasurement(jobs.Measure{Metric: jobs.MetricWait, Queue: "q", Value: time.Millisecond})
	m.observeMeasurement(jobs.Measure{Metric: jobs.MetricTotal, Queue: "q", Phase: job.Failed, Value: time.Second})
	m.step.Observe(0.001)
	m.queued.Observe(0.001)
	m.peerCalls.WithLabelValues("deliver").Inc()
	m.rejected.WithLabelValues("heartbeat").Inc()
	m.refused.WithLabelValues("callers: stalled").Inc()
	m.teams.observe(&jobs.TeamReport{Teams: []jobs.TeamUsage{{Team: "a", Weight: 1}}})
	m.observeGroup(coordination.GroupChanged{Group: "jobs", Leader: "a"})
	return m
}

// Guards against an operations page that names metrics which the process does not serve.
func TestDocumentedNamesExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "## Jobs on the users' platform")
	section, _, _ = strings.Cut(section, "\n## ")
	metricstest.CheckDocumented(t, section, example().handler(), 5)
}

// Guards against metric names that break the Prometheus conventions and so make wrong
// queries likely.
func TestNamesFollowTheConventions(t *testing.T) {
	metricstest.CheckConventions(t, example().registry, namespace)
}

// Guards against an unbounded number of time series: operators may configure hundreds of
// queues.
func TestQueuesShareALabelBeyondTheBound(t *testing.T) {
	m := newMetrics(func() bool { return true })
	for i := range 3 * maxQueueLabels {
		m.observeMeasurement(jobs.Measure{Metric: jobs.MetricWait, Queue: strings.Repeat("q", i+1)})
	}
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == namespace+"step_wait_seconds" && len(f.GetMetric()) != maxQueueLabels+1 {
			t.Errorf("%d series", len(f.GetMetric()))
		}
	}
}
