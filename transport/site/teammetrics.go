package site

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/state/resource"
)

// maxTeamLabels bounds the number of teams that have their own time series.
const maxTeamLabels = 400

// teamMetrics collects what the leader reports about teams. Only the control goroutine uses it.
type teamMetrics struct {
	used, limit *prometheus.GaugeVec
	weight      *prometheus.GaugeVec
	waiting     *prometheus.GaugeVec
	decisions   *prometheus.CounterVec
}

func newTeamMetrics() *teamMetrics {
	gauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: namespace + name, Help: help}, labels)
	}
	return &teamMetrics{
		used:      gauge("team_used", "Capacity that the running tasks of a team reserve, by resource, at the leader.", "team", "resource"),
		limit:     gauge("team_limit", "Limit of a team, by resource; 0 is no limit.", "team", "resource"),
		weight:    gauge("team_weight", "Weight of a team.", "team"),
		waiting:   gauge("team_waiting_steps", "Steps of a team with tasks that wait.", "team"),
		decisions: counter("team_decisions_total", "Decisions about a team: jobs accepted, of them borrowed, refused; runs preempted.", "team", "decision"),
	}
}

func (m *teamMetrics) register(r *prometheus.Registry) {
	r.MustRegister(m.used, m.limit, m.weight, m.waiting, m.decisions)
}

// observe replaces the gauges, so that teams that are not in force any more disappear.
func (m *teamMetrics) observe(report *jobs.TeamReport) {
	for _, v := range []*prometheus.GaugeVec{m.used, m.limit, m.weight, m.waiting} {
		v.Reset()
	}
	for i := range report.Teams[:min(len(report.Teams), maxTeamLabels)] {
		t := &report.Teams[i]
		setAmount(m.used, t.Team, t.Usage)
		setAmount(m.limit, t.Team, t.Limit)
		m.weight.WithLabelValues(t.Team).Set(t.Weight)
		m.waiting.WithLabelValues(t.Team).Set(float64(t.WaitingSteps))
		for decision, n := range map[string]int{"accepted": t.Accepted, "borrowed": t.Borrowed, "refused": t.Refused, "preempted": t.Preempted} {
			m.decisions.WithLabelValues(t.Team, decision).Add(float64(n))
		}
	}
}

func setAmount(v *prometheus.GaugeVec, team string, a resource.Amount) {
	v.WithLabelValues(team, "cores").Set(float64(a.MilliCores) / 1000)
	v.WithLabelValues(team, "memory_mb").Set(float64(a.MemoryMB))
	v.WithLabelValues(team, "accelerators").Set(float64(a.Accelerators))
}
