package daemon

import "github.com/primrosereach/primrosereach/coordination/scheduling"

// newScheduler returns the scheduler of a new leader.
func newScheduler() scheduling.Scheduler { return scheduling.New(scheduling.Options{}) }
