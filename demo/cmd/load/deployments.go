package main

import "github.com/primrosereach/primrosereach/state"

// kind is one sort of request that the demonstration submits.
type kind struct {
	team, name string
	tasks      int
	runMS      int64
}

type deployment struct {
	configuration state.Configuration
	kinds         []kind
}

var (
	slot = state.Resources{Slots: 1}
	core = state.Resources{MilliCores: 4000, MemoryMB: 8 << 10}
	all  = state.Resources{Slots: 1000, MilliCores: 10_000_000, MemoryMB: 40 << 20, Accelerators: 100}
)

var deployments = map[string]deployment{
	"claims": {
		configuration: state.Configuration{Teams: map[string]state.TeamConfig{
			"clerks": {Quota: all, Kinds: map[string]state.KindConfig{
				"eligibility-review": {Class: state.ClassUrgent, PerTask: slot, EstimateMS: 300, DeadlineMS: 600_000},
				"document-check":     {Class: state.ClassDeferrable, Repeatable: true, PerTask: slot, EstimateMS: 400, MaxWaitMS: 600_000, Retries: 3},
				"status-lookup":      {Class: state.ClassInteractive, Repeatable: true, PerTask: slot, EstimateMS: 20, DeadlineMS: 60_000, Retries: 3},
				"archive":            {Class: state.ClassService, Repeatable: true, PerTask: core},
			}},
		}},
		kinds: []kind{
			{team: "clerks", name: "eligibility-review", runMS: 300},
			{team: "clerks", name: "document-check", runMS: 400},
			{team: "clerks", name: "status-lookup", runMS: 20},
			{team: "clerks", name: "archive", runMS: 2000},
		},
	},
	"mail": {
		configuration: state.Configuration{Teams: map[string]state.TeamConfig{
			"member-a": {Quota: all, Kinds: map[string]state.KindConfig{
				"statement-run": {Class: state.ClassBatch, PerTask: core, EstimateMS: 800, DeadlineMS: 600_000},
				"proof-preview": {Class: state.ClassInteractive, Repeatable: true, PerTask: slot, EstimateMS: 50, DeadlineMS: 60_000, Retries: 3},
			}},
			"member-b": {Quota: all, Kinds: map[string]state.KindConfig{
				"notice-batch": {Class: state.ClassBatch, PerTask: core, EstimateMS: 600, DeadlineMS: 600_000},
				"merge":        {Class: state.ClassGang, Repeatable: true, PerTask: core, EstimateMS: 500, MaxTasks: 8, Retries: 3},
			}},
		}},
		kinds: []kind{
			{team: "member-a", name: "statement-run", runMS: 800},
			{team: "member-a", name: "proof-preview", runMS: 50},
			{team: "member-b", name: "notice-batch", runMS: 600},
			{team: "member-b", name: "merge", tasks: 4, runMS: 500},
		},
	},
}
