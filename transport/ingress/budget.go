package ingress

import "sync"

// Budget is the number of bytes that request bodies may use in a process.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// charge is what one request uses of a budget.
type charge struct {
	budget *Budget
	bytes  int64
}

// cost returns the charge for a buffer of a number of bytes.
func cost(size int) int64 {
	if size <= smallBytes {
		return int64(size)
	}
	return int64(size) * decodingFactor
}

// resize changes a charge to that of a buffer of a number of bytes. It reports false, and changes
// nothing, if the budget does not suffice. Large bodies leave a part of the budget to small ones. A
// request is never refused while no other uses the budget.
func (c *charge) resize(size int) bool {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	limit, want := b.limit, cost(size)
	if size > smallBytes {
		limit -= limit / smallShare
	}
	others := b.used - c.bytes
	if others > 0 && others+want > limit && want > c.bytes {
		return false
	}
	b.used += want - c.bytes
	c.bytes = want
	return true
}

func (c *charge) release() { c.resize(0) }
