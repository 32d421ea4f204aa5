package jobs

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// workClass is a class of jobs in a load pattern.
type workClass struct {
	path          string
	perSecond     float64 // mean arrival rate
	steps         float64 // mean number of steps
	width         float64 // mean number of tasks of a step
	gangShare     float64 // share of jobs whose steps are gangs
	checkpointing bool
	milliCores    float64 // mean per task
	memoryMB      float64 // mean per task
	runMS         float64 // mean of the estimated run time of a task
	approvalShare float64 // share of the workers that may run a step, where the pattern sets it
	maxRoomShare  float64 // largest share of the workers whose room a step may need, 0 for no limit
}

// loadPattern is traffic on a set of workers, modelled on the users' deployments.
type loadPattern struct {
	workers int
	classes []workClass
	burst   float64       // factor on the rate of the first class, from burstAt for burstTime
	length  time.Duration // period in which jobs arrive
}

const (
	burstAt   = 6 * time.Second
	burstTime = 4 * time.Second
)

// claimsPattern returns the load of the claims service: lookups, reviews, which are gangs,
// and checks. scale multiplies workers and traffic.
func claimsPattern(scale float64) loadPattern {
	return loadPattern{
		workers: int(48 * scale), burst: 2.3, length: 16 * time.Second,
		classes: []workClass{
			{path: "/u/", perSecond: 27 * scale, steps: 1, width: 2, gangShare: 0.3, milliCores: 5600, memoryMB: 11_000, runMS: 850},
			{path: "/m/", perSecond: 1.0 * scale, steps: 1.2, width: 8, gangShare: 1, checkpointing: true, milliCores: 18_000, memoryMB: 68_000, runMS: 5300},
			{path: "/b/", perSecond: 3.8 * scale, steps: 1.5, width: 10, checkpointing: true, milliCores: 3900, memoryMB: 11_000, runMS: 2900},
		},
	}
}

// overload returns the pattern with its arrival rates multiplied by a factor.
func (p loadPattern) overload(factor float64) loadPattern {
	classes := append([]workClass(nil), p.classes...)
	for i := range classes {
		classes[i].perSecond *= factor
	}
	p.classes = classes
	return p
}

// loadResult summarises the outcomes of jobs by path.
type loadResult struct {
	jobs, inTime map[string]int
	refused      int                  // submissions, counted by runSaturated only
	completionMS map[string][]float64 // times from acceptance to completion in milliseconds
}

// share returns the share of a class's jobs that were done by their objective.
func (r *loadResult) share(path string) float64 {
	return float64(r.inTime[path]) / math.Max(1, float64(r.jobs[path]))
}

// runLoad runs a pattern and returns the outcomes of its jobs.
func runLoad(t testing.TB, seed uint64, p loadPattern) (*simulation, *loadResult) {
	sim := newSimulation(t, seed)
	sim.approvalShare = 0.5
	sim.configureLoad()
	for i := range p.workers {
		x := sim.addWorker(fmt.Sprintf("w%03d", i), 64)
		x.capacity.MemoryMB = 256_000
		x.speed = []float64{0.6, 1, 1.6}[i%3]
		x.domain = fmt.Sprint("d", i%3)
	}
	sim.heartbeats()
	sim.run(300 * time.Millisecond)
	for i := range p.classes {
		sim.scheduleArrival(&p, &p.classes[i], 0)
	}
	sim.run(p.length + 8*time.Second)
	return sim, sim.loadResult(p.length)
}

func (sim *simulation) configureLoad() {
	advice := func(decide, each float64) *job.Advice {
		return &job.Advice{PerCallMS: decide, PerWorkerMS: each, ValidMS: 2000}
	}
	sim.advice = true
	sim.apply(&job.Command{Configure: &job.Configuration{
		Version: 1, Pools: []job.Pool{{Name: "p"}},
		Queues: []job.Queue{
			{Name: "lookup", Host: "h", Prefix: "/u/", Pool: "p", MaxAttempts: 2, TimeoutMS: 3000, Stretch: 1.5, TargetLatencyMS: 250, Advice: advice(8.7, 0.12)},
			{Name: "review", Host: "h", Prefix: "/m/", Pool: "p", Priority: 1, MaxAttempts: 4, TimeoutMS: 3000, Stretch: 2.2, TargetLatencyMS: 1000, Advice: advice(480, 6.9)},
			{Name: "check", Host: "h", Prefix: "/b/", Pool: "p", Priority: 2, MaxAttempts: 3, TimeoutMS: 3000, Stretch: 4, TargetLatencyMS: 3000, Advice: advice(62, 0.88)},
		},
	}})
}

// scheduleArrival schedules the arrival of the next job of a class, and of those after it.
func (sim *simulation) scheduleArrival(p *loadPattern, c *workClass, n int) {
	rate := c.perSecond
	if c == &p.classes[0] && sim.now > burstAt && sim.now < burstAt+burstTime {
		rate *= p.burst
	}
	gap := time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
	if sim.now+gap > p.length {
		return
	}
	sim.after(gap, func() {
		sim.submit(c.path, sim.randomSubmission(c, job.ID(fmt.Sprintf("%s%05d", c.path[1:2], n))))
		sim.scheduleArrival(p, c, n+1)
	})
}

// randomSubmission returns a job with random sizes from the distributions of its class.
func (sim *simulation) randomSubmission(c *workClass, id job.ID) job.Submission {
	spread := func(mean, sigma float64) float64 {
		return mean * math.Exp(sim.rng.NormFloat64()*sigma-sigma*sigma/2)
	}
	s := job.Submission{ID: id}
	gang := sim.rng.Float64() < c.gangShare
	for i := range max(1, int(math.Round(spread(c.steps, 0.4)))) {
		st := job.Step{
			Count: max(1, int(math.Round(spread(c.width, 0.8)))), Gang: gang, Checkpointing: c.checkpointing,
			PerTask:    resource.Amount{MilliCores: min(30_000, int(spread(c.milliCores, 0.4))), MemoryMB: min(140_000, int(spread(c.memoryMB, 0.5)))},
			EstimateMS: int64(spread(c.runMS, 0.5)),
		}
		st.Count = min(st.Count, int(6*c.width))
		if c.maxRoomShare > 0 {
			perWorker := min(64_000/st.PerTask.MilliCores, 256_000/st.PerTask.MemoryMB)
			st.Count = max(1, min(st.Count, int(c.maxRoomShare*float64(len(sim.workers)*perWorker))))
		}
		if i > 0 {
			st.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, st)
	}
	return s
}

// loadResult returns the outcomes of the jobs that were accepted before a time.
func (sim *simulation) loadResult(before time.Duration) *loadResult {
	out := &loadResult{jobs: map[string]int{}, inTime: map[string]int{}, completionMS: map[string][]float64{}}
	sim.state.Jobs(func(j *job.Job) bool {
		if j.AcceptedMS > testEpochMS+before.Milliseconds() {
			return true
		}
		q := sim.state.QueueOf(j)
		out.jobs[q.Prefix]++
		spec := sim.specs[j.ID]
		chain, _ := criticalPath(spec.Steps)
		objective := int64(q.Stretch*float64(chain)) + q.TargetLatencyMS
		took := j.FinalMS - j.AcceptedMS
		if j.Phase == job.Completed {
			out.completionMS[q.Prefix] = append(out.completionMS[q.Prefix], float64(took))
			if took <= objective {
				out.inTime[q.Prefix]++
			}
		}
		return true
	})
	return out
}

// BenchmarkLoad measures the cost of the leader's decisions at the load of the users'
// deployments: the current load, the grown load, and the grown deployment under twice its
// load.
func BenchmarkLoad(b *testing.B) {
	for _, c := range []struct {
		name    string
		pattern loadPattern
	}{
		{"today", claimsPattern(1)},
		{"grown", claimsPattern(7.3)},
		{"grown-overload", claimsPattern(7.3).overload(2)},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				sim, r := runLoad(b, 1, c.pattern)
				b.ReportMetric(sim.leaderTime.Seconds()/sim.now.Seconds(), "leader-cores")
				for _, path := range []string{"/u/", "/m/", "/b/"} {
					b.ReportMetric(r.share(path), "in-time"+path[1:2])
				}
			}
		})
	}
}
