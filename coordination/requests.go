package coordination

import (
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// maxSubmissionAge is how long the entry processes hold a submission. It is half
	// of the time for which a refusal blocks its request ID, so that no copy of the
	// submission outlives the block.
	maxSubmissionAge = state.RefusalHoldMS / 2 * time.Millisecond
	// maxClockSkewS is how far in the future the issue time of a request ID may be,
	// in seconds.
	maxClockSkewS = 300
)

func unavailable(reason string) Answer {
	return Answer{Code: CodeUnavailable, Message: reason, RetryAfterMS: 200}
}

func invalid(format string, args ...any) Answer {
	return Answer{Code: CodeInvalid, Message: fmt.Sprintf(format, args...)}
}

// owner returns the replica of a group if it leads and holds the leader lease.
// Otherwise it returns nil and answers the call: with a redirect, as unavailable, or as
// invalid if the failure domain does not exist.
func (n *Node) owner(group string, t Token) *replica {
	r := n.replicas[group]
	if r == nil {
		n.redirectToMember(group, t)
		return nil
	}
	if r.leaderState != nil {
		if r.domain != nil && r.domain.HorizonS() == 0 {
			n.reply(t, unavailable(group+" is being bootstrapped"))
			return nil
		}
		if r.raft.HasLease(n.clock.Now) {
			return r
		}
		n.reply(t, unavailable("the leader of "+group+" has no contact to a majority"))
		return nil
	}
	leader, _ := r.raft.Leader()
	if leader == "" || leader == n.self.Name {
		n.reply(t, unavailable("no leader of "+group+" is known"))
		return nil
	}
	m := n.resolve(leader)
	n.reply(t, Answer{Code: CodeRedirect, Redirect: &Redirect{Name: m.Name, Address: m.Address}})
	return nil
}

// redirectToMember redirects a call to a member of a group that this process does not
// host. The next call goes to another member, in case the first one has failed.
func (n *Node) redirectToMember(group string, t Token) {
	members := InitialMembers(group, n.cfg.Peers)
	domain, _ := groupDomain(group)
	known := false
	for _, d := range n.domains {
		known = known || d == domain
	}
	if !known {
		n.reply(t, invalid("no failure domain %q", domain))
		return
	}
	n.nextMember++
	m := n.resolve(members[n.nextMember%len(members)])
	n.reply(t, Answer{Code: CodeRedirect, Redirect: &Redirect{Name: m.Name, Address: m.Address}})
}

// resolve returns a process with its current address, taken from a group's
// membership, which follows replaced VMs, or else from the settings.
func (n *Node) resolve(name string) state.Member {
	for _, r := range n.hosted {
		if m := r.raft.Membership().Find(name); m != nil && m.Address != "" {
			return *m
		}
	}
	if n.cfg.Jobs != nil {
		return state.Member{Name: name, Address: n.cfg.Jobs.Address(name)}
	}
	for _, p := range n.cfg.Peers {
		if p.Name == name {
			return p.Member
		}
	}
	return state.Member{Name: name}
}

// chooseDomain returns the domain that new request IDs should name: the process's
// own, or another one whose group has a leader if its own has none. New work is then
// still accepted although the process has lost contact to its own group.
func (n *Node) chooseDomain() string {
	for _, r := range append([]*replica{n.home}, n.hosted...) {
		if leader, _ := r.raft.Leader(); leader != "" && r.domain != nil {
			return r.domainName
		}
	}
	return n.self.Domain
}

// ownerOfRequest calls owner for the home domain of a request, which the request ID
// names. It also returns when the ID was issued, in Unix seconds.
func (n *Node) ownerOfRequest(k state.Key, t Token) (*replica, int64) {
	domain, issued, err := k.ID.Parse()
	if err != nil {
		n.reply(t, invalid("%s", err))
		return nil, 0
	}
	return n.owner(DomainGroup(domain), t), issued
}

func (n *Node) submit(e Submit) {
	r, issued := n.ownerOfRequest(e.Key, e.Token)
	if r == nil {
		return
	}
	if rec := r.domain.Record(e.Key); rec != nil {
		n.answerResend(e, rec)
		return
	}
	if f, ok := r.domain.Refused(e.Key); ok && n.clock.WallMS < f.AtMS+state.RefusalHoldMS {
		n.refuseAgain(r, e.Token, f)
		return
	}
	switch {
	case e.Age > maxSubmissionAge:
		n.reply(e.Token, unavailable("the submission was held too long"))
		return
	case issued < r.domain.HorizonS():
		n.reply(e.Token, Answer{Code: CodeTooOld, Message: "request ID was issued before the request horizon: the outcome of an earlier submission is no longer kept"})
		return
	case issued > n.clock.WallMS/1000+maxClockSkewS:
		n.reply(e.Token, invalid("the request ID was issued in the future"))
		return
	case n.stopping:
		n.reply(e.Token, unavailable("this process is stopping"))
		return
	}
	n.admit(r, e)
}

// answerResend answers a submission whose request ID has already been accepted: with
// the record, or with a conflict if the content differs.
func (n *Node) answerResend(e Submit, rec *state.Record) {
	if rec.Digest != e.Submission.Digest {
		n.reply(e.Token, Answer{Code: CodeConflict, Message: "the request ID was used for other content", Record: rec})
		return
	}
	n.reply(e.Token, Answer{Code: CodeOK, Record: rec})
}

func (n *Node) admit(r *replica, e Submit) {
	req, err := n.newRequest(r.domain.Configuration().Configuration, e)
	if err != nil {
		n.reply(e.Token, invalid("%s", err))
		return
	}
	v := r.leaderState.sched.Admit(n.clock, req)
	if !v.Admit {
		f := state.Refuse{Key: e.Key, AtMS: n.clock.WallMS, Reason: v.Reason, RetryAfterMS: v.RetryAfterMS}
		n.refuse(r, e.Token, req.Class, f, func(rec *state.Record) { n.answerResend(e, rec) })
		return
	}
	ok := n.propose(r, state.Command{Accept: &state.Accept{Request: *req}}, func(a state.Applied, committed bool) {
		n.accepted(r, e, a, committed)
	})
	if !ok {
		n.reply(e.Token, unavailable("the log of "+r.group+" accepts no entries now"))
	}
}

func (n *Node) accepted(r *replica, e Submit, a state.Applied, committed bool) {
	switch {
	case !committed:
		n.reply(e.Token, unavailable("leadership of "+r.group+" changed"))
	case errors.Is(a.Rejected, state.ErrExists):
		n.answerResend(e, r.domain.Record(e.Key))
	case errors.Is(a.Rejected, state.ErrTooOld):
		n.reply(e.Token, Answer{Code: CodeTooOld, Message: a.Rejected.Error()})
	case errors.Is(a.Rejected, state.ErrRefused):
		n.reply(e.Token, Answer{Code: CodeRefused, Message: a.Rejected.Error()})
	case a.Rejected != nil:
		n.reply(e.Token, invalid("%s", a.Rejected))
	default:
		n.emit(Measure{Metric: MetricAccepted, Class: a.Records[0].Class})
		n.reply(e.Token, Answer{Code: CodeOK, Record: a.Records[0]})
	}
}

// refuse blocks the request ID before it answers that the work did not run: a copy of
// the same submission may still be in flight. class is the class of the request if it
// was refused at admission, and "" for a cancel or a repeated answer, which are not
// counted as refusals. exists is called if the request has been accepted in the
// meantime.
func (n *Node) refuse(r *replica, t Token, class state.Class, f state.Refuse, exists func(*state.Record)) {
	ok := n.propose(r, state.Command{Refuse: &f}, func(a state.Applied, committed bool) {
		switch {
		case !committed:
			n.reply(t, unavailable("leadership of "+r.group+" changed"))
		case a.Rejected != nil:
			exists(a.Records[0])
		default:
			if class != "" {
				n.emit(Measure{Metric: MetricRefused, Class: class})
			}
			n.reply(t, Answer{Code: CodeRefused, Message: f.Reason, RetryAfterMS: f.RetryAfterMS})
		}
	})
	if !ok {
		n.reply(t, unavailable("the log of "+r.group+" accepts no entries now"))
	}
}

// refuseAgain answers a call for a request ID that is blocked. Entry processes may
// hold a copy of the submission for up to maxSubmissionAge, so the block must last
// for at least that long after the answer; a block that ends sooner is renewed first.
func (n *Node) refuseAgain(r *replica, t Token, f state.Refuse) {
	if n.clock.WallMS < f.AtMS+state.RefusalHoldMS-maxSubmissionAge.Milliseconds() {
		n.reply(t, Answer{Code: CodeRefused, Message: f.Reason, RetryAfterMS: f.RetryAfterMS})
		return
	}
	f.AtMS = n.clock.WallMS
	n.refuse(r, t, "", f, func(rec *state.Record) { n.reply(t, Answer{Code: CodeOK, Record: rec}) })
}

// newRequest builds the request of a submission, with the defaults of the kind for
// omitted fields, and checks it.
func (n *Node) newRequest(cfg state.Configuration, e Submit) (*state.Request, error) {
	s := &e.Submission
	team, ok := cfg.Teams[e.Key.Team]
	if !ok {
		return nil, fmt.Errorf("team %q is not in the configuration", e.Key.Team)
	}
	kind, ok := team.Kinds[s.Kind]
	if !ok {
		return nil, fmt.Errorf("team %q has no kind %q; it has %s", e.Key.Team, s.Kind, kindNames(team))
	}
	req := &state.Request{
		Key: e.Key, Kind: s.Kind, Class: kind.Class, Repeatable: kind.Repeatable,
		Tasks: max(1, s.Tasks), PerTask: kind.PerTask, Payload: s.Payload, Digest: s.Digest,
		AcceptedMS: n.clock.WallMS, EstimateMS: kind.EstimateMS, Retries: kind.Retries,
	}
	if s.PerTask != nil {
		req.PerTask = *s.PerTask
	}
	if s.EstimateMS > 0 {
		req.EstimateMS = s.EstimateMS
	}
	deadline := kind.DeadlineMS
	if s.DeadlineMS > 0 {
		deadline = s.DeadlineMS
	}
	if deadline > 0 {
		req.DeadlineMS = n.clock.WallMS + deadline
	}
	return req, checkRequest(req, kind)
}

func checkRequest(req *state.Request, kind state.KindConfig) error {
	most := max(1, kind.MaxTasks)
	switch {
	case req.Tasks > most:
		return fmt.Errorf("kind %q takes at most %d tasks, not %d", req.Kind, most, req.Tasks)
	case req.PerTask.IsNegative():
		return fmt.Errorf("per_task: negative resources %+v", req.PerTask)
	case req.PerTask == state.Resources{}:
		return fmt.Errorf("per_task: a task of kind %q needs resources", req.Kind)
	case req.Class.UsesSlots() && (req.PerTask.Slots == 0 || req.PerTask != state.Resources{Slots: req.PerTask.Slots}):
		return fmt.Errorf("per_task: kind %q is of class %s and runs in slots only", req.Kind, req.Class)
	case !req.Class.UsesSlots() && req.PerTask.Slots != 0:
		return fmt.Errorf("per_task: kind %q is of class %s and uses no slots", req.Kind, req.Class)
	}
	return nil
}

func kindNames(t state.TeamConfig) string {
	names := make([]string, 0, len(t.Kinds))
	for k := range t.Kinds {
		names = append(names, k)
	}
	sort.Strings(names)
	return fmt.Sprintf("%q", names)
}

func (n *Node) lookup(e Lookup) {
	r, issued := n.ownerOfRequest(e.Key, e.Token)
	if r == nil {
		return
	}
	rec := r.domain.Record(e.Key)
	f, refused := r.domain.Refused(e.Key)
	switch {
	case rec == nil && refused && n.clock.WallMS < f.AtMS+state.RefusalHoldMS:
		n.refuseAgain(r, e.Token, f)
	case rec == nil:
		n.reply(e.Token, absent(r, e.Key, issued))
	case rec.Final() || !e.Wait:
		a := Answer{Code: CodeOK, Record: rec}
		if rec.Outcome() == state.OutcomeWaiting {
			a.WhyWaiting = r.leaderState.sched.WhyWaiting(e.Key)
		}
		n.reply(e.Token, a)
	default:
		r.leaderState.waiters[e.Key] = append(r.leaderState.waiters[e.Key], e.Token)
		r.leaderState.waitingFor[e.Token] = e.Key
	}
}

// absent returns the answer to a lookup of a request that has no record in its home
// domain.
func absent(r *replica, k state.Key, issued int64) Answer {
	if issued < r.domain.HorizonS() {
		return Answer{Code: CodeTooOld, Message: "the outcome is no longer known"}
	}
	return Answer{Code: CodeNotFound, Message: fmt.Sprintf("request %s was not accepted", k.ID)}
}

func (n *Node) list(e List) {
	r := n.owner(DomainGroup(e.Domain), e.Token)
	if r == nil {
		return
	}
	var out []*state.Record
	r.domain.Records(func(rec *state.Record) bool {
		if e.Team == "" || rec.Team == e.Team {
			out = append(out, rec)
		}
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].AcceptedMS > out[j].AcceptedMS })
	n.reply(e.Token, Answer{Code: CodeOK, Records: out})
}

// cancel marks a request as cancelled. An unknown request ID is blocked like a
// refused one, so that the answer "not run" remains correct.
func (n *Node) cancel(e CancelRequest) {
	r, issued := n.ownerOfRequest(e.Key, e.Token)
	if r == nil {
		return
	}
	if r.domain.Record(e.Key) == nil {
		if issued < r.domain.HorizonS() {
			n.reply(e.Token, absent(r, e.Key, issued))
			return
		}
		f := state.Refuse{Key: e.Key, AtMS: n.clock.WallMS, Reason: "cancelled before it was accepted"}
		n.refuse(r, e.Token, "", f, func(*state.Record) { n.cancel(e) })
		return
	}
	ok := n.propose(r, state.Command{Cancel: &state.Cancel{Key: e.Key, AtMS: n.clock.WallMS, Actor: e.Actor}}, func(a state.Applied, committed bool) {
		switch {
		case !committed:
			n.reply(e.Token, unavailable("leadership of "+r.group+" changed"))
		case a.Rejected != nil:
			n.reply(e.Token, Answer{Code: CodeNotFound, Message: a.Rejected.Error()})
		default:
			n.reply(e.Token, Answer{Code: CodeOK, Record: a.Records[0]})
		}
	})
	if !ok {
		n.reply(e.Token, unavailable("the log of "+r.group+" accepts no entries now"))
	}
}

// answerWaiters answers the calls that wait for a record that has become final, and
// emits the measurements of the request.
func (n *Node) answerWaiters(r *replica, rec *state.Record) {
	n.emit(Measure{Metric: MetricTotal, Class: rec.Class, Outcome: rec.Outcome(), MS: rec.FinalMS - rec.AcceptedMS})
	if rec.DeadlineMS > 0 && rec.FinalMS > rec.DeadlineMS {
		n.emit(Measure{Metric: MetricLate, Class: rec.Class})
	}
	for _, token := range r.leaderState.waiters[rec.Key] {
		delete(r.leaderState.waitingFor, token)
		n.reply(token, Answer{Code: CodeOK, Record: rec})
	}
	delete(r.leaderState.waiters, rec.Key)
}

func (n *Node) callerDisconnected(t Token) {
	for _, r := range n.hosted {
		if r.leaderState == nil {
			continue
		}
		k, ok := r.leaderState.waitingFor[t]
		if !ok {
			continue
		}
		delete(r.leaderState.waitingFor, t)
		w := r.leaderState.waiters[k]
		for i := range w {
			if w[i] == t {
				w = append(w[:i], w[i+1:]...)
				break
			}
		}
		r.leaderState.waiters[k] = w
		if len(w) == 0 {
			delete(r.leaderState.waiters, k)
		}
	}
}
