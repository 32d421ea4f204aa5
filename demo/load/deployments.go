package load

import "github.com/primrosereach/primrosereach/state"

// Kind is one kind of request that callers submit.
type Kind struct {
	Team, Name string
	Tasks      int   // 0 means 1
	RunMS      int64 // run time of a task at an endpoint of speed 1, in milliseconds
}

// Deployment is a configuration and the kinds of requests submitted under it.
type Deployment struct {
	Configuration state.Configuration
	Kinds         []Kind
}

// repeatable reports whether the configuration permits a kind to run more than once.
func (d *Deployment) repeatable(k Kind) bool {
	return d.Configuration.Teams[k.Team].Kinds[k.Name].Repeatable
}

var (
	oneSlot    = state.Resources{Slots: 1}
	fourCores  = state.Resources{MilliCores: 4000, MemoryMB: 8 << 10}
	ampleQuota = state.Resources{Slots: 1000, MilliCores: 10_000_000, MemoryMB: 40 << 20, Accelerators: 100}
)

// Deployments holds the two deployments of docs/design.md 1.2 with short run times.
var Deployments = map[string]Deployment{
	"claims": {
		Configuration: state.Configuration{Teams: map[string]state.TeamConfig{
			"clerks": {Quota: ampleQuota, Kinds: map[string]state.KindConfig{
				"eligibility-review": {Class: state.ClassUrgent, PerTask: oneSlot, EstimateMS: 300, DeadlineMS: 600_000},
				"document-check":     {Class: state.ClassDeferrable, Repeatable: true, PerTask: oneSlot, EstimateMS: 400, MaxWaitMS: 600_000, Retries: 3},
				"status-lookup":      {Class: state.ClassInteractive, Repeatable: true, PerTask: oneSlot, EstimateMS: 20, DeadlineMS: 60_000, Retries: 3},
				"archive":            {Class: state.ClassService, Repeatable: true, PerTask: fourCores},
			}},
		}},
		Kinds: []Kind{
			{Team: "clerks", Name: "eligibility-review", RunMS: 300},
			{Team: "clerks", Name: "document-check", RunMS: 400},
			{Team: "clerks", Name: "status-lookup", RunMS: 20},
			{Team: "clerks", Name: "archive", RunMS: 2000},
		},
	},
	"mail": {
		Configuration: state.Configuration{Teams: map[string]state.TeamConfig{
			"member-a": {Quota: ampleQuota, Kinds: map[string]state.KindConfig{
				"statement-run": {Class: state.ClassBatch, PerTask: fourCores, EstimateMS: 800, DeadlineMS: 600_000},
				"proof-preview": {Class: state.ClassInteractive, Repeatable: true, PerTask: oneSlot, EstimateMS: 50, DeadlineMS: 60_000, Retries: 3},
			}},
			"member-b": {Quota: ampleQuota, Kinds: map[string]state.KindConfig{
				"notice-batch": {Class: state.ClassBatch, PerTask: fourCores, EstimateMS: 600, DeadlineMS: 600_000},
				"merge":        {Class: state.ClassGang, Repeatable: true, PerTask: fourCores, EstimateMS: 500, MaxTasks: 8, Retries: 3},
			}},
		}},
		Kinds: []Kind{
			{Team: "member-a", Name: "statement-run", RunMS: 800},
			{Team: "member-a", Name: "proof-preview", RunMS: 50},
			{Team: "member-b", Name: "notice-batch", RunMS: 600},
			{Team: "member-b", Name: "merge", Tasks: 4, RunMS: 500},
		},
	},
}
