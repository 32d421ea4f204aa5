// Command load submits requests of every kind to a demonstration deployment,
// waits for their outcomes and compares them with what the endpoints ran.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/primrosereach/primrosereach/demo/load"
)

func main() {
	servers := flag.String("servers", "", "public addresses of entry processes, separated by commas")
	shape := flag.String("shape", "claims", "claims or mail")
	count := flag.Int("count", 20, "requests of each kind")
	spread := flag.Duration("spread", 8*time.Second, "time over which they are submitted")
	file := flag.String("journal", "", "journal of the endpoints")
	flag.Parse()
	d, ok := load.Deployments[*shape]
	if !ok {
		fmt.Fprintf(os.Stderr, "load: no shape %q\n", *shape)
		os.Exit(2)
	}
	c := load.NewClient(strings.Split(*servers, ","))
	if err := c.ApplyConfiguration(d.Configuration); err != nil {
		fmt.Fprintln(os.Stderr, "load: apply configuration:", err)
		os.Exit(1)
	}
	outcomes := load.SubmitAll(c, d.Kinds, *count, *spread)
	journal, err := load.ReadJournal(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "load: read journal:", err)
		os.Exit(1)
	}
	t := load.Compare(d, outcomes, journal)
	for i := range outcomes {
		fmt.Println(outcomes[i].String())
	}
	fmt.Printf("%s: %s\n", *shape, t)
	if t.Duplicated > 0 || t.Lost > 0 {
		os.Exit(1)
	}
}
