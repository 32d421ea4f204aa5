package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// refusedLogInterval is the minimum time between two log lines about ends of runs on one worker that the
// log has refused.
const refusedLogInterval = time.Second

// logRefusedEnds logs that the log takes no entry for ends of runs now.
func (l *Leader) logRefusedEnds(w *worker, ends []job.RunEnd) {
	if len(ends) == 0 || l.now < w.nextRefusedLog {
		return
	}
	w.nextRefusedLog = l.now + refusedLogInterval
	e := &ends[0]
	l.log("info", "end", e.TaskRef.String(), w.ID, "the log takes no entry now, and the ends of runs are recorded later", "run", e.Run, "how", string(e.Kind), "ends", len(ends))
}
