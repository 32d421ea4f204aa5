package coordinationtest

import (
	"errors"
	"fmt"
	"reflect"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// settleLimit is the longest time after the last fault in which every accepted request
// must become final. The longest run time is 15 s. Each of at most 7 further attempts
// (2 retries, and 5 whose failure is attributed to the endpoint) may wait 10 min for
// the retry budget of its team, see package retry.
const settleLimit = 71 * time.Minute

// versionLimit is the required time in which a configuration version reaches all
// processes.
const versionLimit = 15 * time.Second

// Heal ends all faults: it restores the network, resumes or restarts processes, and
// restarts endpoints that are stopped or leaving.
func (sim *Simulation) Heal() {
	sim.settling = true
	sim.Net.Heal()
	for _, p := range sim.Processes {
		for p.Paused > 0 {
			p.Resume()
		}
		p.Start()
		sim.restartWhenSafe(p)
	}
	for _, e := range sim.Endpoints {
		e.FailAll, e.Speed = false, 1
		if !e.up || e.leaving || sim.Checks.leavingAt[e.Name].incarnation == e.incarnation {
			e.Restart()
		}
	}
}

// restartWhenSafe restarts a process whose storage failed or that is shutting down. A
// process without a disk is restarted only when the groups can lose its state.
func (sim *Simulation) restartWhenSafe(p *Process) {
	switch {
	case !p.Failed && !p.ShuttingDown:
	case p.disk == nil && !sim.CanLoseState(p):
		sim.After(time.Second, func() { sim.restartWhenSafe(p) })
	default:
		p.Crash(false)
		p.Start()
	}
}

func (sim *Simulation) anyNeedsRestart() bool {
	for _, p := range sim.Processes {
		if p.Failed || p.ShuttingDown {
			return true
		}
	}
	return false
}

// incompleteGroups describes the groups that have no leader, fewer than 3 voters, or a
// voter that is not a current incarnation.
func (sim *Simulation) incompleteGroups() string {
	s := ""
	for _, g := range sim.groups() {
		leader := sim.Leader(g)
		current := false
		if leader != nil {
			for _, v := range leader.node.Views(leader.clock().Now) {
				current = current || v.Group == g && sim.hasCurrentMembers(v.Membership)
			}
		}
		if !current {
			s += "\n" + g + sim.groupStatus(g)
		}
	}
	return s
}

// Settle ends the load and all faults, and checks the guarantees that must hold some
// time after the last fault.
func (sim *Simulation) Settle() error {
	for _, c := range sim.Callers {
		c.Stop()
	}
	for _, o := range sim.Operators {
		o.Stop()
	}
	sim.Heal()
	if ok, err := sim.RunWhile(time.Minute, sim.anyNeedsRestart); err != nil || !ok {
		return errors.Join(err, fmt.Errorf("a failed or stopped process could not be restarted (seed %d)%s", sim.options.Seed, sim.incompleteGroups()))
	}
	began := sim.Now
	if err := sim.RunFor(versionLimit); err != nil {
		return err
	}
	if err := sim.checkVersions(); err != nil {
		return err
	}
	sim.restartDrained()
	if _, err := sim.RunWhile(settleLimit, func() bool { return len(sim.open()) > 0 }); err != nil {
		return err
	}
	if open := sim.open(); len(open) > 0 {
		return fmt.Errorf("G3 violated (seed %d): %v after the last fault %d requests have no outcome, the first is %s: %s", sim.options.Seed, sim.Now-began, len(open), open[0].Key.ID, sim.describe(open[0]))
	}
	if err := sim.checkAnswersEverywhere(); err != nil {
		return err
	}
	sim.Checks.historyEnded = true
	return sim.CheckStates()
}

// restartDrained restarts the endpoints that became leaving through a drain that was
// applied only after the faults ended.
func (sim *Simulation) restartDrained() {
	for _, e := range sim.Endpoints {
		if p := sim.Leader("domain-" + e.Domain); p != nil {
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

// open returns the requests whose callers have not received an outcome yet.
func (sim *Simulation) open() []*Request {
	var out []*Request
	for _, c := range sim.Callers {
		for _, r := range c.Requests {
			if !r.Done && !r.NotRun {
				out = append(out, r)
			}
		}
	}
	return out
}

// describe returns the state of a request on each replica, for a failure report.
func (sim *Simulation) describe(r *Request) string {
	s := fmt.Sprintf("accepted %v", r.Accepted)
	for _, p := range sim.Processes {
		for _, v := range p.node.Views(p.clock().Now) {
			if v.Domain == nil || v.DomainName != r.Domain {
				continue
			}
			s += fmt.Sprintf("\n  %s leads %v applied %d, %s", p.Peer.Name, v.Leads, v.Domain.Applied(), p.whyWaiting(r.Key))
			if rec := v.Domain.Record(r.Key); rec != nil {
				s += fmt.Sprintf(" cancel %v %s/%s %+v", rec.CancelRequested, rec.Kind, rec.Outcome(), rec.State)
			}
		}
	}
	return s
}

// whyWaiting returns the leader's reason why a request waits, and the state of the
// endpoints.
func (p *Process) whyWaiting(k state.Key) string {
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

// checkVersions checks G8: the newest configuration version is in force in every
// domain and on every process.
func (sim *Simulation) checkVersions() error {
	var newest uint64
	for _, p := range sim.Processes {
		for _, v := range p.node.Views(p.clock().Now) {
			if v.Cell != nil {
				newest = max(newest, v.Cell.Configuration().Version)
			}
		}
	}
	for expected := range sim.Checks.appliedChanges {
		if expected+1 > newest {
			return fmt.Errorf("G8 violated (seed %d): version %d was accepted, the newest version on any process is %d", sim.options.Seed, expected+1, newest)
		}
	}
	for _, p := range sim.Processes {
		for _, v := range p.node.Views(p.clock().Now) {
			if v.Domain != nil && v.Domain.Configuration().Version < newest {
				return fmt.Errorf("G8 violated (seed %d): process %s has version %d of %s in force %v after the last fault, the newest is %d%s", sim.options.Seed, p.Peer.Name, v.Domain.Configuration().Version, v.Group, versionLimit, newest, sim.groupStatus(v.Group))
			}
		}
	}
	return nil
}

// groupStatus returns the status of a group as each of its members reports it.
func (sim *Simulation) groupStatus(group string) string {
	s := ""
	for _, p := range sim.Processes {
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

// checkAnswersEverywhere checks G3: every process must answer a lookup of every request.
// The answer "refused" or "not found" is valid only if the caller has received neither an
// acceptance nor an outcome.
func (sim *Simulation) checkAnswersEverywhere() error {
	missing := 0
	for _, c := range sim.Callers {
		for _, r := range c.Requests {
			for _, p := range sim.Processes {
				missing++
				sim.fetch(c.site, p, r, func() { missing-- })
			}
		}
	}
	if _, err := sim.RunWhile(30*time.Second, func() bool { return missing > 0 }); err != nil {
		return err
	}
	if missing > 0 {
		return fmt.Errorf("G3 violated (seed %d): %d lookups got no final answer within 30 s", sim.options.Seed, missing)
	}
	return nil
}

func (sim *Simulation) fetch(from site, p *Process, r *Request, done func()) {
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		return coordination.Lookup{Token: t, Key: r.Key}
	}
	sent := sim.Now
	sim.callThrough(from, p, true, build, func(a coordination.Answer) {
		known := r.Accepted || r.Outcome != ""
		sim.Checks.callAnswered(r, a, sent)
		if a.Code == coordination.CodeOK || !known && (a.Code == coordination.CodeRefused || a.Code == coordination.CodeNotFound) {
			done()
		}
	})
}

// CheckStates checks the domain states of all running processes: each must satisfy its own
// invariants, and a replica at the same log index as the first one must equal it.
func (sim *Simulation) CheckStates() error {
	first := map[string]*state.Domain{}
	for _, p := range sim.Processes {
		if !p.Running() {
			continue
		}
		for _, v := range p.node.Views(p.clock().Now) {
			if v.Domain == nil {
				continue
			}
			if err := v.Domain.Check(); err != nil {
				return fmt.Errorf("state of %s on %s (seed %d): %w", v.Group, p.Peer.Name, sim.options.Seed, err)
			}
			d := first[v.Group]
			if d == nil {
				first[v.Group] = v.Domain
			} else if err := sameState(d, v.Domain); err != nil {
				return fmt.Errorf("replicas of %s differ (seed %d): %w", v.Group, sim.options.Seed, err)
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
		return errors.New("different numbers of records or horizons")
	}
	if !reflect.DeepEqual(a.Endpoints(), b.Endpoints()) {
		return fmt.Errorf("different endpoints at index %d", a.Applied())
	}
	var err error
	a.Records(func(r *state.Record) bool {
		if !reflect.DeepEqual(r, b.Record(r.Key)) {
			err = fmt.Errorf("different records of request %s at index %d", r.ID, a.Applied())
		}
		return err == nil
	})
	return err
}
