// Package coordinationtest drives coordination.Node in virtual time, for tests of
// the guarantees in docs/design.md 1.1. A World holds several nodes and small fakes
// of what surrounds them: network, disks, clocks, endpoints, callers and operators.
// It carries out the effects of the nodes, injects faults and checks invariants
// after every step. One seed determines a whole history.
package coordinationtest
