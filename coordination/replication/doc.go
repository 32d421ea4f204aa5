// Package replication implements the Raft consensus of one replication group:
// elections, log replication, leader leases, membership changes and bootstrap. It
// is a state machine without I/O, clock or goroutines (docs/design.md, section 3).
//
// The caller uses a Group from a single goroutine. After every call that may
// change it (Step, Tick, Propose, Persisted, ...) the caller takes Ready, saves its
// contents, sends the messages, applies the committed entries, and calls Persisted
// when the save is complete. Times are monotonic and count from the process start.
package replication
