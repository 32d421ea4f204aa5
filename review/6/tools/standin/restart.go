package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// endIsLost: runners crash as a start arrives and start again under their ids at once, so that the start is
// carried out there when it is sent again. Meanwhile the member that leads stands still for moments.
func endIsLost(p *platform, trouble bool) (verdict, error) {
	const playTime, settleTime = 80 * time.Second, 12 * time.Second
	p.stopTime, p.listTime, p.firstBeat = 390*time.Millisecond, 120*time.Millisecond, 200*time.Millisecond
	if err := p.start(configuration(1, route{"quick", "/quick/", 1, 3})); err != nil {
		return verdict{}, err
	}
	if err := p.addMachines(8, 16000, func(i int) []string { return []string{"a", fmt.Sprint("r-", i%3)} }); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	if p.leader() == nil {
		return verdict{}, fmt.Errorf("no member leads")
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
				lead := p.leader()
				still := time.Duration(420+rand.IntN(70)) * time.Millisecond
				p.rec.logf("%s, which leads, stands still for %s", lead.name, still)
				_ = lead.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(still)
				_ = lead.cmd.Process.Signal(syscall.SIGCONT)
				time.Sleep(time.Duration(500+rand.IntN(300)) * time.Millisecond)
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
const crashGap = 150 * time.Millisecond
