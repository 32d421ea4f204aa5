package admission

import "time"

const (
	// slices and sliceLength define the sliding window in which completions are
	// counted. A window of 2 s follows a change of load within seconds, and in steps
	// of 250 ms old completions expire gradually.
	slices      = 8
	sliceLength = 250 * time.Millisecond
	// priorRuns is the weight of the capacity against the observed completions: that
	// many mean run times of work are assumed to have been completed at full
	// capacity. Without it, few completions of long tasks would look like a
	// standstill.
	priorRuns = 4
	// meanGain is the gain of the moving average of run times, which covers about 32
	// completions.
	meanGain = 1.0 / 32
	// defaultRun is the assumed mean run time before any completion.
	defaultRun = time.Second
	// minRate is the least completion rate. It keeps expected waits finite when
	// nothing was completed for long.
	minRate = 1e-3
)

// throughput measures how much work a class completes, in seconds of learned run time
// per second. Only times with waiting work count; at other times completions reflect
// the demand and not the capacity.
type throughput struct {
	work            [slices]time.Duration // work completed in each slice
	slice           int64                 // number of the latest slice
	backloggedSince time.Duration         // start of the current period with waiting work
	backlogged      bool                  // there is waiting work
	mean            time.Duration         // moving average of the run times, 0 before the first completion
}

// advance clears the slices that have begun since the latest one.
func (tp *throughput) advance(now time.Duration) {
	slice := int64(now / sliceLength)
	for n := min(slice-tp.slice, slices); n > 0; n-- {
		tp.work[(slice-n+1)%slices] = 0
	}
	tp.slice = max(tp.slice, slice)
}

// observeLoad records whether work is waiting. A new period with waiting work starts
// without counted completions.
func (tp *throughput) observeLoad(now time.Duration, l Load) {
	switch {
	case l.Queued == 0:
		tp.backlogged = false
	case !tp.backlogged:
		tp.backlogged, tp.backloggedSince = true, now
		tp.work = [slices]time.Duration{}
	}
}

func (tp *throughput) completed(now time.Duration, run time.Duration) {
	tp.advance(now)
	tp.work[tp.slice%slices] += run
	if tp.mean == 0 {
		tp.mean = run
		return
	}
	tp.mean += time.Duration(meanGain * float64(run-tp.mean))
}

func (tp *throughput) meanRun() time.Duration {
	if tp.mean <= 0 {
		return defaultRun
	}
	return tp.mean
}

// rate returns the work completed per second, in seconds of learned run time. It starts
// from the capacity and approaches the observed rate while work is waiting.
func (tp *throughput) rate(now time.Duration, capacity int) float64 {
	full := float64(max(1, capacity))
	if !tp.backlogged {
		return full
	}
	tp.advance(now)
	var work time.Duration
	for _, w := range tp.work {
		work += w
	}
	prior := priorRuns * tp.meanRun().Seconds()
	observed := min(now-tp.backloggedSince, (slices-1)*sliceLength+now%sliceLength).Seconds()
	return max(minRate, (work.Seconds()+prior)/(observed+prior/full))
}
