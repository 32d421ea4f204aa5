package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// skippedUpkeep: a wave names a machine that is up and one of a spare pool, which is off for the first 30 s.
// An upkeep of the latter can't begin before it is up.
func skippedUpkeep(c *cluster, trouble bool) (int, string) {
	c.spare = true
	if problem := prepare(c, 1, 6); problem != "" {
		return cannot, problem
	}
	const machine, host = "m-spare", 70
	start := func() error {
		_, err := c.startRunner(machine, host, "zone-a", 16000, 32768, "")
		c.rec.add("machine %s is up", machine)
		return err
	}
	if !trouble {
		if err := start(); err != nil {
			return cannot, err.Error()
		}
		time.Sleep(3 * time.Second)
	}
	const duration = 60
	if !c.operate("POST", "/wave-start", map[string]any{"wave": 1, "machines": []string{"m-1", machine}, "durationS": duration, "cap": 1}, 5*time.Second) {
		return cannot, "the wave was not acknowledged"
	}
	accepted := time.Now()
	up := !trouble
	for time.Since(accepted) < duration*time.Second {
		if !up && time.Since(accepted) > 30*time.Second {
			if err := start(); err != nil {
				return cannot, err.Error()
			}
			up = true
		}
		status, b := c.call("GET", c.control(1), "/wave-get/1", nil, nil, time.Second)
		var answer struct{ State string }
		if status == http.StatusOK && json.Unmarshal(b, &answer) == nil && answer.State == "completed" {
			at := c.rec.add("operator GET /wave-get/1: %s", b)
			if c.vms.begun(machine) {
				return held, "the wave was completed when both machines had begun their upkeep"
			}
			if !up {
				time.Sleep(35*time.Second - time.Since(accepted))
				if err := start(); err != nil {
					return cannot, err.Error()
				}
				time.Sleep(15 * time.Second)
			}
			later := "; up again for 15 s, it still has not"
			if c.vms.begun(machine) {
				later = ""
			}
			return broken, fmt.Sprintf("MIXED: the wave is said to be completed %.1f s after it was accepted, and the upkeep of %s has not begun%s", at-accepted.Sub(c.rec.start).Seconds(), machine, later)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return held, "the wave is still running"
}

// begun reports whether the upkeep of a machine has begun.
func (s *vmService) begun(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done[machine+"/1"]
}
