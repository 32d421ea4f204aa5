package main

import "time"

// addBehind starts the runner behind the proxy, always under the same ID.
func (p *Play) addBehind(proxy *Proxy) error {
	r := &Runner{ID: lifeID, Machine: "m-a00", Service: "alpha", Zone: zones[0], Labels: []string{"a", "r-m-a00"}, Proxy: proxy}
	return p.Fleet.add(r, "127.0.0.1:0")
}

const lifeID = "m-a00-1"

// playLife lets one start of ten runners get no answer and be carried out six seconds later. It is
// sent again, runs and ends. The runner then crashes and starts again under its ID. The task must
// not run once more.
func playLife(p *Play) int {
	const service = "alpha"
	route := Route{Name: "r-jobs", Prefix: "/jobs/", Service: service, Priority: 1, MaxAttempts: 3}
	if !p.Client.Configure(1, []string{service}, route) {
		return p.cannotRun("the first configuration was not acknowledged")
	}
	proxy, err := NewProxy(p.Record)
	if err != nil {
		return p.cannotRun(err.Error())
	}
	if err := p.addBehind(proxy); err != nil {
		return p.cannotRun(err.Error())
	}
	if !p.addRunners(service, "b", 9) {
		return failed
	}
	if !p.serves(route.Prefix) {
		return p.cannotRun("the deployment serves nothing")
	}
	time.Sleep(3 * time.Second) // all runners have joined

	j := p.Fleet.NewJob(Step{Count: 1, CPU: 500, MemMB: 256, EstimateMS: 1000})
	if p.Trouble {
		proxy.HoldNext("/run-start", 6*time.Second)
	}
	if !p.Client.Submit(route.Prefix, j) || !p.awaitState(route.Prefix, j, "completed", 10*time.Second) {
		return p.cannotRun("the job is not completed")
	}
	time.Sleep(time.Second)
	if p.Trouble {
		if proxy.Held == 0 {
			return p.cannotRun("no start was sent to the runner behind the proxy")
		}
		p.Printf("disruption: runner %s crashes and starts again under its ID", lifeID)
		p.Fleet.Runners[0].Leave("ended with its runner")
		if err := p.addBehind(proxy); err != nil {
			return p.cannotRun(err.Error())
		}
	}
	time.Sleep(7 * time.Second)
	p.Fleet.mu.Lock()
	defer p.Fleet.mu.Unlock()
	starts, done := 0, time.Time{}
	for _, x := range p.Fleet.History {
		if x.Job != j {
			continue
		}
		starts++
		if !done.IsZero() {
			p.Printf("RULE TWICE is broken: %s run %d starts %.1f s after the task has ended done and %.1f s at least after the job was shown as completed", x.Task, x.Number, x.At.Sub(done).Seconds(), x.At.Sub(done).Seconds()-1)
			return broken
		}
		if x.How == "done" {
			done = x.Ended
		}
	}
	if starts == 0 {
		return failed
	}
	return held
}
