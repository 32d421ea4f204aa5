package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// prepare starts the system, runners and the configuration, and waits until jobs run.
func prepare(c *cluster, gateways, runners int) string {
	if err := c.startSystem(gateways); err != nil {
		return err.Error()
	}
	time.Sleep(time.Second)
	for i := range runners {
		if _, err := c.startRunner(fmt.Sprintf("m-%d", i+1), 50+i, "zone-"+string(rune('a'+i%3)), 16000, 32768, ""); err != nil {
			return err.Error()
		}
	}
	if !c.configure(3) {
		return "the configuration was not acknowledged"
	}
	if !c.awaitJobs(20 * time.Second) {
		return "no job was done"
	}
	return ""
}

const cancelTime = 3 * time.Second

// lateCopy: a client submits a job to a gateway that is being cut off from the core, gets no answer that
// settles it, and cancels the job through another gateway.
func lateCopy(c *cluster, trouble bool) (int, string) {
	if problem := prepare(c, 2, 6); problem != "" {
		return cannot, problem
	}
	id := newID()
	var mu sync.Mutex
	var starts []float64
	onStart.Lock()
	onStart.f = func(_ *runner, t *taskRun) {
		if strings.HasPrefix(t.task, id+".") {
			mu.Lock()
			starts = append(starts, c.rec.now())
			mu.Unlock()
		}
	}
	onStart.Unlock()
	// Ordinary traffic, so that the gateway has connections to the leader.
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() { c.job("GET", 1, newID(), nil, 2*time.Second) })
	}
	wg.Wait()
	core := []string{"core-1", "core-2", "core-3"}
	if trouble {
		c.rec.add("front-1 is cut off from the core")
		c.net.setCut("front-1", core, true)
		time.AfterFunc(cutTime, func() {
			c.rec.add("the cut heals")
			c.net.setCut("front-1", core, false)
		})
	}
	c.rec.add("client: POST %s to front-1", id)
	status, _ := c.job("POST", 1, id, batchJob(2, 1000, 4000), 3*time.Second)
	c.rec.add("client: POST %s is answered %d", id, status)
	acked := 0.0
	for acked == 0 {
		status, _ := c.job("DELETE", 2, id, nil, 3*time.Second)
		at := c.rec.add("client: DELETE %s to front-2 is answered %d", id, status)
		if status == http.StatusOK || status == http.StatusGone {
			acked = at
		}
		if at > 60 {
			return cannot, "the cancel was not answered"
		}
	}
	time.Sleep(cutTime + 3*time.Second)
	st, b := c.job("GET", 2, id, nil, 3*time.Second)
	c.rec.add("client: GET %s is answered %d %s", id, st, b)
	mu.Lock()
	defer mu.Unlock()
	for _, at := range starts {
		if at > acked+cancelTime.Seconds() {
			return broken, fmt.Sprintf("UNASKED: a task of %s started %.3f s after its cancelling was acknowledged; at most %.0f s are allowed", id, at-acked, cancelTime.Seconds())
		}
	}
	return held, "no task started after the cancel"
}

// cutTime is the length of a cut.
const cutTime = 5500 * time.Millisecond

// staleUpkeep: a wave names a machine whose runner is leaving, so that its upkeep is refused as busy and
// requested again. The leader is cut off from the other zones, and with it from the platform.
func staleUpkeep(c *cluster, trouble bool) (int, string) {
	if problem := prepare(c, 1, 6); problem != "" {
		return cannot, problem
	}
	leaving := c.runner("m-2")
	leaving.mu.Lock()
	leaving.draining = true
	leaving.mu.Unlock()
	c.rec.add("runner %s on %s is draining", leaving.id, leaving.machine)
	time.Sleep(2 * time.Second)
	if !c.operate("POST", "/wave-start", map[string]any{"wave": 1, "machines": []string{"m-2"}, "durationS": 40, "cap": 1}, 5*time.Second) {
		return cannot, "the wave was not acknowledged"
	}
	var first vmOrder
	for first.machine != "m-2" || first.status != http.StatusConflict {
		select {
		case first = <-c.vms.seen:
		case <-time.After(10 * time.Second):
			return cannot, "no upkeep of the machine was requested"
		}
	}
	if trouble {
		old := first.holder
		others := []string{"platform", "front-1"}
		for _, m := range []string{"core-1", "core-2", "core-3"} {
			if m != old {
				others = append(others, m)
			}
		}
		time.Sleep(450 * time.Millisecond)
		c.rec.add("%s is cut off from the others and from the platform", old)
		c.net.setCut(old, others, true)
		time.Sleep(cutTime)
		c.rec.add("the cut heals")
		c.net.setCut(old, others, false)
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(5 * time.Second)
	c.vms.mu.Lock()
	defer c.vms.mu.Unlock()
	highest := map[string]vmOrder{}
	for _, o := range c.vms.orders {
		if h := highest[o.machine]; o.token < h.token {
			return broken, fmt.Sprintf("ONE: an order for %s from %s with token %d came after one from %s with token %d", o.machine, o.holder, o.token, h.holder, h.token)
		}
		if o.token > highest[o.machine].token {
			highest[o.machine] = o
		}
	}
	return held, "the tokens of the orders for each machine did not fall"
}
