package state

import (
	"fmt"
	"sort"
	"strings"
)

// ConfigureResult is the answer to a configuration change. The last MaxChangeResults
// answers are kept, so that a resend of the change gets the same answer.
type ConfigureResult struct {
	Applied bool   `json:"applied"`
	Version uint64 `json:"version"` // version in force after the attempt
	Author  string `json:"author"`  // operator who made that version
	Reason  string `json:"reason,omitempty"`
}

// Cell is the replicated state of the cell group: the configuration and its audit
// records. It is used by one goroutine.
type Cell struct {
	applied uint64
	current VersionedConfiguration
	author  string
	results map[string]ConfigureResult // by change ID
	order   []string                   // change IDs, oldest first
	audit   []AuditRecord
	grants  map[string]Transfer // by Transfer.ID
}

// MaxChangeResults bounds the number of retained answers to configuration changes. It
// covers two weeks at 1,600 changes a day.
const MaxChangeResults = 22_400

// MaxAuditRecords bounds the audit records of the cell group that are kept in memory and
// in snapshots.
const MaxAuditRecords = 22_400

// NewCell returns the state of a new cell.
func NewCell() *Cell {
	return &Cell{results: map[string]ConfigureResult{}, grants: map[string]Transfer{}}
}

// Applied returns the log index of the last applied command.
func (c *Cell) Applied() uint64 { return c.applied }

// Configuration returns the current configuration.
func (c *Cell) Configuration() VersionedConfiguration { return c.current }

// Result returns the retained answer to a change ID, if there is one.
func (c *Cell) Result(changeID string) (ConfigureResult, bool) {
	r, ok := c.results[changeID]
	return r, ok
}

// Audit returns the audit records, oldest first. The caller must not change them.
func (c *Cell) Audit() []AuditRecord { return c.audit }

// Apply performs a command at a log index. A refused configuration change is
// recorded and audited too, so that a resend gets the same refusal.
func (c *Cell) Apply(index uint64, cmd Command) {
	c.applied = index
	switch {
	case cmd.Configure != nil:
		c.configure(index, cmd.Configure)
	case cmd.Transfer != nil:
		c.grants[cmd.Transfer.ID] = *cmd.Transfer
	}
}

func (c *Cell) configure(index uint64, p *Configure) {
	if _, seen := c.results[p.ChangeID]; seen {
		return
	}
	a := AuditRecord{Index: index, AtMS: p.AtMS, Actor: p.Actor, Action: "configure", Target: p.ChangeID, From: c.current.Version}
	if p.Expected != c.current.Version {
		reason := fmt.Sprintf("conflict: expected version %d, but version %d by %s is in force", p.Expected, c.current.Version, c.author)
		c.recordResult(p.ChangeID, ConfigureResult{Version: c.current.Version, Author: c.author, Reason: reason})
		a.To, a.Result = c.current.Version, reason
		c.addAudit(a)
		return
	}
	next := p.Config
	if p.Change != nil {
		next = c.current.Configuration.With(p.Change)
	}
	a.Difference = Difference(c.current.Configuration, next)
	c.current = VersionedConfiguration{Version: c.current.Version + 1, Configuration: next}
	c.author = p.Actor
	c.recordResult(p.ChangeID, ConfigureResult{Applied: true, Version: c.current.Version, Author: c.author})
	a.To, a.Result = c.current.Version, "applied"
	c.addAudit(a)
}

func (c *Cell) recordResult(id string, r ConfigureResult) {
	c.results[id] = r
	c.order = append(c.order, id)
	if len(c.order) > MaxChangeResults {
		delete(c.results, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *Cell) addAudit(a AuditRecord) {
	c.audit = append(c.audit, a)
	if len(c.audit) > MaxAuditRecords {
		c.audit = c.audit[len(c.audit)-MaxAuditRecords:]
	}
}

// CellSnapshot is the serialisable state of the cell group at one log index.
type CellSnapshot struct {
	Applied uint64                     `json:"applied"`
	Current VersionedConfiguration     `json:"current"`
	Author  string                     `json:"author,omitempty"`
	Results map[string]ConfigureResult `json:"results,omitempty"`
	Order   []string                   `json:"order,omitempty"`
	Audit   []AuditRecord              `json:"audit,omitempty"`
	Grants  map[string]Transfer        `json:"grants,omitempty"`
}

// Snapshot returns the current state. It copies the maps and shares the configuration and
// the audit records, which are never changed in place.
func (c *Cell) Snapshot() *CellSnapshot {
	s := &CellSnapshot{
		Applied: c.applied, Current: c.current, Author: c.author,
		Results: make(map[string]ConfigureResult, len(c.results)),
		Order:   append([]string(nil), c.order...),
		Audit:   c.audit[:len(c.audit):len(c.audit)],
		Grants:  make(map[string]Transfer, len(c.grants)),
	}
	for k, v := range c.results {
		s.Results[k] = v
	}
	for k, v := range c.grants {
		s.Grants[k] = v
	}
	return s
}

// RestoreCell rebuilds the cell state from a snapshot.
func RestoreCell(s *CellSnapshot) *Cell {
	c := NewCell()
	c.applied, c.current, c.author = s.Applied, s.Current, s.Author
	c.order = append(c.order, s.Order...)
	c.audit = append(c.audit, s.Audit...)
	for k, v := range s.Results {
		c.results[k] = v
	}
	for k, v := range s.Grants {
		c.grants[k] = v
	}
	return c
}

// Difference lists the changes between two configurations: one line for each added or
// removed team and, for each team in both, one line for a changed quota and for each
// added, removed or changed kind. It is used in audit records and dry runs.
func Difference(from, to Configuration) string {
	var lines []string
	for name, t := range to.Teams {
		old, ok := from.Teams[name]
		switch {
		case !ok:
			lines = append(lines, "+ team "+name)
		case !old.equal(t):
			lines = append(lines, teamDifference(name, old, t)...)
		}
	}
	for name := range from.Teams {
		if _, ok := to.Teams[name]; !ok {
			lines = append(lines, "- team "+name)
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

func teamDifference(name string, from, to TeamConfig) []string {
	var lines []string
	if from.Quota != to.Quota {
		lines = append(lines, fmt.Sprintf("~ team %s quota: %+v -> %+v", name, from.Quota, to.Quota))
	}
	for kind, k := range to.Kinds {
		old, ok := from.Kinds[kind]
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("+ team %s kind %s", name, kind))
		case old != k:
			lines = append(lines, fmt.Sprintf("~ team %s kind %s: %+v -> %+v", name, kind, old, k))
		}
	}
	for kind := range from.Kinds {
		if _, ok := to.Kinds[kind]; !ok {
			lines = append(lines, fmt.Sprintf("- team %s kind %s", name, kind))
		}
	}
	return lines
}
