package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Submissions carry the submission epoch that their sender knew, so that the age of a late copy does not have
// to be measured. Time decides only when the next epoch starts: too early it refuses fair submissions, too late
// it keeps tombstones and final jobs longer.

// minEpochTime is the minimum length of a submission epoch. It exceeds the longest time for which a
// gateway attempts a call, and the period of the heartbeats from which it learns the epoch.
const minEpochTime = 30 * time.Second

// submissionEpoch is the leader's record of the epoch in force.
type submissionEpoch struct {
	known     int64         // epoch in force when end was set
	end       time.Duration // time from which the next epoch can start
	advancing bool          // the next epoch is being committed
}

// epochTime returns the length of a submission epoch. Final jobs are kept until copies of their
// submissions are too old, so it is derived from their retention.
func (l *Leader) epochTime() time.Duration { return max(minEpochTime, l.retention()/2) }

// advanceEpoch starts the next submission epoch when the one in force has lasted for epochTime. The clock
// that measured its start may be another leader's, so a new leader waits for minEpochTime at least.
func (l *Leader) advanceEpoch() {
	if e := l.state.Epoch(); e != l.epoch.known {
		elapsed := time.Duration(l.wallMS-l.state.EpochStartMS()) * time.Millisecond
		if l.state.EpochStartMS() == 0 {
			elapsed = 0
		}
		l.epoch.known = e
		l.epoch.end = l.now + min(max(minEpochTime, l.epochTime()-elapsed), l.epochTime())
	}
	if l.now < l.epoch.end || l.epoch.advancing {
		return
	}
	next := &job.AdvanceEpoch{Epoch: l.state.Epoch() + 1, AtMS: l.wallMS}
	l.epoch.advancing = l.propose(&job.Command{AdvanceEpoch: next}, func(job.Applied, bool) { l.epoch.advancing = false })
}
