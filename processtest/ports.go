package processtest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports are taken below the range from which the system takes those of outgoing
// connections, so that none is lost while its process restarts.
const (
	firstPort = 23_000
	lastPort  = 32_000
)

// nextPort starts at a place of its own in each test process, so that packages
// that run at once rarely try the same ports.
var nextPort = func() *atomic.Int64 {
	var p atomic.Int64
	p.Store(int64(os.Getpid()) * 131 % (lastPort - firstPort))
	return &p
}()

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range lastPort - firstPort {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		if l, err := net.Listen("tcp", a); err == nil {
			_ = l.Close()
			return a
		}
	}
	t.Fatal("no free loopback port")
	return ""
}
