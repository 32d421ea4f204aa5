package site

import (
	"sync"

	"github.com/primrosereach/primrosereach/coordination/jobs"
)

// maxContacts bounds the contacts that wait for the next heartbeat. Further ones are dropped:
// each worker reports again within seconds.
const maxContacts = 4096

// contactList collects the heartbeats of workers that this process has acknowledged, until its
// next heartbeat takes them to the leader.
type contactList struct {
	mu     sync.Mutex
	latest map[string]jobs.WorkerContact // by worker ID
}

// add records a heartbeat. A later one of the same worker replaces an earlier one.
func (c *contactList) add(e *jobs.WorkerHeartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil {
		c.latest = map[string]jobs.WorkerContact{}
	}
	if len(c.latest) < maxContacts {
		c.latest[e.Worker.ID] = jobs.WorkerContact{Worker: e.Worker.Incarnation, ClockMS: e.ClockMS, Sequence: e.Sequence}
	}
}

// take returns the recorded heartbeats and removes them.
func (c *contactList) take() []jobs.WorkerContact {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]jobs.WorkerContact, 0, len(c.latest))
	for _, x := range c.latest {
		out = append(out, x)
	}
	c.latest = nil
	return out
}
