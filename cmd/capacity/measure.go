package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/health"
	"github.com/primrosereach/primrosereach/coordination/policy"
	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/access"
	"github.com/primrosereach/primrosereach/protocol/peerv1"
	"github.com/primrosereach/primrosereach/protocol/peerv1/peerv1connect"
	"github.com/primrosereach/primrosereach/protocol/settings"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/transport/peer"
)

// heapBytes returns the size on the heap of the value that build returns.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func newEndpoint(i int) state.Endpoint {
	return state.Endpoint{
		Name: fmt.Sprintf("worker-%04d", i), Kind: state.KindWorker, Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1),
		Incarnation: uint64(i + 1), Capacity: state.Resources{MilliCores: 64_000, MemoryMB: 256 << 10}, Rack: fmt.Sprintf("rack-%d", i/8), Status: state.EndpointReady,
	}
}

func heapOfEndpoints() (row, error) {
	return measure("domain state, heap bytes by endpoints", "%.0f B each", func(n int) (float64, error) {
		return heapBytes(func() any {
			d := state.NewDomain("a")
			for i := range n {
				d.Apply(uint64(i+1), state.Command{RegisterEndpoint: &state.RegisterEndpoint{Endpoint: newEndpoint(i)}})
			}
			return d
		}), nil
	})
}

// heapOfRecords measures 30 records for each unit of the columns, since a domain retains
// far more records than it has endpoints.
func heapOfRecords() (row, error) {
	const factor = 30
	r, err := measure("domain state, heap bytes by final records (30 times the column)", "%.0f B for 30", func(n int) (float64, error) {
		return heapBytes(func() any {
			d := state.NewDomain("a")
			d.Apply(1, state.Command{RegisterEndpoint: &state.RegisterEndpoint{Endpoint: newEndpoint(0)}})
			d.Apply(2, state.Command{Adopt: &state.AdoptConfiguration{Config: state.VersionedConfiguration{Version: 1}, Shares: map[string]state.Resources{"team": {MilliCores: 64_000, MemoryMB: 256 << 10}}}})
			for i := range factor * n {
				applyCompletedRequest(d, i)
			}
			return d
		}), nil
	})
	return r, err
}

// jsonText returns a JSON string of n bytes.
func jsonText(n int) []byte {
	return append(append([]byte{'"'}, bytes.Repeat([]byte("x"), n-2)...), '"')
}

// applyCompletedRequest applies the commands of one request of a typical size: it is
// accepted, assigned and reported as done.
func applyCompletedRequest(d *state.Domain, i int) {
	k := state.Key{Team: "team", ID: state.NewRequestID("a", startWallMS/1000, fmt.Sprintf("%024d", i))}
	index := d.Applied()
	d.Apply(index+1, state.Command{Accept: &state.Accept{Request: state.Request{
		Key: k, Kind: "statement-run", Class: state.ClassBatch, Tasks: 1, PerTask: state.Resources{MilliCores: 1000, MemoryMB: 1024},
		Payload: jsonText(200), AcceptedMS: startWallMS,
	}}})
	d.Apply(index+2, state.Command{Assign: &state.Assign{AtMS: startWallMS, Items: []state.Assignment{{Key: k, Endpoint: "worker-0000", Incarnation: 1}}}})
	d.Apply(index+3, state.Command{Report: &state.Report{
		TaskRef: state.TaskRef{Key: k, Attempt: 1}, AtMS: startWallMS, Endpoint: "worker-0000", Incarnation: 1, Status: state.TaskDone, Result: jsonText(200),
	}})
}

func heapOfScheduler() (row, error) {
	return measure("scheduler and health, heap bytes by endpoints", "%.0f B each", func(n int) (float64, error) {
		return heapBytes(func() any {
			t := health.New()
			s := scheduling.New(policy.Options(t, &deterministicRand{}, nil))
			for i := range n {
				e := newEndpoint(i)
				t.UpdateEndpoint(0, &e)
				s.EndpointChanged(scheduling.Clock{}, &e)
			}
			return []any{t, s}
		}), nil
	})
}

func heartbeatTime() (row, error) {
	return measure("leader, processor time of one heartbeat round, µs", "%.2f µs each", func(n int) (float64, error) {
		c := newCell()
		if err := c.addEndpoints(n); err != nil {
			return 0, err
		}
		leader, err := c.leader()
		if err != nil {
			return 0, err
		}
		events := make([]coordination.Heartbeat, n)
		for i := range events {
			h := heartbeatRequest(i)
			ev, fault := h.Event(fmt.Sprintf("worker-%04d", i))
			if fault != nil {
				return 0, fault
			}
			events[i] = ev
		}
		const rounds = 20
		c.stepTime = 0
		for range rounds {
			for i := range events {
				c.token++
				events[i].Token = c.token
				c.step(leader, events[i])
			}
			c.run(100 * time.Millisecond)
		}
		return float64(c.stepTime.Microseconds()) / rounds, nil
	})
}

// countingListener counts the bytes read and written on all accepted connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// overHTTP starts a test server with handler h and calls do n times with its URL. It
// returns the bytes read and written on the server's connections, and the processor time
// of client and server together, in microseconds.
func overHTTP(n int, h http.Handler, do func(base string, i int) error) (bytes, micros float64, err error) {
	var count atomic.Int64
	s := httptest.NewUnstartedServer(h)
	s.Listener = countingListener{s.Listener, &count}
	s.Start()
	defer s.Close()
	before := processorTime()
	for i := range n {
		if err := do(s.URL, i); err != nil {
			return 0, 0, err
		}
	}
	return float64(count.Load()), float64((processorTime() - before).Microseconds()), nil
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heartbeatsOverHTTP sends one heartbeat of each of n workers, with four running tasks.
func heartbeatsOverHTTP(n int) (bytes, micros float64, err error) {
	answer, err := json.Marshal(protocol.HeartbeatResponse{Term: 12, LeaseMS: 10_000, IntervalMS: 2000, LowWatermark: 123456, Assigner: "10.0.0.1:7000"})
	if err != nil {
		return 0, 0, err
	}
	serve := func(w http.ResponseWriter, r *http.Request) {
		var h protocol.HeartbeatRequest
		if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(answer)
	}
	return overHTTP(n, http.HandlerFunc(serve), func(base string, i int) error {
		h := heartbeatRequest(i)
		for t := range 4 {
			h.Running = append(h.Running, protocol.Attempt{Team: "member-a", ID: state.NewRequestID("north", startWallMS/1000, "0123456789abcdef01234567"), Task: t, Attempt: 1, Seq: 123450 + uint64(t)})
		}
		return post(fmt.Sprintf("%s/v1/endpoints/worker-%04d/heartbeat", base, i), h)
	})
}

func heartbeatBytes() (row, error) {
	return measure("heartbeats over HTTP, bytes of one round both ways, with headers", "%.0f B each", func(n int) (float64, error) {
		b, _, err := heartbeatsOverHTTP(n)
		return b, err
	})
}

func heartbeatProcessorTime() (row, error) {
	return measure("heartbeats over HTTP, processor time of both sides, µs", "%.1f µs each", func(n int) (float64, error) {
		_, micros, err := heartbeatsOverHTTP(n)
		return micros, err
	})
}

// discardLoop accepts and discards all events and operations.
type discardLoop struct{}

func (discardLoop) Send(context.Context, coordination.Event) bool { return true }

func (discardLoop) Perform(context.Context, protocol.Operation) protocol.Result {
	return protocol.Result{}
}

// deliveryBytes sends idle replication messages one by one. A busy process sends them
// in batches.
func deliveryBytes() (row, error) {
	return measure("deliveries of one idle message between processes, bytes both ways (deliveries)", "%.0f B each", func(n int) (float64, error) {
		m, err := protocol.EncodeMessage(&replication.Message{
			Type: replication.MsgAppend, Group: coordination.DomainGroup("north"), GroupID: 1 << 60, From: "north-1", To: "north-2",
			FromIncarnation: 1 << 61, ToIncarnation: 1 << 62, Term: 7, Index: 123456, LogTerm: 7, Commit: 123456, SentAt: time.Hour,
		})
		if err != nil {
			return 0, err
		}
		h := peer.NewHandler(discardLoop{}, discardLoop{}, nil, insecureAccess(), hclog.NewNullLogger())
		b, _, err := overHTTP(n, h, func(base string, _ int) error {
			_, err := peerv1connect.NewPeerServiceClient(http.DefaultClient, base).Deliver(context.Background(),
				connect.NewRequest(&peerv1.DeliverRequest{Messages: []*peerv1.Message{m}}))
			return err
		})
		return b, err
	})
}

func insecureAccess() *access.Access {
	a, err := access.Load(&settings.Settings{Insecure: true})
	if err != nil {
		panic(err) // insecure settings name no file that could fail to load
	}
	return a
}

func post(url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	res, err := http.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}
