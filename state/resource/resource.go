// Package resource holds amounts of endpoint capacity.
package resource

// Amount is an amount of endpoint capacity.
type Amount struct {
	Slots        int `json:"slots,omitempty"`        // runner slots
	MilliCores   int `json:"milli_cores,omitempty"`  // thousandths of a core
	MemoryMB     int `json:"memory_mb,omitempty"`    // mebibytes
	Accelerators int `json:"accelerators,omitempty"` // whole devices
}

// Add returns r + o.
func (r Amount) Add(o Amount) Amount {
	return Amount{r.Slots + o.Slots, r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o. Fields may become negative.
func (r Amount) Sub(o Amount) Amount {
	return Amount{r.Slots - o.Slots, r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Scale returns n times r.
func (r Amount) Scale(n int) Amount {
	return Amount{r.Slots * n, r.MilliCores * n, r.MemoryMB * n, r.Accelerators * n}
}

// Min returns the smaller of r and o, field by field.
func (r Amount) Min(o Amount) Amount {
	return Amount{min(r.Slots, o.Slots), min(r.MilliCores, o.MilliCores), min(r.MemoryMB, o.MemoryMB), min(r.Accelerators, o.Accelerators)}
}

// Max returns the larger amount of each resource.
func (r Amount) Max(o Amount) Amount {
	return Amount{max(r.Slots, o.Slots), max(r.MilliCores, o.MilliCores), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// FitsIn reports whether every field of r is at most that of free.
func (r Amount) FitsIn(free Amount) bool {
	return r.Slots <= free.Slots && r.MilliCores <= free.MilliCores && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Positive returns r with 0 in place of negative fields.
func (r Amount) Positive() Amount {
	return Amount{max(0, r.Slots), max(0, r.MilliCores), max(0, r.MemoryMB), max(0, r.Accelerators)}
}

// IsNegative reports whether any field is below zero.
func (r Amount) IsNegative() bool {
	return r.Slots < 0 || r.MilliCores < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}
