package site

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logBuffer bounds the log lines that wait to be written. Further ones are counted and
// dropped, because a slow reader of the log must not delay a decision.
const logBuffer = 2048

// logWriter is an io.Writer that writes lines on its own goroutine.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

func newLogWriter(w io.Writer) *logWriter {
	l := &logWriter{lines: make(chan []byte, logBuffer)}
	go l.run(w)
	return l
}

func (l *logWriter) run(w io.Writer) {
	var buf []byte
	for line := range l.lines {
		buf = append(buf[:0], line...)
		for len(l.lines) > 0 && len(buf) < 32<<10 {
			buf = append(buf, <-l.lines...)
		}
		if n := l.dropped.Swap(0); n > 0 {
			buf = fmt.Appendf(buf, "{\"@level\":\"warn\",\"@message\":\"log lines were left out\",\"@timestamp\":%q,\"count\":%d}\n", time.Now().Format(time.RFC3339Nano), n)
		}
		_, _ = w.Write(buf) // an error cannot be reported, since the log itself cannot be written
	}
}

// Write implements io.Writer. It never blocks.
func (l *logWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

func newLogger(w io.Writer, level, name, domain string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "primrosereach", Level: hclog.LevelFromString(level), JSONFormat: true, Output: newLogWriter(w),
	}).With("process", name, "domain", domain)
}
