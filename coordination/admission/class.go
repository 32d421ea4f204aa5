package admission

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// limits bound the queue of a class.
type limits struct {
	tasks int           // largest number of waiting tasks, independent of their run times
	wait  time.Duration // largest amount of waiting work, as the time to complete it
}

// limitsOf returns the limits of a class. The numbers of tasks bound memory: a record
// takes a few kilobytes. The waits follow from how soon a result is needed: an
// interactive caller gives up after seconds, while deferrable work and batches have
// hours. Urgent work may wait longer than its target, because refusing it is worse
// than starting it late.
func limitsOf(c state.Class) limits {
	switch c {
	case state.ClassUrgent:
		return limits{tasks: 4096, wait: 30 * time.Second}
	case state.ClassInteractive:
		return limits{tasks: 2048, wait: 5 * time.Second}
	case state.ClassDeferrable:
		return limits{tasks: 8192, wait: 4 * time.Hour}
	}
	return limits{tasks: 8192, wait: 24 * time.Hour}
}

// contendedLevel is the fill level of the urgent queue from which teams are limited
// to their own rates and deferrable work is refused. Both begin at the same level, so
// no urgent request is refused for its rate while deferrable work is admitted.
const contendedLevel = 0.5

// minQueue is the number of tasks that may always wait. It absorbs bursts while
// little is known about run times.
const minQueue = 16

// class holds the limits, the completion rate and the admission rates of a class.
type class struct {
	limits     limits
	throughput throughput
	shared     bucket  // bucket for the sum of all rates of the class; unused tokens may be borrowed
	rate       float64 // sum of the configured rates, 0 if none is limited
}

// wait returns the expected time until the work ahead of a new request has been
// started. known is false without capacity.
func (cl *class) wait(now time.Duration, l Load) (wait time.Duration, known bool) {
	if l.Capacity <= 0 {
		return 0, false
	}
	if l.Queued == 0 && l.Running < l.Capacity {
		return 0, true
	}
	work := l.QueuedWork + cl.throughput.meanRun()
	return time.Duration(float64(work) / cl.throughput.rate(now, l.Capacity)), true
}

// fillLevel returns how far the queue limits are used up, 1 for a full queue. It may
// exceed 1 when the observed completion rate has dropped. With fewer than minQueue
// waiting tasks, or without capacity, only the number of tasks counts.
func (cl *class) fillLevel(now time.Duration, l Load) float64 {
	fillLevel := float64(l.Queued) / float64(cl.limits.tasks)
	if l.Queued < minQueue || l.Capacity <= 0 {
		return fillLevel
	}
	wait := time.Duration(float64(l.QueuedWork) / cl.throughput.rate(now, l.Capacity))
	return max(fillLevel, float64(wait)/float64(cl.limits.wait))
}

func (cl *class) contended(now time.Duration, l Load) bool {
	return cl.fillLevel(now, l) >= contendedLevel
}

// drainTime returns the expected time until the queue has drained to the given fill
// level, minRetry if that is reached or if there is no capacity.
func (cl *class) drainTime(now time.Duration, l Load, fillLevel float64) time.Duration {
	filled := cl.fillLevel(now, l)
	if filled <= fillLevel || l.Capacity <= 0 {
		return minRetry
	}
	wait := float64(l.QueuedWork) / cl.throughput.rate(now, l.Capacity)
	return time.Duration(wait * (filled - fillLevel) / filled)
}
