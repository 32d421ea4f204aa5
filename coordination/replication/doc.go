// Package replication is the consensus of one replication group: elections, log
// replication, leases, membership changes and bootstrap, as a state machine
// without I/O, clock or goroutines (docs/design.md, section 3).
//
// The caller owns a Group from one goroutine. After every call that may change
// it (Step, Tick, Propose, Persisted, ...) the caller takes Ready, saves what it
// contains, sends the messages and applies the committed entries, and reports
// the end of the save with Persisted. Times are monotonic, since process start.
package replication
