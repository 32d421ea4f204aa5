package main

import "time"

// lastingIdle is the time after the end of its last run for which a task that lasts may have
// nothing running: 6 s and 3 s.
const lastingIdle = 9 * time.Second

// playLeave lets one runner of six drain and take its leave. The task that lasts there must be
// started elsewhere.
func playLeave(p *Play) int {
	route := Route{Name: "r-lasting", Prefix: "/lasting/", Service: "alpha", Priority: 0, MaxAttempts: 3}
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
	j := p.Fleet.NewJob(Step{Count: 1, CPU: 4000, MemMB: 1024, EstimateMS: 1000, Perpetual: true})
	if !p.Client.Submit(route.Prefix, j) {
		return p.cannotRun("the job was not accepted")
	}
	time.Sleep(6 * time.Second)
	x := p.Fleet.last(j)
	if x == nil || !x.Ended.IsZero() {
		return p.cannotRun("the task is not at work")
	}
	if p.Trouble {
		x.On.Drain()
	}
	return p.watchLasting(j, 25*time.Second)
}

// playDeregister lets one runner of six, which runs nothing, take its leave without an acknowledged
// drain. It answers for 0.1 s more and ends. A job that lasts and comes 3.3 s later must be started.
func playDeregister(p *Play) int {
	route := Route{Name: "r-lasting", Prefix: "/lasting/", Service: "alpha", Priority: 0, MaxAttempts: 3}
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
	if p.Trouble {
		p.Fleet.Runners[0].deregister()
		time.Sleep(100 * time.Millisecond)
		p.Fleet.Runners[0].Leave("ended with its runner")
	}
	time.Sleep(3300 * time.Millisecond)
	j := p.Fleet.NewJob(Step{Count: 1, CPU: 4000, MemMB: 1024, EstimateMS: 1000, Perpetual: true})
	accepted := time.Now()
	if !p.Client.Submit(route.Prefix, j) {
		return p.cannotRun("the job was not accepted")
	}
	for p.Fleet.last(j) == nil && time.Since(accepted) < 25*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	idle := time.Since(accepted)
	p.Printf("the job had nothing running for %.1f s", idle.Seconds())
	if idle > lastingIdle {
		p.Printf("RULE LOST is broken: a task that lasts has had nothing running for %.1f s, and the runners had room", idle.Seconds())
		return broken
	}
	return held
}

func (f *Fleet) last(j *Job) *Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last *Run
	for _, x := range f.History {
		if x.Job == j {
			last = x
		}
	}
	return last
}

// watchLasting watches the only task of a job that lasts.
func (p *Play) watchLasting(j *Job, limit time.Duration) int {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		x := p.Fleet.last(j)
		if x == nil {
			continue
		}
		p.Fleet.mu.Lock()
		ended := x.Ended
		p.Fleet.mu.Unlock()
		if !ended.IsZero() && time.Since(ended) > lastingIdle {
			p.Printf("RULE LOST is broken: %s has had nothing running for %.1f s after its last run", x.Task, time.Since(ended).Seconds())
			time.Sleep(20 * time.Second)
			if y := p.Fleet.last(j); y != x {
				p.Printf("it was started again %.1f s after the end of its last run", y.At.Sub(ended).Seconds())
			} else {
				p.Printf("it was not started again for %.1f s", time.Since(ended).Seconds())
			}
			return broken
		}
	}
	return held
}
