package main

import (
	"strings"
	"time"
)

// playGang lets one runner of ten fail all that it starts for six seconds, while gangs are handed
// in. A gang that has failed once must not be shown as failed if its queue allows two attempts.
func playGang(p *Play) int {
	const attempts, jobs = 2, 8
	route := Route{Name: "r-gang", Prefix: "/gang/", Service: "alpha", Priority: 1, MaxAttempts: attempts}
	if !p.Client.Configure(1, []string{route.Service}, route) {
		return p.cannotRun("the first configuration was not acknowledged")
	}
	if !p.addRunners(route.Service, "a", 10) {
		return failed
	}
	if !p.serves(route.Prefix) {
		return p.cannotRun("the deployment serves nothing")
	}
	time.Sleep(3 * time.Second) // all runners have joined

	if p.Trouble {
		p.setGrey(true)
	}
	greyUntil := time.Now().Add(6 * time.Second)
	var submitted []*Job
	for range jobs {
		j := p.Fleet.NewJob(Step{Count: 5, CPU: 18_000, MemMB: 1024, EstimateMS: 2000, Gang: true})
		if !p.Client.Submit(route.Prefix, j) {
			return p.cannotRun("a job was not accepted")
		}
		submitted = append(submitted, j)
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(time.Until(greyUntil))
	if p.Trouble {
		p.setGrey(false)
	}
	result := held
	for _, j := range submitted {
		state := ""
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && state != "completed" && state != "failed"; time.Sleep(300 * time.Millisecond) {
			state, _ = p.Client.State(route.Prefix, j)
		}
		gang, task := p.Fleet.failures(j)
		p.Printf("job %s is %q: runs of the gang of which a member ended failed: %d, most runs of one task that ended failed: %d, attempts: %d", j.ID, state, gang, task, attempts)
		switch {
		case state == "failed" && gang < attempts && task < attempts:
			p.Printf("RULE LOST is broken: the job is shown as failed without cause")
			result = broken
		case state != "completed" && state != "failed":
			return p.cannotRun("a job is not done in time")
		}
	}
	return result
}

func (p *Play) setGrey(grey bool) {
	p.Fleet.mu.Lock()
	defer p.Fleet.mu.Unlock()
	r := p.Fleet.Runners[0]
	r.Grey = grey
	p.Printf("disruption: runner %s fails all that it starts: %v", r.ID, grey)
}

// failures returns the number of runs of a job's gang of which a member has ended as failed, and
// the largest number of runs of one task that have.
func (f *Fleet) failures(j *Job) (gang, task int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs, tasks := map[int]bool{}, map[string]int{}
	for _, x := range f.History {
		if x.Job == j && strings.HasPrefix(x.How, "failed") {
			runs[x.Number] = true
			tasks[x.Task]++
			task = max(task, tasks[x.Task])
		}
	}
	return len(runs), task
}
