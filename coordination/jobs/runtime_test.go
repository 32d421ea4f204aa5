package jobs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Guards against a run that resumed from a checkpoint, was adopted or was stopped and that is learned
// from as if it had done all the work of its task: its worker then seems several times as fast.
func TestPartialRunsAreMeasuredByTheirProgress(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		run     run
		resumed bool
		kind    job.EndKind
		work    time.Duration // expected run time for all the work, 0 for none
	}{
		"whole run":            {run{phase: running, phaseSince: 2 * second}, false, job.EndDone, 8 * second},
		"resumed, no report":   {run{phase: running, phaseSince: 9 * second}, true, job.EndDone, 0},
		"resumed":              {run{phase: running, phaseSince: 5 * second, hasProgressed: true, firstPercent: 50, firstPercentAt: 6 * second, percent: 90, progressAt: 9 * second}, true, job.EndDone, 8 * second},
		"resumed at the end":   {run{phase: running, phaseSince: 9 * second, hasProgressed: true, firstPercent: 90, firstPercentAt: 9 * second, percent: 95, progressAt: 9 * second}, true, job.EndDone, 0},
		"adopted":              {run{phase: running, adopted: true, phaseSince: 8 * second, hasProgressed: true, firstPercent: 75, firstPercentAt: 8 * second, percent: 80, progressAt: 9 * second}, false, job.EndDone, 8 * second},
		"stopped":              {run{phase: stopping, hasProgressed: true, firstPercent: 10, firstPercentAt: second, percent: 60, progressAt: 5 * second}, false, job.EndStopped, 8 * second},
		"stopped at its start": {run{phase: stopping, hasProgressed: true, firstPercent: 1, firstPercentAt: second, percent: 3, progressAt: 2 * second}, false, job.EndStopped, 0},
		"failed":               {run{phase: running, hasProgressed: true, firstPercent: 10, firstPercentAt: second, percent: 60, progressAt: 5 * second}, false, job.EndFailed, 0},
		"not started":          {run{phase: starting}, false, job.EndNotStarted, 0},
	} {
		t.Run(name, func(t *testing.T) {
			took, part, ok := c.run.measure(10*second, c.resumed, c.kind)
			work := time.Duration(0)
			if ok {
				work = time.Duration(float64(took) / part)
			}
			if (work - c.work).Abs() > time.Millisecond {
				t.Errorf("work %v, want %v", work, c.work)
			}
		})
	}
}

// Guards against workers whose learned speed is that of the resumed runs on them: all workers are
// equal, and half of the tasks resume with a tenth of their work left.
func TestResumedRunsDoNotChangeSpeeds(t *testing.T) {
	sim := newReadySimulation(t, 81, 4, nil)
	l := sim.leader
	for i := range 200 {
		id := fmt.Sprint("w", i%4)
		w := l.workers[id]
		s := &step{ref: job.StepRef{Job: job.ID(fmt.Sprint("j", i))}, queue: job.Queue{Name: "batch"}}
		spec := tasks(1, 1, 1000)
		s.spec = &spec
		s.job = &job.Job{Submission: job.Submission{Steps: []job.Step{spec}}}
		r := &run{ref: job.TaskRef{StepRef: s.ref}, phase: running, phaseSince: sim.now - time.Second}
		if i%4 < 2 { // resumed
			s.job.Occurrences = map[int]*job.Occurrence{0: {Steps: [][]job.Task{{{Checkpoint: "c"}}}, Open: []int{1}}}
			r.phaseSince = sim.now - 100*time.Millisecond
			r.hasProgressed, r.firstPercent, r.firstPercentAt = true, 90, r.phaseSince
		}
		l.learnRunTime(w, s, r, job.EndDone)
	}
	for _, id := range []string{"w0", "w1", "w2", "w3"} {
		if speed := l.speeds.Speed(id); speed < 0.9 || speed > 1.1 {
			t.Errorf("worker %s has the learned speed %.2f", id, speed)
		}
	}
}

// history draws the work of the tasks of one step, in milliseconds, and what its caller states.
type history func(rng *rand.Rand, step int) (stated float64, work []float64)

// draw returns the work of n tasks around a mean, with a spread.
func draw(rng *rand.Rand, n int, mean, spread float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = mean * math.Exp(rng.NormFloat64()*spread)
	}
	return out
}

// Guards against expectations that are worse than the stated time alone, or than the median of the
// queue's past runs, over histories whose steps differ, drift, have two modes, have heavy tails or
// state nonsense. The target is the better of the two in each history.
func TestExpectationsBeatStatedTimeAndMedian(t *testing.T) {
	const width = 12
	around := func(rng *rand.Rand) float64 { return 2000 * math.Exp(rng.NormFloat64()*0.5) }
	for name, h := range map[string]history{
		"stated times off": func(rng *rand.Rand, _ int) (float64, []float64) {
			mean := around(rng)
			return mean * math.Exp(rng.NormFloat64()*0.7), draw(rng, width, mean, 0.2)
		},
		"drifting": func(rng *rand.Rand, step int) (float64, []float64) {
			mean := 500 * math.Exp(float64(step)/60)
			return 1000, draw(rng, width, mean, 0.2)
		},
		"two modes": func(rng *rand.Rand, _ int) (float64, []float64) {
			mean := []float64{300, 5000}[rng.IntN(2)]
			return 1500, draw(rng, width, mean, 0.2)
		},
		"heavy tails": func(rng *rand.Rand, _ int) (float64, []float64) {
			mean := around(rng)
			work := draw(rng, width, mean, 0.2)
			for i := range work {
				if rng.Float64() < 0.03 {
					work[i] *= 7
				}
			}
			return mean * math.Exp(rng.NormFloat64()*0.9), work
		},
		"stated nonsense": func(rng *rand.Rand, _ int) (float64, []float64) {
			return []float64{1, 3_600_000}[rng.IntN(2)], draw(rng, width, around(rng), 0.2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newReadySimulation(t, 82, 1, nil)
			rng := rand.New(rand.NewPCG(1, 2))
			var learned, stated, median, past []float64
			for n := range 120 {
				said, work := h(rng, n)
				spec := tasks(width, 1, int64(said))
				s := &step{ref: job.StepRef{Job: job.ID(fmt.Sprint("j", n))}, queue: job.Queue{Name: "batch"}, spec: &spec}
				s.job = &job.Job{Submission: job.Submission{Steps: []job.Step{spec}}}
				for i, ms := range work {
					logError := func(expected float64) float64 { return math.Abs(math.Log(ms / max(1, expected))) }
					if n >= 20 {
						learned = append(learned, logError(float64(sim.leader.runTime(s, 1))/float64(time.Millisecond)))
						stated = append(stated, logError(said))
						median = append(median, logError(medianOf(past)))
					}
					r := &run{ref: job.TaskRef{StepRef: s.ref, Index: i}, phase: running, phaseSince: sim.now - time.Duration(ms*float64(time.Millisecond))}
					sim.leader.learnRunTime(sim.leader.workers["w0"], s, r, job.EndDone)
					past = append(past[max(0, len(past)-31):], ms)
				}
			}
			l, s, m := medianOf(learned), medianOf(stated), medianOf(median)
			t.Logf("median error as a factor: learned %.2f, stated %.2f, running median %.2f", math.Exp(l), math.Exp(s), math.Exp(m))
			if l > min(s, m) {
				t.Errorf("the learned expectation is off by %.2f, the stated time by %.2f, the running median by %.2f", l, s, m)
			}
		})
	}
}

func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(values))[len(values)/2]
}

// Guards against an expectation without any history that differs from what the caller states.
func TestColdExpectationIsTheStatedTime(t *testing.T) {
	sim := newReadySimulation(t, 83, 1, nil)
	spec := tasks(1, 1, 1700)
	s := &step{queue: job.Queue{Name: "new"}, spec: &spec}
	if got := sim.leader.runTime(s, 1); (got - 1700*time.Millisecond).Abs() > 10*time.Millisecond {
		t.Errorf("expected %v", got)
	}
}
