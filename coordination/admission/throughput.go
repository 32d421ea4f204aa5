package admission

import "time"

const (
	// slices of sliceLength make up the time over which completions are counted: 2 s
	// follows a swing within seconds, and 250 ms steps do not forget it at once.
	slices      = 8
	sliceLength = 250 * time.Millisecond
	// priorRuns weights the capacity against the observed completions: as many mean
	// run times of work are assumed to have been completed at full capacity. Few
	// completions of long tasks would otherwise look like a standstill.
	priorRuns = 4
	// meanGain adapts the mean run time over about 32 completions.
	meanGain = 1.0 / 32
	// defaultRun is assumed for the mean run time before any completion.
	defaultRun = time.Second
	// minRate keeps waits finite when nothing was completed for long.
	minRate = 1e-3
)

// drain measures how much work a class completes, in seconds of learned run time
// per second. Only times with waiting work count: otherwise demand is measured
// and not capacity.
type drain struct {
	work  [slices]time.Duration // completed in each slice
	slice int64                 // number of the latest slice
	since time.Duration         // start of the current period with waiting work
	busy  bool                  // there is waiting work
	mean  time.Duration         // of the run times, 0 before the first
}

func (d *drain) advance(now time.Duration) {
	slice := int64(now / sliceLength)
	for n := min(slice-d.slice, slices); n > 0; n-- {
		d.work[(slice-n+1)%slices] = 0
	}
	d.slice = max(d.slice, slice)
}

func (d *drain) observeLoad(now time.Duration, l Load) {
	switch {
	case l.Queued == 0:
		d.busy = false
	case !d.busy:
		d.busy, d.since = true, now
		d.work = [slices]time.Duration{}
	}
}

func (d *drain) completed(now time.Duration, run time.Duration) {
	d.advance(now)
	d.work[d.slice%slices] += run
	if d.mean == 0 {
		d.mean = run
		return
	}
	d.mean += time.Duration(meanGain * float64(run-d.mean))
}

func (d *drain) meanRun() time.Duration {
	if d.mean <= 0 {
		return defaultRun
	}
	return d.mean
}

// rate returns the work completed per second: the capacity until there is enough
// evidence, then what was observed.
func (d *drain) rate(now time.Duration, capacity int) float64 {
	full := float64(max(1, capacity))
	if !d.busy {
		return full
	}
	d.advance(now)
	var work time.Duration
	for _, w := range d.work {
		work += w
	}
	prior := priorRuns * d.meanRun().Seconds()
	observed := min(now-d.since, (slices-1)*sliceLength+now%sliceLength).Seconds()
	return max(minRate, (work.Seconds()+prior)/(observed+prior/full))
}
