package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

const (
	// quarantineAfter is the number of different jobs that must fail in a row on a
	// worker. Some queues allow two attempts only, so more would cost jobs.
	quarantineAfter = 2
	// firstQuarantine doubles with each further failure, up to maxQuarantine.
	firstQuarantine = 3 * time.Second
	maxQuarantine   = 20 * time.Second
)

// streak counts the different jobs that failed in a row on a worker.
type streak struct {
	jobs  []job.ID
	until time.Duration // of the quarantine
	span  time.Duration // of the last quarantine
}

// failed notes a failure and reports whether it begins a quarantine.
func (s *streak) failed(now time.Duration, id job.ID) bool {
	for _, j := range s.jobs {
		if j == id {
			return false
		}
	}
	s.jobs = append(s.jobs, id)
	if len(s.jobs) < quarantineAfter {
		return false
	}
	s.span = min(max(firstQuarantine, 2*s.span), maxQuarantine)
	s.until = now + s.span
	s.jobs = s.jobs[:quarantineAfter-1] // one further failure begins the next one
	return true
}

func (s *streak) succeeded() { s.jobs, s.span = nil, 0 }

func (s *streak) quarantined(now time.Duration) bool { return now < s.until }
