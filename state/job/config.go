package job

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Configuration lists the queues and pools in force. Operators number the versions;
// the highest version is in force.
type Configuration struct {
	Version  int64   `json:"version"`
	Queues   []Queue `json:"queues,omitempty"`
	Pools    []Pool  `json:"pools,omitempty"`
	Document []byte  `json:"document,omitempty"` // document that the operator sent, so that it can be read back unchanged

	HasTeams bool   `json:"has_teams,omitempty"` // callers authenticate as one of Teams
	Teams    []Team `json:"teams,omitempty"`
}

// Queue accepts jobs and names the pool whose workers run them.
type Queue struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"` // prefix of the path
	Pool            string  `json:"pool"`
	Priority        int     `json:"priority"`          // 0 is the highest priority
	MaxAttempts     int     `json:"max_attempts"`      // number of failed runs of a task after which its job fails, 0 for no limit
	TimeoutMS       int64   `json:"timeout_ms"`        // time-out of one call, milliseconds
	Stretch         float64 `json:"stretch"`           // the target time of a job is Stretch (at least 1) times its critical path plus TargetLatencyMS
	TargetLatencyMS int64   `json:"target_latency_ms"` // milliseconds
	Advice          *Advice `json:"advice,omitempty"`  // nil if every worker of the pool may run the queue's steps
	Public          bool    `json:"public,omitempty"`  // calls need no key
}

// Equal reports whether two queues have the same settings.
func (q *Queue) Equal(other *Queue) bool {
	a, b := *q, *other
	a.Advice, b.Advice = nil, nil
	return a == b && EqualAdvice(q.Advice, other.Advice)
}

// EqualAdvice reports whether two queues need the same advice, or none.
func EqualAdvice(a, b *Advice) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// Advice describes the calls to the advice service, which returns the workers that may run
// a step, with a ticket (a permission that expires) for each.
type Advice struct {
	PerCallMS   float64 `json:"decide_ms"`   // expected time of a call without the part that depends on its workers, milliseconds
	PerWorkerMS float64 `json:"each_ms"`     // additional expected time for each worker named in a call, milliseconds
	ValidMS     int64   `json:"valid_ms"`    // time for which a ticket is valid, milliseconds
	MaxWorkers  int     `json:"max_workers"` // largest number of workers that a call may name
}

// Pool is a set of workers.
type Pool struct {
	Name             string `json:"name"`
	EnforcesCapacity bool   `json:"enforces_capacity,omitempty"` // its workers reject tasks that exceed their free capacity
	HealthPath       string `json:"health_path,omitempty"`
	PoweredOff       bool   `json:"spare,omitempty"` // its VMs are powered off
}

// Validate returns the first error found in a configuration.
func (c *Configuration) Validate() error {
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return fmt.Errorf("pool %q: the name is empty or not unique", p.Name)
		}
		pools[p.Name] = true
	}
	names, prefixes := map[string]bool{}, map[[2]string]bool{}
	for i := range c.Queues {
		q := &c.Queues[i]
		hostAndPrefix := [2]string{q.Host, q.Prefix}
		switch {
		case q.Name == "" || names[q.Name]:
			return fmt.Errorf("queue %q: the name is empty or not unique", q.Name)
		case !pools[q.Pool]:
			return fmt.Errorf("queue %s: unknown pool %q", q.Name, q.Pool)
		case q.Host == "" || q.Prefix == "":
			return fmt.Errorf("queue %s: host or prefix is missing", q.Name)
		case prefixes[hostAndPrefix]:
			return fmt.Errorf("queue %s: another queue has host %s and prefix %s", q.Name, q.Host, q.Prefix)
		case q.TimeoutMS <= 0:
			return fmt.Errorf("queue %s: the timeout must be positive", q.Name)
		}
		names[q.Name], prefixes[hostAndPrefix] = true, true
	}
	return validateTeams(c.Teams)
}

// queueIndex finds queues by name and by path. It exists because a configuration may
// have more than a thousand queues, and every call and every assignment looks one up.
type queueIndex struct {
	byName map[string]*Queue
	byHost map[string][]*Queue // longest prefix first
}

func (c *Configuration) index() queueIndex {
	x := queueIndex{byName: map[string]*Queue{}, byHost: map[string][]*Queue{}}
	for i := range c.Queues {
		q := &c.Queues[i]
		x.byName[q.Name] = q
		x.byHost[q.Host] = append(x.byHost[q.Host], q)
	}
	for _, list := range x.byHost {
		slices.SortStableFunc(list, func(a, b *Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return x
}

// resolve returns the queue of a path, by host and longest prefix, and the rest of the
// path. The queue is nil if there is none.
func (x *queueIndex) resolve(host, path string) (q *Queue, rest string) {
	for _, q := range x.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, path[len(q.Prefix):]
		}
	}
	return nil, ""
}
