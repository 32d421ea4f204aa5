package jobs

import (
	"math"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/coordination/estimate"
	"github.com/primrosereach/primrosereach/state/job"
)

// Callers state run times that are far off, so the leader learns them from runs: the work of a task,
// which is its run time on a worker of speed 1. Tasks of one step resemble each other far more than
// steps of one queue do, so the first tasks that end correct what is expected of the others. Learned
// times decide on order, backfill and placement beside a reservation; a wrong one costs time only.

const (
	// taskKind is the kind under which run times of tasks are learned, for each queue.
	taskKind = "task"
	// minMeasuredPercent is the part of a task's work from which a run that did not do all of it is
	// learned from. Workers report whole percents, and the start of a run is not exact.
	minMeasuredPercent = 25
	// maxWorkTimes bounds the run times that are kept of a step.
	maxWorkTimes = 32
	// minWorkTimes is the number of run times of a step from which their median is used. With fewer,
	// one task that takes several times as long would decide.
	minWorkTimes = 3
	// taskSpread is the spread of the logarithms of the run times within a step. The expectation for the queue
	// counts as many run times as the square of this spread over that between steps.
	taskSpread = 0.2
	// unknownSpread is the spread of the errors that is assumed while too few are known.
	unknownSpread = 0.7
	// minErrorSpread bounds the weight of an expectation that has been exact by chance.
	minErrorSpread = 0.1
	// predictionAge is how long a predicted run time is used.
	predictionAge = time.Second
)

// measure returns the time that a run has taken for a part of its task's work. ok is false if too
// little of it was seen: a run that resumes from a checkpoint, was started by an earlier leader, or was
// stopped, shows only the part between two reports of its progress. A run that fails shows nothing.
func (r *run) measure(now time.Duration, resumed bool, kind job.EndKind) (took time.Duration, part float64, ok bool) {
	switch {
	case r.phase == starting || kind == job.EndFailed || kind == job.EndNotStarted:
		return 0, 0, false
	case kind == job.EndDone && !resumed && !r.adopted && r.phase == running:
		return now - r.phaseSince, 1, true
	case !r.hasProgressed:
		return 0, 0, false
	}
	took, percent := r.progressAt-r.firstPercentAt, r.percent-r.firstPercent
	if kind == job.EndDone {
		took, percent = now-r.firstPercentAt, 100-r.firstPercent
	}
	return took, float64(percent) / 100, percent >= minMeasuredPercent && took > 0
}

// learnRunTime learns from a run that has ended.
func (l *Leader) learnRunTime(w *worker, s *step, r *run, kind job.EndKind) {
	if s.spec.Service || s.spec.BestEffort {
		return
	}
	took, part, ok := r.measure(l.now, s.task(r.ref.Index).Checkpoint != "", kind)
	if !ok {
		return
	}
	runMS := max(1, float64(took.Milliseconds())/part)
	l.speeds.Observe(l.now, estimate.Observation{Team: s.queue.Name, Kind: taskKind, Endpoint: w.ID, DeclaredMS: s.spec.EstimateMS, RunMS: int64(runMS)})
	s.addWorkTime(math.Log(runMS * l.speeds.Speed(w.ID)))
	s.predicted = 0
}

func (s *step) addWorkTime(logMS float64) {
	if len(s.workTimes) >= maxWorkTimes {
		s.workTimes = s.workTimes[1:]
	}
	s.workTimes = append(s.workTimes, logMS)
}

// runTime returns the expected run time of a task of a step on a worker of the given speed. The
// prediction of a step is renewed once in predictionAge: a plan needs those of thousands of runs.
func (l *Leader) runTime(s *step, speed float64) time.Duration {
	if s.predicted == 0 || l.now-s.predictedAt > predictionAge {
		prior := l.speeds.Predict(s.queue.Name, taskKind, s.spec.EstimateMS)
		if prior.P50 <= 0 {
			prior.P50 = max(1, time.Duration(s.spec.EstimateMS)*time.Millisecond)
		}
		s.predicted, s.predictedAt = s.correct(prior), l.now
	}
	return time.Duration(float64(s.predicted) / max(speed, minSpeed))
}

// correct returns the expectation for a task of the step, from that for its queue and the run times of
// the step. The more reliable the former was, the more it counts.
func (s *step) correct(prior estimate.Prediction) time.Duration {
	if len(s.workTimes) == 0 {
		return prior.P50
	}
	spread := prior.ErrorSpread
	if spread == 0 {
		spread = unknownSpread
	}
	// The errors of the expectation contain the spread within steps as well.
	betweenSteps := math.Sqrt(max(0, spread*spread-taskSpread*taskSpread))
	weight := math.Pow(taskSpread/max(betweenSteps, minErrorSpread), 2)
	logPrior := math.Log(max(1, float64(prior.P50)/float64(time.Millisecond)))
	n := float64(len(s.workTimes))
	expected := (weight*logPrior + n*middle(s.workTimes)) / (weight + n)
	return time.Duration(math.Exp(expected) * float64(time.Millisecond))
}

// middle returns the median of values, or the mean of fewer than minWorkTimes.
func middle(values []float64) float64 {
	n := len(values)
	if n >= minWorkTimes {
		sorted := slices.Sorted(slices.Values(values))
		return (sorted[(n-1)/2] + sorted[n/2]) / 2
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(n)
}
