package processtest

import (
	"testing"
	"time"
)

const (
	// awaitLimit only ends a test that hangs. It is far above anything that a loaded
	// machine needs.
	awaitLimit = 90 * time.Second
	pollPeriod = 20 * time.Millisecond
)

// Await returns when the condition holds. It fails the test if that never happens.
func Await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitLimit); !condition(); time.Sleep(pollPeriod) {
		if time.Now().After(end) {
			t.Fatalf("still waiting for: %s", what)
		}
	}
}
