package main

import "time"

// playQuarantine hands in three jobs that can never be done: six tasks each, at most one of a job on
// a runner, which fail half a second after each start. After some rounds of this a sound job is
// handed in. It must run, since all runners are idle.
func playQuarantine(p *Play) int {
	const runners, sound, hopeless = 6, 57, 3 // one job of twenty can never be done
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
	for range sound {
		if !p.Client.Submit(route.Prefix, p.Fleet.NewJob(Step{Count: 1, CPU: 500, MemMB: 256, EstimateMS: 100})) {
			return p.cannotRun("a job was not accepted")
		}
	}
	for range hopeless {
		j := p.Fleet.NewJob(Step{Count: runners, CPU: 4000, MemMB: 1024, EstimateMS: 1000, PerRunner: 1})
		if p.Trouble {
			j.FailsAfter = 500 * time.Millisecond
			p.Printf("disruption: job %s can never be done, its tasks fail whenever they run", j.ID)
		}
		if !p.Client.Submit(route.Prefix, j) {
			return p.cannotRun("the job was not accepted")
		}
	}
	// A sound job comes shortly after tasks have failed, 22 s later or more.
	time.Sleep(22 * time.Second)
	since := time.Now()
	for p.Trouble && time.Since(since) < 30*time.Second && !p.Fleet.failedSince(since) {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	j := p.Fleet.NewJob(Step{Count: 1, CPU: 4000, MemMB: 1024, EstimateMS: 1000})
	if !p.Client.Submit(route.Prefix, j) {
		return p.cannotRun("the job was not accepted")
	}
	return p.judgeLast(route.Prefix, j, runners)
}

// judgeLast judges the job that was handed in last, from finish_s after that on: whether for 3 s it
// has nothing running, as it has had all the time.
func (p *Play) judgeLast(prefix string, j *Job, runners int) int {
	endOfTraffic := time.Now()
	most := 0 // tasks on all runners in the meantime
	for time.Since(endOfTraffic) < finishTime+idleTime {
		time.Sleep(50 * time.Millisecond)
		running, started, all := p.Fleet.count(j)
		if started > 0 {
			p.Printf("the job has its first task running %.1f s after it was handed in", time.Since(endOfTraffic).Seconds())
			return held
		}
		most = max(most, all-running)
	}
	state, _ := p.Client.State(prefix, j)
	p.Printf("RULE LOST is broken: %.1f s after the end of the traffic the job is %q and has had nothing running, no more than %d tasks ran on the %d runners in all that time", time.Since(endOfTraffic).Seconds(), state, most, runners)
	for time.Since(endOfTraffic) < 50*time.Second && p.Fleet.last(j) == nil {
		time.Sleep(50 * time.Millisecond)
	}
	if x := p.Fleet.last(j); x != nil {
		p.Printf("its first task started %.1f s after it was handed in", x.At.Sub(endOfTraffic).Seconds())
	}
	return broken
}

// failedSince reports whether a task has failed after a time.
func (f *Fleet) failedSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.History {
		if x.How == "failed" && x.Ended.After(t) {
			return true
		}
	}
	return false
}
