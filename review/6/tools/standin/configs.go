package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	manyRoutes  = 1400                   // the largest count of big_config
	changeGap   = 330 * time.Millisecond // the gap of config_storm
	operators   = 6                      // of up to eight orders that may be in progress at once
	grownMemory = 408                    // memoryMb of a core machine where configurations grow by that many routes
	stormTime   = 95 * time.Second
	watchTime   = 6 * time.Second
	mostChanges = 999
	faultTimes  = 3 // ends of processes on half of the core that are a fault
)

// largeConfiguration returns a configuration whose routes have the fields of the example on the page.
func largeConfiguration(version int) []byte {
	rs := []map[string]any{{"name": "quick", "host": host, "pathPrefix": "/quick/", "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000,
		"priority": 1, "service": service, "maxAttempts": 3, "stretch": 2.0}}
	for i := range manyRoutes {
		rs = append(rs, map[string]any{"name": fmt.Sprintf("r-%07x", i*7919), "host": "nony24.example", "pathPrefix": fmt.Sprintf("/p%06x/", i*7919), "kind": "unsafe",
			"timeoutMs": 3000 + version, "targetLatencyMs": 1000, "priority": 1, "service": service, "maxAttempts": 2, "stretch": 2.2,
			"advice": map[string]any{"decideMs": 520.0, "eachMs": 7.4, "validMs": 1500}})
	}
	b, _ := json.Marshal(map[string]any{"version": version, "routes": rs,
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	return b
}

// manyConfigurations: a configuration of 1,400 routes is changed hundreds of times while few jobs come.
func manyConfigurations(p *platform, trouble bool) (verdict, error) {
	p.memoryMB = grownMemory
	if err := p.start(configuration(1, route{"quick", "/quick/", 1, 3})); err != nil {
		return verdict{}, err
	}
	if err := p.addMachines(4, 16000, func(i int) []string { return []string{"a", fmt.Sprint("r-", i%3)} }); err != nil {
		return verdict{}, err
	}
	for _, m := range p.members {
		go m.watchMemory()
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var accepted, refused atomic.Int64
	var last atomic.Int64 // Unix milliseconds of the last accepted job
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			if p.submit(newID(), "/quick/", "work=500", step{Count: 1, CPU: 1000, MemMb: 1024, Estimate: 500}) == nil {
				accepted.Add(1)
				last.Store(time.Now().UnixMilli())
			} else {
				refused.Add(1)
			}
		}
	}()
	begin := time.Now()
	halfOver := func(n int) bool {
		over := 0
		for _, m := range p.members {
			m.mu.Lock()
			if m.overs >= n {
				over++
			}
			m.mu.Unlock()
		}
		return 2*over >= len(p.members)
	}
	var version, acked atomic.Int64
	version.Store(1)
	if trouble {
		p.rec.say("%d operators change the configuration, each %d ms after its last change at the earliest; %d bytes each", operators, changeGap.Milliseconds(), len(largeConfiguration(2)))
		var wg sync.WaitGroup
		for range operators {
			wg.Go(func() {
				for time.Since(begin) < stormTime && !halfOver(faultTimes) && version.Load() < mostChanges {
					next := time.Now().Add(changeGap)
					change := largeConfiguration(int(version.Add(1)))
					for !p.configure(change) && time.Since(begin) < stormTime { // sent again unchanged
						time.Sleep(changeGap)
					}
					acked.Add(1)
					time.Sleep(time.Until(next))
				}
			})
		}
		go func() {
			for time.Since(begin) < stormTime {
				time.Sleep(10 * time.Second)
				text := ""
				for _, m := range p.members {
					text += fmt.Sprintf("; %s %d MB of memory, %d MB of disk", m.name, m.anonymousMB(), m.diskMB())
				}
				p.rec.say("%d changes acknowledged%s", acked.Load(), text)
			}
		}()
		wg.Wait()
		p.rec.say("the changes end: %d were acknowledged", acked.Load())
	} else {
		time.Sleep(30 * time.Second)
	}
	answered := 0
	for end := time.Now().Add(watchTime); time.Now().Before(end) && !halfOver(faultTimes+2); time.Sleep(500 * time.Millisecond) {
		for _, m := range p.members {
			status, text := p.call("GET", "http://"+m.control()+"/config", "", nil)
			p.rec.logf("GET /config at %s -> %d %s", m.name, status, text[:min(len(text), 40)])
			if status == 200 && strings.Contains(text, `"version"`) {
				answered++
			}
		}
	}
	close(stop)
	p.rec.say("afterwards GET /config was answered %d times; jobs: %d accepted, %d not within 10 s", answered, accepted.Load(), refused.Load())
	if at := last.Load(); at > 0 {
		p.rec.say("the last job was accepted %.1f s ago", time.Since(time.UnixMilli(at)).Seconds())
	}
	if halfOver(faultTimes) {
		return verdict{true, fmt.Sprintf("FAULT: on half of the core processes have ended %d times for want of memory, after %d changes", faultTimes, acked.Load())}, nil
	}
	return verdict{text: "no process has ended by itself three times"}, nil
}
