// Package state holds the replicated records of the scheduler and checks the
// preconditions of each change to them. It has no clock, no sockets and no scheduling
// policy: every change is a Command, and Apply either performs it or rejects it, with
// the same result on every replica.
//
// Records are immutable once stored. Apply replaces a record instead of modifying
// it, so a shallow copy of the indexes is a consistent snapshot that other
// goroutines may read.
package state
