package jobs

import "time"

// Tasks that fill use the cores that others leave idle, but share caches and memory with
// service tasks, whose response times they lengthen by an amount that depends on both and
// changes within seconds. The leader slows the tasks that fill on a worker until the
// service tasks there meet their targets.
const (
	// paceHigh and paceLow are the shares of a service task's target between which the
	// pace stays as it is. The measured tail is a rough figure.
	paceHigh = 0.9
	paceLow  = 0.65
	// paceCutFactor is applied to the pace while a service task is above its target.
	paceCutFactor = 0.4
	// paceLeast is the pace below which tasks that fill stand still.
	paceLeast = 5 // percent
	// paceStep is added to the pace each paceRaiseInterval while all targets are met.
	paceStep = 10 // percent
	// paceCutInterval is the time in which a cut shows in the measured tail: the order, the
	// delay of its effect and the half second over which workers measure.
	paceCutInterval = 700 * time.Millisecond
	// paceRaiseInterval is longer than that: a raise that was too much harms users.
	paceRaiseInterval = 1500 * time.Millisecond
	// paceMemory is how long a raise back to a pace that was too much is held off.
	paceMemory = 10 * time.Second
	// unknownPace marks runs that an earlier leader may have slowed.
	unknownPace = -1
)

// pacer controls the pace of the tasks that fill on one worker.
type pacer struct {
	cut     int           // percent taken off the full pace
	next    time.Duration // no change before
	tooMuch int           // pace at which a target was missed last
	missed  time.Duration // when
}

// percent returns the pace in force.
func (p *pacer) percent() int { return 100 - p.cut }

// update takes the largest ratio of a service task's tail to its target on the worker.
func (p *pacer) update(now time.Duration, worst float64) {
	if now < p.next {
		return
	}
	switch {
	case worst > paceHigh:
		p.tooMuch, p.missed = p.percent(), now
		pace := int(float64(p.percent()) * paceCutFactor)
		if pace < paceLeast {
			pace = 0
		}
		p.cut, p.next = 100-pace, now+paceCutInterval
	case worst < paceLow && p.cut > 0:
		pace := min(100, p.percent()+paceStep)
		if pace >= p.tooMuch && now-p.missed < paceMemory {
			return
		}
		p.cut, p.next = 100-pace, now+paceRaiseInterval
	}
}

// pace sends the tasks that fill on a worker the pace at which they may work.
func (l *Leader) pace(w *worker) {
	worst, fills := 0.0, false
	for ref, r := range w.runs {
		s := l.steps[ref.StepRef]
		switch {
		case s == nil || r.phase != running:
		case s.spec.BestEffort:
			fills = true
		case s.spec.Service && s.spec.TailTargetMS > 0:
			worst = max(worst, float64(r.usage)/float64(s.spec.TailTargetMS))
		}
	}
	w.mixed = fills && worst > 0
	if !fills {
		return
	}
	before := w.fill.percent()
	w.fill.update(l.now, worst)
	if p := w.fill.percent(); p != before {
		l.log("info", "pace", "", w.ID, "the pace of tasks that fill changes", "percent", p, "tail_to_target", worst)
	}
	for _, r := range w.sortedRuns() {
		s := l.steps[r.ref.StepRef]
		if s != nil && s.spec.BestEffort && r.phase == running && !r.pacing && r.slowedBy != w.fill.cut {
			r.pacing = true
			l.host.Emit(PaceRun{Order: l.order(w), TaskRef: r.ref, Run: r.number, Percent: w.fill.percent()})
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
	r.pacing = false
	if e.Result == OrderDone {
		r.slowedBy = 100 - e.Pace.Percent
		return
	}
	l.log("info", "pace", r.ref.String(), w.ID, "the pace was not set", "run", r.number, "result", e.Result.String())
}
