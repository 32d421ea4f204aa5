// Command load submits requests of every kind to a demonstration deployment,
// waits for their outcomes and compares them with what the endpoints ran.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func main() {
	servers := flag.String("servers", "", "public addresses of entry processes, separated by commas")
	shape := flag.String("shape", "claims", "claims or mail")
	count := flag.Int("count", 20, "requests of each kind")
	spread := flag.Duration("spread", 8*time.Second, "time over which they are submitted")
	journal := flag.String("journal", "", "journal of the endpoints")
	flag.Parse()
	d, ok := deployments[*shape]
	if !ok {
		fmt.Fprintf(os.Stderr, "load: no shape %q\n", *shape)
		os.Exit(2)
	}
	c := newClient(strings.Split(*servers, ","))
	if err := c.applyConfiguration(d.configuration); err != nil {
		fmt.Fprintln(os.Stderr, "load: apply configuration:", err)
		os.Exit(1)
	}
	outcomes := submitAll(c, d, *count, *spread)
	executions, err := readJournal(*journal)
	if err != nil {
		fmt.Fprintln(os.Stderr, "load: read journal:", err)
		os.Exit(1)
	}
	t := compare(outcomes, executions)
	for i := range outcomes {
		fmt.Println(outcomes[i].String())
	}
	fmt.Printf("%s: accepted %d, completed %d, refused %d, run more than once %d, lost %d\n",
		*shape, t.accepted, t.completed, t.refused, t.doubled, t.lost)
	if t.doubled > 0 || t.lost > 0 {
		os.Exit(1)
	}
}

// submitAll submits count requests of each kind over a time and waits for all
// outcomes.
func submitAll(c *client, d deployment, count int, spread time.Duration) []outcome {
	out := make([]outcome, count*len(d.kinds))
	var wg sync.WaitGroup
	for i := range out {
		k := d.kinds[i%len(d.kinds)]
		delay := spread * time.Duration(i) / time.Duration(len(out))
		wg.Go(func() {
			time.Sleep(delay)
			out[i] = c.run(k)
		})
	}
	wg.Wait()
	return out
}
