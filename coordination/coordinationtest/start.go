package coordinationtest

import (
	"errors"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// startLimit bounds the time in which a fault-free world becomes ready.
const startLimit = 20 * time.Second

// Begin waits for the groups, puts a configuration in force and waits for the
// endpoints.
func (w *World) Begin() error {
	o := w.NewOperator(w.domains[0])
	if ok, err := w.RunWhile(startLimit, func() bool { return !w.allLed() }); err != nil || !ok {
		return errors.Join(err, errors.New("some group has no leader"))
	}
	applied := false
	o.Change(0, func(r state.ConfigureResult) { applied = r.Applied })
	if ok, err := w.RunWhile(startLimit, func() bool { return !applied || !w.allReady() }); err != nil || !ok {
		return errors.Join(err, errors.New("the configuration or an endpoint is missing"))
	}
	return nil
}

func (w *World) groups() []string {
	groups := []string{"cell"}
	for _, d := range w.domains {
		groups = append(groups, "domain-"+d)
	}
	return groups
}

func (w *World) allLed() bool {
	for _, g := range w.groups() {
		if w.Leader(g) == nil {
			return false
		}
	}
	return true
}

// allReady reports whether every domain has its endpoints and a configuration.
func (w *World) allReady() bool {
	for _, p := range w.Processes {
		for _, v := range p.node.Views(p.clock().Now) {
			if v.Domain != nil && (v.Domain.Configuration().Version == 0 || v.Domain.EndpointCount() < w.opt.Runners+w.opt.Workers) {
				return false
			}
		}
	}
	return true
}

// StartLoad adds one caller for each domain and an operator.
func (w *World) StartLoad(requests, changes time.Duration) {
	for _, d := range w.domains {
		c := w.NewCaller(d)
		c.Load(requests)
	}
	if changes > 0 {
		w.Operators[0].Load(changes)
		w.NewOperator(w.domains[len(w.domains)-1]).Load(changes)
	}
}
