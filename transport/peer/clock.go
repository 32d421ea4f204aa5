package peer

import (
	"time"

	"github.com/primrosereach/primrosereach/protocol/peerv1"
)

// clockEstimateAge is the age from which an estimate is replaced by one that may be less exact.
// In that time the clocks of two VMs diverge by less than a millisecond.
const clockEstimateAge = 5 * time.Second

// clockEstimate relates the clock of another process to that of this one.
type clockEstimate struct {
	id         uint64
	offset     time.Duration // upper bound of the other clock's reading minus that of this one
	measuredAt time.Duration
}

// Origin is the process that issued an order, and the time at which it did.
type Origin struct {
	Address string        // peer address of the process that issued the order
	ClockID uint64        // identifies the clock of that process
	SentAt  time.Duration // reading of that clock when the order was issued
}

// updateClock updates the estimate of a process's clock from its answer to a call that was sent
// at sentAt. The clock was read after that, which bounds the offset.
func (c *Client) updateClock(address string, res *peerv1.DeliverResponse, sentAt time.Duration) {
	if res.ClockId == 0 {
		return
	}
	e := clockEstimate{id: res.ClockId, offset: time.Duration(res.ClockNs) - sentAt, measuredAt: c.Self.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	old, known := c.clocks[address]
	if !known || old.id != e.id || e.offset < old.offset || e.measuredAt-old.measuredAt > clockEstimateAge {
		c.clocks[address] = e
	}
}

// CanRelay reports whether the process at an address relays orders: it has answered a call with
// a reading of its clock. Processes of versions without relays do not.
func (c *Client) CanRelay(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.clocks[address]
	return ok
}

// Age returns an upper bound of the time since an order was issued, including the time for which
// either VM was suspended. It returns false if the clock of the process that issued it is not
// known.
func (c *Client) Age(o Origin) (time.Duration, bool) {
	c.mu.Lock()
	e, ok := c.clocks[o.Address]
	c.mu.Unlock()
	if !ok || e.id != o.ClockID {
		return 0, false
	}
	return c.Self.Now() + e.offset - o.SentAt, true
}
