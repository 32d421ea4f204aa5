// Package coordinationtest drives coordination.Node in virtual time, to test the
// guarantees of docs/design.md 1.1. A Simulation holds several nodes and simulated
// networks, disks, clocks, endpoints, callers and operators. It executes the effects
// of the nodes, injects faults and checks the invariants after every step. One seed
// determines a whole history.
package coordinationtest
