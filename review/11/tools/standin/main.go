// Command standin3 plays the cases of the third review: it starts the system's own processes,
// stands in for clients, runners, the operator and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// exit codes of a case
const (
	held   = 0
	broken = 1
	cannot = 2
)

var cases = map[string]func(c *cluster, trouble bool) (int, string){
	"late-ack":       lateAck,
	"late-copy":      lateCopy,
	"skipped-upkeep": skippedUpkeep,
	"stale-upkeep":   staleUpkeep,
	"upkeep-gap":     upkeepGap,
}

// maxTime is the longest time that a case may take.
const maxTime = 100 * time.Second

var onStart struct {
	sync.Mutex
	f func(r *runner, t *taskRun)
}

// started reports that a runner has begun a run.
func (c *cluster) started(r *runner, t *taskRun) {
	onStart.Lock()
	defer onStart.Unlock()
	if onStart.f != nil {
		onStart.f(r, t)
	}
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE PROGRAM RECORD")
		os.Exit(cannot)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(cannot)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	c, err := newCluster(rec, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	time.AfterFunc(maxTime, func() {
		rec.add("result %d: the case did not end in time", cannot)
		c.close()
		os.Exit(cannot)
	})
	code, why := play(c, os.Getenv("TROUBLE") != "0")
	rec.add("result %d: %s", code, why)
	fmt.Println(why)
	c.close()
	os.Exit(code)
}
