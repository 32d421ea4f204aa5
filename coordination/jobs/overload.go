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
)

// overload measures whether the leader's process keeps up with its work. Past that point each
// accepted job delays all others: orders are sent again, tickets expire before their start,
// and callers try again, so that less and less is done in time.
type overload struct {
	orderDelay time.Duration // moving average over the answered starts
	samples    int           // answers since the last periodic check
	refused    int           // submissions refused since the last log line
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

// refuses reports whether a submission has to be refused. The share of refused submissions
// rises with the delay, and some are always accepted, so that the delay is measured. A
// submission that is sent again within a second has the same result.
func (o *overload) refuses(id job.ID, wallMS int64) bool {
	if o.orderDelay <= maxOrderDelay {
		return false
	}
	const scale = 1000
	h := fnv.New32a()
	_, _ = h.Write([]byte(string(id) + strconv.FormatInt(wallMS/1000, 10))) // never fails
	refusedShare := 1 - float64(maxOrderDelay)/float64(o.orderDelay)
	return float64(h.Sum32()%scale) < refusedShare*scale
}
