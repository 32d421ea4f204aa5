package state

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Reasons for the rejection of a command. Apply wraps them with the names of the
// request, task or endpoint.
var (
	ErrExists      = errors.New("request exists")
	ErrRefused     = errors.New("request ID was refused")
	ErrNoRequest   = errors.New("no such request")
	ErrTooOld      = errors.New("request ID was issued before the request horizon: the outcome of an earlier submission is no longer kept")
	ErrNoEndpoint  = errors.New("no such endpoint or incarnation")
	ErrNotReady    = errors.New("endpoint does not accept new work")
	ErrNoCapacity  = errors.New("endpoint does not have enough free capacity")
	ErrNotQueued   = errors.New("task is not queued")
	ErrOverQuota   = errors.New("team quota exceeded")
	ErrStale       = errors.New("attempt is not the current one")
	ErrOldVersion  = errors.New("version is not above the one in force")
	ErrUnknownKind = errors.New("unknown command")
)

// Usage is the capacity that a team has reserved in a domain.
type Usage struct {
	Own      Resources `json:"own"`      // within the team's share
	Borrowed Resources `json:"borrowed"` // from idle shares of other teams
}

// Domain is the replicated state of one failure domain: its requests, endpoints,
// assignments and the configuration in force. It is used by one goroutine.
type Domain struct {
	name      string
	applied   uint64 // index of the last applied command
	horizonS  int64  // request IDs issued before it are refused, Unix seconds
	records   map[Key]*Record
	endpoints map[string]*Endpoint
	assigned  map[string]map[uint64]TaskRef // tasks that reserve capacity, by endpoint name and sequence number
	usage     map[string]Usage              // by team
	idle      Resources                     // sum of the unused parts of all shares
	borrowed  Resources                     // sum of the borrowed capacity of all teams
	refused   map[Key]Refuse
	refusals  []Refuse // in the order in which they were applied; includes refusals that a later one of the same key has replaced in refused
	adopted   VersionedConfiguration
	shares    map[string]Resources
	audit     []AuditRecord
}

// NewDomain returns the empty state of the named failure domain.
func NewDomain(name string) *Domain {
	return &Domain{
		name:      name,
		records:   map[Key]*Record{},
		endpoints: map[string]*Endpoint{},
		assigned:  map[string]map[uint64]TaskRef{},
		usage:     map[string]Usage{},
		refused:   map[Key]Refuse{},
		shares:    map[string]Resources{},
	}
}

// Name returns the failure domain's name.
func (d *Domain) Name() string { return d.name }

// Applied returns the log index of the last applied command.
func (d *Domain) Applied() uint64 { return d.applied }

// HorizonS returns the request horizon in Unix seconds.
func (d *Domain) HorizonS() int64 { return d.horizonS }

// Record returns the record of a request, or nil.
func (d *Domain) Record(k Key) *Record { return d.records[k] }

// Records calls f for each record until f returns false. The order is random.
func (d *Domain) Records(f func(*Record) bool) {
	for _, r := range d.records {
		if !f(r) {
			return
		}
	}
}

// OpenRecords returns the records that are not final, in the order of their
// acceptance.
func (d *Domain) OpenRecords() []*Record {
	var out []*Record
	for _, r := range d.records {
		if !r.Final() {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compareRecords)
	return out
}

// compareRecords orders records by acceptance, then by key.
func compareRecords(a, b *Record) int {
	return cmp.Or(cmp.Compare(a.AcceptedMS, b.AcceptedMS), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Team, b.Team))
}

// RecordCount returns the number of records kept.
func (d *Domain) RecordCount() int { return len(d.records) }

// Endpoint returns the named endpoint, or nil.
func (d *Domain) Endpoint(name string) *Endpoint { return d.endpoints[name] }

// Endpoints returns the endpoints sorted by name.
func (d *Domain) Endpoints() []*Endpoint {
	out := make([]*Endpoint, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// EndpointCount returns the number of registered endpoints.
func (d *Domain) EndpointCount() int { return len(d.endpoints) }

// AssignedTo calls f for each task that reserves capacity of the named endpoint.
func (d *Domain) AssignedTo(name string, f func(seq uint64, ref TaskRef)) {
	for seq, ref := range d.assigned[name] {
		f(seq, ref)
	}
}

// Refused returns the refusal that blocks a key, if there is one.
func (d *Domain) Refused(k Key) (Refuse, bool) {
	r, ok := d.refused[k]
	return r, ok
}

// Configuration returns the configuration in force in the domain.
func (d *Domain) Configuration() VersionedConfiguration { return d.adopted }

// Share returns the domain's part of a team's quota.
func (d *Domain) Share(team string) Resources { return d.shares[team] }

// Shares returns the domain's part of each team's quota. The caller must not
// change the map.
func (d *Domain) Shares() map[string]Resources { return d.shares }

// TeamUsage returns the capacity that a team has reserved.
func (d *Domain) TeamUsage(team string) Usage { return d.usage[team] }

// Audit returns the audit records of the domain, oldest first. The caller must
// not change them.
func (d *Domain) Audit() []AuditRecord { return d.audit }

// DomainSnapshot is the serialisable state of a domain at one log index.
type DomainSnapshot struct {
	Name      string                 `json:"name"`
	Applied   uint64                 `json:"applied"`
	HorizonS  int64                  `json:"horizon_s"`
	Records   []*Record              `json:"records"`
	Endpoints []*Endpoint            `json:"endpoints"`
	Adopted   VersionedConfiguration `json:"adopted"`
	Shares    map[string]Resources   `json:"shares"`
	Refusals  []Refuse               `json:"refusals,omitempty"`
	Audit     []AuditRecord          `json:"audit,omitempty"`
}

// Snapshot returns the current state. It shares the records, which are immutable, so
// it costs one pointer for each record.
func (d *Domain) Snapshot() *DomainSnapshot {
	s := &DomainSnapshot{
		Name: d.name, Applied: d.applied, HorizonS: d.horizonS, Adopted: d.adopted,
		Records:   make([]*Record, 0, len(d.records)),
		Endpoints: make([]*Endpoint, 0, len(d.endpoints)),
		Shares:    d.shares, // replaced, never changed, by AdoptConfiguration
		Refusals:  append([]Refuse(nil), d.refusals...),
		Audit:     d.audit[:len(d.audit):len(d.audit)],
	}
	for _, r := range d.records {
		s.Records = append(s.Records, r)
	}
	for _, e := range d.endpoints {
		s.Endpoints = append(s.Endpoints, e)
	}
	return s
}

// RestoreDomain rebuilds a domain and its indexes from a snapshot.
func RestoreDomain(s *DomainSnapshot) *Domain {
	d := NewDomain(s.Name)
	d.applied, d.horizonS, d.adopted = s.Applied, s.HorizonS, s.Adopted
	d.audit = append(d.audit, s.Audit...)
	for _, r := range s.Refusals {
		d.refused[r.Key] = r
		d.refusals = append(d.refusals, r)
	}
	if s.Shares != nil {
		d.shares = s.Shares
	}
	for _, e := range s.Endpoints {
		d.endpoints[e.Name] = e
	}
	d.countIdle()
	for _, r := range s.Records {
		d.records[r.Key] = r
		for i := range r.State {
			if t := &r.State[i]; t.Reserves() {
				d.index(r, i)
				d.addUsage(r, t.Borrowed, 1)
			}
		}
	}
	return d
}

// index adds a task that reserves capacity to assigned.
func (d *Domain) index(r *Record, task int) {
	t := &r.State[task]
	m := d.assigned[t.Endpoint]
	if m == nil {
		m = map[uint64]TaskRef{}
		d.assigned[t.Endpoint] = m
	}
	m[t.Seq] = TaskRef{Key: r.Key, Task: task, Attempt: t.Attempt}
}

// idleOf returns the unused part of a team's share.
func (d *Domain) idleOf(team string) Resources {
	return d.shares[team].Sub(d.usage[team].Own).Positive()
}

// countIdle computes the sum of the unused parts of all shares. It is called when the
// shares have changed.
func (d *Domain) countIdle() {
	d.idle = Resources{}
	for team := range d.shares {
		d.idle = d.idle.Add(d.idleOf(team))
	}
}

func (d *Domain) addUsage(r *Record, borrowed bool, n int) {
	u := d.usage[r.Team]
	amount := r.PerTask.Scale(n)
	if borrowed {
		u.Borrowed = u.Borrowed.Add(amount)
		d.borrowed = d.borrowed.Add(amount)
	} else {
		share := d.shares[r.Team]
		d.idle = d.idle.Sub(share.Sub(u.Own).Positive())
		u.Own = u.Own.Add(amount)
		d.idle = d.idle.Add(share.Sub(u.Own).Positive())
	}
	d.usage[r.Team] = u
	if u == (Usage{}) {
		delete(d.usage, r.Team)
	}
}

// Check verifies the invariants that every command must preserve and returns the
// first violation. It scans all records, so it is meant for tests.
func (d *Domain) Check() error {
	reserved := map[string]Resources{}
	usage := map[string]Usage{}
	for k, r := range d.records {
		if err := checkRecord(k, r); err != nil {
			return err
		}
		for i := range r.State {
			t := &r.State[i]
			if !t.Reserves() {
				continue
			}
			ref := TaskRef{Key: k, Task: i, Attempt: t.Attempt}
			if d.assigned[t.Endpoint][t.Seq] != ref {
				return fmt.Errorf("task %s is not indexed at endpoint %s", ref, t.Endpoint)
			}
			reserved[t.Endpoint] = reserved[t.Endpoint].Add(r.PerTask)
			u := usage[r.Team]
			if t.Borrowed {
				u.Borrowed = u.Borrowed.Add(r.PerTask)
			} else {
				u.Own = u.Own.Add(r.PerTask)
			}
			usage[r.Team] = u
		}
	}
	for name, e := range d.endpoints {
		if e.Reserved != reserved[name] {
			return fmt.Errorf("endpoint %s: reserved %+v, its tasks need %+v", name, e.Reserved, reserved[name])
		}
		if e.Free().IsNegative() {
			return fmt.Errorf("endpoint %s: the assigned tasks exceed its capacity: free %+v", name, e.Free())
		}
	}
	var borrowed, idle Resources
	for team := range d.shares {
		idle = idle.Add(d.shares[team].Sub(usage[team].Own).Positive())
	}
	for _, u := range usage {
		borrowed = borrowed.Add(u.Borrowed)
	}
	if d.idle != idle || d.borrowed != borrowed {
		return fmt.Errorf("quota: recorded idle %+v and borrowed %+v, the tasks give %+v and %+v", d.idle, d.borrowed, idle, borrowed)
	}
	for team, u := range usage {
		if d.usage[team] != u {
			return fmt.Errorf("team %s: recorded usage %+v, its tasks use %+v", team, d.usage[team], u)
		}
	}
	return nil
}

func checkRecord(k Key, r *Record) error {
	if r.Key != k {
		return fmt.Errorf("record %v is stored under %v", r.Key, k)
	}
	open := false
	for i := range r.State {
		t := &r.State[i]
		open = open || !t.Status.Final()
		if !r.Repeatable && t.Attempt > 1+t.Declined {
			return fmt.Errorf("unrepeatable task %s/%s#%d has %d attempts, %d of them declined", k.Team, k.ID, i, t.Attempt, t.Declined)
		}
	}
	if open == r.Final() {
		return fmt.Errorf("request %s/%s: open tasks %v, final %v", k.Team, k.ID, open, r.Final())
	}
	return nil
}
