package main

import "time"

const (
	finishTime = 14 * time.Second // finish_s
	idleTime   = 3 * time.Second  // for which a job may have nothing running
)

// playRoute moves a queue to another service while a job of it is under way. A job whose tasks
// wait for room at that moment must go on.
func playRoute(p *Play) int {
	const first, second = "alpha", "beta"
	services := []string{first, second}
	route := Route{Name: "r-batch", Prefix: "/batch/", Service: first, Priority: 1, MaxAttempts: 3}
	if !p.Client.Configure(1, services, route) {
		return p.cannotRun("the first configuration was not acknowledged")
	}
	if !p.addRunners(first, "a", 4) || !p.addRunners(second, "b", 4) {
		return failed
	}
	if !p.serves(route.Prefix) {
		return p.cannotRun("the deployment serves nothing")
	}
	time.Sleep(3 * time.Second) // all runners have joined

	// 16 of the 24 tasks fit on the runners of the first service, the others wait.
	const count = 24
	j := p.Fleet.NewJob(Step{Count: count, CPU: 16_000, MemMB: 1024, EstimateMS: 4000})
	if !p.Client.Submit(route.Prefix, j) {
		return p.cannotRun("the job was not accepted")
	}
	time.Sleep(1500 * time.Millisecond)
	changed := route
	changed.MaxAttempts = 4
	if p.Trouble {
		p.Printf("disruption: the configuration changes, the route goes to the service %s", second)
		changed.Service = second
	}
	if !p.Client.Configure(7, services, changed) {
		return p.cannotRun("the second configuration was not acknowledged")
	}
	time.Sleep(2 * time.Second) // configApplyMs
	if !p.serves(route.Prefix) {
		return p.cannotRun("the deployment serves nothing after the change")
	}
	endOfTraffic := time.Now()
	for time.Since(endOfTraffic) < finishTime {
		time.Sleep(time.Second)
		p.Client.State(route.Prefix, j)
	}
	// Now the job must be done, or run, or lack room.
	idleSince := time.Now()
	for range 60 {
		state, _ := p.Client.State(route.Prefix, j)
		if state == "completed" {
			p.Printf("the job is completed")
			return held
		}
		running, started, busy := p.Fleet.count(j)
		p.Printf("the job is %q: %d tasks run, %d of %d have been started; %d tasks run on all runners", state, running, started, count, busy)
		if running > 0 || busy > 0 {
			idleSince = time.Now()
		}
		if time.Since(idleSince) > 2*idleTime {
			p.Printf("RULE LOST is broken: for %.1f s nothing of the job runs, %d tasks wait, and all runners of both services are idle", time.Since(idleSince).Seconds(), count-started)
			return broken
		}
		time.Sleep(500 * time.Millisecond)
	}
	return p.cannotRun("the job still runs")
}

// count returns how many tasks of a job run and how many have been started, and how many tasks
// run in all.
func (f *Fleet) count(j *Job) (running, started, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{}
	for _, x := range f.History {
		if x.Ended.IsZero() {
			all++
		}
		if x.Job != j {
			continue
		}
		seen[x.Task] = true
		if x.Ended.IsZero() {
			running++
		}
	}
	return running, len(seen), all
}
