// Package admission decides whether a new request is accepted. It is used by one
// goroutine and reads no clock: every call carries the monotonic time and the
// current load as plain numbers.
package admission

import (
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Request describes a request for the admission decision.
type Request struct {
	Team, Kind string
	Class      state.Class
	Tasks      int           // at least 1
	Run        time.Duration // conservative estimate of the run time of one task (not the median), 0 if unknown
	Slack      time.Duration // from now to the deadline, 0 or less for no deadline
}

// Load is the load of one class.
type Load struct {
	Queued     int           // waiting tasks
	QueuedWork time.Duration // sum of the median learned run times of the waiting tasks
	Running    int           // running tasks
	Capacity   int           // tasks of the class that can run at once, with the running ones
}

// Loads holds the load of each class; a class that is missing has no load.
type Loads map[state.Class]Load

// Decision is the answer to a request.
type Decision struct {
	Admit        bool   // the request is accepted
	Borrowed     bool   // admitted above the team's own rate
	Reason       string // reason for a refusal, one sentence for the caller
	RetryAfterMS int64  // milliseconds after which a refused request may be retried, 0 if a retry is of no use
}

// Controller holds the configured rates and the observed completion rate of each
// class.
type Controller struct {
	classes map[state.Class]*class
	rates   map[kindKey]*kindRate
	// deferrableFrom is the time from which deferrable work is admitted again after
	// urgent work was refused for its deadline.
	deferrableFrom time.Duration
	refusals       uint64 // number of refusals with a retry time, which spreads the retry times
}

// New returns a controller without rates.
func New() *Controller {
	c := &Controller{classes: map[state.Class]*class{}, rates: map[kindKey]*kindRate{}}
	for _, name := range state.Classes {
		c.classes[name] = &class{limits: limitsOf(name)}
	}
	return c
}

// Decide answers a request and, if it is admitted, charges its team's rate. It does
// not record the request: the caller counts it in the next Loads.
func (c *Controller) Decide(now time.Duration, r Request, loads Loads) Decision {
	cl := c.classes[r.Class]
	if cl == nil {
		return c.refuse(0, "class %q is not known", r.Class)
	}
	for name, known := range c.classes {
		known.throughput.observeLoad(now, loads[name])
	}
	if r.Class == state.ClassDeferrable {
		if wait := c.deferrableWait(now, loads[state.ClassUrgent]); wait > 0 {
			return c.refuse(wait, "deferrable work is not accepted while urgent work is waiting for capacity")
		}
	}
	if d := c.checkQueue(now, cl, r, loads[r.Class]); !d.Admit {
		return d
	}
	if d := c.checkDeadline(now, cl, r, loads[r.Class]); !d.Admit {
		return d
	}
	return c.checkRate(now, cl, r, loads[r.Class])
}

// Completed records the end of a task of a class. run is the median run time with
// which the task was counted in Load.QueuedWork. The rate at which such work
// completes shows the actual capacity, even if the estimates are wrong.
func (c *Controller) Completed(now time.Duration, name state.Class, run time.Duration) {
	if cl := c.classes[name]; cl != nil {
		cl.throughput.completed(now, run)
	}
}

// deferrableWait returns how long deferrable work is refused, 0 if it is admitted.
// Deferrable work is refused while the urgent queue is filled to contendedLevel, from
// which urgent work may be refused for its rate. It is also refused after urgent work
// was refused for its deadline, until the retry time of that refusal.
func (c *Controller) deferrableWait(now time.Duration, urgent Load) time.Duration {
	cl := c.classes[state.ClassUrgent]
	if cl.contended(now, urgent) {
		return max(minRetry, cl.drainTime(now, urgent, contendedLevel))
	}
	return max(0, c.deferrableFrom-now)
}

// checkQueue refuses a request whose class has a full queue.
func (c *Controller) checkQueue(now time.Duration, cl *class, r Request, l Load) Decision {
	// The tasks of the request itself are not counted: a request of many tasks did
	// not fill the queue, and the configuration limits its number of tasks.
	if cl.fillLevel(now, l) >= 1 {
		return c.refuse(max(minRetry, cl.drainTime(now, l, 1)),
			"the queue of class %s is full with %d waiting tasks", r.Class, l.Queued)
	}
	return Decision{Admit: true}
}

// waitMargin is the divisor of the safety margin: a fifth is added to the expected
// wait. A full queue admits requests up to the limit, and without a margin half of
// them would miss their deadlines.
const waitMargin = 5

// checkDeadline refuses a request that cannot finish before its deadline. Without
// capacity the wait is unknown, because endpoints may be joining, and only the run
// time is compared.
func (c *Controller) checkDeadline(now time.Duration, cl *class, r Request, l Load) Decision {
	if r.Slack <= 0 {
		return Decision{Admit: true}
	}
	own := r.Run * time.Duration(rounds(r, l.Capacity))
	if own > r.Slack {
		return c.refuse(0, "the request runs for about %s and its deadline is in %s", round(own), round(r.Slack))
	}
	wait, known := cl.wait(now, l)
	wait += wait / waitMargin
	if !known || wait+own <= r.Slack {
		return Decision{Admit: true}
	}
	d := c.refuse(wait+own-r.Slack, "the request would wait about %s and run for about %s, and its deadline is in %s",
		round(wait), round(own), round(r.Slack))
	if r.Class == state.ClassUrgent {
		c.deferrableFrom = max(c.deferrableFrom, now+time.Duration(d.RetryAfterMS)*time.Millisecond)
	}
	return d
}

// rounds returns how many times the capacity is filled by the tasks of a request.
// The tasks of a gang run together.
func rounds(r Request, capacity int) int {
	if r.Class == state.ClassGang || capacity <= 0 || r.Tasks <= capacity {
		return 1
	}
	return (r.Tasks + capacity - 1) / capacity
}

const (
	// minRetry and maxRetry bound the times after which callers retry: an earlier
	// retry adds load before the situation has changed, a later one keeps callers
	// away after the load has dropped.
	minRetry = 250 * time.Millisecond
	maxRetry = 60 * time.Second
	// retrySteps is the number of different retry times of successive refusals, which
	// are spread over up to 1.5 times the computed time so that callers refused
	// together do not retry together.
	retrySteps = 16
)

// refuse builds a refusal. after is the time until a retry may succeed, 0 if a retry
// is of no use.
func (c *Controller) refuse(after time.Duration, format string, args ...any) Decision {
	d := Decision{Reason: fmt.Sprintf(format, args...)}
	if after > 0 {
		after = max(minRetry, min(maxRetry, after))
		after += after * time.Duration(c.refusals%retrySteps) / (2 * retrySteps)
		c.refusals++
		d.RetryAfterMS = after.Milliseconds()
	}
	return d
}

func round(d time.Duration) time.Duration {
	if d > 10*time.Second {
		return d.Round(time.Second)
	}
	return d.Round(10 * time.Millisecond)
}
