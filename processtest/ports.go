package processtest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Listen ports are chosen below the range of ephemeral ports, so that no outgoing
// connection takes the port of a process while it restarts.
const (
	firstPort = 23_000
	lastPort  = 32_000
)

// nextPort starts at a different port in each test process, so that packages that are
// tested at the same time rarely try the same ports.
var nextPort = func() *atomic.Int64 {
	var p atomic.Int64
	p.Store(int64(os.Getpid()) * 131 % (lastPort - firstPort))
	return &p
}()

// freeAddress returns a loopback address with a port on which nothing listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range lastPort - firstPort {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		if l, err := net.Listen("tcp", a); err == nil {
			_ = l.Close()
			return a
		}
	}
	t.Fatal("all loopback ports from 23000 to 31999 are in use")
	return ""
}
