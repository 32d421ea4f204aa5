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

func (s *failureStreak) succeeded() { s.jobs, s.lastDuration = nil, 0 }

func (s *failureStreak) quarantined(now time.Duration) bool { return now < s.until }
