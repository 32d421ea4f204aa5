package admission

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// limits bound the queue of a class.
type limits struct {
	tasks int           // waiting tasks, whatever they are
	wait  time.Duration // work that may be waiting, in time to complete it
}

// limitsOf returns the limits of a class. The numbers of tasks bound memory: a
// record takes a few kilobytes. The waits follow from how soon the class is useful:
// a caller at a screen gives up after seconds, deferrable work and batches have
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

// contendedShare is the part of the urgent queue from which teams are held to their
// own rates and deferrable work is refused. Both begin at the same share, so no
// urgent request is refused for its rate while deferrable work is admitted.
const contendedShare = 0.5

// minQueue is the number of tasks that may always wait. It absorbs bursts when
// little is known about run times.
const minQueue = 16

type class struct {
	limits limits
	drain  drain
	spare  bucket  // of all rates of the class together; what is left may be borrowed
	rate   float64 // sum of the configured rates, 0 if none is limited
}

// wait returns the time until the work ahead of a new request has been started.
// known is false without capacity.
func (cl *class) wait(now time.Duration, l Load) (wait time.Duration, known bool) {
	if l.Capacity <= 0 {
		return 0, false
	}
	if l.Queued == 0 && l.Running < l.Capacity {
		return 0, true
	}
	work := l.QueuedWork + cl.drain.meanRun()
	return time.Duration(float64(work) / cl.drain.rate(now, l.Capacity)), true
}

// share returns the filled part of the queue. It may exceed 1 when the observed
// rate of completion has dropped.
func (cl *class) share(now time.Duration, l Load) float64 {
	share := float64(l.Queued) / float64(cl.limits.tasks)
	if l.Queued < minQueue || l.Capacity <= 0 {
		return share
	}
	wait := time.Duration(float64(l.QueuedWork) / cl.drain.rate(now, l.Capacity))
	return max(share, float64(wait)/float64(cl.limits.wait))
}

func (cl *class) contended(now time.Duration, l Load) bool {
	return cl.share(now, l) >= contendedShare
}

// excess returns the time until the queue has drained to a share of its limit.
func (cl *class) excess(now time.Duration, l Load, share float64) time.Duration {
	filled := cl.share(now, l)
	if filled <= share || l.Capacity <= 0 {
		return minRetry
	}
	wait := float64(l.QueuedWork) / cl.drain.rate(now, l.Capacity)
	return time.Duration(wait * (filled - share) / filled)
}
