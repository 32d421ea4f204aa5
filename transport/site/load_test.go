package site

import (
	"testing"
	"time"
)

// Guards against an overloaded control goroutine that leaves no trace in the log, and
// against a line for each event.
func TestLoadIsLoggedOncePerPeriodWhileEventsWait(t *testing.T) {
	var c controlLoad
	start := time.Unix(0, 0)
	lines := 0
	for i := range 30 {
		queued := time.Duration(0)
		if i > 10 && i < 20 {
			queued = 5 * loggedQueueTime
		}
		if _, ok := c.add(start.Add(time.Duration(i)*100*time.Millisecond), queued, time.Millisecond); ok {
			lines++
		}
	}
	if lines != 1 {
		t.Errorf("%d lines; events waited in one of three periods", lines)
	}
}
