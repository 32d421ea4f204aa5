package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

const (
	// longCallTime is the expected duration from which a call does not use the agents that
	// are reserved for short calls, so that short calls do not queue behind it.
	longCallTime = 150 * time.Millisecond
	// quickCallTime is the expected duration from which a call does not use the agents that are
	// reserved for quick calls. Work whose objective is a fraction of a second would otherwise wait
	// behind several calls of a tenth of a second each, while agents are scarce.
	quickCallTime = 40 * time.Millisecond
	// quickAgentShare is the number of agents of which one is reserved for quick calls.
	quickAgentShare = 6
	// agentTimeout is the time since its last heartbeat after which an agent gets no calls.
	agentTimeout = 2 * time.Second
	// agentPause is how long an agent gets no calls after a call that failed or timed out.
	agentPause = 2 * time.Second
	// maxAgentBacklog is the expected time until an agent is free from which it gets no further
	// calls. What waits is then called for in the order of the scheduling pass, and a call is
	// answered while its result is still of use. The service refuses calls when many wait.
	maxAgentBacklog = 250 * time.Millisecond
)

// agent is a process that can call the advice service. The service processes one call at
// a time from each VM.
type agent struct {
	name        string
	address     string
	lastContact time.Duration // time of the last heartbeat
	busyUntil   time.Duration // expected end of its calls in flight
	downUntil   time.Duration // no calls before this time, after a failure
}

type agents struct {
	list          []*agent
	reservesQuick bool // some agents are reserved for quick calls, since a queue makes them
}

// configured decides whether agents are reserved for quick calls.
func (a *agents) configured(c *job.Configuration) {
	a.reservesQuick = slices.ContainsFunc(c.Queues, func(q job.Queue) bool {
		return q.Advice != nil && callTime(q.Advice, minRequestWorkers) < quickCallTime
	})
}

// processHeartbeat adds a process to the agents, if it is new, and records the contact.
func (l *Leader) processHeartbeat(e ProcessHeartbeat) {
	a := l.agents.find(e.Address)
	if a == nil {
		a = &agent{name: e.Name, address: e.Address}
		l.agents.list = append(l.agents.list, a)
		slices.SortFunc(l.agents.list, func(x, y *agent) int { return cmp.Compare(x.address, y.address) })
		l.needsSchedule = true
	}
	a.lastContact = l.now
	l.workersContacted(e.Workers)
	answer := Answer{Code: CodeOK, Members: l.host.Members(), Epoch: l.state.Epoch()}
	if l.state.Configuration().Version == 0 {
		answer.Message = "no configuration is in force yet"
	}
	l.host.Reply(e.Token, answer)
}

func (a *agents) find(address string) *agent {
	for _, x := range a.list {
		if x.address == address {
			return x
		}
	}
	return nil
}

// pick returns the responsive agent that is free first for a call of the expected duration
// cost, or nil if none is free within maxAgentBacklog.
func (a *agents) pick(now, cost time.Duration) *agent {
	var best *agent
	for _, x := range a.available(now, cost, maxAgentBacklog) {
		if best == nil || max(x.busyUntil, now) < max(best.busyUntil, now) {
			best = x
		}
	}
	return best
}

// available returns the responsive agents that may make a call of the expected duration cost and are
// free within the time backlog. If there are more than two agents, every third one is reserved for
// short calls, and every sixth one for quick calls if a queue makes them.
func (a *agents) available(now, cost, backlog time.Duration) []*agent {
	out := make([]*agent, 0, len(a.list))
	n := 0
	for _, x := range a.list {
		if now-x.lastContact > agentTimeout || now < x.downUntil {
			continue
		}
		n++
		if x.busyUntil > now+backlog {
			continue
		}
		if cost >= longCallTime && n%3 == 1 && len(a.list) > 2 {
			continue
		}
		if a.reservesQuick && cost >= quickCallTime && n%quickAgentShare == quickAgentShare-2 {
			continue
		}
		out = append(out, x)
	}
	return out
}
