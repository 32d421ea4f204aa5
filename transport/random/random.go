// Package random provides the random numbers of the daemons from crypto/rand.
package random

import (
	"crypto/rand"
	"encoding/binary"
)

// Source implements replication.Rand.
type Source struct{}

// Uint64 returns a random number other than 0.
func (Source) Uint64() uint64 { return Uint64() }

// Uint64 returns a random number other than 0.
func Uint64() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never fails, see crypto/rand
		if v := binary.LittleEndian.Uint64(b[:]); v != 0 {
			return v
		}
	}
}
