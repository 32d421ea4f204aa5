package jobs

import "github.com/primrosereach/primrosereach/state/job"

// Earlier versions stored workers and jobs beyond the limits of state/job. Entries that are in
// the log stay valid, so that members of all versions apply the same commands. The leader
// removes such records with further commands, and uses none of them meanwhile.

// removeInvalidRecords proposes to remove workers and to cancel jobs that are beyond the limits.
func (l *Leader) removeInvalidRecords() {
	for _, w := range l.byID {
		if err := w.rec.CheckLimits(); err != nil && !w.committingLeave {
			l.log("error", "remove record", "", w.ID, "a worker that an earlier version stored is removed", "error", err.Error())
			l.proposeLeave(w, false)
		}
	}
	ids := l.invalidJobs
	l.invalidJobs = nil
	for _, id := range ids {
		l.cancelInvalid(id)
	}
}

// cancelInvalid cancels a job that is beyond the limits. It could never complete, and placing
// its tasks could use up the memory of every member.
func (l *Leader) cancelInvalid(id job.ID) {
	j := l.state.Job(id)
	if j == nil || j.Phase.Final() {
		return
	}
	cause := j.CheckLimits().Error() // a final job has no steps
	retry := func() { l.invalidJobs = append(l.invalidJobs, id) }
	ok := l.propose(&job.Command{Cancel: &job.Cancel{Job: id, AtMS: l.wallMS}}, func(_ job.Applied, committed bool) {
		if !committed {
			retry()
			return
		}
		l.log("error", "remove record", string(id), "", "a job that an earlier version stored is cancelled", "error", cause)
	})
	if !ok {
		retry()
	}
}
