// Package replicationtest simulates the replicas of one group in virtual time, with
// a simulated network and simulated disks, and checks the invariants of Raft after
// each step. All randomness comes from the seed, so that a run can be repeated.
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
	MinDelay      time.Duration // minimum one-way network delay
	MaxDelay      time.Duration // maximum one-way network delay
	MaxSync       time.Duration // maximum duration of a disk sync
	Drift         float64       // maximum relative clock error; 0.1 is 10% fast or slow
	SnapshotEvery uint64        // number of applied entries between snapshots
	MaxVoters     int           // number of voters above which processes stay spares; 0 for a group that admits only initial and allowed members
	RepairTime    time.Duration // time from the start of a replacement process until another voter may be lost
	MakeCommand   func(id uint64) state.Command
	Domain        func(name string) string // failure domain of a process; nil for one domain
}

// MemberOptions describe an initial member.
type MemberOptions struct {
	Name string
	Disk bool
}

// Cluster is a set of processes that run one replica each.
type Cluster struct {
	Net Network
	Counters
	opt            Options
	rng            *Rand
	now            time.Duration // virtual time; the clocks of the processes drift from it
	queue          eventQueue
	sequence       uint64
	procs          []*Process
	initialMembers []string // names
	check          checker
	lastCommandID  uint64        // ID of the last proposed command
	lastLoss       time.Duration // time of the last loss of storage or permanent stop of a process
}

// Counters count the events since the start of the cluster.
type Counters struct {
	Steps     int // events handled by replicas
	Messages  map[replication.MessageType]int
	Dropped   int // messages lost in the simulated network
	Refused   int // messages for which Step returned an error
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
		c.initialMembers = append(c.initialMembers, m.Name)
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

// at schedules run at virtual time t, or now if t has passed.
func (c *Cluster) at(t time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{max(t, c.now), c.sequence, run})
}

// Now returns the virtual time since the start.
func (c *Cluster) Now() time.Duration { return c.now }

// Rand returns the cluster's generator.
func (c *Cluster) Rand() *Rand { return c.rng }

// Run advances virtual time by d. It returns the first violation of an invariant.
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

// RunUntil advances virtual time until done returns true. It fails after limit.
func (c *Cluster) RunUntil(limit time.Duration, done func() bool) error {
	end := c.now + limit
	for !done() {
		if c.now >= end {
			return errors.Errorf("seed %d: the condition does not hold within %s", c.opt.Seed, limit)
		}
		if err := c.Run(5 * time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// Process returns the process with the given address, or nil. The address of an
// initial member is its name.
func (c *Cluster) Process(address string) *Process {
	for _, p := range c.procs {
		if p.Self.Address == address {
			return p
		}
	}
	return nil
}

// Processes returns all processes, including those that are down.
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
		_, ok := l.Group.ReadIndex(l.Now())
		return ok
	})
	return l, err
}

// Propose proposes a new command on a process.
func (c *Cluster) Propose(p *Process) (index uint64, err error) {
	if !p.Running() {
		return 0, errors.New("the process is down or paused")
	}
	c.lastCommandID++
	index, _, err = p.Group.Propose(p.Now(), c.opt.MakeCommand(c.lastCommandID))
	if err == nil {
		c.Proposals++
	}
	p.handleReady()
	return index, err
}

// WaitCommit proposes a command on the current leader, and on each later one, until a
// proposal is committed by the leader that received it. It returns the index of that
// proposal.
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

// AllAdmitted reports whether the members that the leader lists are exactly the
// given processes, all of them are voters, and each has synced every committed entry.
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
