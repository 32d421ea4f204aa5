//go:build !race

package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Load pattern: four teams with equal weights share a busy pool, and one of them sends seven times
// its usual for four seconds. Guards against a team that pushes the others aside: they must be
// served to 0.95 of what they were without it, and the team itself must not starve.
func TestLoadOthersKeepTheirShareBesideHotTeam(t *testing.T) {
	const seeds = 4
	var calm, hot float64
	own := 0
	for seed := uint64(71000); seed < 71000+seeds; seed++ {
		c, _ := runTeams(t, seed, 1)
		h, mine := runTeams(t, seed, 7)
		calm, hot, own = calm+c, hot+h, own+mine
		t.Logf("seed %d: others in time %.3f without, %.3f beside the hot team; the hot team has %d jobs in time", seed, c, h, mine)
	}
	if hot < 0.95*calm {
		t.Errorf("others in time: %.3f without, %.3f beside the hot team", calm/seeds, hot/seeds)
	}
	if own == 0 {
		t.Error("no job of the hot team was done in time")
	}
}

// runTeams runs the claims pattern with four teams. The first one sends factor times its usual
// during the burst. It returns the share of the others' work that was done by its objective, and
// the number of the first team's jobs that were.
func runTeams(t *testing.T, seed uint64, factor float64) (others float64, own int) {
	p := claimsPattern(1).overload(1.2)
	p.burst, p.length = 1, 16*time.Second
	sim := newSimulation(t, seed)
	sim.stateCheckInterval = 50
	sim.approvalShare = 0.5
	sim.configureLoad()
	sim.teamOf = func(id job.ID) string { return fmt.Sprint("team", int(id[len(id)-1])%4) }
	var teams []job.Team
	for i := range 4 {
		teams = append(teams, team(fmt.Sprint("team", i), 14, 0))
	}
	sim.setTeams(teams...)
	for i := range p.workers {
		x := sim.addWorker(fmt.Sprintf("w%03d", i), 64)
		x.capacity.MemoryMB = 256_000
		x.speed = []float64{0.6, 1, 1.6}[i%3]
	}
	sim.heartbeats()
	sim.run(300 * time.Millisecond)
	for i := range p.classes {
		sim.scheduleArrival(&p, &p.classes[i], 0)
		extra := p.classes[i]
		extra.perSecond *= (factor - 1) / 4
		if factor > 1 {
			sim.scheduleHotTeam(&extra, 0)
		}
	}
	sim.run(p.length + 8*time.Second)
	return sim.inTimeByTeam(burstAt, burstAt+2*burstTime)
}

// scheduleHotTeam schedules further jobs of team0 during the burst.
func (sim *simulation) scheduleHotTeam(c *workClass, n int) {
	gap := time.Duration(sim.rng.ExpFloat64() / c.perSecond * float64(time.Second))
	if sim.now < burstAt {
		gap += burstAt - sim.now
	}
	if sim.now+gap > burstAt+burstTime {
		return
	}
	sim.after(gap, func() {
		id := job.ID(fmt.Sprintf("%shot%04d0", c.path[1:2], n)) // the last character selects the team
		sim.submit(c.path, sim.randomSubmission(c, id))
		sim.scheduleHotTeam(c, n+1)
	})
}

// inTimeByTeam returns the share of the work, in core-seconds, of the jobs of all teams but team0 that
// arrived in a period and were done by their objective, and the number of such jobs of team0. Refused
// jobs count as not done.
func (sim *simulation) inTimeByTeam(from, until time.Duration) (others float64, own int) {
	all, inTime := 0.0, 0.0
	for id, spec := range sim.specs {
		j := sim.state.Job(id)
		work, done := 0.0, false
		for i := range spec.Steps {
			st := &spec.Steps[i]
			work += float64(st.Count*st.PerTask.MilliCores) * float64(st.EstimateMS) / 1e6
		}
		if j != nil {
			if at := j.AcceptedMS - testEpochMS; at < from.Milliseconds() || at >= until.Milliseconds() {
				continue
			}
			q := sim.state.QueueOf(j)
			chain, _ := criticalPath(spec.Steps)
			done = j.Phase == job.Completed && j.FinalMS-j.AcceptedMS <= int64(q.Stretch*float64(chain))+q.TargetLatencyMS
		}
		if sim.teamOf(id) == "team0" {
			if done {
				own++
			}
			continue
		}
		all += work
		if done {
			inTime += work
		}
	}
	return inTime / all, own
}
