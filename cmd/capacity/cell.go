package main

import (
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/health"
	"github.com/primrosereach/primrosereach/coordination/policy"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
	"google.golang.org/protobuf/proto"
)

// deterministicRand is a random source that yields the same numbers on every run.
type deterministicRand struct{ n uint64 }

func (c *deterministicRand) Uint64() uint64 {
	c.n += 0x9e3779b97f4a7c15
	z := c.n
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	return z ^ z>>27
}

// cell runs the entry processes of one domain and of a second one in virtual time.
// Messages between them have no delay, and endpoints accept every start at once.
type cell struct {
	nodes    []*coordination.Node
	names    []string
	now      time.Duration
	queue    []delivery
	answers  map[coordination.Token]coordination.Answer
	starts   []coordination.StartTask // starts sent to endpoints
	token    coordination.Token
	messages int           // messages between processes
	bytes    int           // size of those messages
	entries  int           // log entries saved by all processes
	logBytes int           // size of those entries
	stepTime time.Duration // wall time spent in Node.Step
	steps    int           // calls of Node.Step
}

type delivery struct {
	to int
	ev coordination.Event
}

const startWallMS = 1_800_000_000_000 // Unix milliseconds

// newCell starts three processes: two of domain a and one of domain b.
func newCell() *cell {
	c := &cell{answers: map[coordination.Token]coordination.Answer{}}
	peers := []coordination.Peer{}
	for i, d := range []string{"a", "a", "b"} {
		name := fmt.Sprintf("%s-%d", d, i)
		c.names = append(c.names, name)
		peers = append(peers, coordination.Peer{Member: state.Member{Name: name, Domain: d, Address: fmt.Sprint(i), Disk: true}})
	}
	for i := range peers {
		self := peers[i].Member
		self.Incarnation = uint64(i + 1)
		random := &deterministicRand{n: uint64(i)}
		c.nodes = append(c.nodes, coordination.New(coordination.Config{
			Self: self, Peers: peers, Rand: random,
			NewScheduler: func(t *health.Tracker, h []scheduling.Observation) scheduling.Scheduler {
				return scheduling.New(policy.Options(t, random, h))
			},
		}, c.clock()))
	}
	c.run(5 * time.Second)
	return c
}

func (c *cell) clock() scheduling.Clock {
	return scheduling.Clock{Now: c.now, WallMS: startWallMS + c.now.Milliseconds()}
}

// run advances the virtual time by d and steps the processes whenever one is due.
func (c *cell) run(d time.Duration) {
	end := c.now + d
	for c.now < end {
		next := end
		for _, n := range c.nodes {
			next = min(next, max(n.NextTick(), c.now+time.Millisecond))
		}
		c.now = next
		for i := range c.nodes {
			c.step(i, coordination.Tick{})
		}
		c.deliverQueued()
	}
}

// deliverQueued delivers queued events, and those that follow from them, until none is
// left.
func (c *cell) deliverQueued() {
	for len(c.queue) > 0 {
		d := c.queue[0]
		c.queue = c.queue[1:]
		c.step(d.to, d.ev)
	}
}

func (c *cell) step(i int, ev coordination.Event) {
	startedAt := time.Now()
	effects := c.nodes[i].Step(c.clock(), ev)
	c.stepTime += time.Since(startedAt)
	c.steps++
	for _, e := range effects {
		c.execute(i, e)
	}
}

func (c *cell) execute(from int, e coordination.Effect) {
	switch e := e.(type) {
	case coordination.Persist:
		for k := range e.Entries {
			c.entries++
			if b, err := state.EncodeCommand(e.Entries[k].Command); err == nil {
				c.logBytes += len(b)
			}
		}
		c.queue = append(c.queue, delivery{from, coordination.Persisted{Group: e.Group, Batch: e.Batch}})
	case coordination.SaveSnapshot:
		c.queue = append(c.queue, delivery{from, coordination.SnapshotSaved(e)})
	case coordination.SendPeer:
		c.send(e)
	case coordination.StartTask:
		c.starts = append(c.starts, e)
		c.queue = append(c.queue, delivery{from, coordination.StartAnswered{Start: e, Result: coordination.StartAccepted}})
	case coordination.Reply:
		c.answers[e.Token] = e.Answer
	}
}

func (c *cell) send(e coordination.SendPeer) {
	c.messages++
	if m, err := protocol.EncodeMessage(&e.Message); err == nil {
		c.bytes += proto.Size(m)
	}
	for i, name := range c.names {
		if name == e.Message.To {
			c.queue = append(c.queue, delivery{i, coordination.PeerMessage{Group: e.Message.Group, Message: e.Message}})
		}
	}
}

// call sends an event to each process in turn until one answers with CodeOK.
func (c *cell) call(build func(coordination.Token) coordination.Event) (coordination.Answer, error) {
	for i := range c.nodes {
		c.token++
		c.step(i, build(c.token))
		c.deliverQueued()
		if a, ok := c.answers[c.token]; ok && a.Code == coordination.CodeOK {
			return a, nil
		}
	}
	return coordination.Answer{}, fmt.Errorf("no process answered: last answer %+v", c.answers[c.token])
}

// leader returns the index of the process that leads domain a.
func (c *cell) leader() (int, error) {
	for i := range c.nodes {
		c.token++
		c.step(i, coordination.ReadStatus{Token: c.token})
		for _, g := range c.answers[c.token].Status.Groups {
			if g.Group == coordination.DomainGroup("a") && g.Leads {
				return i, nil
			}
		}
	}
	return 0, fmt.Errorf("no leader of domain a")
}

// configure applies a configuration and runs for a second, in which domain a adopts it.
func (c *cell) configure(cfg state.Configuration, expected uint64) error {
	_, err := c.call(func(t coordination.Token) coordination.Event {
		return coordination.ConfigureCell{Token: t, Configure: state.Configure{Actor: "capacity", ChangeID: fmt.Sprint("change-", expected), Expected: expected, Config: cfg}}
	})
	c.run(time.Second)
	return err
}

// addEndpoints registers n workers by sending the first heartbeat of each.
func (c *cell) addEndpoints(n int) error {
	for i := range n {
		if err := c.heartbeat(i); err != nil {
			return err
		}
	}
	return nil
}

func (c *cell) heartbeat(i int) error {
	h := heartbeatRequest(i)
	ev, fault := h.Event(fmt.Sprintf("worker-%04d", i))
	if fault != nil {
		return fault
	}
	_, err := c.call(func(t coordination.Token) coordination.Event {
		ev.Token = t
		return ev
	})
	return err
}

func heartbeatRequest(i int) protocol.HeartbeatRequest {
	return protocol.HeartbeatRequest{
		Domain: "a", Kind: state.KindWorker, Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1), Incarnation: uint64(i) + 0x7000000000000000,
		Capacity: state.Resources{MilliCores: 64_000, MemoryMB: 256 << 10}, Used: state.Resources{MilliCores: 31_000, MemoryMB: 100_000},
		Rack: fmt.Sprintf("rack-%d", i/8),
	}
}
