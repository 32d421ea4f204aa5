package state

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"
)

// history applies random valid and invalid commands to a domain.
type history struct {
	d            *Domain
	r            *rand.Rand
	index        uint64
	incarnations map[string]uint64
	keys         []Key
}

func newHistory(seed int64) *history {
	h := &history{d: NewDomain("a"), r: rand.New(rand.NewSource(seed)), incarnations: map[string]uint64{}}
	h.apply(Command{Adopt: &AdoptConfiguration{
		Config: VersionedConfiguration{Version: 1},
		Shares: map[string]Resources{"t0": {Slots: 6}, "t1": {Slots: 3}},
	}})
	return h
}

func (h *history) apply(c Command) Applied {
	h.index++
	return h.d.Apply(h.index, c)
}

// key returns one of the latest keys or a new key.
func (h *history) key() Key {
	const latest = 10
	if len(h.keys) > 0 && h.r.Intn(8) > 0 {
		return h.keys[max(0, len(h.keys)-1-h.r.Intn(latest))]
	}
	k := Key{Team: fmt.Sprint("t", h.r.Intn(2)), ID: NewRequestID("a", int64(h.index/20), fmt.Sprint(h.index))}
	h.keys = append(h.keys, k)
	return k
}

func (h *history) endpoint() string { return fmt.Sprint("e", h.r.Intn(3)) }

func (h *history) random() Command {
	k, e, at := h.key(), h.endpoint(), int64(h.index)*20_000
	ref := TaskRef{Key: k, Task: h.r.Intn(3), Attempt: 1 + h.r.Intn(3)}
	inc := h.incarnations[e] - uint64(h.r.Intn(8)/7)
	switch h.r.Intn(12) {
	case 0, 1, 2:
		return Command{Accept: &Accept{Request: Request{Key: k, Class: ClassUrgent, Repeatable: h.r.Intn(2) == 0, Tasks: 1 + h.r.Intn(3), PerTask: Resources{Slots: 1 + h.r.Intn(2)}, AcceptedMS: at}}}
	case 3, 4, 5:
		var items []Assignment
		for range 1 + h.r.Intn(3) {
			e := h.endpoint()
			items = append(items, Assignment{Key: k, Task: h.r.Intn(3), Endpoint: e, Incarnation: h.incarnations[e] - uint64(h.r.Intn(8)/7), Borrowed: h.r.Intn(3) == 0})
		}
		return Command{Assign: &Assign{AtMS: at, Items: items}}
	case 6, 7:
		if rec := h.d.Record(k); rec != nil && h.r.Intn(4) > 0 { // in most cases a report of the current attempt
			ref.Task = h.r.Intn(len(rec.State))
			cur := rec.State[ref.Task]
			ref.Attempt, e, inc = cur.Attempt, cur.Endpoint, cur.Incarnation
		}
		status := []TaskStatus{TaskDone, TaskFailed, TaskNotRun, TaskCancelled}[h.r.Intn(4)]
		return Command{Report: &Report{TaskRef: ref, AtMS: at, Endpoint: e, Incarnation: inc, Status: status, Requeue: h.r.Intn(2) == 0}}
	case 8:
		return Command{Cancel: &Cancel{Key: k, AtMS: at}}
	case 9:
		if h.r.Intn(4) == 0 {
			h.incarnations[e]++
		}
		return Command{RegisterEndpoint: &RegisterEndpoint{AtMS: at, Endpoint: Endpoint{Name: e, Incarnation: h.incarnations[e], Capacity: Resources{Slots: 4}, Status: EndpointReady}}}
	case 10:
		status := []EndpointStatus{EndpointReady, EndpointReady, EndpointReady, EndpointLost, EndpointLeaving, EndpointQuarantined}[h.r.Intn(6)]
		return Command{EndpointStatus: &SetEndpointStatus{AtMS: at, Name: e, Incarnation: inc, Status: status}}
	default:
		switch h.r.Intn(4) {
		case 0:
			return Command{EndpointRemoved: &RemoveEndpoint{AtMS: at, Name: e, Incarnation: inc}}
		case 1:
			return Command{Expire: &Expire{Key: k, AtMS: at, Reason: "late"}}
		case 2:
			return Command{Refuse: &Refuse{Key: k, AtMS: at}}
		default:
			return Command{Prune: &Prune{Keys: []Key{k}}}
		}
	}
}

// invariants checks the conditions that must hold after every command, in any order of
// commands. It records the keys that were accepted, refused and pruned.
type invariants struct {
	refused       map[Key]int64
	known, pruned map[Key]bool
}

func (w *invariants) check(h *history, before *Record, c Command, a Applied) error {
	if err := h.d.Check(); err != nil {
		return err
	}
	for _, r := range a.Records {
		w.known[r.Key] = true
		for i := range r.State {
			t := &r.State[i]
			if !r.Repeatable && t.Attempt-t.Declined > 1 {
				return fmt.Errorf("%v#%d was started %d times", r.Key, i, t.Attempt-t.Declined)
			}
			if t.Status == TaskNotRun && t.Attempt != t.Declined {
				return fmt.Errorf("%v#%d is not_run after %d attempts, %d declined", r.Key, i, t.Attempt, t.Declined)
			}
		}
	}
	if c.Assign != nil && a.Rejected == nil {
		if err := checkPlan(h.d, c.Assign); err != nil {
			return err
		}
	}
	if c.Report != nil && a.Rejected == nil {
		if cur := before.State[c.Report.Task]; cur.Attempt != c.Report.Attempt || cur.Incarnation != c.Report.Incarnation {
			return fmt.Errorf("a report of attempt %d ended attempt %d", c.Report.Attempt, cur.Attempt)
		}
	}
	if c.Accept != nil && a.Rejected == nil {
		if w.pruned[c.Accept.Request.Key] {
			return fmt.Errorf("%v was pruned and accepted again", c.Accept.Request.Key)
		}
		if at, ok := w.refused[c.Accept.Request.Key]; ok && c.Accept.Request.AcceptedMS < at+RefusalHoldMS {
			return fmt.Errorf("%v accepted %d ms after its refusal", c.Accept.Request.Key, c.Accept.Request.AcceptedMS-at)
		}
	}
	if c.Prune != nil && w.known[c.Prune.Keys[0]] && h.d.Record(c.Prune.Keys[0]) == nil {
		w.pruned[c.Prune.Keys[0]] = true
	}
	if c.Refuse != nil && a.Rejected == nil {
		if _, ok := h.d.Refused(c.Refuse.Key); !ok {
			return fmt.Errorf("%v was refused and is not blocked", c.Refuse.Key)
		}
		if _, known := w.refused[c.Refuse.Key]; !known || c.Refuse.AtMS >= w.refused[c.Refuse.Key]+RefusalHoldMS {
			w.refused[c.Refuse.Key] = c.Refuse.AtMS
		}
	}
	return nil
}

// checkPlan checks an applied plan against the quotas and the endpoints.
func checkPlan(d *Domain, p *Assign) error {
	for i := range p.Items {
		it := &p.Items[i]
		if e := d.Endpoint(it.Endpoint); e.Incarnation != it.Incarnation {
			return fmt.Errorf("assigned to incarnation %d of %s, which is at %d", it.Incarnation, e.Name, e.Incarnation)
		}
		if used := d.TeamUsage(it.Team).Own; !it.Borrowed && !used.FitsIn(d.Share(it.Team)) {
			return fmt.Errorf("team %s uses %+v, its share is %+v", it.Team, used, d.Share(it.Team))
		}
		if it.Borrowed && !d.borrowed.FitsIn(d.idle) {
			return fmt.Errorf("borrowed %+v, idle are %+v", d.borrowed, d.idle)
		}
	}
	return nil
}

const (
	histories      = 300
	commandsInEach = 300
)

// Guards against violated invariants after unusual orders of commands, which races
// between leaders and late reports cause: capacity and quotas hold, unrepeatable tasks
// start once, and refused or pruned requests are not accepted again.
func TestRandomCommandsKeepTheInvariants(t *testing.T) {
	assigned, reported := 0, 0
	for seed := range int64(histories) {
		h := newHistory(seed)
		w := &invariants{refused: map[Key]int64{}, known: map[Key]bool{}, pruned: map[Key]bool{}}
		for i := range commandsInEach {
			c := h.random()
			var before *Record
			if c.Report != nil {
				before = h.d.Record(c.Report.Key)
			}
			a := h.apply(c)
			if err := w.check(h, before, c, a); err != nil {
				b, _ := json.Marshal(c)
				t.Fatalf("seed %d, command %d %s: %v", seed, i, b, err)
			}
			assigned += len(a.Assigned)
			if c.Report != nil && a.Rejected == nil {
				reported++
			}
			if i%100 == 99 {
				h.restore(t)
			}
		}
	}
	t.Logf("%d histories, %d commands, %d assignments, %d reports applied", histories, histories*commandsInEach, assigned, reported)
}

// restore replaces the domain with one restored from its encoded snapshot.
func (h *history) restore(t *testing.T) {
	t.Helper()
	b, err := json.Marshal(h.d.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var s DomainSnapshot
	if err := json.Unmarshal(b, &s); err != nil {
		t.Fatal(err)
	}
	h.d = RestoreDomain(&s)
	if err := h.d.Check(); err != nil {
		t.Fatalf("restored: %v", err)
	}
}

// Guards against a plan that is applied in part. A plan made from an old snapshot may
// use the same capacity twice, and must then be rejected as a whole.
func TestAssignIsAllOrNothing(t *testing.T) {
	h := newHistory(1)
	k := Key{Team: "t0", ID: NewRequestID("a", 100, "x")}
	h.apply(Command{RegisterEndpoint: &RegisterEndpoint{Endpoint: Endpoint{Name: "e", Incarnation: 1, Capacity: Resources{Slots: 2}, Status: EndpointReady}}})
	h.apply(Command{Accept: &Accept{Request: Request{Key: k, Tasks: 3, PerTask: Resources{Slots: 1}}}})
	plan := func(tasks ...int) Command {
		a := &Assign{}
		for _, i := range tasks {
			a.Items = append(a.Items, Assignment{Key: k, Task: i, Endpoint: "e", Incarnation: 1})
		}
		return Command{Assign: a}
	}
	if a := h.apply(plan(0, 1, 2)); a.Rejected == nil || h.d.Endpoint("e").Assigned != 0 {
		t.Errorf("plan for 3 of 2 slots: %v, %d assigned", a.Rejected, h.d.Endpoint("e").Assigned)
	}
	if a := h.apply(plan(0, 0)); a.Rejected == nil {
		t.Error("one task was assigned twice in a plan")
	}
	if a := h.apply(plan(0, 1)); a.Rejected != nil || h.d.Endpoint("e").Assigned != 2 {
		t.Errorf("plan that fits: %v", a.Rejected)
	}
}
