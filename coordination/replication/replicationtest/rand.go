package replicationtest

import "time"

// Rand is a seeded generator (SplitMix64). It is not for cryptography.
type Rand struct{ state uint64 }

// NewRand returns a generator whose sequence depends only on the seed.
func NewRand(seed uint64) *Rand { return &Rand{seed} }

// Uint64 returns the next number.
func (r *Rand) Uint64() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Intn returns a number in [0, n).
func (r *Rand) Intn(n int) int { return int(r.Uint64() % uint64(n)) }

// Float64 returns a number in [0, 1).
func (r *Rand) Float64() float64 { return float64(r.Uint64()>>11) / (1 << 53) }

// Between returns a duration in [lo, hi].
func (r *Rand) Between(lo, hi time.Duration) time.Duration {
	if hi <= lo {
		return lo
	}
	return lo + time.Duration(r.Uint64()%uint64(hi-lo+1))
}
