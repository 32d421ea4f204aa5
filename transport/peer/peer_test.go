package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/access"
)

// receiver records what a process receives from its peers.
type receiver struct {
	mu     sync.Mutex
	events []coordination.Event
	orders []jobs.Effect
	from   Origin
	clock  func() time.Duration
}

func (r *receiver) Send(_ context.Context, ev coordination.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, ev)
	return true
}

func (r *receiver) RelayOrder(from Origin, order jobs.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from = from
	r.orders = append(r.orders, order)
}

func (r *receiver) ReadClock() (id uint64, now time.Duration) { return 7, r.clock() }

func (r *receiver) Perform(context.Context, protocol.Operation) protocol.Result {
	return protocol.Result{}
}

func (r *receiver) counts() (events, orders int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.events), len(r.orders)
}

// startPeers returns a client and the address and the record of a process that it can call.
func startPeers(t *testing.T, relay bool) (*Client, string, *receiver) {
	r := &receiver{clock: func() time.Duration { return 0 }}
	var relayer OrderRelay
	if relay {
		relayer = r
	}
	server := httptest.NewServer(NewHandler(r, r, relayer, access.NewInsecure(), hclog.NewNullLogger()))
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	c := NewClient(ctx, http.DefaultClient, "http", "", hclog.NewNullLogger())
	c.Self = Self{Address: "10.0.0.1:7000", ClockID: 1, Now: func() time.Duration { return time.Since(start) }}
	t.Cleanup(func() {
		cancel()
		c.Wait()
		server.Close()
	})
	return c, strings.TrimPrefix(server.URL, "http://"), r
}

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// Guards against a call for each order or report: a call costs the leader many times as much
// processor time as what it carries.
func TestOrdersAndReportsShareCalls(t *testing.T) {
	c, address, r := startPeers(t, true)
	var calls atomic.Int64
	c.OnCall = func(string) { calls.Add(1) }
	const n = 100
	for i := range n {
		c.SendOrder(address, jobs.StopRun{Order: jobs.Order{ID: uint64(i + 1)}})
		c.SendReport(address, jobs.OrderReported{ID: uint64(i + 1)})
	}
	await(t, "orders or reports are missing after 5 s", func() bool {
		events, orders := r.counts()
		return events == n && orders == n
	})
	if got := calls.Load(); got > 20 {
		t.Errorf("%d calls for %d orders and %d reports", got, n, n)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.from.Address != c.Self.Address || r.from.ClockID != c.Self.ClockID {
		t.Errorf("the orders come from %+v", r.from)
	}
}

// Guards against replication that waits for orders, and with it each commit.
func TestReplicationMessagesDoNotWaitForOrders(t *testing.T) {
	c := &Client{ctx: context.Background()}
	q := make(chan outgoing, 10)
	q <- outgoing{order: jobs.StopRun{}}
	q <- outgoing{message: &replication.Message{}}
	never := make(chan time.Time)
	batch := c.fillBatch([]outgoing{{order: jobs.StopRun{}}}, q, never)
	if len(batch) != 3 {
		t.Errorf("a batch of %d, not 3", len(batch))
	}
}

// Guards against orders that a gateway accepts and drops without an error.
func TestGatewaysRejectOrders(t *testing.T) {
	c, address, r := startPeers(t, false)
	if err := c.deliverBatch(address, []outgoing{{order: jobs.StopRun{}}}); err == nil {
		t.Error("the call succeeded")
	}
	if _, orders := r.counts(); orders > 0 {
		t.Errorf("%d orders were relayed", orders)
	}
}

// Guards against an order that is sent long after it was issued: the relay, or the process that
// issued the order, was suspended in between. Their clocks start at different times.
func TestAgeIncludesSuspensions(t *testing.T) {
	var now time.Duration // of both VMs
	const ahead = time.Hour
	c, address, r := startPeers(t, true)
	c.Self.Now = func() time.Duration { return now }
	r.clock = func() time.Duration { return now + ahead }
	issued := Origin{Address: address, ClockID: 7, SentAt: ahead}
	if _, ok := c.Age(issued); ok || c.CanRelay(address) {
		t.Error("an age, or a relay, although the clock is not known")
	}
	if err := c.deliverBatch(address, []outgoing{{report: &jobs.OrderReported{}}}); err != nil {
		t.Fatal(err)
	}
	if !c.CanRelay(address) {
		t.Error("no relay although the clock is known")
	}
	now = 5 * time.Second // for most of which one of them was suspended
	if age, ok := c.Age(issued); !ok || age != now {
		t.Errorf("age %v, %t after %v", age, ok, now)
	}
	if _, ok := c.Age(Origin{Address: address, ClockID: 8}); ok {
		t.Error("an age of an order of another incarnation of the process")
	}
}

// Guards against orders to processes of a version that ignores them.
func TestProcessesWithoutAClockRelayNothing(t *testing.T) {
	c, address, _ := startPeers(t, false)
	if err := c.deliverBatch(address, []outgoing{{report: &jobs.OrderReported{}}}); err != nil {
		t.Fatal(err)
	}
	if c.CanRelay(address) {
		t.Error("the process counts as a relay")
	}
}
