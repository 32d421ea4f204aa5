package coordinationtest

import (
	"errors"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// startLimit is the longest time that a simulation without faults needs until all
// groups have leaders, and then until the configuration and all endpoints are known.
const startLimit = 20 * time.Second

// Initialize waits until all groups have leaders, applies a configuration and waits
// until all endpoints are registered.
func (sim *Simulation) Initialize() error {
	o := sim.NewOperator(sim.domains[0])
	if ok, err := sim.RunWhile(startLimit, func() bool { return !sim.allGroupsHaveLeaders() }); err != nil || !ok {
		return errors.Join(err, errors.New("a group has no leader at the start"))
	}
	applied := false
	o.Change(0, func(r state.ConfigureResult) { applied = r.Applied })
	if ok, err := sim.RunWhile(startLimit, func() bool { return !applied || !sim.allDomainsReady() }); err != nil || !ok {
		return errors.Join(err, errors.New("a domain lacks the configuration or an endpoint at the start"))
	}
	return nil
}

func (sim *Simulation) groups() []string {
	groups := []string{"cell"}
	for _, d := range sim.domains {
		groups = append(groups, "domain-"+d)
	}
	return groups
}

func (sim *Simulation) allGroupsHaveLeaders() bool {
	for _, g := range sim.groups() {
		if sim.Leader(g) == nil {
			return false
		}
	}
	return true
}

// allDomainsReady reports whether every domain has a configuration and all its
// endpoints.
func (sim *Simulation) allDomainsReady() bool {
	for _, p := range sim.Processes {
		for _, v := range p.node.Views(p.clock().Now) {
			if v.Domain != nil && (v.Domain.Configuration().Version == 0 || v.Domain.EndpointCount() < sim.options.Runners+sim.options.Workers) {
				return false
			}
		}
	}
	return true
}

// StartLoad adds a caller in each domain that submits requests. If changes is
// positive, two operators change the configuration around that interval.
func (sim *Simulation) StartLoad(requests, changes time.Duration) {
	for _, d := range sim.domains {
		c := sim.NewCaller(d)
		c.Load(requests)
	}
	if changes > 0 {
		sim.Operators[0].Load(changes)
		sim.NewOperator(sim.domains[len(sim.domains)-1]).Load(changes)
	}
}
