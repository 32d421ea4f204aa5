package control

import (
	"testing"
	"time"
)

// fakeClocks are the clocks of a VM that can be suspended and whose time of day can be
// set.
type fakeClocks struct {
	steady, wall, boot time.Duration
	bootReads          int
}

func (f *fakeClocks) read() reading { return reading{steady: f.steady, wall: f.wall} }

func (f *fakeClocks) readBoot() (time.Duration, error) {
	f.bootReads++
	return f.boot, nil
}

func (f *fakeClocks) run(d time.Duration) {
	f.steady += d
	f.wall += d
	f.boot += d
}

func (f *fakeClocks) suspend(d time.Duration) {
	f.wall += d
	f.boot += d
}

// Guards against a leader that takes its lease for valid after its VM was suspended.
func TestSuspensionCounts(t *testing.T) {
	f := &fakeClocks{steady: time.Minute, wall: 1000 * time.Hour, boot: time.Hour}
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

// Guards against a lease that ends, or clocks that run backwards, because the time of
// day was set.
func TestSettingTheTimeOfDayIsNoSuspension(t *testing.T) {
	f := &fakeClocks{wall: 1000 * time.Hour, boot: time.Hour}
	c := newClock(f.read, f.readBoot)
	for i, step := range []time.Duration{2 * time.Second, -4 * time.Second, 2 * time.Second} {
		f.run(time.Second)
		f.wall += step
		now := c.now()
		if want := time.Duration(i+1) * time.Second; now.Now != want {
			t.Errorf("%v, not %v, after the time of day was moved by %v", now.Now, want, step)
		}
		if now.WallMS != f.wall.Milliseconds() {
			t.Errorf("time of day %d ms, not %d", now.WallMS, f.wall.Milliseconds())
		}
	}
}

// Guards against a system call in each step of the control goroutine.
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
