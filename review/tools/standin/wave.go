package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// startWave asks for the upkeep of machines and reports whether that was acknowledged.
func (p *Play) startWave(wave, limit int, duration float64, machines []string) bool {
	p.Cloud.Expect(wave, limit, machines)
	body, err := json.Marshal(map[string]any{"wave": wave, "machines": machines, "durationS": duration, "cap": limit})
	if err != nil {
		return false
	}
	status, _ := p.Client.Control(http.MethodPost, "/wave-start", body, 10*time.Second)
	return status/100 == 2
}

func (p *Play) waveState(wave int) string {
	status, data := p.Client.Control(http.MethodGet, fmt.Sprint("/wave-get/", wave), nil, 5*time.Second)
	var a struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &a) != nil {
		return ""
	}
	return a.State
}

func machines(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("m-a%02d", i))
	}
	return out
}

// playWave kills the process that has just begun the upkeep of a machine. Its successor must not
// begin another while the machine is down, since the cap is one.
func playWave(p *Play) int {
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

	var once sync.Once
	if p.Trouble {
		p.Cloud.OnUpkeep = func(_, holder string, _ uint64) {
			time.Sleep(200 * time.Millisecond)
			once.Do(func() {
				for _, m := range p.Cluster.Members {
					if m.Name == holder {
						m.KillAndRestart()
					}
				}
			})
		}
	}
	const wave = 1
	if !p.startWave(wave, 1, 40, machines(4)) {
		return p.cannotRun("the wave was not acknowledged")
	}
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end) && p.waveState(wave) != "completed"; {
		time.Sleep(time.Second)
	}
	p.Cloud.mu.Lock()
	defer p.Cloud.mu.Unlock()
	if len(p.Cloud.Broken) > 0 {
		return broken
	}
	if p.Cloud.Upkeeps < 4 {
		return p.cannotRun("the wave was not done")
	}
	return held
}

// playCap asks for the upkeep of two machines, two at once at most. On each of them works one of
// the two tasks of a step of which one may be missing. Both must not be ended together.
func playCap(p *Play) int {
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

	j := p.Fleet.NewJob(Step{Count: 2, CPU: 4000, MemMB: 1024, EstimateMS: 1000, Perpetual: true, MayMiss: 1, PerRunner: 1})
	if !p.Client.Submit(route.Prefix, j) {
		return p.cannotRun("the job was not accepted")
	}
	time.Sleep(noticeTime + 4*time.Second) // both tasks count as available
	hosts := p.Fleet.hosts(j)
	if len(hosts) != 2 {
		return p.cannotRun("the tasks are not at work on two machines")
	}
	limit := 1
	if p.Trouble {
		limit = 2
	}
	const wave = 1
	if !p.startWave(wave, limit, 20, hosts) {
		return p.cannotRun("the wave was not acknowledged")
	}
	p.Printf("planned work: a wave of %v with the cap %d", hosts, limit)
	result := held
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n := len(p.Fleet.hosts(j)); n == 0 && result == held {
			p.Printf("RULE AVAIL is broken: no task of the step is at work, one of two may be missing")
			result = broken
		}
		p.Cloud.mu.Lock()
		done := p.Cloud.Upkeeps == 2
		p.Cloud.mu.Unlock()
		if done && (result == broken || time.Until(end) < 10*time.Second) {
			return result
		}
	}
	return p.cannotRun("the wave was not done")
}

// hosts returns the machines on which tasks of a job that lasts are at work.
func (f *Fleet) hosts(j *Job) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, x := range f.History {
		if x.Job == j && x.AtWork() {
			out = append(out, x.On.Machine)
		}
	}
	return out
}
