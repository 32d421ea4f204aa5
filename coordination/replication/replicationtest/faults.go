package replicationtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
)

// maxProcesses limits the number of processes that a random history starts.
const maxProcesses = 9

// CanLoseStorage reports whether the group is expected to survive that process p
// loses its storage. In every membership that is or may come into force, a majority of
// the listed incarnations must remain, and the name of an initial member other than p
// must resolve to a process that was listed. Before the first membership exists, it
// returns false for one second after a loss: two losses in that time may leave the
// bootstrapped group without a majority.
func (c *Cluster) CanLoseStorage(p *Process) bool {
	if len(c.check.seenMemberships) == 0 && c.lastLoss != 0 && c.now-c.lastLoss < time.Second {
		return false
	}
	if len(c.check.seenMemberships) != 0 && !c.hasAdmittedInitialMember(p.Self.Name) {
		return false
	}
	for at, ms := range c.check.seenMemberships {
		if at.index < c.check.committedMembership[at.group] {
			continue
		}
		for _, m := range ms {
			if c.remainingVoters(m, p) <= len(m.Voters)/2 {
				return false
			}
		}
	}
	return true
}

// hasAdmittedInitialMember reports whether the name of an initial member other than
// except resolves to a process that was listed in a membership. If all of these
// processes were empty, they would bootstrap a new group, even though other members
// of the old one are still running.
func (c *Cluster) hasAdmittedInitialMember(except string) bool {
	return slices.ContainsFunc(c.initialMembers, func(name string) bool {
		q := c.Process(c.resolve(name))
		for at := range c.check.admitted {
			if at.index == q.Self.Incarnation && name != except {
				return true
			}
		}
		return false
	})
}

// remainingVoters counts the voters of m, other than the process except, whose
// incarnation still exists. A voter counts as lost if another process of its name may
// replace it: the removal of the voter may be under way, and until the replacement is
// added the group tolerates one failure less.
func (c *Cluster) remainingVoters(m state.Membership, except *Process) int {
	n := 0
	for _, v := range m.Voters {
		if slices.ContainsFunc(c.procs, func(p *Process) bool {
			return p != except && !p.retired && p.Self.Incarnation == v.Incarnation && !c.hasDuplicateName(p)
		}) {
			n++
		}
	}
	return n
}

// InjectFault injects the fault that op encodes and runs the cluster under load for
// a time that op encodes. Faults from which no group of this size can recover are
// skipped.
func (c *Cluster) InjectFault(op uint32) error {
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

// RunLoaded advances virtual time by d. Every process that considers itself the
// leader proposes a command every 25 ms.
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
		if !c.CanLoseStorage(p) {
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

// replace starts a process of the same name with a new address. The old process is
// stopped first if stopOld is set or any name already has two processes; otherwise it
// keeps running. Only one name at a time has two processes: if a majority of the
// configured names resolved to new, empty processes, those would bootstrap a group of
// their own.
func (c *Cluster) replace(p *Process, stopOld bool) {
	if len(c.procs) >= maxProcesses || p.retired || !c.CanLoseStorage(p) {
		return
	}
	if stopOld || c.anyDuplicateName() {
		c.lastLoss = c.now
		p.Retire()
	}
	c.Start(p.Self.Name, fmt.Sprintf("%s-%d", p.Self.Name, len(c.procs)), p.Self.Disk)
}

// anyDuplicateName reports whether any name has two processes that are not retired.
func (c *Cluster) anyDuplicateName() bool { return slices.ContainsFunc(c.procs, c.hasDuplicateName) }

// hasDuplicateName reports whether p and another process of the same name are both
// not retired.
func (c *Cluster) hasDuplicateName(p *Process) bool {
	return !p.retired && slices.ContainsFunc(c.procs, func(q *Process) bool {
		return q != p && !q.retired && q.Self.Name == p.Self.Name
	})
}

// changeMembers calls the replica of a. It removes b from a group of more than three
// voters, and otherwise lets a new member join if a is the leader.
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

// Settle ends all faults and checks that the group commits a new entry and that
// every voter applies it, both within limit.
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
