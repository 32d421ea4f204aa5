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

// playQuarantine hands in two jobs that can never be done: each lasts, with one task on each of six
// runners, and its tasks fail half a second after their start. A sound job that lasts comes later
// and must be started, since all runners are idle.
func playQuarantine(p *Play) int {
	const runners, sound = 6, 38 // two of forty jobs can never be done
	route := Route{Name: "r-lasting", Prefix: "/lasting/", Service: "alpha", Priority: 0, MaxAttempts: 3}
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
	for range sound {
		if !p.Client.Submit(route.Prefix, p.Fleet.NewJob(Step{Count: 1, CPU: 500, MemMB: 256, EstimateMS: 100})) {
			return p.cannotRun("a job was not accepted")
		}
	}
	spread := Step{Count: runners, CPU: 4000, MemMB: 1024, EstimateMS: 1000, Perpetual: true, PerRunner: 1}
	for range 2 {
		j := p.Fleet.NewJob(spread)
		if p.Trouble {
			j.FailsAfter = 500 * time.Millisecond
			p.Printf("disruption: job %s can never be done, its tasks fail whenever they run", j.ID)
		}
		if !p.Client.Submit(route.Prefix, j) {
			return p.cannotRun("the job was not accepted")
		}
	}
	time.Sleep(30 * time.Second)
	// Three jobs, so that one of them meets a moment at which all runners have just been tried.
	for range 3 {
		j := p.Fleet.NewJob(Step{Count: 1, CPU: 4000, MemMB: 1024, EstimateMS: 1000, Perpetual: true})
		accepted := time.Now()
		if !p.Client.Submit(route.Prefix, j) {
			return p.cannotRun("the job was not accepted")
		}
		most := 0 // tasks on all runners in the meantime
		for p.Fleet.last(j) == nil && time.Since(accepted) < 25*time.Second {
			_, _, busy := p.Fleet.count(j)
			most = max(most, busy)
			time.Sleep(20 * time.Millisecond)
		}
		idle := time.Since(accepted)
		p.Printf("job %s had nothing running for %.1f s; meanwhile %d tasks at most ran on all runners, which have room for 96", j.ID, idle.Seconds(), most)
		if idle > lastingIdle {
			p.Printf("RULE LOST is broken: a sound task that lasts has had nothing running for %.1f s, and the runners had room", idle.Seconds())
			return broken
		}
		time.Sleep(1500 * time.Millisecond)
	}
	return held
}
