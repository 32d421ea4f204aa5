package ingress

import "time"

// Limits bound what the clients of a process can make it hold.
type Limits struct {
	Connections int   // open connections of one listener
	BodyBytes   int64 // bytes of request bodies that are being received or handled, all listeners together
}

const (
	// connectionsPerMB is the number of connections for each MiB of the process's memory. A
	// connection costs up to 100 KiB with its goroutine and the kernel's buffers.
	connectionsPerMB = 2
	// bodyShare is the inverse share of the process's memory for request bodies. What decoding
	// them needs on top is charged as well (decodingFactor).
	bodyShare = 8
	// defaultMemoryMB stands for the memory of a process without a limit.
	defaultMemoryMB = 512
)

// DefaultLimits returns the limits for a process with a memory limit in MiB, 0 for none.
func DefaultLimits(memoryMB int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return Limits{Connections: connectionsPerMB * memoryMB, BodyBytes: int64(memoryMB) << 20 / bodyShare}
}

const (
	// smallBytes is the size up to which a body counts as small. A part of the budget is kept for
	// small bodies, so that large ones cannot make a process refuse ordinary calls.
	smallBytes = 16 << 10
	// smallShare is the inverse share of the budget that is kept for small bodies. With
	// connectionsPerMB it suffices for a small body on each connection.
	smallShare = 4
	// decodingFactor is the memory that a large body needs while it is decoded and forwarded, as a
	// multiple of its size.
	decodingFactor = 3
	// readBufferBytes bounds what the kernel keeps of a connection that is not read.
	readBufferBytes = 32 << 10
	// writeBufferBytes bounds what the kernel keeps of answers that are not read.
	writeBufferBytes = 64 << 10
	// stalledAfter is the time without an end of a header, a body or a write after which a
	// connection may be closed to make room for another client.
	stalledAfter = time.Second
	// bodyTimeout and minBodyRate bound the time for a body: bodyTimeout, and a second more for each
	// minBodyRate bytes that have arrived.
	bodyTimeout = 5 * time.Second
	minBodyRate = 16 << 10
	// retryAfterSeconds is sent with refusals. Stalled requests are closed within a second.
	retryAfterSeconds = "1"
)
