package coordination

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

const (
	hopTime  = time.Millisecond     // latency of a message between members
	syncTime = 5 * time.Millisecond // duration of a write
	stepTime = time.Millisecond     // step of the virtual time
)

// jobGroupTest runs the members of a job group in virtual time. Orders to workers are
// recorded and not executed.
type jobGroupTest struct {
	t           *testing.T
	now         time.Duration
	nodes       []*Node
	partitioned []bool // members that exchange no messages
	pending     []delivery
	orders      []jobs.Effect // effects that the leaders requested, in order
	answers     map[Token]Answer
}

// delivery is an event that arrives at a node.
type delivery struct {
	at   time.Duration // earliest virtual time of the arrival
	node int           // index of the receiver
	from int           // index of the sender, the receiver itself for the end of a write
	ev   Event
}

func newJobGroupTest(t *testing.T) *jobGroupTest {
	g := &jobGroupTest{t: t, partitioned: make([]bool, 3), answers: map[Token]Answer{}}
	names := []string{"a", "b", "c"}
	var contacts []state.Member
	for _, n := range names {
		contacts = append(contacts, state.Member{Name: n, Address: n})
	}
	for i, n := range names {
		g.nodes = append(g.nodes, New(Config{
			Self: state.Member{Name: n, Incarnation: uint64(i + 1), Address: n, Disk: true}, Rand: rand.New(rand.NewPCG(uint64(i), 1)),
			Jobs: &JobConfig{
				InitialMembers: names, Contacts: contacts, FaultTolerance: 1, Address: func(name string) string { return name },
				Bounds: jobs.Bounds{MaxLease: 6 * time.Second, StopTime: 400 * time.Millisecond, GangWait: 3 * time.Second, StatusRetention: 2 * time.Minute, RemoteDataFactor: 2},
			},
		}, g.clock()))
	}
	return g
}

func (g *jobGroupTest) clock() scheduling.Clock {
	return scheduling.Clock{Now: g.now, WallMS: 1_700_000_000_000 + g.now.Milliseconds()}
}

func (g *jobGroupTest) step(i int, ev Event) {
	for _, e := range g.nodes[i].Step(g.clock(), ev) {
		switch e := e.(type) {
		case SendPeer:
			if to := slices.Index([]string{"a", "b", "c"}, e.Address); to >= 0 {
				g.pending = append(g.pending, delivery{g.now + hopTime, to, i, PeerMessage{Group: JobGroup, Message: e.Message}})
			}
		case Persist:
			g.pending = append(g.pending, delivery{g.now + syncTime, i, i, Persisted{Group: e.Group, Batch: e.Batch}})
		case SaveSnapshot:
			g.pending = append(g.pending, delivery{g.now + syncTime, i, i, SnapshotSaved(e)})
		case Reply:
			g.answers[e.Token] = e.Answer
		case JobEffect:
			g.orders = append(g.orders, e.Effect)
		}
	}
}

// run advances the virtual time by d.
func (g *jobGroupTest) run(d time.Duration) {
	for end := g.now + d; g.now < end; g.now += stepTime {
		due := g.pending
		g.pending = nil
		for _, m := range due {
			switch {
			case m.at > g.now:
				g.pending = append(g.pending, m)
			case m.node == m.from || !g.partitioned[m.node] && !g.partitioned[m.from]:
				g.step(m.node, m.ev)
			}
		}
		for i := range g.nodes {
			g.step(i, Tick{})
		}
	}
}

// leader returns the index of the member that leads and is not isolated, -1 for none.
func (g *jobGroupTest) leader() int {
	for i, n := range g.nodes {
		if r := n.replicas[JobGroup]; r.leaderState != nil && !g.partitioned[i] {
			return i
		}
	}
	return -1
}

// call sends an event with a token to node i; its answer appears in answers.
func (g *jobGroupTest) call(i int, token Token, ev jobs.Event) { g.step(i, JobEvent{token, ev}) }

// observations returns the orders to observe a worker.
func (g *jobGroupTest) observations() []jobs.Observe {
	var out []jobs.Observe
	for _, e := range g.orders {
		if o, ok := e.(jobs.Observe); ok {
			out = append(out, o)
		}
	}
	return out
}

// answerJoinCheck answers the only observation so far, which polls a worker that wants to join,
// with a list of ended runs.
func (g *jobGroupTest) answerJoinCheck(l int, ended ...jobs.EndedRun) {
	g.t.Helper()
	seen := g.observations()
	if len(seen) != 1 {
		g.t.Fatalf("%d observations of a worker that wants to join", len(seen))
	}
	g.step(l, JobEvent{Event: jobs.Observed{Observe: seen[0], Result: jobs.OrderDone, ClockMS: 100, Ended: ended}})
	g.orders = nil
	g.run(100 * time.Millisecond)
}

// Guards against dropping the result of an order that arrives while the leader is
// briefly isolated and holds no lease: the worker was then never observed again.
// Found by the soak, seed 124.
func TestResultOfOrderWithoutLeaseIsKept(t *testing.T) {
	g := newJobGroupTest(t)
	g.run(2 * time.Second)
	l := g.leader()
	if l < 0 {
		t.Fatal("no leader after 2 s")
	}
	g.call(l, 1, jobs.Configure{Token: 1, Configuration: job.Configuration{
		Version: 1, Document: []byte("{}"), Pools: []job.Pool{{Name: "p"}},
		Queues: []job.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, TimeoutMS: 3000}},
	}})
	worker := job.Worker{Incarnation: job.Incarnation{ID: "w", StartedMS: 5}, Address: "w:1", Pool: "p", Capacity: resource.Amount{MilliCores: 8000, MemoryMB: 1000}}
	g.call(l, 2, jobs.WorkerHeartbeat{Token: 2, Worker: worker, ClockMS: 100, Sequence: 1})
	g.run(100 * time.Millisecond)
	g.answerJoinCheck(l, jobs.EndedRun{Number: 1, RunEnd: job.RunEnd{TaskRef: job.TaskRef{StepRef: job.StepRef{Job: "0"}}, Run: 1, Kind: job.EndStopped}})
	seen := g.observations()
	if len(seen) != 1 {
		t.Fatalf("%d observations of a new worker that has listed an end", len(seen))
	}
	g.partitioned[l] = true
	g.run(450 * time.Millisecond) // the lease of 400 ms is over, elections begin after 500 ms
	if r := g.nodes[l].replicas[JobGroup]; r.leaderState == nil || r.raft.HasLease(g.now) {
		t.Fatal("the member should lead without a lease")
	}
	g.step(l, JobEvent{Event: jobs.Observed{Observe: seen[0], Result: jobs.OrderDone, ClockMS: 200}})
	g.partitioned[l] = false
	g.run(400 * time.Millisecond)
	if g.leader() != l {
		t.Fatal("another member was elected meanwhile")
	}
	g.call(l, 3, jobs.Submit{Token: 3, Host: "h", Path: "/q/1", Submission: job.Submission{ID: "1", Steps: []job.Step{{Count: 1, PerTask: resource.Amount{MilliCores: 1000}}}}})
	g.run(time.Second)
	for _, e := range g.orders {
		if s, ok := e.(jobs.StartRun); ok {
			g.step(l, JobEvent{Event: jobs.StartAnswered{Start: s, Result: jobs.OrderDone, ClockMS: 300}})
			g.run(300 * time.Millisecond)
			if n := len(g.observations()); n < 2 {
				t.Errorf("the worker runs a task and is not observed")
			}
			return
		}
	}
	t.Errorf("the task was not started")
}

// Guards against a leader that handles each heartbeat of each worker: members confirm those
// that change nothing, and only those.
func TestMembersConfirmHeartbeatsThatChangeNothing(t *testing.T) {
	g := newJobGroupTest(t)
	g.run(2 * time.Second)
	l := g.leader()
	worker := job.Worker{Incarnation: job.Incarnation{ID: "w", StartedMS: 5}, Address: "w:1", Pool: "p", Capacity: resource.Amount{MilliCores: 8000}}
	heartbeat := jobs.WorkerHeartbeat{Worker: worker, ClockMS: 100, Sequence: 2}
	token := Token(10)
	confirmed := func(i int, e jobs.WorkerHeartbeat) bool {
		token++
		g.step(i, ConfirmWorker{Token: token, Heartbeat: e})
		return g.answers[token].Code == CodeOK
	}
	follower := (l + 1) % len(g.nodes)
	if confirmed(follower, heartbeat) {
		t.Error("a worker that has not joined is confirmed")
	}
	joining := heartbeat
	joining.Token, joining.Sequence = 1, 1
	g.call(l, 1, joining)
	g.run(100 * time.Millisecond)
	if confirmed(follower, heartbeat) {
		t.Error("a worker that has not answered yet is confirmed")
	}
	g.answerJoinCheck(l)
	g.run(200 * time.Millisecond)
	if !confirmed(follower, heartbeat) {
		t.Error("the heartbeat of a known worker is not confirmed by a follower")
	}
	if confirmed(l, heartbeat) {
		t.Error("the leader confirms a heartbeat instead of handling it")
	}
	draining, restarted, moved := heartbeat, heartbeat, heartbeat
	draining.Draining = true
	restarted.Worker.StartedMS++
	moved.Worker.Address = "w:2"
	for _, e := range []jobs.WorkerHeartbeat{draining, restarted, moved} {
		if confirmed(follower, e) {
			t.Errorf("a heartbeat that changes the record is confirmed: %+v", e)
		}
	}
}

// Guards against members that run out of memory or disk: the log holds hundreds of large configurations, since
// snapshots were due by the number of entries only.
func TestLargeConfigurationsAreCompacted(t *testing.T) {
	const changes, documentBytes = 200, 300_000
	g := newJobGroupTest(t)
	g.run(2 * time.Second)
	l := g.leader()
	if l < 0 {
		t.Fatal("no leader after 2 s")
	}
	for v := int64(1); v <= changes; v++ {
		g.call(l, Token(v), jobs.Configure{Token: jobs.Token(v), Configuration: job.Configuration{
			Version: v, Document: make([]byte, documentBytes), Pools: []job.Pool{{Name: "p"}},
			Queues: []job.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, TimeoutMS: 3000}},
		}})
		g.run(50 * time.Millisecond)
		for i := range g.nodes {
			// The entries since the last snapshot, those kept before it, and those that come while it is saved.
			if b := g.nodes[i].replicas[JobGroup].raft.LogBytes(); b > 32<<20 {
				t.Fatalf("member %d holds entries of %d bytes after %d changes", i, b, v)
			}
		}
	}
	if v := g.nodes[l].replicas[JobGroup].jobs.Configuration().Version; v != changes {
		t.Errorf("version %d is in force", v)
	}
}
