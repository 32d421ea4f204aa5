package scheduling

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/coordination/queue"
	"github.com/primrosereach/primrosereach/state"
)

const (
	// trialScan bounds the number of ready lanes that are searched for a trial task.
	trialScan = 16
	// trialRepeatMS is the delay after which a trial is attempted again if the endpoint was
	// not idle or no task was suitable. It is also the least time between two trials.
	trialRepeatMS = 1000
)

// Queues from which trial tasks for runners and workers are taken. The queues whose work
// a failure harms least come first.
var (
	runnerTrials = []queueID{queueDeferrable, queuePromoted, queueInteractive}
	workerTrials = []queueID{queueBatch, queueService}
)

// trialMS returns the time of the endpoint's next trial in Unix milliseconds.
func (s *planner) trialMS(endpoint string) int64 {
	wait := s.opt.Health.TrialAt(endpoint) - s.clock.Now
	return s.clock.WallMS + max(0, int64(wait/time.Millisecond))
}

// planTrials assigns a trial task to each quarantined endpoint that is idle and whose
// trial is due. Only repeatable work is used, since a trial task is likely to fail.
func (s *planner) planTrials(b *batch) {
	for b.left > 0 {
		name, ok := s.trials.PopDue(b.clock.WallMS)
		if !ok {
			return
		}
		n := s.runners.Node(name)
		ids, p := runnerTrials, s.runners
		if n == nil {
			n, ids, p = s.workers.Node(name), workerTrials, s.workers
		}
		if n == nil || n.Endpoint.Status != state.EndpointQuarantined {
			continue
		}
		idle := n.Endpoint.Assigned == 0 && n.Pending == (state.Resources{})
		if !idle || !s.tryTrial(b, p, n, ids) {
			if idle && s.workWithoutReadyEndpoint(p) {
				s.trialReleases = append(s.trialReleases, name)
			}
			s.trials.Set(name, b.clock.WallMS+trialRepeatMS)
			continue
		}
		s.opt.Health.TrialStarted(b.clock, name)
		s.trials.Set(name, max(b.clock.WallMS+trialRepeatMS, s.trialMS(name)))
	}
}

// workWithoutReadyEndpoint reports whether work waits for a pool that has no ready
// endpoint. If none of that work is suitable for a trial, as with gangs and unrepeatable
// work, planTrials releases a quarantined endpoint whose trial is due, since the work
// would otherwise wait indefinitely.
func (s *planner) workWithoutReadyEndpoint(p *placement.Pool) bool {
	ready, waiting := false, 0
	p.Nodes(func(n *placement.Node) { ready = ready || n.Ready() })
	for b, q := range s.queues {
		if (queueID(b) < queueService) == (p == s.runners) {
			waiting += q.Len()
		}
	}
	return !ready && waiting > 0
}

func (s *planner) tryTrial(b *batch, p *placement.Pool, n *placement.Node, ids []queueID) bool {
	for _, id := range ids {
		lane := s.trialLane(s.queues[id], n)
		if lane == nil {
			continue
		}
		j, t := s.taskOf(lane.Head())
		if !s.excludedFor(j, t.item.Task).Allows(n) {
			j, t = s.taskOf(lane.Last())
		}
		if !s.excludedFor(j, t.item.Task).Allows(n) {
			continue
		}
		s.startTask(b, s.queues[id], j, t, n, false)
		return true
	}
	return false
}

// trialLane returns a lane whose tasks may run on the node as a trial, or nil. Blocked
// groups are included, since they may be blocked because no other endpoint is free.
func (s *planner) trialLane(q *queue.Queue, n *placement.Node) *queue.Lane {
	var lane *queue.Lane
	suitable := func(l *queue.Lane) bool {
		return l.Repeatable && l.PerTask.FitsIn(n.Free()) && s.ledger.fitsShare(l.Team, l.PerTask, false)
	}
	scanned := 0
	q.Scan(func(l *queue.Lane) bool {
		scanned++
		if suitable(l) {
			lane = l
		}
		return lane == nil && scanned < trialScan
	})
	if lane != nil {
		return lane
	}
	// ScanBlocked visits the groups in random order; choosing the earliest makes the
	// decision repeatable.
	q.ScanBlocked(func(l *queue.Lane) {
		if suitable(l) && (lane == nil || earlier(l.Head(), lane.Head())) {
			lane = l
		}
	})
	return lane
}
