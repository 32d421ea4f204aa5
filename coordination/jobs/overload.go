package jobs

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

const (
	// maxOrderDelay is the average time from the decision to start a task until the worker's
	// answer is handled from which the leader refuses submissions. Workers answer within
	// milliseconds, so the rest is time that the leader's own process needs.
	maxOrderDelay = 80 * time.Millisecond
	// orderDelayWeight is the inverse weight of one answer in the average.
	orderDelayWeight = 32
	// refusalAdjustTime is the time in which the refused share of a queue's submissions rises
	// from 0 to 1 while the queue is behind, and falls back afterwards. Most bursts last for a
	// few seconds; a faster rise refuses callers whose work could still be done in time.
	refusalAdjustTime = 2 * time.Second
	// maxRefusedShare leaves some submissions, so that a queue that is not behind any more is
	// noticed.
	maxRefusedShare = 0.9
)

// overload measures whether the leader's process keeps up with its work. Past that point each
// accepted job delays all others: orders are sent again, tickets expire before their start,
// and callers try again, so that less and less is done in time. The first sign are steps that
// no pass tries until they are about to be late: the window of starts is full, or more steps wait
// than passes can try. A delay of the orders shows that other work fills the process.
type overload struct {
	orderDelay time.Duration // moving average over the answered starts
	samples    int           // answers since the last periodic check
	refused    int           // submissions refused since the last log line

	refusedShare map[string]float64 // share of submissions to refuse, by queue
	adjustedAt   time.Duration      // time at which refusedShare was last adjusted
}

func newOverload() overload { return overload{refusedShare: map[string]float64{}} }

// adjust raises the refused shares of the queues that are behind and lowers all others. It is
// called after each scheduling pass.
func (o *overload) adjust(now time.Duration, behind map[string]bool) {
	change := float64(min(now-o.adjustedAt, periodicCheckInterval)) / float64(refusalAdjustTime)
	o.adjustedAt = now
	for queue := range behind {
		o.refusedShare[queue] = min(maxRefusedShare, o.refusedShare[queue]+change)
	}
	for queue, share := range o.refusedShare {
		switch {
		case behind[queue]:
		case share <= change:
			delete(o.refusedShare, queue)
		default:
			o.refusedShare[queue] = share - change
		}
	}
}

// queuesBehind returns the queues of untried steps that no pass has tried for longer than they
// can still wait without being late: their work is accepted faster than it is placed. Steps that
// are late already do not count. They are tried after all others, so they do not show whether
// new work can be done in time.
func (l *Leader) queuesBehind(untried []waitingStep) map[string]bool {
	behind := map[string]bool{}
	for i := range untried {
		s := &untried[i]
		left := s.objectiveMS - l.wallMS - s.remainingMS
		if !s.spec.Service && left >= 0 && (l.now-s.triedAt).Milliseconds() > left {
			behind[s.queue.Name] = true
		}
	}
	return behind
}

// startMeasured adds an answered start, which was sent at sentAt, to the average.
func (o *overload) startMeasured(now, sentAt time.Duration) {
	o.orderDelay += (now - sentAt - o.orderDelay) / orderDelayWeight
	o.samples++
}

// decay lowers the average if no start was answered since the last call.
func (o *overload) decay() {
	if o.samples == 0 {
		o.orderDelay /= 2
	}
	o.samples = 0
}

// refuses reports whether a submission to a queue has to be refused. Some are always
// accepted, so that the delay is measured. A submission that is sent again within a second has
// the same result.
func (o *overload) refuses(id job.ID, queue string, wallMS int64) bool {
	share := o.refusedShare[queue]
	if o.orderDelay > maxOrderDelay {
		share = max(share, 1-float64(maxOrderDelay)/float64(o.orderDelay))
	}
	if share == 0 {
		return false
	}
	const scale = 1000
	h := fnv.New32a()
	_, _ = h.Write([]byte(string(id) + strconv.FormatInt(wallMS/1000, 10))) // never fails
	return float64(h.Sum32()%scale) < share*scale
}
