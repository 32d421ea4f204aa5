package protocol

import (
	"fmt"
	"slices"

	"github.com/primrosereach/primrosereach/state"
)

// Check rejects a configuration with values that the scheduler cannot apply. It
// returns the first fault with the path of its field, or nil.
func (c *ConfigureRequest) Check() *Error {
	if c.ChangeID == "" {
		return invalid("change_id: missing; a resend must carry the same one")
	}
	for _, team := range sortedKeys(c.Configuration.Teams) {
		t := c.Configuration.Teams[team]
		if team == "" {
			return invalid("configuration.teams: a team needs a name")
		}
		if t.Quota.IsNegative() {
			return invalid("configuration.teams.%s.quota: must not be negative", team)
		}
		for _, kind := range sortedKeys(t.Kinds) {
			k := t.Kinds[kind]
			if m := checkKind(&k); m != "" {
				return invalid("configuration.teams.%s.kinds.%s.%s", team, kind, m)
			}
		}
	}
	return nil
}

// checkKind returns the first fault of a kind, beginning with the name of the field, or ""
// if there is none.
func checkKind(k *state.KindConfig) string {
	switch {
	case !k.Class.Valid():
		return fmt.Sprintf("class: %q is not one of %v", k.Class, state.Classes)
	case k.PerTask.IsNegative() || k.PerTask == state.Resources{}:
		return "per_task: must be positive"
	case k.Class.UsesSlots() && k.PerTask != state.Resources{Slots: k.PerTask.Slots}:
		return fmt.Sprintf("per_task: class %s runs in slots only", k.Class)
	case !k.Class.UsesSlots() && k.PerTask.Slots != 0:
		return fmt.Sprintf("per_task.slots: class %s runs on workers and uses no slots", k.Class)
	case k.EstimateMS < 0 || k.DeadlineMS < 0 || k.MaxWaitMS < 0 || k.Retries < 0 || k.MaxTasks < 0 || k.MaxPerSecond < 0:
		return "estimate_ms, deadline_ms, max_wait_ms, retries, max_tasks and max_per_second must not be negative"
	case k.DeadlineMS > 0 && k.EstimateMS > k.DeadlineMS:
		return fmt.Sprintf("deadline_ms: %d is shorter than the run time of %d", k.DeadlineMS, k.EstimateMS)
	case !k.Repeatable && k.Retries > 0:
		return "retries: work that is not repeatable is never tried again"
	}
	return ""
}

func invalid(format string, args ...any) *Error {
	return &Error{Code: CodeInvalid, Message: fmt.Sprintf(format, args...)}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
