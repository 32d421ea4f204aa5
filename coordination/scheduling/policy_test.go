package scheduling

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Guards against a team that exceeds its share, unrepeatable work that borrows, and
// borrowing beyond what other teams leave idle.
func TestQuotaAndBorrowing(t *testing.T) {
	c := newTestCell(t, map[string]state.Resources{"x": {Slots: 2}, "y": {Slots: 3}})
	c.runner("r", 16)
	c.accept(slotRequest("y", state.ClassUrgent))
	for range 5 {
		c.accept(slotRequest("x", state.ClassUrgent))
		c.accept(slotRequest("x", state.ClassInteractive))
	}
	c.plan()
	x := c.d.TeamUsage("x")
	if x.Own.Slots != 2 || x.Borrowed.Slots != 2 {
		t.Fatalf("team x uses %+v, want 2 own and the 2 idle slots of team y", x)
	}
	if c.plan() != nil {
		t.Error("more was planned without a change")
	}
}

// Guards against lanes that stay parked after quota was returned.
func TestQuotaReturned(t *testing.T) {
	c := newTestCell(t, map[string]state.Resources{"x": {Slots: 1}})
	c.runner("r", 4)
	for range 3 {
		c.accept(slotRequest("x", state.ClassUrgent))
	}
	for i := range 3 {
		got := c.plan()
		if len(got) != 1 {
			t.Fatalf("round %d: planned %v, want one within the share", i, got)
		}
		c.elapse(time.Second)
		c.finish(got[0], state.TaskDone)
	}
}

// Guards against refusing work while endpoints are still registering, and against
// accepting it later although it can never run.
func TestImpossibleRequests(t *testing.T) {
	c := newTestCell(t, largeQuotas())
	c.worker("w", "rack", 8, 64_000)
	tooLarge, gang := batchRequest("x", 9), batchRequest("x", 8)
	gang.Class, gang.Tasks = state.ClassGang, 2
	for _, r := range []state.Request{tooLarge, gang} {
		if v := c.s.Admit(c.clock(), &r); !v.Admit {
			t.Errorf("refused while endpoints may be joining: %s", v.Reason)
		}
	}
	early := c.accept(tooLarge)
	if why := c.s.WhyWaiting(early); !strings.Contains(why, "more than any") {
		t.Errorf("why it waits: %q", why)
	}
	c.elapse(joinPeriod)
	for _, r := range []state.Request{tooLarge, gang} {
		if v := c.s.Admit(c.clock(), &r); v.Admit || v.Reason == "" || v.RetryAfterMS != 0 {
			t.Errorf("verdict %+v, want a permanent refusal with a reason", v)
		}
	}
	if out := c.s.Expired(c.clock()); len(out) != 1 || out[0].Key != early {
		t.Errorf("expired %+v, want the request accepted early", out)
	}
	c.worker("large", "rack", 16, 64_000)
	if v := c.s.Admit(c.clock(), &tooLarge); !v.Admit {
		t.Errorf("refused although a worker has room: %s", v.Reason)
	}
}

// Guards against a rejected plan whose tasks or capacity stay reserved, and against
// proposing it again at once.
func TestRejectedPlan(t *testing.T) {
	c := newTestCell(t, largeQuotas())
	c.runner("r", 1)
	k := c.accept(slotRequest("x", state.ClassUrgent))
	p := c.s.Plan(c.clock())
	if len(p) != 1 || c.s.Plan(c.clock()) != nil {
		t.Fatalf("planned %v, want one plan once", p)
	}
	c.s.PlanSettled(p[0], false)
	if again := c.s.Plan(c.clock()); again != nil {
		t.Errorf("proposed again at once: %v", again)
	}
	if nextPlan := c.s.NextPlanTime(); nextPlan != c.now+rejectedDelayMS*time.Millisecond {
		t.Errorf("next plan at %v, want after the delay", nextPlan)
	}
	c.elapse(rejectedDelayMS * time.Millisecond)
	if got := c.plan(); len(got) != 1 || got[0].Key != k {
		t.Errorf("planned %v, want the request again", got)
	}
}

// Guards against capacity that stays reserved after a request was cancelled between plan
// and commit.
func TestCancelWhilePlanned(t *testing.T) {
	c := newTestCell(t, largeQuotas())
	c.runner("r", 1)
	k := c.accept(slotRequest("x", state.ClassUrgent))
	p := c.s.Plan(c.clock())
	c.apply(state.Command{Cancel: &state.Cancel{Key: k, AtMS: c.clock().WallMS, Actor: "test"}})
	if a := c.apply(state.Command{Assign: p[0]}); a.Rejected == nil {
		t.Fatal("a cancelled request was assigned")
	}
	c.s.PlanSettled(p[0], false)
	other := c.accept(slotRequest("y", state.ClassUrgent))
	if got := c.plan(); len(got) != 1 || got[0].Key != other {
		t.Errorf("planned %v, want %v on the free slot", got, other)
	}
	if n := len(c.s.(*planner).jobs); n != 1 {
		t.Errorf("%d jobs are kept, want 1", n)
	}
}

// Guards against an endpoint that fails every task and still gets work, and against a
// quarantined one that gets no trial task to show that it has recovered.
func TestQuarantineAndTrial(t *testing.T) {
	c := newTestCell(t, largeQuotas())
	c.runner("r", 3)
	for range 6 {
		c.accept(slotRequest("x", state.ClassInteractive))
	}
	for _, ref := range c.plan() {
		c.finish(ref, state.TaskFailed)
	}
	tr := c.s.EndpointTransitions(c.clock())
	if len(tr) != 1 || tr[0].Status != state.EndpointQuarantined {
		t.Fatalf("transitions %+v, want quarantined", tr)
	}
	c.apply(state.Command{EndpointStatus: tr[0]})
	if got := c.plan(); got != nil {
		t.Fatalf("planned %v on a quarantined endpoint", got)
	}
	c.elapse(firstTrial)
	trial := c.plan()
	if len(trial) != 1 || c.plan() != nil {
		t.Fatalf("planned %v, want one trial task", trial)
	}
	c.finish(trial[0], state.TaskDone)
	tr = c.s.EndpointTransitions(c.clock())
	if len(tr) != 1 || tr[0].Status != state.EndpointReady {
		t.Fatalf("transitions %+v, want ready", tr)
	}
	c.apply(state.Command{EndpointStatus: tr[0]})
	if got := c.plan(); len(got) != 3 {
		t.Errorf("planned %v, want all slots used", got)
	}
}

// Guards against tasks of a service that share a rack while other racks have room, and
// against a task that moves to another worker although its own, restarted one has room.
func TestServicesSpreadAndReturn(t *testing.T) {
	c := newTestCell(t, largeQuotas())
	for i := range 8 {
		c.worker(fmt.Sprint("w", i), fmt.Sprint("rack", i/2), 8, 64_000)
	}
	r := batchRequest("x", 2)
	r.Class, r.Repeatable, r.Tasks = state.ClassService, true, 4
	k := c.accept(r)
	refs := c.plan()
	racks := map[string]bool{}
	for _, task := range c.d.Record(k).State {
		racks[c.d.Endpoint(task.Endpoint).Rack] = true
	}
	if len(refs) != 4 || len(racks) != 4 {
		t.Fatalf("%d tasks in %d racks, want 4 in 4", len(refs), len(racks))
	}
	before := c.d.Record(k).State[2].Endpoint
	e := *c.d.Endpoint(before)
	e.Incarnation++
	c.apply(state.Command{RegisterEndpoint: &state.RegisterEndpoint{AtMS: c.clock().WallMS, Endpoint: e}})
	c.plan()
	if after := c.d.Record(k).State[2].Endpoint; after != before {
		t.Errorf("restarted on %s, want %s", after, before)
	}
}

// Guards against long work that occupies the slots kept for interactive work.
func TestLongWorkLeavesSlots(t *testing.T) {
	c := newTestCell(t, largeQuotas())
	c.runner("r", 16)
	long := slotRequest("x", state.ClassUrgent)
	long.EstimateMS = 10 * longMS
	for range 20 {
		c.accept(long)
		d := slotRequest("y", state.ClassDeferrable)
		d.EstimateMS = 10 * longMS
		c.accept(d)
	}
	c.plan()
	preview := c.accept(slotRequest("y", state.ClassInteractive))
	if got := c.plan(); len(got) != 1 || got[0].Key != preview {
		t.Errorf("planned %v, want the preview on a slot kept for it", got)
	}
}

// Guards against a gang that occupies its team's quota before it can start as a whole,
// and against a gang that never starts because smaller work of the team uses the quota as
// soon as it is returned.
func TestGangGetsItsQuota(t *testing.T) {
	quota := state.Resources{MilliCores: 16_000, MemoryMB: 32_000}
	c := newTestCell(t, map[string]state.Resources{"x": quota})
	c.worker("w", "rack", 64, 256_000)
	for range 3 {
		c.accept(batchRequest("x", 4))
	}
	running := c.plan()
	gang := batchRequest("x", 8)
	gang.Class, gang.Tasks = state.ClassGang, 2
	k := c.accept(gang)
	c.plan()
	for _, ref := range running {
		c.accept(batchRequest("x", 4))
		c.elapse(time.Second)
		c.finish(ref, state.TaskDone)
		if got := c.plan(); len(got) > 0 && got[0].Key != k {
			t.Fatalf("planned %v while the gang waits for quota", got)
		}
	}
	if s := c.d.Record(k).State; s[0].Status != state.TaskAssigned || s[1].Status != state.TaskAssigned {
		t.Errorf("the gang has not started: %+v", s)
	}
}

// Guards against a task that is excluded from the only free endpoint, on which it failed,
// and blocks other tasks of its size.
func TestExcludedEndpointDoesNotBlockOthers(t *testing.T) {
	c := newTestCell(t, largeQuotas())
	c.runner("a", 1)
	c.runner("b", 1)
	c.accept(slotRequest("y", state.ClassUrgent))
	failing := slotRequest("x", state.ClassInteractive)
	failing.Retries = 3
	k := c.accept(failing)
	for _, ref := range c.plan() {
		if ref.Key == k {
			c.finish(ref, state.TaskFailed)
		}
	}
	c.elapse(retryDelayMS * time.Millisecond)
	other := c.accept(slotRequest("x", state.ClassInteractive))
	if got := c.plan(); len(got) != 1 || got[0].Key != other {
		t.Errorf("planned %v, want %v", got, other)
	}
}
