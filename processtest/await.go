package processtest

import (
	"testing"
	"time"
)

const (
	// awaitTimeout only ends a test that hangs. It is far longer than any condition
	// takes on a loaded machine.
	awaitTimeout = 90 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Await polls until the condition holds. It fails the test after 90 s.
func Await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out while waiting for: %s", what)
		}
	}
}
