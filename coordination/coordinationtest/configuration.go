package coordinationtest

import "github.com/primrosereach/primrosereach/state"

// teams lists the teams of the configuration.
var teams = []string{"claims", "mail"}

// configuration returns the configuration that histories apply. Each serial number
// gives a different configuration.
func configuration(serial int) state.Configuration {
	kinds := map[string]state.KindConfig{
		"review":    {Class: state.ClassUrgent, PerTask: state.Resources{Slots: 1}, EstimateMS: 300},
		"lookup":    {Class: state.ClassInteractive, Repeatable: true, PerTask: state.Resources{Slots: 1}, EstimateMS: 100, Retries: 2},
		"check":     {Class: state.ClassDeferrable, Repeatable: true, PerTask: state.Resources{Slots: 1}, EstimateMS: 500, Retries: 2, MaxWaitMS: 30_000},
		"statement": {Class: state.ClassBatch, Repeatable: true, PerTask: state.Resources{MilliCores: 2000, MemoryMB: 1000}, EstimateMS: 2000, Retries: 2, MaxTasks: 4},
		"notice":    {Class: state.ClassBatch, PerTask: state.Resources{MilliCores: 1000, MemoryMB: 500}, EstimateMS: 1000},
		"gang":      {Class: state.ClassGang, Repeatable: true, PerTask: state.Resources{MilliCores: 2000, MemoryMB: 1000}, EstimateMS: 2000, Retries: 2, MaxTasks: 4},
	}
	c := state.Configuration{Teams: map[string]state.TeamConfig{}}
	for _, t := range teams {
		c.Teams[t] = state.TeamConfig{Quota: state.Resources{Slots: 300 + serial, MilliCores: 300_000, MemoryMB: 300_000}, Kinds: kinds}
	}
	return c
}

// kindNames lists the kinds in a fixed order, so that a random choice depends only on
// the seed.
var kindNames = []string{"review", "lookup", "check", "statement", "notice", "gang"}
