package daemon

import (
	"github.com/primrosereach/primrosereach/coordination/health"
	"github.com/primrosereach/primrosereach/coordination/policy"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/transport/random"
)

// newScheduler returns the scheduler of a new leader.
func newScheduler(t *health.Tracker, history []scheduling.Observation) scheduling.Scheduler {
	return scheduling.New(policy.Options(t, random.Source{}, history))
}
