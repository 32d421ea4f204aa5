package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// endIsLost: runners crash as a start arrives and start again under their ids at once, so that the start is
// carried out there when it is sent again. Meanwhile a member is down for some seconds, and another one stands
// still for moments.
func endIsLost(p *platform, trouble bool) (verdict, error) {
	const playTime, settleTime = 50 * time.Second, 12 * time.Second
	p.stopTime, p.listTime, p.firstBeat = 390*time.Millisecond, 120*time.Millisecond, 200*time.Millisecond
	if err := p.start(configuration(1, route{"quick", "/quick/", 1, 3})); err != nil {
		return verdict{}, err
	}
	if err := p.addMachines(8, 16000, func(i int) []string { return []string{"a", fmt.Sprint("r-", i%3)} }); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	lead := p.leader()
	if lead == nil {
		return verdict{}, fmt.Errorf("no member leads")
	}
	var others []*proc
	for _, m := range p.members {
		if m != lead {
			others = append(others, m)
		}
	}
	end := time.Now().Add(playTime)
	var wg sync.WaitGroup
	wg.Go(func() {
		for time.Now().Before(end) {
			wg.Go(func() {
				_ = p.submit(newID(), "/quick/", "work=250", step{Count: 2, CPU: 2000, MemMb: 1024, Estimate: 250})
			})
			time.Sleep(120 * time.Millisecond)
		}
	})
	if trouble {
		wg.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(crashGap)
				m := p.machines[rand.IntN(len(p.machines))]
				p.mu.Lock()
				p.crashing[m.name] = true
				p.mu.Unlock()
			}
		})
		wg.Go(func() {
			for time.Now().Before(end) {
				others[0].kill()
				time.Sleep(3500 * time.Millisecond)
				others[0].mu.Lock()
				_ = others[0].run(false)
				others[0].mu.Unlock()
				time.Sleep(1500 * time.Millisecond)
			}
		})
		wg.Go(func() {
			for time.Now().Before(end) {
				still := time.Duration(450+rand.IntN(400)) * time.Millisecond
				p.rec.logf("%s stands still for %s", others[1].name, still)
				_ = others[1].cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(still)
				_ = others[1].cmd.Process.Signal(syscall.SIGCONT)
				time.Sleep(time.Duration(400+rand.IntN(400)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(settleTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	again, text := 0, ""
	for _, s := range p.history {
		if at := p.noted[s.task]; !at.IsZero() && s.from.After(at) {
			again++
			text = fmt.Sprintf("TWICE: run %d of %s begins on %s %.2f s after its end as done was taken note of", s.number, s.task, s.runner, s.from.Sub(at).Seconds())
			p.rec.logf("%s", text)
		}
	}
	if again == 0 {
		return verdict{text: fmt.Sprintf("%d runs, none after the end of its task", len(p.history))}, nil
	}
	return verdict{true, fmt.Sprintf("%s (%d of %d runs)", text, again, len(p.history))}, nil
}

// crashGap is the time between two crashes of runners.
const crashGap = 250 * time.Millisecond
