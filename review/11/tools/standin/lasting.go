package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// serviceJob returns a job of one step whose tasks last.
func serviceJob(count, cpu, mayMiss int) map[string]any {
	return map[string]any{"spec": "lasts", "steps": []any{map[string]any{"count": count, "cpu": cpu, "memMb": 256, "estimateMs": 1000, "perpetual": true, "mayMiss": mayMiss, "antiAffinity": 1}}}
}

// taskStarts keeps the runner and the time of the last start of each task of a job.
type taskStarts struct {
	mu sync.Mutex
	on map[string]*runner
	at map[string]float64
}

func watch(c *cluster, id string) *taskStarts {
	s := &taskStarts{on: map[string]*runner{}, at: map[string]float64{}}
	onStart.Lock()
	defer onStart.Unlock()
	onStart.f = func(r *runner, t *taskRun) {
		if strings.HasPrefix(t.task, id+".") {
			s.mu.Lock()
			s.on[t.task], s.at[t.task] = r, c.rec.now()
			s.mu.Unlock()
		}
	}
	return s
}

func (s *taskStarts) last(task string) (*runner, float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.on[task], s.at[task]
}

// maxGap is the longest time that a task that lasts may have no run beside room for it twice over.
const maxGap = 9.0

// verdict judges the time for which a task that lasts had no run.
func (s *taskStarts) verdict(task string, ended float64) (int, string) {
	_, at := s.last(task)
	switch gap := at - ended; {
	case gap < 0:
		return broken, "LOST: the task that lasts was not started again until the end of the case"
	case gap > maxGap:
		return broken, fmt.Sprintf("LOST: the task that lasts had no run for %.3f s; at most 6 s + 3 s are allowed", gap)
	default:
		return held, fmt.Sprintf("the task that lasts had no run for %.3f s", gap)
	}
}

// upkeepGap: a member is stopped as planned, and another one leads. Then a wave takes down the machine of
// a task that lasts.
func upkeepGap(c *cluster, trouble bool) (int, string) {
	if problem := prepare(c, 2, 8); problem != "" {
		return cannot, problem
	}
	id := newID()
	s := watch(c, id)
	status, _ := c.job("POST", 1, id, serviceJob(2, 1000, 1), 3*time.Second)
	c.rec.add("client: POST %s is answered %d", id, status)
	if status != http.StatusOK {
		return cannot, "the job was not accepted"
	}
	time.Sleep(16 * time.Second)
	if trouble {
		leader := c.leader()
		c.rec.add("%s, which leads, gets SIGTERM", leader)
		c.signal(leader, syscall.SIGTERM)
		time.Sleep(2 * time.Second)
		c.rec.add("%s is started again", leader)
		if err := c.run(c.machines[leader]); err != nil {
			return cannot, err.Error()
		}
		time.Sleep(time.Second)
	}
	task := id + ".0.0.0"
	r, _ := s.last(task)
	if r == nil {
		return cannot, "the task was not started"
	}
	if !c.operate("POST", "/wave-start", map[string]any{"wave": 1, "machines": []string{r.machine}, "durationS": 12, "cap": 1}, 5*time.Second) {
		return cannot, "the wave was not acknowledged"
	}
	c.rec.add("the wave names %s, on which %s runs", r.machine, task)
	var down vmOrder
	for down.status != http.StatusOK {
		select {
		case down = <-c.vms.seen:
		case <-time.After(20 * time.Second):
			return cannot, "the machine was not taken down"
		}
	}
	time.Sleep(28 * time.Second)
	return s.verdict(task, down.at)
}
