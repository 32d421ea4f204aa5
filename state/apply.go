package state

import (
	"fmt"
	"maps"

	"github.com/primrosereach/primrosereach/state/job"
)

// Applied describes the effect of a command.
type Applied struct {
	Job      job.Applied // effect of a command of the job group
	Rejected error       // nil if the command was performed
	Records  []*Record   // changed records in their new version, or the stored record that made a Refuse, Cancel or Expire command change nothing
	Endpoint *Endpoint   // stored endpoint after a RegisterEndpoint, EndpointStatus or Report command, otherwise nil
	Assigned []TaskRef   // attempts that an Assign command assigned
	Released []*Record   // copies of pruned records whose tasks still reserved capacity, which the copies no longer reserve
}

// Apply performs a command at a log index, or rejects it without changing any record.
func (d *Domain) Apply(index uint64, c Command) Applied {
	d.applied = index
	var a Applied
	switch {
	case c.Bootstrap != nil:
		d.horizonS = max(d.horizonS, c.Bootstrap.HorizonS)
	case c.Accept != nil:
		a = d.accept(c.Accept)
	case c.Refuse != nil:
		a = d.refuse(c.Refuse)
	case c.Assign != nil:
		a = d.assign(c.Assign)
	case c.Report != nil:
		a = d.report(c.Report)
	case c.Cancel != nil:
		a = d.cancel(index, c.Cancel)
	case c.Expire != nil:
		a = d.expire(c.Expire)
	case c.RegisterEndpoint != nil:
		a = d.registerEndpoint(c.RegisterEndpoint)
	case c.EndpointStatus != nil:
		a = d.setEndpointStatus(index, c.EndpointStatus)
	case c.EndpointRemoved != nil:
		a = d.removeEndpoint(c.EndpointRemoved)
	case c.Adopt != nil:
		a = d.adopt(c.Adopt)
	case c.Prune != nil:
		a = d.prune(c.Prune)
	case c == Command{}:
		// The empty entry of a new leader.
	default:
		a.Rejected = ErrUnknownKind
	}
	return a
}

func (d *Domain) accept(c *Accept) Applied {
	k := c.Request.Key
	if d.records[k] != nil {
		return Applied{Rejected: fmt.Errorf("%s/%s: %w", k.Team, k.ID, ErrExists)}
	}
	if f, ok := d.refused[k]; ok && c.Request.AcceptedMS < f.AtMS+RefusalHoldMS {
		return Applied{Rejected: fmt.Errorf("%s/%s: %w: %s", k.Team, k.ID, ErrRefused, f.Reason)}
	}
	_, issued, err := k.ID.Parse()
	if err != nil {
		return Applied{Rejected: err}
	}
	if issued < d.horizonS {
		return Applied{Rejected: fmt.Errorf("%s/%s: %w", k.Team, k.ID, ErrTooOld)}
	}
	r := &Record{Request: c.Request, State: make([]Task, max(1, c.Request.Tasks))}
	for i := range r.State {
		r.State[i].Status = TaskQueued
	}
	d.records[k] = r
	return Applied{Records: []*Record{r}}
}

// RefusalHoldMS is the time for which a refusal blocks its request ID, in
// milliseconds. It is twice the time for which an entry process (a process that receives
// calls of clients) may hold a submission, so that no copy of the submission outlives the
// refusal.
const RefusalHoldMS = 60_000

func (d *Domain) refuse(c *Refuse) Applied {
	if r := d.records[c.Key]; r != nil {
		return Applied{Rejected: fmt.Errorf("%s/%s: %w", c.Team, c.ID, ErrExists), Records: []*Record{r}}
	}
	for len(d.refusals) > 0 && d.refusals[0].AtMS+RefusalHoldMS <= c.AtMS {
		if k := d.refusals[0].Key; d.refused[k] == d.refusals[0] {
			delete(d.refused, k)
		}
		d.refusals = d.refusals[1:]
	}
	if old, ok := d.refused[c.Key]; ok && c.AtMS <= old.AtMS {
		return Applied{}
	}
	d.refused[c.Key] = *c
	d.refusals = append(d.refusals, *c)
	return Applied{}
}

// assign verifies the whole plan, with running totals for each endpoint and team,
// before it changes anything. Two plans made from the same snapshot may use the same
// capacity, and then the second one is rejected as a whole.
func (d *Domain) assign(c *Assign) Applied {
	planned := map[string]Resources{}
	own := map[string]Resources{}
	var borrowed Resources
	seen := map[TaskRef]bool{}
	for i := range c.Items {
		it := &c.Items[i]
		if err := d.verify(it, planned, own, &borrowed, seen); err != nil {
			return Applied{Rejected: fmt.Errorf("assign %s/%s#%d to %s: %w", it.Team, it.ID, it.Task, it.Endpoint, err)}
		}
	}
	var a Applied
	changed := map[Key]*Record{}
	for i := range c.Items {
		it := &c.Items[i]
		r := changed[it.Key]
		if r == nil {
			r = d.records[it.Key].clone()
			changed[it.Key] = r
			d.records[it.Key] = r
			a.Records = append(a.Records, r)
		}
		a.Assigned = append(a.Assigned, d.bind(r, it, c.AtMS))
	}
	return a
}

// verify returns the reason why a task cannot be assigned, or nil. It adds the task to the
// running totals: planned by endpoint, own by team, and borrowed over all teams.
func (d *Domain) verify(it *Assignment, planned, own map[string]Resources, borrowed *Resources, seen map[TaskRef]bool) error {
	r := d.records[it.Key]
	if r == nil {
		return ErrNoRequest
	}
	if it.Task < 0 || it.Task >= len(r.State) || r.State[it.Task].Status != TaskQueued || r.CancelRequested {
		return ErrNotQueued
	}
	ref := TaskRef{Key: it.Key, Task: it.Task}
	if seen[ref] {
		return ErrNotQueued
	}
	seen[ref] = true
	e := d.endpoints[it.Endpoint]
	if e == nil || e.Incarnation != it.Incarnation {
		return ErrNoEndpoint
	}
	if !e.AcceptsWork() {
		return ErrNotReady
	}
	planned[e.Name] = planned[e.Name].Add(r.PerTask)
	if !planned[e.Name].FitsIn(e.Free()) {
		return ErrNoCapacity
	}
	if it.Borrowed {
		*borrowed = borrowed.Add(r.PerTask)
		if !r.Repeatable || !d.borrowed.Add(*borrowed).FitsIn(d.idle.Sub(d.idleOf(r.Team))) {
			return ErrOverQuota
		}
		return nil
	}
	own[r.Team] = own[r.Team].Add(r.PerTask)
	if !own[r.Team].Add(d.usage[r.Team].Own).FitsIn(d.shares[r.Team]) {
		return ErrOverQuota
	}
	return nil
}

// AcceptsWork reports whether new work may be assigned to the endpoint. A quarantined
// endpoint accepts trial tasks.
func (e *Endpoint) AcceptsWork() bool {
	return e.Status == EndpointReady || e.Status == EndpointQuarantined
}

func (d *Domain) bind(r *Record, it *Assignment, atMS int64) TaskRef {
	e := *d.endpoints[it.Endpoint]
	e.LastSeq++
	e.Reserved = e.Reserved.Add(r.PerTask)
	e.Assigned++
	d.endpoints[e.Name] = &e
	t := &r.State[it.Task]
	t.Status, t.Attempt = TaskAssigned, t.Attempt+1
	t.Endpoint, t.Incarnation, t.Seq = e.Name, e.Incarnation, e.LastSeq
	t.AssignedMS, t.Borrowed = atMS, it.Borrowed
	d.index(r, it.Task)
	d.addUsage(r, it.Borrowed, 1)
	return TaskRef{Key: r.Key, Task: it.Task, Attempt: t.Attempt}
}

// release releases the capacity that a task reserves.
func (d *Domain) release(r *Record, task int) {
	t := &r.State[task]
	if old := d.endpoints[t.Endpoint]; old != nil && old.Incarnation == t.Incarnation {
		e := *old
		e.Reserved = e.Reserved.Sub(r.PerTask)
		e.Assigned--
		d.endpoints[e.Name] = &e
	}
	if m := d.assigned[t.Endpoint]; m != nil {
		delete(m, t.Seq)
		if len(m) == 0 {
			delete(d.assigned, t.Endpoint)
		}
	}
	d.addUsage(r, t.Borrowed, -1)
	t.HoldsCapacity = false
}

// report ends the current attempt of a task. It also replaces status unknown, which a
// task of unrepeatable work has after its endpoint was lost, if that attempt reports
// later. Reports of other attempts are rejected.
func (d *Domain) report(c *Report) Applied {
	old := d.records[c.Key]
	if old == nil {
		return Applied{Rejected: fmt.Errorf("%s: %w", c.TaskRef, ErrNoRequest)}
	}
	if c.Task < 0 || c.Task >= len(old.State) {
		return Applied{Rejected: fmt.Errorf("%s: %w", c.TaskRef, ErrStale)}
	}
	cur := &old.State[c.Task]
	current := cur.Attempt == c.Attempt && cur.Endpoint == c.Endpoint && cur.Incarnation == c.Incarnation
	if !current || (cur.Status != TaskAssigned && cur.Status != TaskUnknown) {
		return Applied{Rejected: fmt.Errorf("%s: %w", c.TaskRef, ErrStale)}
	}
	r := old.clone()
	if cur.Reserves() {
		d.release(r, c.Task)
	}
	t := &r.State[c.Task]
	t.Error, t.Result = c.Error, c.Result
	t.Status = endStatus(r, t, c)
	switch {
	case c.Status == TaskNotRun:
		t.Declined++
	case c.Status == TaskFailed && !c.EndpointAtFault:
		t.Failures++
		t.FailedOn = append(t.FailedOn[:len(t.FailedOn):len(t.FailedOn)], c.Endpoint)
	}
	if t.Status == TaskQueued {
		t.NotBeforeMS = c.NotBeforeMS
	} else {
		t.FinalMS = c.AtMS
	}
	d.store(r, c.AtMS)
	return Applied{Records: []*Record{r}, Endpoint: d.endpoints[c.Endpoint]}
}

// endStatus returns the status of a task after a report. Work that may have started
// is queued again only if it is repeatable. A task of a cancelled request is never queued
// again.
func endStatus(r *Record, t *Task, c *Report) TaskStatus {
	mayRepeat := r.Repeatable || c.Status == TaskNotRun
	if c.Requeue && mayRepeat && !r.CancelRequested {
		return TaskQueued
	}
	if c.Status == TaskNotRun && t.Attempt > 1+t.Declined {
		return TaskFailed // an earlier attempt may have run
	}
	return c.Status
}

// store replaces a record. It sets the record's final time to atMS if no task is open,
// and to 0 otherwise.
func (d *Domain) store(r *Record, atMS int64) {
	r.FinalMS = atMS
	for i := range r.State {
		if !r.State[i].Status.Final() {
			r.FinalMS = 0
			break
		}
	}
	d.records[r.Key] = r
}

// endQueued ends the queued tasks of r. A task becomes not_run if all of its attempts,
// if any, were declined; otherwise it may have run and gets statusIfRun.
func endQueued(r *Record, atMS int64, statusIfRun TaskStatus, reason string) {
	for i := range r.State {
		t := &r.State[i]
		if t.Status != TaskQueued {
			continue
		}
		t.Status = statusIfRun
		if t.Attempt == t.Declined {
			t.Status = TaskNotRun
		}
		t.FinalMS, t.Error = atMS, reason
	}
}

func (d *Domain) cancel(index uint64, c *Cancel) Applied {
	old := d.records[c.Key]
	if old == nil {
		return Applied{Rejected: fmt.Errorf("%s/%s: %w", c.Team, c.ID, ErrNoRequest)}
	}
	if old.Final() || old.CancelRequested {
		return Applied{Records: []*Record{old}}
	}
	r := old.clone()
	r.CancelRequested, r.Reason = true, "cancelled by "+c.Actor
	endQueued(r, c.AtMS, TaskCancelled, r.Reason)
	d.store(r, c.AtMS)
	d.audit = append(d.audit, AuditRecord{Index: index, AtMS: c.AtMS, Actor: c.Actor, Action: "cancel", Target: string(c.ID), Result: "applied"})
	return Applied{Records: []*Record{r}}
}

func (d *Domain) expire(c *Expire) Applied {
	old := d.records[c.Key]
	if old == nil {
		return Applied{Rejected: fmt.Errorf("%s/%s: %w", c.Team, c.ID, ErrNoRequest)}
	}
	if old.Final() {
		return Applied{Records: []*Record{old}}
	}
	r := old.clone()
	r.Reason = c.Reason
	endQueued(r, c.AtMS, TaskFailed, c.Reason)
	d.store(r, c.AtMS)
	return Applied{Records: []*Record{r}}
}

func (d *Domain) adopt(c *AdoptConfiguration) Applied {
	if c.Config.Version <= d.adopted.Version {
		return Applied{Rejected: fmt.Errorf("configuration %d, in force %d: %w", c.Config.Version, d.adopted.Version, ErrOldVersion)}
	}
	if c.Change == nil {
		d.adopted, d.shares = c.Config, c.Shares
		d.countIdle()
		return Applied{}
	}
	if c.From != d.adopted.Version {
		return Applied{Rejected: fmt.Errorf("change against configuration %d, in force %d: %w", c.From, d.adopted.Version, ErrOldVersion)}
	}
	shares := maps.Clone(d.shares) // snapshots share the old map, so it must not change
	for team, share := range c.Shares {
		shares[team] = share
	}
	for _, team := range c.Change.Remove {
		delete(shares, team)
	}
	d.adopted = VersionedConfiguration{Version: c.Config.Version, Configuration: d.adopted.Configuration.With(c.Change)}
	d.shares = shares
	d.countIdle()
	return Applied{}
}

// prune removes final records. The same command moves the request horizon past the
// issue time of each pruned ID; otherwise a late resend of the ID would run again.
func (d *Domain) prune(c *Prune) Applied {
	var a Applied
	horizon := max(d.horizonS, c.HorizonS)
	for _, k := range c.Keys {
		r := d.records[k]
		if r == nil || !r.Final() {
			continue
		}
		if _, issued, err := k.ID.Parse(); err == nil {
			horizon = max(horizon, issued+1)
		}
		if released := d.releaseUnknownTasks(r); released != nil {
			a.Released = append(a.Released, released)
		}
		delete(d.records, k)
	}
	d.horizonS = horizon
	return a
}

// releaseUnknownTasks releases the capacity that the unknown tasks of a record still
// reserve. It returns the updated copy of the record, or nil if there are no such tasks.
func (d *Domain) releaseUnknownTasks(old *Record) *Record {
	var r *Record
	for i := range old.State {
		if !old.State[i].HoldsCapacity {
			continue
		}
		if r == nil {
			r = old.clone()
		}
		d.release(r, i)
	}
	return r
}
