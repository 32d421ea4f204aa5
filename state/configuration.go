package state

import (
	"maps"
	"slices"
)

// Configuration is the whole operator-visible configuration of a cell. It is
// generated from the teams' questionnaires and replaced as a unit.
type Configuration struct {
	Teams map[string]TeamConfig `json:"teams"`
}

// TeamConfig is the configuration of one team.
type TeamConfig struct {
	Quota Resources             `json:"quota"` // total for the cell
	Kinds map[string]KindConfig `json:"kinds"`
}

// KindConfig is the policy of one kind of request of a team.
type KindConfig struct {
	Class        Class     `json:"class"`
	Repeatable   bool      `json:"repeatable"`
	PerTask      Resources `json:"per_task"`                 // default size of a task
	EstimateMS   int64     `json:"estimate_ms,omitempty"`    // declared run time of a task
	DeadlineMS   int64     `json:"deadline_ms,omitempty"`    // time allowed from acceptance to completion, 0 for no deadline
	MaxWaitMS    int64     `json:"max_wait_ms,omitempty"`    // longest wait of deferrable work
	Retries      int       `json:"retries,omitempty"`        // attempts after the first failure
	MaxTasks     int       `json:"max_tasks,omitempty"`      // 0 means 1
	MaxPerSecond int       `json:"max_per_second,omitempty"` // expected peak in requests per second, which admission uses as a rate limit; 0 for no limit
}

// VersionedConfiguration is a configuration with its version number.
type VersionedConfiguration struct {
	Version       uint64        `json:"version"` // 0 is the empty configuration of a new cell
	Configuration Configuration `json:"configuration"`
}

// ConfigurationChange is the difference between two configurations.
type ConfigurationChange struct {
	Set    map[string]TeamConfig `json:"set,omitempty"`    // teams that are new or different
	Remove []string              `json:"remove,omitempty"` // teams, sorted
}

// ChangeBetween returns the change that turns configuration from into to.
func ChangeBetween(from, to Configuration) *ConfigurationChange {
	c := &ConfigurationChange{Set: map[string]TeamConfig{}}
	for name, t := range to.Teams {
		if old, ok := from.Teams[name]; !ok || !old.equal(t) {
			c.Set[name] = t
		}
	}
	for name := range from.Teams {
		if _, ok := to.Teams[name]; !ok {
			c.Remove = append(c.Remove, name)
		}
	}
	slices.Sort(c.Remove)
	return c
}

// With returns the configuration after a change. The receiver is not changed.
func (c Configuration) With(change *ConfigurationChange) Configuration {
	out := Configuration{Teams: maps.Clone(c.Teams)}
	if out.Teams == nil {
		out.Teams = map[string]TeamConfig{}
	}
	for name, t := range change.Set {
		out.Teams[name] = t
	}
	for _, name := range change.Remove {
		delete(out.Teams, name)
	}
	return out
}

func (t TeamConfig) equal(o TeamConfig) bool {
	return t.Quota == o.Quota && maps.Equal(t.Kinds, o.Kinds)
}

// AuditRecord describes one attempt to change the configuration, a request or an
// endpoint, and its result.
type AuditRecord struct {
	Index      uint64 `json:"index"` // index of the log entry
	AtMS       int64  `json:"at_ms"` // Unix milliseconds
	Actor      string `json:"actor"`
	Action     string `json:"action"`               // "configure", "cancel", or "endpoint" and its new status
	Target     string `json:"target,omitempty"`     // change ID, request ID or endpoint name
	From       uint64 `json:"from,omitempty"`       // configuration version before the change
	To         uint64 `json:"to,omitempty"`         // configuration version after the change
	Difference string `json:"difference,omitempty"` // changes to the configuration, as returned by the function Difference
	Result     string `json:"result"`               // "applied", or the reason for the refusal
}
