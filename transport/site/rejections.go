package site

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// rejectionLogPeriod is the minimum time between two log lines about invalid messages of one
// kind. A writer that repeats such a message must not fill the log.
const rejectionLogPeriod = time.Second

// rejections counts invalid messages from outside, or refused clients, and logs them at a bounded rate. Its methods
// may be called by several goroutines.
type rejections struct {
	logger  hclog.Logger
	message string            // of the log lines
	count   func(kind string) // counts a message in the metrics

	mu      sync.Mutex
	logged  map[string]time.Time // time of the last log line, by kind
	omitted map[string]int       // messages since then that were not logged, by kind
}

// add records an invalid message, or a refused client with a nil error.
func (r *rejections) add(now time.Time, kind string, err error) {
	r.count(kind)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.logged == nil {
		r.logged, r.omitted = map[string]time.Time{}, map[string]int{}
	}
	if at, ok := r.logged[kind]; ok && now.Sub(at) < rejectionLogPeriod {
		r.omitted[kind]++
		return
	}
	fields := []any{"step", "reject", "kind", kind, "omitted", r.omitted[kind]}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	r.logger.Warn(r.message, fields...)
	r.logged[kind], r.omitted[kind] = now, 0
}

// Rejected records a message from outside that was invalid and had no effect.
func (c *Client) Rejected(kind string, err error) { c.rejections.add(time.Now(), kind, err) }
