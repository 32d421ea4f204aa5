package processtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/primrosereach/primrosereach/demo/load"
	"github.com/primrosereach/primrosereach/demo/standin"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// StartEndpoints starts runners and workers in every failure domain and waits until
// all are registered. They are stopped at the end of the test.
func (c *Cluster) StartEndpoints(t testing.TB, runners, workers int) map[string]*standin.Endpoint {
	t.Helper()
	out := map[string]*standin.Endpoint{}
	for _, d := range c.Domains {
		for i := range runners {
			c.startEndpoint(t, out, standin.Config{Name: fmt.Sprintf("%s-runner-%d", d, i), Domain: d, Kind: state.KindRunner, Capacity: state.Resources{Slots: 8}})
		}
		for i := range workers {
			c.startEndpoint(t, out, standin.Config{
				Name: fmt.Sprintf("%s-worker-%d", d, i), Domain: d, Kind: state.KindWorker, Rack: d,
				Capacity: state.Resources{MilliCores: 64_000, MemoryMB: 256 << 10},
			})
		}
	}
	Await(t, "all endpoints are registered", func() bool { return len(c.Endpoints()) == len(out) })
	return out
}

func (c *Cluster) startEndpoint(t testing.TB, all map[string]*standin.Endpoint, cfg standin.Config) {
	t.Helper()
	cfg.Servers, cfg.Journal = c.Servers(), c.Journal.Add
	e, err := standin.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	all[cfg.Name] = e
}

// Endpoints returns the endpoints of the whole cell, or nil if no process gives a
// complete answer.
func (c *Cluster) Endpoints() []state.Endpoint {
	for _, p := range c.Processes {
		status, body := p.Get(protocol.PathEndpoints)
		var l protocol.EndpointList
		if status == http.StatusOK && json.Unmarshal(body, &l) == nil && len(l.Unreachable) == 0 {
			return l.Endpoints
		}
	}
	return nil
}

// Apply applies the configuration of a deployment and waits until a configuration is
// in force on every process.
func (c *Cluster) Apply(t testing.TB, d load.Deployment) {
	t.Helper()
	if err := load.NewClient(c.Servers()).ApplyConfiguration(d.Configuration); err != nil {
		t.Fatal(err)
	}
	for _, p := range c.Processes {
		Await(t, p.Name+" has the configuration", func() bool {
			s := p.Status()
			return s != nil && s.Configuration > 0
		})
	}
}
