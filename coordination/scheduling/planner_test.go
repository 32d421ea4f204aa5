package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// testEpochMS is the wall-clock time when testCell.now is 0, in Unix milliseconds.
const testEpochMS = 1_800_000_000_000

// testCell applies the plans of a scheduler to a state.Domain, as the control goroutine
// does.
type testCell struct {
	t     *testing.T
	d     *state.Domain
	s     Scheduler
	now   time.Duration
	index uint64 // index of the latest command
	ids   int    // number of requests accepted so far
}

func newTestCell(t *testing.T, teams map[string]state.Resources) *testCell {
	c := &testCell{t: t, d: state.NewDomain("a"), s: New(Options{}), now: time.Second}
	cfg := state.Configuration{Teams: map[string]state.TeamConfig{}}
	for name, q := range teams {
		cfg.Teams[name] = state.TeamConfig{Quota: q}
	}
	c.apply(state.Command{Adopt: &state.AdoptConfiguration{Config: state.VersionedConfiguration{Version: 1, Configuration: cfg}, Shares: teams}})
	c.s.Configure(cfg, teams)
	return c
}

func (c *testCell) clock() Clock {
	return Clock{Now: c.now, WallMS: testEpochMS + c.now.Milliseconds()}
}

func (c *testCell) apply(cmd state.Command) state.Applied {
	c.index++
	a := c.d.Apply(c.index, cmd)
	for _, r := range a.Records {
		c.s.RecordChanged(c.clock(), r)
	}
	if a.Endpoint != nil {
		c.s.EndpointChanged(c.clock(), a.Endpoint)
	}
	if err := c.d.Check(); err != nil {
		c.t.Fatal(err)
	}
	return a
}

func (c *testCell) worker(name, rack string, cores, memoryMB int) {
	c.apply(state.Command{RegisterEndpoint: &state.RegisterEndpoint{AtMS: c.clock().WallMS, Endpoint: state.Endpoint{
		Name: name, Kind: state.KindWorker, Incarnation: 1, Rack: rack, Status: state.EndpointReady,
		Capacity: state.Resources{MilliCores: cores * 1000, MemoryMB: memoryMB},
	}}})
}

func (c *testCell) runner(name string, slots int) {
	c.apply(state.Command{RegisterEndpoint: &state.RegisterEndpoint{AtMS: c.clock().WallMS, Endpoint: state.Endpoint{
		Name: name, Kind: state.KindRunner, Incarnation: 1, Status: state.EndpointReady, Capacity: state.Resources{Slots: slots},
	}}})
}

func (c *testCell) accept(r state.Request) state.Key {
	c.ids++
	r.ID = state.NewRequestID("a", c.clock().WallMS/1000, fmt.Sprint(c.ids))
	r.AcceptedMS = c.clock().WallMS
	r.Tasks = max(1, r.Tasks)
	if a := c.apply(state.Command{Accept: &state.Accept{Request: r}}); a.Rejected != nil {
		c.t.Fatal(a.Rejected)
	}
	return r.Key
}

// plan applies the scheduler's plans and returns the attempts that they start.
func (c *testCell) plan() []state.TaskRef {
	var out []state.TaskRef
	for _, p := range c.s.Plan(c.clock()) {
		a := c.apply(state.Command{Assign: p})
		if a.Rejected != nil {
			c.t.Fatalf("plan rejected: %v", a.Rejected)
		}
		for _, it := range p.Items {
			c.s.EndpointChanged(c.clock(), c.d.Endpoint(it.Endpoint))
		}
		c.s.PlanSettled(p, true)
		out = append(out, a.Assigned...)
	}
	return out
}

func (c *testCell) finish(ref state.TaskRef, status state.TaskStatus) {
	r := c.d.Record(ref.Key)
	t := r.State[ref.Task]
	advice := c.s.Observe(c.clock(), Observation{Record: r, Task: ref.Task, Endpoint: t.Endpoint, RunMS: c.clock().WallMS - t.AssignedMS, Status: status})
	c.apply(state.Command{Report: &state.Report{TaskRef: ref, AtMS: c.clock().WallMS, Endpoint: t.Endpoint, Incarnation: t.Incarnation,
		Status: status, Requeue: advice.Requeue, EndpointAtFault: advice.EndpointAtFault, NotBeforeMS: advice.NotBeforeMS}})
}

func (c *testCell) elapse(d time.Duration) { c.now += d }

func largeQuotas() map[string]state.Resources {
	big := state.Resources{Slots: 1000, MilliCores: 10_000_000, MemoryMB: 100_000_000}
	return map[string]state.Resources{"x": big, "y": big}
}

func slotRequest(team string, class state.Class) state.Request {
	return state.Request{Key: state.Key{Team: team}, Kind: string(class), Class: class, Repeatable: class != state.ClassUrgent, PerTask: state.Resources{Slots: 1}, EstimateMS: 100}
}

func batchRequest(team string, cores int) state.Request {
	return state.Request{Key: state.Key{Team: team}, Kind: "run", Class: state.ClassBatch, PerTask: state.Resources{MilliCores: cores * 1000, MemoryMB: cores * 1024}, EstimateMS: 60_000}
}

// Guards against deferrable work that is planned before urgent work when there are fewer
// free slots than requests.
func TestUrgentFirst(t *testing.T) {
	c := newTestCell(t, largeQuotas())
	c.runner("r", 2)
	c.accept(slotRequest("x", state.ClassDeferrable))
	c.accept(slotRequest("x", state.ClassDeferrable))
	u := c.accept(slotRequest("y", state.ClassUrgent))
	got := c.plan()
	if len(got) != 2 || got[0].Key != u {
		t.Fatalf("planned %v, want the urgent request first and two in all", got)
	}
}

// Guards against a gang that starts with a part of its tasks, and against two
// half-placed gangs that wait for each other.
func TestGangStartsTogether(t *testing.T) {
	c := newTestCell(t, largeQuotas())
	for i := range 4 {
		c.worker(fmt.Sprint("w", i), "rack", 8, 64_000)
	}
	small := c.accept(batchRequest("x", 8))
	running := c.plan()
	gang := batchRequest("y", 8)
	gang.Class, gang.Kind, gang.Tasks = state.ClassGang, "gang", 4
	first := c.accept(gang)
	second := c.accept(gang)
	c.accept(batchRequest("x", 8))
	if got := c.plan(); len(got) != 0 {
		t.Fatalf("planned %v while a gang holds all workers", got)
	}
	if running[0].Key != small {
		t.Fatalf("planned %v, want %v", running, small)
	}
	c.elapse(time.Second)
	c.finish(running[0], state.TaskDone)
	got := c.plan()
	if len(got) != 4 || got[0].Key != first {
		t.Fatalf("planned %v, want the four tasks of %v", got, first)
	}
	for _, ref := range got {
		c.finish(ref, state.TaskDone)
	}
	if got = c.plan(); len(got) != 4 || got[0].Key != second {
		t.Fatalf("planned %v, want the four tasks of %v", got, second)
	}
}
