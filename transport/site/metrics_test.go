package site

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/transport/metrics/metricstest"
)

// example returns metrics with a sample of each.
func example() *metrics {
	m := newMetrics(func() bool { return true })
	m.called("submit job", jobs.CodeUnavailable, time.Millisecond)
	m.ordered(jobs.Observed{Result: jobs.OrderDone})
	m.decisions.WithLabelValues("adopt").Inc()
	m.measured(jobs.Measure{Metric: jobs.MetricWait, Queue: "q", Value: time.Millisecond})
	m.measured(jobs.Measure{Metric: jobs.MetricTotal, Queue: "q", Phase: job.Failed, Value: time.Second})
	m.step.Observe(0.001)
	return m
}

// An on-call engineer who follows the page must find each name on the metrics address.
func TestDocumentedNamesExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "## Jobs on the users' platform")
	section, _, _ = strings.Cut(section, "\n## ")
	metricstest.CheckDocumented(t, section, example().handler(), 5)
}

// Guards against names that make wrong queries likely.
func TestNamesFollowTheConventions(t *testing.T) {
	metricstest.CheckConventions(t, example().registry, namespace)
}

// Guards against time series without bound: operators may configure hundreds of queues.
func TestQueuesShareALabelBeyondTheBound(t *testing.T) {
	m := newMetrics(func() bool { return true })
	for i := range 3 * maxQueueLabels {
		m.measured(jobs.Measure{Metric: jobs.MetricWait, Queue: strings.Repeat("q", i+1)})
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
