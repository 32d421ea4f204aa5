// Command standin plays one case of the review: it starts the processes of the system and the
// stand-ins of clients, runners, the operator and the platform, and judges what they have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Results of a case, as exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// Play is what a case works with.
type Play struct {
	*Record
	Trouble bool // false: the same without the disruption
	Fleet   *Fleet
	Cloud   *Cloud
	Cluster *Cluster
	Client  *Client
}

var cases = map[string]func(*Play) int{
	"route": playRoute, "gang": playGang, "cap": playCap, "wave": playWave,
	"life": playLife, "answer": playAnswer, "leave": playLeave, "backfill": playBackfill, "deregister": playDeregister, "quarantine": playQuarantine,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(failed)
	}
	rec, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	os.Exit(run(rec, cases[os.Args[1]]))
}

func run(rec *Record, play func(*Play) int) int {
	p := &Play{Record: rec, Trouble: os.Getenv("TROUBLE") != "0", Fleet: NewFleet(rec)}
	rec.Printf("trouble: %v", p.Trouble)
	var err error
	if p.Cloud, err = StartCloud(rec, p.Fleet); err != nil {
		rec.Printf("the case cannot run: %v", err)
		return failed
	}
	p.Cluster, err = StartCluster(rec, p.Cloud.Address)
	if p.Cluster != nil {
		defer p.Cluster.Stop(os.Getenv("KEEP_LOGS"))
	}
	if err != nil {
		rec.Printf("the case cannot run: %v", err)
		return failed
	}
	for _, m := range p.Cluster.Members {
		p.Fleet.control = append(p.Fleet.control, m.ControlAddress())
	}
	p.Client = NewClient(rec, p.Cluster)

	result := make(chan int, 1)
	go func() { result <- play(p) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	code := failed
	select {
	case code = <-result:
	case <-stopped:
		rec.Printf("stopped by a signal")
	case <-time.After(110 * time.Second):
		rec.Printf("the case did not end in time")
	}
	rec.Printf("result: %d", code)
	return code
}

// cannotRun records why a case could not run.
func (p *Play) cannotRun(why string) int {
	p.Printf("the case cannot run: %s", why)
	return failed
}

// addRunners starts n runners of a service, spread over the zones.
func (p *Play) addRunners(service, name string, n int) bool {
	for i := range n {
		machine := fmt.Sprintf("m-%s%02d", name, i)
		if err := p.Fleet.Add(machine+"-1", machine, service, zones[i%len(zones)]); err != nil {
			p.Printf("runner: %v", err)
			return false
		}
	}
	return true
}

// serves waits until jobs of a route complete.
func (p *Play) serves(prefix string) bool {
	j := p.Fleet.NewJob(Step{Count: 1, CPU: 500, MemMB: 256, EstimateMS: 100})
	if !p.Client.Submit(prefix, j) {
		return false
	}
	return p.awaitState(prefix, j, "completed", 15*time.Second)
}

func (p *Play) awaitState(prefix string, j *Job, want string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if state, _ := p.Client.State(prefix, j); state == want {
			return true
		}
	}
	return false
}
