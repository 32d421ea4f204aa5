package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// measuredRequests is the number of requests over which the cost of one is averaged.
const measuredRequests = 1000

// requestCosts holds costs summed over the three processes of the cell: totals over a
// period, or averages for one request. micros is the wall time spent in Node.Step, in
// microseconds; entries and logBytes are the number and size of the log entries saved;
// messages and peerBytes are the number and size of the messages between processes.
type requestCosts struct {
	micros, entries, logBytes, messages, peerBytes float64
}

// requestCost submits requests in a domain of n endpoints, runs each to its end and
// returns the average cost of one. The cost of an idle cell is subtracted.
func requestCost(n int) (requestCosts, error) {
	c := newCell()
	if err := c.configure(configuration(4), 0); err != nil {
		return requestCosts{}, err
	}
	if err := c.addEndpoints(n); err != nil {
		return requestCosts{}, err
	}
	before := *c
	c.run(2 * time.Second)
	idle := difference(&before, c)
	before = *c
	for i := range measuredRequests {
		if err := c.runRequest(i); err != nil {
			return requestCosts{}, err
		}
		if i%(measuredRequests/2) == 0 {
			c.run(time.Second)
		}
	}
	d := difference(&before, c)
	return requestCosts{
		micros:    (d.micros - idle.micros) / measuredRequests,
		entries:   (d.entries - idle.entries) / measuredRequests,
		logBytes:  (d.logBytes - idle.logBytes) / measuredRequests,
		messages:  (d.messages - idle.messages) / measuredRequests,
		peerBytes: (d.peerBytes - idle.peerBytes) / measuredRequests,
	}, nil
}

// difference returns the costs that arose between two states of a cell.
func difference(a, b *cell) requestCosts {
	return requestCosts{
		micros: float64((b.stepTime - a.stepTime).Microseconds()), entries: float64(b.entries - a.entries),
		logBytes: float64(b.logBytes - a.logBytes), messages: float64(b.messages - a.messages), peerBytes: float64(b.bytes - a.bytes),
	}
}

// runRequest submits request i, waits for its start and reports it as done.
func (c *cell) runRequest(i int) error {
	k := state.Key{Team: "team-0", ID: state.NewRequestID("a", c.clock().WallMS/1000, fmt.Sprintf("%024d", i))}
	payload, err := json.Marshal(map[string]string{"case": fmt.Sprintf("%0190d", i)})
	if err != nil {
		return err
	}
	c.starts = nil
	if _, err := c.call(func(t coordination.Token) coordination.Event {
		return coordination.Submit{Token: t, Key: k, Submission: coordination.Submission{Kind: "kind-0", Payload: payload, Digest: uint64(i)}}
	}); err != nil {
		return err
	}
	if len(c.starts) == 0 {
		c.run(10 * time.Millisecond)
	}
	if len(c.starts) != 1 {
		return fmt.Errorf("request %d: %d starts", i, len(c.starts))
	}
	s := c.starts[0]
	_, err = c.call(func(t coordination.Token) coordination.Event {
		return coordination.TaskReport{Token: t, Domain: "a", Report: state.Report{
			TaskRef: s.Ref, Endpoint: s.Endpoint, Incarnation: s.Incarnation, Status: state.TaskDone, Result: payload,
		}}
	})
	return err
}

// configuration returns n teams of four kinds each.
func configuration(n int) state.Configuration {
	cfg := state.Configuration{Teams: map[string]state.TeamConfig{}}
	for i := range n {
		t := state.TeamConfig{Quota: state.Resources{MilliCores: 9_000_000, MemoryMB: 90 << 20, Slots: 1000}, Kinds: map[string]state.KindConfig{}}
		for k := range 4 {
			t.Kinds[fmt.Sprint("kind-", k)] = state.KindConfig{
				Class: state.ClassBatch, Repeatable: true, PerTask: state.Resources{MilliCores: 1000, MemoryMB: 2048}, EstimateMS: 60_000, DeadlineMS: 86_400_000, Retries: 2, MaxTasks: 10,
			}
		}
		cfg.Teams[fmt.Sprint("team-", i)] = t
	}
	return cfg
}

func perRequest(name, slope string, pick func(requestCosts) float64) (row, error) {
	return measure(name, slope, func(n int) (float64, error) {
		r, err := requestCost(n)
		return pick(r), err
	})
}

func requestTime() (row, error) {
	return perRequest("one request, processor time of three processes, µs (endpoints)", "%.4f µs for each endpoint", func(r requestCosts) float64 { return r.micros })
}

func requestEntries() (row, error) {
	return perRequest("one request, entries saved by three processes", "%.4f", func(r requestCosts) float64 { return r.entries })
}

func requestLogBytes() (row, error) {
	return perRequest("one request, log bytes saved by three processes", "%.4f", func(r requestCosts) float64 { return r.logBytes })
}

func requestPeerBytes() (row, error) {
	return perRequest("one request, message bytes between processes, no batching", "%.4f", func(r requestCosts) float64 { return r.peerBytes })
}

func idle(name string, pick func(requestCosts) float64) (row, error) {
	return measure(name, "%.4f for each endpoint", func(n int) (float64, error) {
		c := newCell()
		if err := c.addEndpoints(n); err != nil {
			return 0, err
		}
		before := *c
		c.run(5 * time.Second)
		return pick(difference(&before, c)) / 5, nil
	})
}

func idleMessages() (row, error) {
	return idle("3 idle processes with 3 groups of 3, messages a second", func(r requestCosts) float64 { return r.messages })
}

func idleBytes() (row, error) {
	return idle("3 idle processes with 3 groups of 3, message bytes a second", func(r requestCosts) float64 { return r.peerBytes })
}

// changeBytes changes one team of a configuration; the columns are numbers of teams.
func changeBytes() (row, error) {
	return measure("one change of one team, log bytes saved by three processes (teams)", "%.2f B for each team", func(n int) (float64, error) {
		c := newCell()
		cfg := configuration(n)
		if err := c.configure(cfg, 0); err != nil {
			return 0, err
		}
		t := cfg.Teams["team-0"]
		t.Quota.Slots++
		cfg.Teams["team-0"] = t
		before := *c
		err := c.configure(cfg, 1)
		return difference(&before, c).logBytes, err
	})
}

// snapshotRecords returns the state of a domain with 30*n final records.
func snapshotRecords(n int) *state.Domain {
	d := state.NewDomain("a")
	d.Apply(1, state.Command{RegisterEndpoint: &state.RegisterEndpoint{Endpoint: newEndpoint(0)}})
	d.Apply(2, state.Command{Adopt: &state.AdoptConfiguration{Config: state.VersionedConfiguration{Version: 1}, Shares: map[string]state.Resources{"team": {MilliCores: 64_000, MemoryMB: 256 << 10}}}})
	for i := range 30 * n {
		applyCompletedRequest(d, i)
	}
	return d
}

func snapshotTime() (row, error) {
	return measure("snapshot on the control goroutine, µs by records (30 times the column)", "%.2f µs for 30", func(n int) (float64, error) {
		d := snapshotRecords(n)
		startedAt := time.Now()
		d.Snapshot()
		return float64(time.Since(startedAt).Microseconds()), nil
	})
}

func restartTime() (row, error) {
	return measure("decode and restore a snapshot, ms by records (30 times the column)", "%.4f ms for 30", func(n int) (float64, error) {
		b, err := json.Marshal(snapshotRecords(n).Snapshot())
		if err != nil {
			return 0, err
		}
		startedAt := time.Now()
		var s state.DomainSnapshot
		if err := json.Unmarshal(b, &s); err != nil {
			return 0, err
		}
		state.RestoreDomain(&s)
		return float64(time.Since(startedAt).Microseconds()) / 1000, nil
	})
}
