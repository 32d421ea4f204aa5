package replicationtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
)

// maxProcesses bounds the processes that a history starts.
const maxProcesses = 9

// MayLose reports whether the group is expected to survive that a process loses
// its storage: in every membership that is or may come into force, a majority of
// the listed incarnations must remain. While the founding members look for each
// other, two losses shortly one after the other may leave a group without majority.
func (c *Cluster) MayLose(p *Process) bool {
	if len(c.check.listed) == 0 && c.lastLoss != 0 && c.now-c.lastLoss < time.Second {
		return false
	}
	if len(c.check.listed) != 0 && !c.hasWitness(p.Self.Name) {
		return false
	}
	for at, ms := range c.check.listed {
		if at.index < c.check.inForce[at.group] {
			continue
		}
		for _, m := range ms {
			if c.remaining(m, p) <= len(m.Voters)/2 {
				return false
			}
		}
	}
	return true
}

// hasWitness reports whether, apart from one name, some process that the settings
// lead to was listed in the group. If all of them were empty, they would found a
// new group, even though members unknown to the settings live on.
func (c *Cluster) hasWitness(except string) bool {
	return slices.ContainsFunc(c.founders, func(name string) bool {
		q := c.Process(c.resolve(name))
		for at := range c.check.admitted {
			if at.index == q.Self.Incarnation && name != except {
				return true
			}
		}
		return false
	})
}

// remaining counts the listed incarnations that still exist. One whose name has
// another process that may replace it counts as lost: its removal may be under way, and
// until the replacement is added the group can spare one member less.
func (c *Cluster) remaining(m state.Membership, without *Process) int {
	n := 0
	for _, v := range m.Voters {
		if slices.ContainsFunc(c.procs, func(p *Process) bool {
			return p != without && !p.retired && p.Self.Incarnation == v.Incarnation && !c.hasRival(p)
		}) {
			n++
		}
	}
	return n
}

// Disturb performs the fault that a number stands for and lets some time pass
// under load. Faults from which no group of this size can recover are left out.
func (c *Cluster) Disturb(op uint32) error {
	a := c.procs[int(op>>4)%len(c.procs)]
	b := c.procs[int(op>>10)%len(c.procs)]
	switch op % 16 {
	case 0:
		c.Net.Cut(a.Self.Address, b.Self.Address)
	case 1:
		c.Net.Isolate(a.Self.Address)
	case 2, 3:
		c.Net.Heal()
	case 4:
		a.Pause()
	case 5:
		c.resumeAll()
	case 6:
		c.crash(a, false)
	case 7:
		c.crash(a, true)
	case 8:
		c.restartAll()
	case 9:
		c.replace(a, op>>16%2 == 0)
	case 10:
		a.Do(func(g *replication.Group, now time.Duration) { _ = g.TransferLeadership(now, b.Self.Name) })
	case 11:
		c.Net.Drop, c.Net.Duplicate = 0.2, 0.1
	case 12:
		c.Net.Late, c.Net.MaxLate, c.Net.Reorder = 0.3, 2*time.Second, true
	case 13:
		c.changeMembers(a, b)
	case 14:
		if l := c.Leader(); l != nil {
			l.Pause()
		}
	case 15:
		if l := c.Leader(); l != nil {
			c.crash(l, false)
		}
	}
	return c.RunLoaded(time.Duration(op>>20) * time.Second / 4096)
}

// RunLoaded lets time pass while every process that believes to lead proposes.
func (c *Cluster) RunLoaded(d time.Duration) error {
	const interval = 25 * time.Millisecond
	for ; d > 0; d -= interval {
		for _, p := range c.procs {
			if p.Running() && p.Group.IsLeader() {
				_, _ = c.Propose(p)
			}
		}
		if err := c.Run(min(d, interval)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) crash(p *Process, wipe bool) {
	if wipe || !p.Self.Disk {
		if !c.MayLose(p) {
			return
		}
	}
	if wipe || !p.Self.Disk {
		c.lastLoss = c.now
	}
	p.Crash()
	if wipe && p.Group == nil {
		p.Wipe()
	}
}

func (c *Cluster) resumeAll() {
	for _, p := range c.procs {
		p.Resume()
	}
}

func (c *Cluster) restartAll() {
	for _, p := range c.procs {
		if !p.retired {
			p.Restart()
		}
	}
}

// replace starts a process of the same name with a new address. The old one is
// ended before, or goes on as if nobody had noticed. Only one name at a time has
// two processes: if the settings named impostors for a majority, those would
// found a group of their own.
func (c *Cluster) replace(p *Process, end bool) {
	if len(c.procs) >= maxProcesses || p.retired || !c.MayLose(p) {
		return
	}
	if end || c.hasRivals() {
		c.lastLoss = c.now
		p.Crash()
		p.retired = true
	}
	c.Start(p.Self.Name, fmt.Sprintf("%s-%d", p.Self.Name, len(c.procs)), p.Self.Disk)
}

// hasRivals reports whether a name has two processes that were not ended.
func (c *Cluster) hasRivals() bool { return slices.ContainsFunc(c.procs, c.hasRival) }

// hasRival reports whether another process of the same name was not ended either.
func (c *Cluster) hasRival(p *Process) bool {
	return !p.retired && slices.ContainsFunc(c.procs, func(q *Process) bool {
		return q != p && !q.retired && q.Self.Name == p.Self.Name
	})
}

// changeMembers removes b from the group, or lets a new member join, by way of a.
func (c *Cluster) changeMembers(a, b *Process) {
	a.Do(func(g *replication.Group, now time.Duration) {
		voters := 0
		for _, m := range g.Status(now).Members {
			if m.Voter {
				voters++
			}
		}
		if voters > 3 {
			_ = g.RemoveMember(now, b.Self.Name)
		} else if len(c.procs) < maxProcesses && g.IsLeader() {
			p := c.Start(fmt.Sprintf("new%d", len(c.procs)), fmt.Sprintf("new%d", len(c.procs)), b.Self.Disk)
			g.AllowMember(p.Self)
		}
	})
}

// Settle ends all faults and requires that the group commits something new and
// that every running voter applies it.
func (c *Cluster) Settle(limit time.Duration) error {
	c.Net.Heal()
	c.resumeAll()
	c.restartAll()
	index, err := c.WaitCommit(limit)
	if err != nil {
		return errors.Wrap(err, "no commit after the faults ended")
	}
	err = c.RunUntil(limit, func() bool {
		l := c.Leader()
		return l != nil && !slices.ContainsFunc(l.Group.Status(l.Now()).Members, func(m replication.MemberStatus) bool {
			return m.Voter && c.behind(m, index)
		})
	})
	if err != nil {
		return errors.Wrap(err, "a voter does not catch up after the faults ended")
	}
	return nil
}

func (c *Cluster) behind(m replication.MemberStatus, index uint64) bool {
	for _, p := range c.procs {
		if p.Self.Incarnation == m.Incarnation {
			return p.applied < index
		}
	}
	return true
}
