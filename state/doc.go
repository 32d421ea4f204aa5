// Package state holds the records of the scheduler and the checks made at each
// change to them. It has no clock, no sockets and no policy: every change is a
// Command, and Apply either performs it or rejects it, in the same way on every
// replica.
//
// Records are immutable once stored. Apply replaces a record instead of writing
// to it, so a shallow copy of the indexes is a consistent snapshot that other
// goroutines may read.
package state
