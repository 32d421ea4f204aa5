package load

import (
	"sync"
	"time"
)

// SubmitAll submits count requests of each kind, spread evenly over a time, and waits for
// all outcomes.
func SubmitAll(c *Client, kinds []Kind, count int, spread time.Duration) []Outcome {
	out := make([]Outcome, count*len(kinds))
	var wg sync.WaitGroup
	for i := range out {
		k := kinds[i%len(kinds)]
		delay := spread * time.Duration(i) / time.Duration(len(out))
		wg.Go(func() {
			time.Sleep(delay)
			out[i] = c.Run(k)
		})
	}
	wg.Wait()
	return out
}

// SubmitInBackground submits requests of the given kinds in several goroutines, each
// with one request at a time, until stop is closed. The returned function waits for the
// goroutines and returns all outcomes.
func SubmitInBackground(c *Client, kinds []Kind, callers int, stop <-chan struct{}) func() []Outcome {
	var mu sync.Mutex
	var out []Outcome
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := i; !isClosed(stop); n++ {
				o := c.Run(kinds[n%len(kinds)])
				mu.Lock()
				out = append(out, o)
				mu.Unlock()
			}
		})
	}
	return func() []Outcome {
		wg.Wait()
		return out
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
