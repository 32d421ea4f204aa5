package coordinationtest

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// Guards against a simulation that depends on more than its seed, such as the order of
// a map iteration, which makes a failure impossible to reproduce.
func TestSeedDeterminesHistory(t *testing.T) {
	t.Parallel()
	run := func() (*Simulation, error) {
		return history(Options{Seed: 7, Drift: 0.1}, 200*time.Millisecond, time.Second, 10*time.Second, AllFaults()...)
	}
	a, errA := run()
	b, errB := run()
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	if a.Steps != b.Steps || a.Checks.Executions != b.Checks.Executions {
		t.Fatalf("%d steps and %d executions, then %d and %d", a.Steps, a.Checks.Executions, b.Steps, b.Checks.Executions)
	}
}

// Guards against violated guarantees that only a combination of several kinds of faults
// causes, out of all failures of docs/design.md 1.5.
func TestMixedFaults(t *testing.T) {
	property(t, 100, 4, func(seed uint64) (*Simulation, error) {
		return history(Options{Seed: seed, Drift: 0.1}, 150*time.Millisecond, 1500*time.Millisecond, 60*time.Second, AllFaults()...)
	})
}

const (
	loadEvery  = 150 * time.Millisecond
	faultEvery = 1500 * time.Millisecond
)

// Guards against lost or repeated work when processes crash, lose their disks, pause,
// shut down or have failing disks.
func TestProcessFaults(t *testing.T) {
	property(t, 1000, 3, func(seed uint64) (*Simulation, error) {
		o := Options{Seed: seed, Drift: 0.1, Diskless: int(seed % 4)}
		return history(o, loadEvery, 2*time.Second, 60*time.Second, CrashProcess, WipeProcess, PauseProcess, StopProcess, FailDisk)
	})
}

// Guards against guarantees that network faults violate: one-way and two-way cuts,
// isolated domains, and messages that are lost, duplicated or delayed by up to 15 s.
func TestNetworkFaults(t *testing.T) {
	property(t, 2000, 3, func(seed uint64) (*Simulation, error) {
		return history(Options{Seed: seed, Drift: 0.1}, loadEvery, faultEvery, 60*time.Second, CutOneWay, CutBothWays, IsolateDomain, LossyNetwork, SlowNetwork)
	})
}

// Guards against guarantees that endpoints violate when they are disconnected, restart,
// leave, are drained, fail all work or are slow, while messages are delayed beyond the
// leases.
func TestEndpointFaults(t *testing.T) {
	property(t, 3000, 3, func(seed uint64) (*Simulation, error) {
		return history(Options{Seed: seed, Drift: 0.1}, loadEvery, time.Second, 60*time.Second, DisconnectEndpoint, DisconnectEndpoint, RestartEndpoint, LeaveEndpoint, DrainEndpoint, FailingEndpoint, SlowEndpoint, SlowNetwork)
	})
}

// Guards against violated guarantees when processes crash while a failure domain is
// isolated.
func TestDomainIsolationAndCrashes(t *testing.T) {
	property(t, 4000, 3, func(seed uint64) (*Simulation, error) {
		return history(Options{Seed: seed, Drift: 0.1}, loadEvery, faultEvery, 60*time.Second, IsolateDomain, CrashProcess)
	})
}

// Guards against violated guarantees in the smallest cell: one domain with three
// processes, one of them without a disk, one runner and one worker.
func TestSmallCell(t *testing.T) {
	property(t, 5000, 4, func(seed uint64) (*Simulation, error) {
		o := Options{Seed: seed, Drift: 0.1, Domains: 1, PerDomain: 3, Diskless: 1, Workers: 1, Runners: 1}
		return history(o, loadEvery, faultEvery, 60*time.Second, AllFaults()...)
	})
}

// Guards against lost requests if a second process loses its disk as soon as the
// groups have added the first one as a voter again.
func TestSecondDiskLossAfterRejoin(t *testing.T) {
	property(t, 6000, 4, func(seed uint64) (*Simulation, error) {
		sim := New(Options{Seed: seed, Drift: 0.1})
		if err := sim.Initialize(); err != nil {
			return sim, err
		}
		sim.StartLoad(loadEvery, 3*time.Second)
		for i := range 2 * len(sim.Processes) {
			p := sim.Processes[(i+int(seed))%len(sim.Processes)]
			if ok, err := sim.RunWhile(30*time.Second, func() bool { return !sim.CanLoseState(p) }); err != nil || !ok {
				return sim, errors.Join(err, fmt.Errorf("process %s is not a voter again after 30 s%s", p.Peer.Name, sim.incompleteGroups()))
			}
			p.Crash(true)
			sim.After(sim.randomBetween(0, 2*time.Second), p.Start)
			if err := sim.RunFor(sim.randomBetween(10*time.Millisecond, 3*time.Second)); err != nil {
				return sim, err
			}
		}
		return sim, sim.Settle()
	})
}
