package jobs

import (
	"math"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// A worker's speed is learned from its runs, which takes several seconds for hundreds of workers.
// After a change of leader, a third of the short jobs ran on workers of half the usual speed until
// the new leader had learned that again, when the backlog was largest. The leader therefore saves
// the speeds in the replicated records.

const (
	// speedPrior is the weight of the prior of a worker's speed, as a number of runs. After two
	// runs on a worker of half the usual speed, work that is in a hurry avoids it.
	speedPrior = 1.5
	// saveSpeedsInterval is the minimum time between two commands that save speeds.
	saveSpeedsInterval = time.Second
	// savedSpeedFactor is the change of a speed, as a factor, from which it is saved again.
	savedSpeedFactor = 1.2
	// maxSavedSpeeds bounds the workers in one command.
	maxSavedSpeeds = 200
)

// saveSpeeds replicates learned speeds that differ from the saved ones.
func (l *Leader) saveSpeeds() {
	if l.now < l.nextSpeeds {
		return
	}
	l.nextSpeeds = l.now + saveSpeedsInterval
	var items []job.WorkerSpeed
	for _, w := range l.byID {
		speed, saved := l.speeds.Speed(w.ID), 1.0
		if w.rec.SpeedPercent > 0 {
			saved = float64(w.rec.SpeedPercent) / 100
		}
		if math.Abs(math.Log(speed/saved)) > math.Log(savedSpeedFactor) && len(items) < maxSavedSpeeds {
			items = append(items, job.WorkerSpeed{Incarnation: w.Incarnation, Percent: max(1, int(math.Round(100*speed)))})
		}
	}
	if len(items) > 0 {
		l.propose(&job.Command{SetSpeeds: &job.SetSpeeds{Items: items}}, nil)
	}
}
