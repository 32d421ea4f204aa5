package main

import "time"

// playBackfill hands in a long job, a gang that has to wait for its end, and a smaller gang, for
// which five idle runners have room. That must run.
func playBackfill(p *Play) int {
	const runners = 6
	route := Route{Name: "r-review", Prefix: "/review/", Service: "alpha", Priority: 1, MaxAttempts: 4}
	if !p.Client.Configure(1, []string{route.Service}, route) {
		return p.cannotRun("the first configuration was not acknowledged")
	}
	if !p.addRunners(route.Service, "a", runners) {
		return failed
	}
	if !p.serves(route.Prefix) {
		return p.cannotRun("the deployment serves nothing")
	}
	time.Sleep(3 * time.Second) // all runners have joined

	long := p.Fleet.NewJob(Step{Count: 1, CPU: 18_000, MemMB: 140_000, EstimateMS: 56_000, Gang: true})
	if !p.Client.Submit(route.Prefix, long) {
		return p.cannotRun("the long job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if p.Trouble {
		gang := p.Fleet.NewJob(Step{Count: runners, CPU: 30_000, MemMB: 140_000, EstimateMS: 20_000, Gang: true})
		p.Printf("job %s is a gang that needs all runners, one of which runs the long task", gang.ID)
		if !p.Client.Submit(route.Prefix, gang) {
			return p.cannotRun("the gang was not accepted")
		}
		time.Sleep(500 * time.Millisecond)
	}
	j := p.Fleet.NewJob(Step{Count: 2, CPU: 18_000, MemMB: 120_000, EstimateMS: 20_000, Gang: true})
	if !p.Client.Submit(route.Prefix, j) {
		return p.cannotRun("the job was not accepted")
	}
	return p.judgeLast(route.Prefix, j, runners)
}
