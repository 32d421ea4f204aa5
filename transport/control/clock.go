package control

import (
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/primrosereach/primrosereach/coordination/scheduling"
)

// suspendTolerance is the difference between the time of day and the steady clock over
// one step from which a suspension of the VM is looked for. Smaller ones come from
// adjustments of the time of day.
const suspendTolerance = 20 * time.Millisecond

// reading is what the two clocks show that are free to read.
type reading struct {
	steady time.Duration // stands still while the VM is suspended
	wall   time.Duration // time of day, since the Unix epoch
}

// clock measures the time since its start. The steady clock stands still while a VM is
// suspended, so a leader that wakes would take its lease for valid although another one
// has been elected; this clock adds that time. It is used by one goroutine at a time.
type clock struct {
	read      func() reading
	boot      func() (time.Duration, error) // counts suspensions; costs a system call
	start     reading
	startBoot time.Duration
	last      reading
	suspended time.Duration // since the start
}

func newClock(read func() reading, boot func() (time.Duration, error)) *clock {
	c := &clock{read: read, boot: boot, start: read()}
	c.last = c.start
	var err error
	if c.startBoot, err = boot(); err != nil {
		c.boot = nil // there is no such clock, so suspensions are not noticed
	}
	return c
}

// systemClock returns a clock that starts now.
func systemClock() *clock {
	start := time.Now()
	return newClock(func() reading {
		now := time.Now()
		return reading{steady: now.Sub(start), wall: time.Duration(now.UnixNano())}
	}, bootTime)
}

// bootTime reads the clock that runs on while the VM is suspended.
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
	drift := (r.wall - c.last.wall) - (r.steady - c.last.steady)
	c.last = r
	if drift.Abs() > suspendTolerance {
		c.checkSuspension(r)
	}
	return scheduling.Clock{Now: r.steady - c.start.steady + c.suspended, WallMS: r.wall.Milliseconds()}
}

// checkSuspension compares the steady clock with the boot clock. It is called when the
// time of day, which counts suspensions too, has moved apart from the steady clock.
func (c *clock) checkSuspension(r reading) {
	if c.boot == nil {
		return
	}
	b, err := c.boot()
	if err != nil {
		return // it was readable at the start, and the next difference is checked again
	}
	c.suspended = max(c.suspended, (b-c.startBoot)-(r.steady-c.start.steady))
}
