package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// finishTime is finish_s.
const finishTime = 14 * time.Second

// lostFor is how long a job may have nothing running beside room, and afterLastRun the time after the
// last run of a task that lasts from which that counts. Only calm time counts: calmAfter after the loss of
// a member, which is contactMs and the 4 s before.
const (
	lostFor      = 3 * time.Second
	afterLastRun = 6 * time.Second
	calmAfter    = 7 * time.Second
)

// elsewhere: jobs arrive, and one runner crashes just after it has begun a task. It starts again within
// a second, under the id that it had, at another address.
func elsewhere(p *platform, trouble bool) (verdict, error) {
	if err := p.start(configuration(1, route{"quick", "/quick/", 1, 3})); err != nil {
		return verdict{}, err
	}
	if err := p.addMachines(10, 16000, func(i int) []string { return []string{"a", fmt.Sprint("r-", i%3)} }); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var ids []string
	var wg sync.WaitGroup
	p.rec.say("traffic begins: 8 jobs a second")
	var crashErr error
	for i := range 64 {
		if i == 60 && trouble {
			wg.Go(func() { crashErr = p.crashLatest() })
		}
		id := newID()
		wg.Go(func() {
			if p.submit(id, "/quick/", "work=1560", step{Count: 2, CPU: 1000, MemMb: 1024, Estimate: 1560}) == nil {
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
			}
		})
		time.Sleep(125 * time.Millisecond)
	}
	wg.Wait()
	if crashErr != nil {
		return verdict{}, crashErr
	}
	ended := time.Now()
	p.rec.say("traffic ends: %d jobs were accepted", len(ids))
	time.Sleep(time.Until(ended.Add(finishTime)))
	var open []string
	for _, id := range ids {
		if status, text := p.state(id, "/quick/"); status != 200 || !strings.Contains(text, "completed") {
			p.rec.say("job %s: %d %s, %.1f s after the end of the traffic", id, status, text, time.Since(ended).Seconds())
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return verdict{text: "all jobs are completed 14 s after the end of the traffic"}, nil
	}
	broken := ""
	since := time.Now()
	for id := open[0]; time.Since(since) < lostFor; time.Sleep(20 * time.Millisecond) {
		if p.runs(id) || p.freeTotal(1000) < 4*1000 || p.freeTotal(1000) < 10*16000/2 {
			return verdict{text: "a job is open, but something of it runs, or there is no room"}, nil
		}
		broken = id
	}
	text := fmt.Sprintf("LOST: job %s had nothing running for 3 s, %.1f to %.1f s after the end of the traffic, with %d of %d cores free", broken,
		since.Sub(ended).Seconds(), time.Since(ended).Seconds(), p.freeTotal(1000)/1000, 10*16)
	p.reportNext(broken, 20*time.Second)
	return verdict{true, text}, nil
}

// crashLatest ends a runner 20 ms after it has begun a run, and starts it again 0.8 s later.
func (p *platform) crashLatest() error {
	var last span
	for end := time.Now().Add(5 * time.Second); time.Since(last.from) > 5*time.Millisecond; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("no run begins")
		}
		p.mu.Lock()
		for _, s := range p.history {
			if s.to.IsZero() && s.from.After(last.from) {
				last = s
			}
		}
		p.mu.Unlock()
	}
	time.Sleep(time.Until(last.from.Add(20 * time.Millisecond)))
	r := last.runner
	p.rec.say("runner %s crashes, %d ms after it has begun %s", r, time.Since(last.from).Milliseconds(), last.task)
	r.vanish("crash")
	address := ""
	if os.Getenv("ADDRESS") == "same" { // for comparison
		address = r.address
	}
	time.AfterFunc(800*time.Millisecond, func() {
		if x, err := p.startRunner(r.m, r.id, address); err == nil {
			p.rec.say("runner %s is up again at %s, before at %s", x, x.address, r.address)
		}
	})
	return nil
}

// runs reports whether a task of a job runs.
func (p *platform) runs(job string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.history, func(s span) bool { return s.to.IsZero() && strings.HasPrefix(s.task, job+".") })
}

// freeTotal returns the free capacity of all runners, whose tasks have cpu each.
func (p *platform) freeTotal(cpu int) int {
	n := 0
	for _, r := range p.all() {
		n += r.freeOn(func(string) int { return cpu })
	}
	return n
}

// reportNext notes when a job that waits begins to run.
func (p *platform) reportNext(job string, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.runs(job) {
			p.rec.say("job %s runs again", job)
			return
		}
	}
	p.rec.say("job %s does not run within %s", job, limit)
}

// zoneLost: a zone is lost that holds the leader and a runner with a task that lasts.
func zoneLost(p *platform, trouble bool) (verdict, error) {
	if err := p.start(configuration(1, route{"serve", "/serve/", 0, 3})); err != nil {
		return verdict{}, err
	}
	lead := p.leader()
	if lead == nil {
		return verdict{}, fmt.Errorf("no member leads")
	}
	zone := "zone-" + lead.name[len(lead.name)-1:]
	// The runners of that zone come first, so that the tasks begin there.
	if err := p.addMachinesIn(2, 16000, func(int) string { return zone }); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	const tasks, cpu = 2, 2000
	id := newID()
	if err := p.submit(id, "/serve/", "lasts", step{Count: tasks, CPU: cpu, MemMb: 2048, Perpetual: true, MayMiss: 1, Image: "i"}); err != nil {
		return verdict{}, err
	}
	for i := range tasks {
		if _, ok := p.awaitRun(fmt.Sprintf("%s.0.0.%d", id, i), 10*time.Second); !ok {
			return verdict{}, fmt.Errorf("task %d does not run", i)
		}
	}
	var others []string
	for _, m := range p.members {
		if m != lead {
			others = append(others, "zone-"+m.name[len(m.name)-1:])
		}
	}
	if err := p.addMachinesIn(4, 16000, func(i int) string { return others[i%2] }); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	if now := p.leader(); now != lead {
		return verdict{}, fmt.Errorf("the leader has changed")
	}
	lost := map[string]time.Time{}
	var calm time.Time
	if trouble {
		p.rec.say("%s is lost: %s, which leads, and its runners", zone, lead.name)
		lead.kill()
		for _, r := range p.all() {
			if r.m.zone == zone {
				r.mu.Lock()
				for t := range r.runs {
					lost[t] = time.Now()
				}
				r.mu.Unlock()
				r.vanish("its zone is lost")
			}
		}
		if len(lost) == 0 {
			return verdict{}, fmt.Errorf("no task ran in the zone")
		}
		calm = time.Now().Add(calmAfter)
	}
	return p.watchLasting(id, tasks, cpu, lost, calm, 22*time.Second)
}

// watchLasting checks a job of tasks that last for a time: none may have no run for 3 s, from 6 s after its
// last run and from a calm time, beside room for it twice over.
func (p *platform) watchLasting(id string, tasks, cpu int, lost map[string]time.Time, calm time.Time, limit time.Duration) (verdict, error) {
	var v verdict
	reported := map[string]bool{}
	roomSince := time.Now()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.freeTotal(cpu) < 2*cpu {
			roomSince = time.Now()
		}
		for i := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", id, i)
			spans := p.spans(task)
			if len(spans) == 0 {
				continue
			}
			last := spans[len(spans)-1]
			if last.to.IsZero() {
				if at, ok := lost[task]; ok && !reported[task] && last.from.After(at) {
					reported[task] = true
					p.rec.say("task %s runs again on %s, %.2f s after its last run", task, last.runner, last.from.Sub(at).Seconds())
				}
				continue
			}
			begin := last.to.Add(afterLastRun)
			if roomSince.After(begin) {
				begin = roomSince
			}
			if calm.After(begin) {
				begin = calm
			}
			if time.Since(begin) >= lostFor && !v.broken {
				v = verdict{true, fmt.Sprintf("LOST: task %s had no run for %.2f s, with room for it twice over (%d cores free)", task, time.Since(last.to).Seconds(), p.freeTotal(cpu)/1000)}
				p.rec.say("%s", v.text)
			}
		}
	}
	if !v.broken {
		v.text = "each task that lasts ran again in time"
	}
	return v, nil
}

// withheld: the only room for a task that lasts is on a runner whose machine is next in a wave.
func withheld(p *platform, trouble bool) (verdict, error) {
	if err := p.start(configuration(1, route{"urgent", "/urgent/", 0, 3}, route{"batch", "/batch/", 1, 3}, route{"serve", "/serve/", 2, 3})); err != nil {
		return verdict{}, err
	}
	if err := p.addMachines(4, 16000, func(i int) []string {
		if i == 3 {
			return []string{"b", "r-1"}
		}
		return []string{"a", "r-0"}
	}); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	// Machines 1 to 3 are full with long tasks and the task that lasts; machine 4 runs one small task.
	long, small, serve, next := newID(), newID(), newID(), newID()
	if err := p.submit(long, "/batch/", "work=100000", step{Count: 3, CPU: 14000, MemMb: 240000, Estimate: 100000, Label: "a"}); err != nil {
		return verdict{}, err
	}
	if err := p.submit(small, "/batch/", "work=100000", step{Count: 1, CPU: 1000, MemMb: 1024, Estimate: 100000, Label: "b"}); err != nil {
		return verdict{}, err
	}
	for i := range 3 {
		if _, ok := p.awaitRun(fmt.Sprintf("%s.0.0.%d", long, i), 10*time.Second); !ok {
			return verdict{}, fmt.Errorf("a long task does not run")
		}
	}
	if _, ok := p.awaitRun(small+".0.0.0", 10*time.Second); !ok {
		return verdict{}, fmt.Errorf("the small task does not run")
	}
	if err := p.submit(serve, "/serve/", "lasts", step{Count: 1, CPU: 2000, MemMb: 2048, Perpetual: true, Image: "i"}); err != nil {
		return verdict{}, err
	}
	task := serve + ".0.0.0"
	first, ok := p.awaitRun(task, 10*time.Second)
	if !ok || first.runner.m.name == "m-04" {
		return verdict{}, fmt.Errorf("the task that lasts does not run on machines 1 to 3")
	}
	// Urgent tasks fill the rest of machines 1 to 3, and one more waits.
	if err := p.submit(next, "/urgent/", "work=100000", step{Count: 3, CPU: 2000, MemMb: 2048, Estimate: 100000, Label: "a"}); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := p.wave(1, []string{"m-04"}, 60, 1); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(5 * time.Second)
	at := time.Now()
	p.rec.say("task %s fails on %s", task, first.runner)
	first.runner.end(first.x, "failed")
	cpuOf := func(t string) int {
		switch {
		case strings.HasPrefix(t, long):
			return 14000
		case strings.HasPrefix(t, small):
			return 1000
		}
		return 2000
	}
	var v verdict
	since := at.Add(afterLastRun)
	for end := at.Add(80 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if spans := p.spans(task); spans[len(spans)-1].to.IsZero() {
			s := spans[len(spans)-1]
			p.rec.say("task %s runs again on %s, %.2f s after its last run", task, s.runner, s.from.Sub(at).Seconds())
			break
		}
		room := 0
		for _, r := range p.all() {
			if n := r.freeOn(cpuOf); n >= 2000 {
				room += n / 2000
			}
		}
		if room < 2 && time.Now().After(since) {
			since = time.Now()
		}
		if time.Since(since) >= lostFor && !v.broken {
			v = verdict{true, fmt.Sprintf("LOST: task %s had no run for %.2f s, with room for it %d times over", task, time.Since(at).Seconds(), room)}
			p.rec.say("%s", v.text)
		}
	}
	if !v.broken {
		v.text = "the task that lasts ran again in time"
	}
	return v, nil
}

// noticeTime is noticeMs.
const noticeTime = 4500 * time.Millisecond

// upkeepBesideCrash: a runner with a task that lasts is lost, and an upkeep ends another task of the step.
func upkeepBesideCrash(p *platform, trouble bool) (verdict, error) {
	if err := p.start(configuration(1, route{"serve", "/serve/", 0, 3})); err != nil {
		return verdict{}, err
	}
	if err := p.addMachines(8, 16000, func(i int) []string { return []string{"a", fmt.Sprint("r-", i%3)} }); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	const tasks, mayMiss = 3, 1
	id := newID()
	if err := p.submit(id, "/serve/", "lasts", step{Count: tasks, CPU: 4000, MemMb: 4096, Perpetual: true, MayMiss: mayMiss, Image: "i", Apart: 1}); err != nil {
		return verdict{}, err
	}
	var holders []*runner
	for i := range tasks {
		s, ok := p.awaitRun(fmt.Sprintf("%s.0.0.%d", id, i), 10*time.Second)
		if !ok {
			return verdict{}, fmt.Errorf("task %d does not run", i)
		}
		holders = append(holders, s.runner)
	}
	time.Sleep(8 * time.Second)
	var mu sync.Mutex
	var v verdict
	byOrder := map[string]bool{} // tasks that an upkeep has ended
	p.onUpkeep = func(name string) {
		r := p.on(name)
		r.mu.Lock()
		own := r.sorted()
		r.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		for _, x := range own {
			if !x.atWork() {
				continue
			}
			away := 0
			var which []string
			for i := range tasks {
				task := fmt.Sprintf("%s.0.0.%d", id, i)
				if task == x.task {
					continue
				}
				spans := p.spans(task)
				last := spans[len(spans)-1]
				switch {
				case last.to.IsZero() && last.x.atWork():
					delete(byOrder, task)
				case byOrder[task]:
					away++
					which = append(which, task+" was ended by an upkeep")
				case !last.to.IsZero() && time.Since(last.to) >= noticeTime:
					away++
					which = append(which, fmt.Sprintf("%s has not been at work for %.2f s", task, time.Since(last.to).Seconds()))
				}
			}
			if away >= mayMiss && !v.broken {
				v = verdict{true, fmt.Sprintf("AVAIL: an upkeep ends %s, which is at work, while %s (mayMiss %d)", x.task, strings.Join(which, ", "), mayMiss)}
				p.rec.say("%s", v.text)
			}
		}
		for _, x := range own {
			byOrder[x.task] = true
		}
	}
	if trouble {
		p.rec.say("runner %s, with a task of the step, crashes and is lost for good", holders[0])
		holders[0].vanish("crash")
	}
	time.Sleep(2 * time.Second)
	idle := ""
	for _, r := range p.all() {
		if r.isAlive() && !slices.Contains(holders, r) {
			idle = r.m.name
			break
		}
	}
	if err := p.wave(1, []string{holders[1].m.name, holders[2].m.name, idle}, 20, 1); err != nil {
		return verdict{}, err
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		status, text := p.call("GET", "http://"+p.members[0].control()+"/wave-get/1", "", nil)
		p.rec.logf("GET /wave-get/1 -> %d %s", status, text)
		if strings.Contains(text, "completed") {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if !v.broken {
		v.text = "no upkeep ended a task while too many others were away"
	}
	return v, nil
}

// firstTask: a runner that runs other work begins its first task that lasts, and is lost soon after.
func firstTask(p *platform, trouble bool) (verdict, error) {
	if err := p.start(configuration(1, route{"batch", "/batch/", 1, 3}, route{"serve", "/serve/", 0, 3})); err != nil {
		return verdict{}, err
	}
	if err := p.addMachines(8, 16000, func(i int) []string { return []string{"a", fmt.Sprint("r-", i%3)} }); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	// Each runner has one long task.
	long, serve := newID(), newID()
	if err := p.submit(long, "/batch/", "work=100000", step{Count: 8, CPU: 9000, MemMb: 1024, Estimate: 100000}); err != nil {
		return verdict{}, err
	}
	for i := range 8 {
		if _, ok := p.awaitRun(fmt.Sprintf("%s.0.0.%d", long, i), 10*time.Second); !ok {
			return verdict{}, fmt.Errorf("a long task does not run")
		}
	}
	time.Sleep(3 * time.Second)
	if err := p.submit(serve, "/serve/", "lasts", step{Count: 1, CPU: 2000, MemMb: 2048, Perpetual: true, Image: "i"}); err != nil {
		return verdict{}, err
	}
	s, ok := p.awaitRun(serve+".0.0.0", 10*time.Second)
	if !ok {
		return verdict{}, fmt.Errorf("the task that lasts does not run")
	}
	time.Sleep(500 * time.Millisecond)
	lost := map[string]time.Time{}
	if trouble {
		p.rec.say("runner %s is lost, 0.5 s after it has begun its first task that lasts", s.runner)
		lost[s.task] = time.Now()
		s.runner.vanish("crash")
	}
	return p.watchLasting(serve, 1, 9000, lost, time.Time{}, 20*time.Second)
}

// lateCopy: a start gets no answer and is carried out late. Meanwhile it was sent again, the task is done, and
// the runner was cut off, has crashed behind the cut and started again under its id.
func lateCopy(p *platform, trouble bool) (verdict, error) {
	const delay, cutAfter, cutFor = 6 * time.Second, 3 * time.Second, 5500 * time.Millisecond
	if err := p.start(configuration(1, route{"quick", "/quick/", 1, 3})); err != nil {
		return verdict{}, err
	}
	if err := p.addMachines(6, 16000, func(i int) []string { return []string{"a", fmt.Sprint("r-", i%3)} }); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		p.mu.Lock()
		p.late = delay
		p.lateOf = func(r *runner, _ string) {
			time.Sleep(cutAfter)
			r.setCut(true)
			r.vanish("crash behind the cut")
			time.Sleep(500 * time.Millisecond)
			x, err := p.startRunner(r.m, r.id, r.address)
			if err != nil {
				p.rec.say("the runner did not start again: %v", err)
				return
			}
			x.setCut(true)
			time.Sleep(cutFor - 500*time.Millisecond)
			x.setCut(false)
		}
		p.mu.Unlock()
	}
	id := newID()
	if err := p.submit(id, "/quick/", "work=1500", step{Count: 1, CPU: 2000, MemMb: 1024, Estimate: 1500}); err != nil {
		return verdict{}, err
	}
	task := id + ".0.0.0"
	time.Sleep(delay + 6*time.Second)
	_, text := p.state(id, "/quick/")
	p.rec.say("job %s: %s", id, text)
	p.mu.Lock()
	noted := p.noted[task]
	p.mu.Unlock()
	if noted.IsZero() {
		return verdict{}, fmt.Errorf("no end of the task as done was taken note of")
	}
	for _, s := range p.spans(task) {
		if s.from.After(noted) {
			return verdict{true, fmt.Sprintf("TWICE: run %d of %s begins on %s %.2f s after its end as done was taken note of", s.number, task, s.runner, s.from.Sub(noted).Seconds())}, nil
		}
	}
	return verdict{text: "the task has run once"}, nil
}
