package control

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/primrosereach/primrosereach/coordination/scheduling"
)

// suspendTolerance is the difference between the advance of the wall clock and of the
// monotonic clock above which the clock checks whether the VM was suspended. Smaller
// differences come from adjustments of the wall clock.
const suspendTolerance = 20 * time.Millisecond

// reading holds the two clocks that can be read cheaply.
type reading struct {
	monotonic time.Duration // monotonic clock; stops while the VM is suspended
	wall      time.Duration // wall clock; time since the Unix epoch
}

// clock measures the time since its start, including the time for which the VM was
// suspended. The monotonic clock alone stops during a suspension, so a resumed leader
// would treat its lease as valid although another leader may have been elected. A clock
// must be used by one goroutine at a time.
type clock struct {
	read      func() reading
	boot      func() (time.Duration, error) // clock that includes suspensions; reading it needs a system call; nil if unavailable
	start     reading
	startBoot time.Duration
	last      reading
	suspended time.Duration // total time of suspension since the start
}

func newClock(read func() reading, boot func() (time.Duration, error)) *clock {
	c := &clock{read: read, boot: boot, start: read()}
	c.last = c.start
	var err error
	if c.startBoot, err = boot(); err != nil {
		c.boot = nil // the system has no such clock, so suspensions are not detected
	}
	return c
}

// systemClock returns a clock that starts now.
func systemClock() *clock {
	start := time.Now()
	return newClock(func() reading {
		now := time.Now()
		return reading{monotonic: now.Sub(start), wall: time.Duration(now.UnixNano())}
	}, bootTime)
}

// Clock measures the time since its start like the clock of a Loop. It can be used by several
// goroutines.
type Clock struct {
	mu    sync.Mutex
	clock *clock
}

// NewClock returns a clock that starts now.
func NewClock() *Clock { return &Clock{clock: systemClock()} }

// Now returns the time since the start, including the time for which the VM was suspended.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.now().Now
}

// bootTime returns the time since the system was booted, including the time for which the
// VM was suspended.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, errors.Wrap(err, "read the boot clock")
	}
	return time.Duration(ts.Nano()), nil
}

// now returns the time of a step that begins now.
func (c *clock) now() scheduling.Clock {
	r := c.read()
	drift := (r.wall - c.last.wall) - (r.monotonic - c.last.monotonic)
	c.last = r
	if drift.Abs() > suspendTolerance {
		c.checkSuspension(r)
	}
	return scheduling.Clock{Now: r.monotonic - c.start.monotonic + c.suspended, WallMS: r.wall.Milliseconds()}
}

// checkSuspension updates the time of suspension from the difference between the boot
// clock and the monotonic clock. It is called when the wall clock, which also includes
// suspensions, has diverged from the monotonic clock.
func (c *clock) checkSuspension(r reading) {
	if c.boot == nil {
		return
	}
	b, err := c.boot()
	if err != nil {
		return // unexpected, since it was readable at the start; the next divergence is checked again
	}
	c.suspended = max(c.suspended, (b-c.startBoot)-(r.monotonic-c.start.monotonic))
}
