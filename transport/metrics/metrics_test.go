package metrics

import (
	"context"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/transport/metrics/metricstest"
)

// fixedStatus is a Loop that answers every call with the same status.
type fixedStatus coordination.Status

func (f *fixedStatus) Call(context.Context, func(coordination.Token) coordination.Event) (coordination.Answer, bool) {
	return coordination.Answer{Status: (*coordination.Status)(f)}, true
}

// newExample returns metrics with sample values.
func newExample() *Metrics {
	status := &fixedStatus{
		Ready: true, Configuration: 3, CellVersion: 4, Uptime: time.Minute,
		Groups: []coordination.GroupStatus{
			{Group: "domain-north", Leads: true, Open: map[state.Class]coordination.OpenCount{state.ClassUrgent: {Queued: 2, Assigned: 1, OldestMS: 1}},
				Endpoints: []*state.Endpoint{{Status: state.EndpointReady, Capacity: state.Resources{MilliCores: 64_000, MemoryMB: 2}}},
				Replication: replication.Status{Leader: "a", Durability: replication.DurabilityDisk, Members: []replication.MemberStatus{
					{Voter: true, Contacted: true, LastContact: time.Minute}, {Voter: true, Contacted: true, LastContact: time.Second}, {Contacted: true, LastContact: time.Minute},
				}}},
			{Group: "domain-south", Endpoints: []*state.Endpoint{{Status: state.EndpointReady}}},
		},
	}
	m := New(Config{Loop: status, Limits: []Limit{{Name: "connections", Used: func() int { return 5 }, Max: 8}}, FreeBytes: func() (uint64, error) { return 7, nil }})
	for _, metric := range []coordination.Metric{coordination.MetricWait, coordination.MetricTotal, coordination.MetricAccepted, coordination.MetricRefused, coordination.MetricLate} {
		m.Observe(coordination.Measure{Metric: metric, Class: state.ClassUrgent, Outcome: state.OutcomeDone, MS: 300})
	}
	m.ObserveAnswer("PUT /v1/requests/{id}", 202)
	m.ObserveStep(time.Millisecond)
	return m
}

// Guards against changed metric names and units, to which alarms and dashboards refer.
func TestMetrics(t *testing.T) {
	rec := httptest.NewRecorder()
	newExample().Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	text := rec.Body.String()
	for _, want := range []string{
		`request_wait_seconds_bucket{class="urgent",le="0.5"} 1`, `request_duration_seconds_count{class="urgent",outcome="done"} 1`,
		`requests_accepted_total{class="urgent"} 1`, `requests_refused_total{class="urgent"} 1`, `requests_late_total{class="urgent"} 1`,
		`http_answers_total{route="PUT /v1/requests/{id}",status="202"} 1`, `control_step_seconds_count 1`,
		`limit_used{limit="connections"} 5`, `limit_max{limit="connections"} 8`, `data_directory_free_bytes 7`,
		`group_voters{group="domain-north"} 2`, `group_voters_in_contact{group="domain-north"} 1`, `group_durable{group="domain-north"} 1`,
		`group_has_leader{group="domain-south"} 0`, `tasks_open{class="urgent",group="domain-north",status="queued"} 2`,
		`capacity_cores{group="domain-north"} 64`, `capacity_memory_bytes{group="domain-north"} 2.097152e+06`,
		`cell_configuration_version 4`, `oldest_waiting_seconds{class="urgent",group="domain-north"}`,
	} {
		if !strings.Contains(text, "\n"+namespace+want) {
			t.Errorf("no %s", want)
		}
	}
	if strings.Contains(text, `endpoints{group="domain-south"`) {
		t.Error("a follower reports endpoints: sums over all processes would count them more than once")
	}
}

// jobSection is the heading of the section of docs/OPERATIONS.md about member and gateway
// processes, whose metrics are tested in transport/site. nextSection is the start of the
// next heading.
const (
	jobSection  = "## Jobs on the users' platform"
	nextSection = "\n## "
)

// Guards against an operations page that names metrics which the process does not serve:
// an alarm on such a name never fires.
func TestDocumentedNamesExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	before, section, found := strings.Cut(string(page), jobSection)
	_, after, ends := strings.Cut(section, nextSection)
	if !found || !ends {
		t.Fatalf("the page has no section %q with another one after it", jobSection)
	}
	metricstest.CheckDocumented(t, before+after, newExample().Handler(), 20)
}

// Guards against metric names that break the Prometheus conventions and so make wrong
// queries likely.
func TestNamesFollowTheConventions(t *testing.T) {
	metricstest.CheckConventions(t, newExample().registry, namespace)
}
