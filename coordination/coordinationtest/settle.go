package coordinationtest

import (
	"errors"
	"fmt"
	"reflect"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// settleLimit is the longest time after the last fault in which every accepted
// request must become final. The longest run time is 15 s. Each of at most 7 further
// attempts (2 retries, 5 blamed on endpoints) may wait 10 min for the retry budget of
// its team, see package retry.
const settleLimit = 71 * time.Minute

// versionLimit is the requirement on the spread of a configuration.
const versionLimit = 15 * time.Second

// Heal ends all faults: cuts, pauses, stopped processes, failing disks, endpoints
// that are down, leaving or bad.
func (w *World) Heal() {
	w.settling = true
	w.Net.Heal()
	for _, p := range w.Processes {
		for p.Paused > 0 {
			p.Resume()
		}
		p.Start()
		w.replace(p)
	}
	for _, e := range w.Endpoints {
		e.FailAll, e.Speed = false, 1
		if !e.up || e.leaving || w.Checks.leavingAt[e.Name].incarnation == e.incarnation {
			e.Restart()
		}
	}
}

// replace restarts a process that failed or was told to stop, as soon as the groups
// can lose its state if it has no disk.
func (w *World) replace(p *Process) {
	switch {
	case !p.Failed && !p.Stopped:
	case p.disk == nil && !w.MayLose(p):
		w.After(time.Second, func() { w.replace(p) })
	default:
		p.Crash(false)
		p.Start()
	}
}

func (w *World) anyToReplace() bool {
	for _, p := range w.Processes {
		if p.Failed || p.Stopped {
			return true
		}
	}
	return false
}

// incompleteGroups describes the groups that have not taken in all members.
func (w *World) incompleteGroups() string {
	s := ""
	for _, g := range w.groups() {
		leader := w.Leader(g)
		whole := false
		if leader != nil {
			for _, v := range leader.node.Views(leader.clock().Now) {
				whole = whole || v.Group == g && w.complete(v.Membership)
			}
		}
		if !whole {
			s += "\n" + g + w.groupStatus(g)
		}
	}
	return s
}

// Settle ends all faults and the load, and checks what must come true then.
func (w *World) Settle() error {
	for _, c := range w.Callers {
		c.Stop()
	}
	for _, o := range w.Operators {
		o.Stop()
	}
	w.Heal()
	if ok, err := w.RunWhile(time.Minute, w.anyToReplace); err != nil || !ok {
		return errors.Join(err, fmt.Errorf("a process could not be replaced (seed %d)%s", w.opt.Seed, w.incompleteGroups()))
	}
	began := w.Now
	if err := w.RunFor(versionLimit); err != nil {
		return err
	}
	if err := w.checkVersions(); err != nil {
		return err
	}
	w.restartDrained()
	if _, err := w.RunWhile(settleLimit, func() bool { return len(w.open()) > 0 }); err != nil {
		return err
	}
	if open := w.open(); len(open) > 0 {
		return fmt.Errorf("G3 violated (seed %d): %v after the last fault %d requests have no outcome, the first is %s: %s", w.opt.Seed, w.Now-began, len(open), open[0].Key.ID, w.describe(open[0]))
	}
	if err := w.checkAnswersEverywhere(); err != nil {
		return err
	}
	w.Checks.over = true
	return w.CheckStates()
}

// restartDrained restarts the endpoints that a drain under way has reached after the
// faults ended.
func (w *World) restartDrained() {
	for _, e := range w.Endpoints {
		if p := w.Leader("domain-" + e.Domain); p != nil {
			for _, v := range p.node.Views(p.clock().Now) {
				if known := endpointOf(v, e); known != nil && known.Status == state.EndpointLeaving {
					e.Restart()
				}
			}
		}
	}
}

func endpointOf(v coordination.View, e *Endpoint) *state.Endpoint {
	if v.DomainName != e.Domain {
		return nil
	}
	return v.Domain.Endpoint(e.Name)
}

// open lists the requests whose callers do not know an outcome yet.
func (w *World) open() []*Request {
	var out []*Request
	for _, c := range w.Callers {
		for _, r := range c.Requests {
			if !r.Done && !r.NotRun {
				out = append(out, r)
			}
		}
	}
	return out
}

// describe tells what the replicas know of a request.
func (w *World) describe(r *Request) string {
	s := fmt.Sprintf("accepted %v", r.Accepted)
	for _, p := range w.Processes {
		for _, v := range p.node.Views(p.clock().Now) {
			if v.Domain == nil || v.DomainName != r.Domain {
				continue
			}
			s += fmt.Sprintf("\n  %s leads %v applied %d, %s", p.Peer.Name, v.Leads, v.Domain.Applied(), p.why(r.Key))
			if rec := v.Domain.Record(r.Key); rec != nil {
				s += fmt.Sprintf(" cancel %v %s/%s %+v", rec.Cancel, rec.Kind, rec.Outcome(), rec.State)
			}
		}
	}
	return s
}

// why returns the leader's reason why a request waits, and the endpoints.
func (p *Process) why(k state.Key) string {
	s := ""
	p.call(func(t coordination.Token) coordination.Event { return coordination.Lookup{Token: t, Key: k} }, func(a coordination.Answer) { s = a.WhyWaiting })
	for _, v := range p.node.Views(p.clock().Now) {
		if domain, _, err := k.ID.Parse(); err == nil && v.Domain != nil && v.DomainName == domain {
			for _, e := range v.Domain.Endpoints() {
				s += fmt.Sprintf(", %s %s free %+v", e.Name, e.Status, e.Free())
			}
		}
	}
	return s
}

// checkVersions is G8: the newest version is in force in every domain and known on
// every process.
func (w *World) checkVersions() error {
	var newest uint64
	for _, p := range w.Processes {
		for _, v := range p.node.Views(p.clock().Now) {
			if v.Cell != nil {
				newest = max(newest, v.Cell.Configuration().Version)
			}
		}
	}
	for expected := range w.Checks.winners {
		if expected+1 > newest {
			return fmt.Errorf("G8 violated (seed %d): version %d was accepted, the newest known is %d", w.opt.Seed, expected+1, newest)
		}
	}
	for _, p := range w.Processes {
		for _, v := range p.node.Views(p.clock().Now) {
			if v.Domain != nil && v.Domain.Configuration().Version < newest {
				return fmt.Errorf("G8 violated (seed %d): process %s has version %d of %s in force %v after the last fault, the newest is %d%s", w.opt.Seed, p.Peer.Name, v.Domain.Configuration().Version, v.Group, versionLimit, newest, w.groupStatus(v.Group))
			}
		}
	}
	return nil
}

// groupStatus describes a group as each of its members sees it.
func (w *World) groupStatus(group string) string {
	s := ""
	for _, p := range w.Processes {
		p.call(func(t coordination.Token) coordination.Event { return coordination.ReadStatus{Token: t} }, func(a coordination.Answer) {
			for _, g := range a.Status.Groups {
				if r := g.Replication; g.Group == group {
					s += fmt.Sprintf("\n  %s %x: %s of %s term %d commit %d applied %d last %d synced %d, members %+v", p.Peer.Name, p.Peer.Incarnation, r.Role, r.Leader, r.Term, r.Commit, r.Applied, r.Last, r.Synced, r.Members)
				}
			}
		})
	}
	return s
}

// checkAnswersEverywhere is G3: every answer can be fetched through every process.
func (w *World) checkAnswersEverywhere() error {
	missing := 0
	for _, c := range w.Callers {
		for _, r := range c.Requests {
			for _, p := range w.Processes {
				missing++
				w.fetch(c.site, p, r, func() { missing-- })
			}
		}
	}
	if _, err := w.RunWhile(30*time.Second, func() bool { return missing > 0 }); err != nil {
		return err
	}
	if missing > 0 {
		return fmt.Errorf("G3 violated (seed %d): %d answers could not be fetched", w.opt.Seed, missing)
	}
	return nil
}

func (w *World) fetch(from site, p *Process, r *Request, done func()) {
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		return coordination.Lookup{Token: t, Key: r.Key}
	}
	sent := w.Now
	w.callThrough(from, p, true, build, func(a coordination.Answer) {
		known := r.Accepted || r.Outcome != ""
		w.Checks.answered(r, a, sent)
		if a.Code == coordination.CodeOK || !known && (a.Code == coordination.CodeRefused || a.Code == coordination.CodeNotFound) {
			done()
		}
	})
}

// CheckStates scans the states of all running processes: each must keep its own
// invariants, and replicas at the same log index must be equal.
func (w *World) CheckStates() error {
	first := map[string]*state.Domain{}
	for _, p := range w.Processes {
		if !p.Running() {
			continue
		}
		for _, v := range p.node.Views(p.clock().Now) {
			if v.Domain == nil {
				continue
			}
			if err := v.Domain.Check(); err != nil {
				return fmt.Errorf("state of %s on %s (seed %d): %w", v.Group, p.Peer.Name, w.opt.Seed, err)
			}
			d := first[v.Group]
			if d == nil {
				first[v.Group] = v.Domain
			} else if err := sameState(d, v.Domain); err != nil {
				return fmt.Errorf("replicas of %s differ (seed %d): %w", v.Group, w.opt.Seed, err)
			}
		}
	}
	return nil
}

func sameState(a, b *state.Domain) error {
	if a.Applied() != b.Applied() {
		return nil
	}
	if a.RecordCount() != b.RecordCount() || a.HorizonS() != b.HorizonS() {
		return errors.New("numbers of records or horizons")
	}
	if !reflect.DeepEqual(a.Endpoints(), b.Endpoints()) {
		return fmt.Errorf("endpoints at index %d", a.Applied())
	}
	var err error
	a.Records(func(r *state.Record) bool {
		if !reflect.DeepEqual(r, b.Record(r.Key)) {
			err = fmt.Errorf("record of %s at index %d", r.ID, a.Applied())
		}
		return err == nil
	})
	return err
}
