package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

const (
	// quarantineAfter is the number of different jobs that must fail in a row on a worker
	// before it is quarantined. Some queues allow only two attempts, so a higher number
	// would let jobs fail.
	quarantineAfter = 2
	// firstQuarantine is the duration of the first quarantine of a worker. The duration doubles
	// with each further quarantine without a success in between, up to maxQuarantine.
	firstQuarantine = 3 * time.Second
	maxQuarantine   = 20 * time.Second
)

// failureStreak tracks the different jobs that failed in a row on a worker.
type failureStreak struct {
	jobs         []job.ID
	until        time.Duration // end of the quarantine
	lastDuration time.Duration // duration of the last quarantine
}

// failed records the failure of a job and reports whether that starts a quarantine. A job
// that is in the streak already does not count again.
func (s *failureStreak) failed(now time.Duration, id job.ID) bool {
	for _, j := range s.jobs {
		if j == id {
			return false
		}
	}
	s.jobs = append(s.jobs, id)
	if len(s.jobs) < quarantineAfter {
		return false
	}
	s.lastDuration = min(max(firstQuarantine, 2*s.lastDuration), maxQuarantine)
	s.until = now + s.lastDuration
	s.jobs = s.jobs[:quarantineAfter-1] // one further failure starts the next quarantine
	return true
}

// maxQuarantinedShare is the share of a pool's workers that can be in quarantine. If more seem to
// fail, jobs that cannot be done are the likely cause.
const maxQuarantinedShare = 0.3

// recordFailure counts the failure of a job on a worker, and quarantines the worker if several jobs
// have failed there in a row.
func (l *Leader) recordFailure(w *worker, id job.ID, reason string) {
	if !w.failures.failed(l.now, id) {
		return
	}
	l.log("warn", "quarantine", "", w.ID, reason, "until_ms", (w.failures.until - l.now).Milliseconds())
	l.limitQuarantine(w.rec.Pool)
}

// limitQuarantine ends all quarantines of a pool if they concern more than maxQuarantinedShare of
// its workers, and more than one: otherwise a few jobs that fail everywhere would leave no worker
// for all others.
func (l *Leader) limitQuarantine(pool string) {
	var quarantined []*worker
	all := 0
	for _, w := range l.byID {
		if w.rec.Pool != pool || w.unresponsive {
			continue
		}
		all++
		if w.failures.quarantined(l.now) {
			quarantined = append(quarantined, w)
		}
	}
	if len(quarantined) <= max(1, int(maxQuarantinedShare*float64(all))) {
		return
	}
	for _, w := range quarantined {
		w.failures = failureStreak{}
	}
	l.needsSchedule = true
	l.log("warn", "quarantine", "", "", "failures on many workers are put down to the jobs: all quarantines of the pool end", "pool", pool, "quarantined", len(quarantined), "workers", all)
}

func (s *failureStreak) succeeded() { s.jobs, s.lastDuration = nil, 0 }

func (s *failureStreak) quarantined(now time.Duration) bool { return now < s.until }
