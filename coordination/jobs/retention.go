package jobs

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// maxPrunedJobs bounds the number of jobs that one command prunes.
const maxPrunedJobs = 500

// retention returns how long a final job is kept after its end at least.
func (l *Leader) retention() time.Duration { return l.bounds.StatusRetention + 30*time.Second }

// pruneJobs deletes final jobs whose retention has expired.
func (l *Leader) pruneJobs() {
	n := 0
	for n < min(len(l.finalJobs), maxPrunedJobs) && l.mayPrune(l.finalJobs[n]) {
		n++
	}
	old := slices.Clone(l.finalJobs[:n])
	if n == 0 || !l.propose(&job.Command{Prune: &job.Prune{Jobs: old}}, nil) {
		return // if the log takes no entry now, the next check tries again
	}
	l.finalJobs = l.finalJobs[n:]
	for _, id := range old {
		delete(l.retained, id)
	}
}

// retention is how long a final job is kept.
type retention struct {
	untilMS int64 // Unix milliseconds
	epoch   int64 // submission epoch in which the job was known to be final
}

// mayPrune reports whether the retention of a final job has expired, and no copy of its submission can be
// accepted any more: it would run a second time.
func (l *Leader) mayPrune(id job.ID) bool {
	r := l.retained[id]
	return r.untilMS <= l.wallMS && l.state.EpochExpired(r.epoch)
}
