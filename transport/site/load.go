package site

import "time"

const (
	// loadPeriod is the time that one log line about the control goroutine covers.
	loadPeriod = time.Second
	// loggedQueueTime is the time for which an event must have been queued for its period
	// to be logged. A calm process writes no such lines.
	loggedQueueTime = 20 * time.Millisecond
)

// controlLoad summarises the steps of the control goroutine over loadPeriod.
type controlLoad struct {
	since          time.Time
	steps          int
	busy           time.Duration // sum of the durations of the steps
	longestQueued  time.Duration
	longestStep    time.Duration
	queuedTimeSum  time.Duration
	queuedOverTime int // events that were queued for longer than loggedQueueTime
}

// add records one step. At the end of a period in which an event was queued for
// loggedQueueTime or longer, it returns the fields of a log line about the period.
func (c *controlLoad) add(now time.Time, queued, took time.Duration) (fields []any, ok bool) {
	if c.since.IsZero() {
		c.since = now
	}
	c.steps++
	c.busy += took
	c.queuedTimeSum += queued
	c.longestQueued = max(c.longestQueued, queued)
	c.longestStep = max(c.longestStep, took)
	if queued >= loggedQueueTime {
		c.queuedOverTime++
	}
	if now.Sub(c.since) < loadPeriod {
		return nil, false
	}
	fields = []any{
		"step", "load", "steps", c.steps, "busy_ms", c.busy.Milliseconds(), "period_ms", now.Sub(c.since).Milliseconds(),
		"queued_mean_ms", (c.queuedTimeSum / time.Duration(c.steps)).Milliseconds(), "queued_most_ms", c.longestQueued.Milliseconds(),
		"step_most_ms", c.longestStep.Milliseconds(), "queued_long", c.queuedOverTime,
	}
	ok = c.queuedOverTime > 0
	*c = controlLoad{since: now}
	return fields, ok
}
