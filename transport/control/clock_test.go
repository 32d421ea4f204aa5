package control

import (
	"testing"
	"time"
)

// fakeClocks simulates the clocks of a VM that can be suspended and whose wall clock can
// be set.
type fakeClocks struct {
	monotonic, wall, boot time.Duration
	bootReads             int
}

func (f *fakeClocks) read() reading { return reading{monotonic: f.monotonic, wall: f.wall} }

func (f *fakeClocks) readBoot() (time.Duration, error) {
	f.bootReads++
	return f.boot, nil
}

func (f *fakeClocks) run(d time.Duration) {
	f.monotonic += d
	f.wall += d
	f.boot += d
}

func (f *fakeClocks) suspend(d time.Duration) {
	f.wall += d
	f.boot += d
}

// Guards against a leader that treats its lease as valid after its VM was suspended: the
// monotonic clock does not advance during the suspension.
func TestSuspensionCounts(t *testing.T) {
	f := &fakeClocks{monotonic: time.Minute, wall: 1000 * time.Hour, boot: time.Hour}
	c := newClock(f.read, f.readBoot)
	f.run(time.Second)
	if got := c.now().Now; got != time.Second {
		t.Errorf("%v after 1 s", got)
	}
	f.suspend(5 * time.Second)
	f.run(10 * time.Millisecond)
	if got, want := c.now().Now, 6010*time.Millisecond; got != want {
		t.Errorf("%v, not %v, after a suspension of 5 s", got, want)
	}
	f.suspend(3 * time.Second)
	if got, want := c.now().Now, 9010*time.Millisecond; got != want {
		t.Errorf("%v, not %v, after a second suspension", got, want)
	}
}

// Guards against a lease that expires, or a clock that runs backwards, because the wall
// clock was set.
func TestSettingTheTimeOfDayIsNoSuspension(t *testing.T) {
	f := &fakeClocks{wall: 1000 * time.Hour, boot: time.Hour}
	c := newClock(f.read, f.readBoot)
	for i, step := range []time.Duration{2 * time.Second, -4 * time.Second, 2 * time.Second} {
		f.run(time.Second)
		f.wall += step
		now := c.now()
		if want := time.Duration(i+1) * time.Second; now.Now != want {
			t.Errorf("%v, not %v, after the wall clock was moved by %v", now.Now, want, step)
		}
		if now.WallMS != f.wall.Milliseconds() {
			t.Errorf("wall clock %d ms, not %d", now.WallMS, f.wall.Milliseconds())
		}
	}
}

// Guards against a system call in each step of the control goroutine: the boot clock may
// be read only after the wall clock and the monotonic clock have diverged.
func TestBootClockIsReadOnlyWhenNeeded(t *testing.T) {
	f := &fakeClocks{wall: 1000 * time.Hour}
	c := newClock(f.read, f.readBoot)
	for range 100 {
		f.run(time.Millisecond)
		c.now()
	}
	if f.bootReads != 1 {
		t.Errorf("the boot clock was read %d times", f.bootReads)
	}
}
