// Package replicationtest runs the replicas of one group in virtual time on a
// fake network and fake disks, and checks the invariants of consensus after each
// step. Everything that happens depends only on the seed.
package replicationtest

import (
	"container/heap"
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
)

// Options describe a cluster. Zero durations mean the defaults of NewCluster.
type Options struct {
	Seed          uint64
	Group         string
	Members       []MemberOptions
	MinDelay      time.Duration // one way
	MaxDelay      time.Duration
	MaxSync       time.Duration // a sync takes up to this long
	Drift         float64       // each clock runs by up to this part fast or slow
	SnapshotEvery uint64        // entries between snapshots
	MaxVoters     int           // processes beyond it stay spares; 0 for a group that admits founding names only
	MakeCommand   func(id uint64) state.Command
}

// MemberOptions describe a founding member.
type MemberOptions struct {
	Name string
	Disk bool
}

// Cluster is a set of processes that run one replica each.
type Cluster struct {
	Net Network
	Counters
	opt      Options
	rng      *Rand
	now      time.Duration // of an observer, not of any process
	queue    eventQueue
	sequence uint64
	procs    []*Process
	founders []string
	check    checker
	nextID   uint64
	lastLoss time.Duration
}

// Counters count what happened since the start.
type Counters struct {
	Steps     int // events handled by replicas
	Messages  map[replication.MessageType]int
	Dropped   int // messages lost on the fake network
	Refused   int // messages that a replica dropped
	Proposals int // accepted into a leader's log
	Committed int // distinct committed entries
}

// MessageTotal returns the number of messages sent.
func (c *Counters) MessageTotal() int {
	n := 0
	for _, k := range c.Messages {
		n += k
	}
	return n
}

// NewCluster starts all members with empty storage.
func NewCluster(o Options) *Cluster {
	if o.Group == "" {
		o.Group = "north"
	}
	if o.MaxDelay == 0 {
		o.MinDelay, o.MaxDelay = time.Millisecond, 3*time.Millisecond
	}
	if o.MaxSync == 0 {
		o.MaxSync = 10 * time.Millisecond
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = 4096
	}
	if o.MakeCommand == nil {
		o.MakeCommand = func(id uint64) state.Command {
			return state.Command{Prune: &state.Prune{HorizonS: int64(id)}}
		}
	}
	c := &Cluster{opt: o, rng: NewRand(o.Seed), Counters: Counters{Messages: map[replication.MessageType]int{}}}
	c.Net = newNetwork(c)
	c.check = newChecker()
	for _, m := range o.Members {
		c.founders = append(c.founders, m.Name)
	}
	for _, m := range o.Members {
		c.start(c.newProcess(m.Name, m.Name, m.Disk))
	}
	return c
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (c *Cluster) at(t time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{max(t, c.now), c.sequence, run})
}

// Now returns the virtual time since the start.
func (c *Cluster) Now() time.Duration { return c.now }

// Rand returns the cluster's generator.
func (c *Cluster) Rand() *Rand { return c.rng }

// Run lets virtual time pass. It returns the first violation of an invariant.
func (c *Cluster) Run(d time.Duration) error {
	end := c.now + d
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
		if c.check.err != nil {
			return errors.Wrapf(c.check.err, "seed %d, after %s, step %d", c.opt.Seed, c.now, c.Steps)
		}
	}
	c.now = end
	return nil
}

// RunUntil lets time pass until a condition holds. It fails after limit.
func (c *Cluster) RunUntil(limit time.Duration, done func() bool) error {
	end := c.now + limit
	for !done() {
		if c.now >= end {
			return errors.Errorf("seed %d: the condition does not hold after %s", c.opt.Seed, limit)
		}
		if err := c.Run(5 * time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// Process returns a process by its address, which is the name of a founding
// member, or nil.
func (c *Cluster) Process(address string) *Process {
	for _, p := range c.procs {
		if p.Self.Address == address {
			return p
		}
	}
	return nil
}

// Processes returns all processes, also those that are down.
func (c *Cluster) Processes() []*Process { return c.procs }

// Leader returns the running process that holds a valid lease, or nil.
func (c *Cluster) Leader() *Process {
	for _, p := range c.procs {
		if p.Running() && p.Group.HasLease(p.Now()) {
			return p
		}
	}
	return nil
}

// WaitLeader runs until a leader can answer reads.
func (c *Cluster) WaitLeader(limit time.Duration) (*Process, error) {
	var l *Process
	err := c.RunUntil(limit, func() bool {
		if l = c.Leader(); l == nil {
			return false
		}
		_, ok := l.Group.ReadCurrent(l.Now())
		return ok
	})
	return l, err
}

// Propose proposes a new command on a process.
func (c *Cluster) Propose(p *Process) (index uint64, err error) {
	if !p.Running() {
		return 0, errors.New("the process is down or paused")
	}
	c.nextID++
	index, _, err = p.Group.Propose(p.Now(), c.opt.MakeCommand(c.nextID))
	if err == nil {
		c.Proposals++
	}
	p.pump()
	return index, err
}

// WaitCommit proposes on the current leader until a proposal is committed there.
// It returns the index of that proposal.
func (c *Cluster) WaitCommit(limit time.Duration) (index uint64, err error) {
	var l *Process
	var term uint64
	err = c.RunUntil(limit, func() bool {
		if l != nil && l.Running() && l.Group.Committed() >= index {
			if _, t := l.Group.Leader(); t == term {
				return true
			}
			l = nil
		}
		if cur := c.Leader(); cur != nil && cur != l {
			if i, err := c.Propose(cur); err == nil {
				l, index = cur, i
				_, term = cur.Group.Leader()
			}
		}
		return false
	})
	return index, err
}

// AllAdmitted reports whether the members that a leader lists are exactly the
// given processes and all of them have every committed entry synced.
func (c *Cluster) AllAdmitted(procs ...*Process) bool {
	l := c.Leader()
	if l == nil {
		return false
	}
	members := l.Group.Status(l.Now()).Members
	if len(members) != len(procs) {
		return false
	}
	for _, m := range members {
		found := false
		for _, p := range procs {
			found = found || p.Self == m.Member
		}
		if !found || !m.Voter || m.Match < l.Group.Committed() {
			return false
		}
	}
	return true
}
