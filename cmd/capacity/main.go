// Command capacity measures the cost of each endpoint, request and configuration change
// to the processes of a cell. It prints the values at three sizes and their increase for
// each unit (the slope), from which the figures of docs/CAPACITY.md are calculated. The
// numbers of log entries and messages and their encoded sizes are the same on every run.
// Times and heap sizes are measured, and bytes over HTTP may differ slightly between runs.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Println("| measurement | 50 | 200 | 1,500 | slope |")
	fmt.Println("|---|---|---|---|---|")
	for _, m := range []func() (row, error){
		heapOfEndpoints, heapOfRecords, heapOfScheduler,
		heartbeatTime, heartbeatBytes, heartbeatProcessorTime, deliveryBytes,
		requestTime, requestEntries, requestLogBytes, requestPeerBytes,
		idleMessages, idleBytes,
		changeBytes, snapshotTime, restartTime,
	} {
		r, err := m()
		if err != nil {
			fmt.Fprintln(os.Stderr, "capacity:", err)
			os.Exit(1)
		}
		fmt.Println(r)
	}
}

// sizes are the numbers of endpoints, or of the unit that the row names, at which each
// measurement is made.
var sizes = [3]int{50, 200, 1500}

// row is one line of the table: the values at the three sizes and the formatted slope.
type row struct {
	name  string
	at    [3]float64
	slope string
}

func (r row) String() string {
	return fmt.Sprintf("| %s | %s | %s | %s | %s |", r.name, number(r.at[0]), number(r.at[1]), number(r.at[2]), r.slope)
}

func number(v float64) string {
	switch {
	case v >= 1000:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.2f", v)
	}
}

// perUnit returns the increase for each unit between the smallest and the largest
// size.
func perUnit(at [3]float64) float64 { return (at[2] - at[0]) / float64(sizes[2]-sizes[0]) }

// measure fills a row by calling f at each size.
func measure(name, slopeFormat string, f func(n int) (float64, error)) (row, error) {
	r := row{name: name}
	for i, n := range sizes {
		v, err := f(n)
		if err != nil {
			return r, fmt.Errorf("%s at %d: %w", name, n, err)
		}
		r.at[i] = v
	}
	r.slope = fmt.Sprintf(slopeFormat, perUnit(r.at))
	return r, nil
}
