package main

import "time"

// playAnswer lets the platform answer nothing for 3.2 s, from a call on that begins the upkeep of a
// machine. The system calls again, and gets its answer when the machine is back and works. No task
// may run twice at a time.
func playAnswer(p *Play) int {
	route := Route{Name: "r-jobs", Prefix: "/jobs/", Service: "alpha", Priority: 1, MaxAttempts: 3}
	if !p.Client.Configure(1, []string{route.Service}, route) {
		return p.cannotRun("the first configuration was not acknowledged")
	}
	if !p.addRunners(route.Service, "a", 6) {
		return failed
	}
	if !p.serves(route.Prefix) {
		return p.cannotRun("the deployment serves nothing")
	}
	time.Sleep(3 * time.Second) // all runners have joined

	// Jobs come all the time. The data of each is on the rack of the machine.
	var jobs []*Job
	submit := func(d time.Duration) bool {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			j := p.Fleet.NewJob(Step{Count: 1, CPU: 2000, MemMB: 1024, EstimateMS: 2500, DataRack: "r-" + machines(1)[0]})
			if !p.Client.Submit(route.Prefix, j) {
				return false
			}
			jobs = append(jobs, j)
		}
		return true
	}
	if !submit(2 * time.Second) {
		return p.cannotRun("a job was not accepted")
	}
	if p.Trouble {
		p.Cloud.Stall = 3200 * time.Millisecond
	}
	const wave = 1
	if !p.startWave(wave, 1, 20, machines(1)) {
		return p.cannotRun("the wave was not acknowledged")
	}
	if !submit(12 * time.Second) {
		return p.cannotRun("a job was not accepted")
	}
	completed := true
	for _, j := range jobs {
		completed = p.awaitState(route.Prefix, j, "completed", 15*time.Second) && completed
	}
	if p.waveState(wave) != "completed" {
		return p.cannotRun("the wave was not done")
	}
	result := held
	for _, s := range p.Fleet.overlaps() {
		p.Printf("RULE TWICE is broken: %s", s)
		result = broken
	}
	if result == held && !completed {
		return p.cannotRun("not all jobs are completed")
	}
	return result
}
