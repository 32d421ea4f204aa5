package site

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Guards against a writer of invalid messages that fills the log, and against messages that
// are neither logged nor counted.
func TestRejectionsAreCountedAndLoggedAtABoundedRate(t *testing.T) {
	var log bytes.Buffer
	counted := 0
	r := rejections{logger: hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true}), count: func(string) { counted++ }}
	now := time.Unix(1000, 0)
	for range 500 {
		r.add(now, "heartbeat", errors.New("port out of range"))
		now = now.Add(10 * time.Millisecond)
	}
	if lines := strings.Count(log.String(), "\n"); counted != 500 || lines != 5 {
		t.Errorf("%d messages counted, %d lines logged for 500 messages in 5 s", counted, lines)
	}
	if !strings.Contains(log.String(), `"omitted":99`) || !strings.Contains(log.String(), "port out of range") {
		t.Errorf("the log does not say what was left out and why: %s", log.String())
	}
}
