// Command standin runs the endpoints of one demonstration deployment.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"

	"github.com/primrosereach/primrosereach/demo/standin"
	"github.com/primrosereach/primrosereach/state"
)

func main() {
	servers := flag.String("servers", "", "public addresses of entry processes, separated by commas")
	domains := flag.String("domains", "", "failure domains, separated by commas")
	runners := flag.Int("runners", 4, "runners in each domain")
	workers := flag.Int("workers", 4, "workers in each domain")
	rack := flag.Int("rack", 8, "workers in each rack")
	journal := flag.String("journal", "", "file that gets one JSON line for each start and end of an execution")
	flag.Parse()
	if err := run(strings.Split(*servers, ","), strings.Split(*domains, ","), *runners, *workers, *rack, *journal); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(servers, domains []string, runners, workers, rack int, journal string) error {
	f, err := os.OpenFile(journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	var mu sync.Mutex
	lines := json.NewEncoder(f)
	record := func(x standin.Execution) {
		mu.Lock()
		defer mu.Unlock()
		if err := lines.Encode(x); err != nil {
			fmt.Fprintln(os.Stderr, "journal:", err)
		}
	}
	for _, d := range domains {
		for i := range runners {
			cfg := standin.Config{Name: fmt.Sprintf("%s-runner-%d", d, i), Kind: state.KindRunner, Capacity: state.Resources{Slots: 8}, Speed: speed(i)}
			if err := start(cfg, d, servers, record); err != nil {
				return err
			}
		}
		for i := range workers {
			cfg := standin.Config{
				Name: fmt.Sprintf("%s-worker-%d", d, i), Kind: state.KindWorker, Rack: fmt.Sprintf("%s-rack-%d", d, i/rack),
				Capacity: state.Resources{MilliCores: 64_000, MemoryMB: 256 << 10, Accelerators: i % 2}, Speed: speed(i),
			}
			if err := start(cfg, d, servers, record); err != nil {
				return err
			}
		}
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
	return nil
}

func start(cfg standin.Config, domain string, servers []string, record func(standin.Execution)) error {
	cfg.Domain, cfg.Servers, cfg.Journal = domain, servers, record
	_, err := standin.Start(cfg)
	return err
}

// speed returns the speed of an endpoint, 1 for a typical one. It varies between endpoints,
// as it does between machines bought over many years.
func speed(i int) float64 { return []float64{1, 1.4, 0.7, 0.5}[i%4] }
