package jobs

import "time"

// Best-effort tasks use the cores that other tasks leave idle, but share caches and memory
// with service tasks. They increase the response times of service tasks by an amount that
// depends on both and changes within seconds. The leader lowers the pace of the best-effort
// tasks on a worker until the service tasks there meet their latency targets.
const (
	// The pace is lowered while the largest ratio of a service task's tail latency to its
	// target is above paceHigh, and raised while it is below paceLow. It does not change in
	// between, since the measured tail latency is imprecise.
	paceHigh = 0.9
	paceLow  = 0.65
	// paceCutFactor is the factor by which each cut multiplies the pace.
	paceCutFactor = 0.4
	// minPace is the pace below which best-effort tasks are paused.
	minPace = 5 // percent
	// paceRaiseStep is added to the pace by each raise.
	paceRaiseStep = 10 // percent
	// paceCutInterval is the minimum time after a cut until the next change. A cut takes that
	// long to show in the measured tail latency: sending the order, the delay of its effect
	// and the 500 ms over which workers measure.
	paceCutInterval = 700 * time.Millisecond
	// paceRaiseInterval is the minimum time after a raise until the next change. It is longer than
	// paceCutInterval because a raise that is too large harms users.
	paceRaiseInterval = 1500 * time.Millisecond
	// paceHoldTime is how long after a cut the pace is not raised to the value that it had
	// before the cut, or above that value.
	paceHoldTime = 10 * time.Second
	// unknownPace is the slowdownPercent of runs that an earlier leader may have slowed.
	unknownPace = -1
)

// paceController controls the pace of the best-effort tasks on one worker.
type paceController struct {
	cutPercent    int           // percent subtracted from the full pace
	nextChange    time.Duration // earliest time of the next change
	violatingPace int           // pace before the last cut, in percent, at which the ratio exceeded paceHigh
	violatedAt    time.Duration // time of the last cut
}

// percent returns the current pace.
func (p *paceController) percent() int { return 100 - p.cutPercent }

// update adjusts the pace. worstRatio is the largest ratio of tail latency to target among
// the service tasks on the worker.
func (p *paceController) update(now time.Duration, worstRatio float64) {
	if now < p.nextChange {
		return
	}
	switch {
	case worstRatio > paceHigh:
		p.violatingPace, p.violatedAt = p.percent(), now
		pace := int(float64(p.percent()) * paceCutFactor)
		if pace < minPace {
			pace = 0
		}
		p.cutPercent, p.nextChange = 100-pace, now+paceCutInterval
	case worstRatio < paceLow && p.cutPercent > 0:
		pace := min(100, p.percent()+paceRaiseStep)
		if pace >= p.violatingPace && now-p.violatedAt < paceHoldTime {
			return
		}
		p.cutPercent, p.nextChange = 100-pace, now+paceRaiseInterval
	}
}

// pace updates the pace of the best-effort tasks on a worker and sends it to the tasks
// that run at another pace.
func (l *Leader) pace(w *worker) {
	worstRatio, hasBestEffort := 0.0, false
	for ref, r := range w.runs {
		s := l.steps[ref.StepRef]
		switch {
		case s == nil || r.phase != running:
		case s.spec.BestEffort:
			hasBestEffort = true
		case s.spec.Service && s.spec.TailTargetMS > 0:
			worstRatio = max(worstRatio, float64(r.usage)/float64(s.spec.TailTargetMS))
		}
	}
	w.pacesForService = hasBestEffort && worstRatio > 0
	if !hasBestEffort {
		return
	}
	before := w.bestEffortPace.percent()
	w.bestEffortPace.update(l.now, worstRatio)
	if p := w.bestEffortPace.percent(); p != before {
		l.log("info", "pace", "", w.ID, "the pace of best-effort tasks changes", "percent", p, "tail_to_target", worstRatio)
	}
	for _, r := range w.sortedRuns() {
		s := l.steps[r.ref.StepRef]
		if s != nil && s.spec.BestEffort && r.phase == running && !r.paceInFlight && r.slowdownPercent != w.bestEffortPace.cutPercent {
			r.paceInFlight = true
			l.sendOrder(PaceRun{Order: l.newOrder(w), TaskRef: r.ref, Run: r.number, Percent: w.bestEffortPace.percent()}, 0)
		}
	}
}

func (l *Leader) paceAnswered(e PaceAnswered) {
	w := l.workers[e.Pace.Worker.ID]
	if w == nil || w.Incarnation != e.Pace.Worker {
		return
	}
	r := w.runs[e.Pace.TaskRef]
	if r == nil || r.number != e.Pace.Run {
		return
	}
	r.paceInFlight = false
	if e.Result == OrderDone {
		r.slowdownPercent = 100 - e.Pace.Percent
		return
	}
	l.log("info", "pace", r.ref.String(), w.ID, "the worker did not set the pace", "run", r.number, "result", e.Result.String())
}
