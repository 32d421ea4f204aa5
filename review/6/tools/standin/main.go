// Command standin plays the cases of the review that are scripts: it starts the project's own programs
// on loopback addresses and plays runners, clients and the platform around them. It exits with 1 if the
// rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(p *platform, trouble bool) (verdict, error){
	"elsewhere": elsewhere,
	"zone":      zoneLost,
	"withheld":  withheld,
	"upkeep":    upkeepBesideCrash,
	"configs":   manyConfigurations,
	"first":     firstTask,
	"copy":      lateCopy,
	"endlost":   endIsLost,
}

const timeLimit = 115 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE PROGRAM RECORD")
		return 2
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	p, err := newPlatform(rec, os.Args[2])
	if err != nil {
		rec.say("the case could not run: %v", err)
		return 2
	}
	defer p.close()
	type result struct {
		v   verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := cases[os.Args[1]](p, os.Getenv("TROUBLE") != "0")
		done <- result{v, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case s := <-interrupted:
		rec.say("the case could not run: %v", s)
		return 2
	case r := <-done:
		if r.err != nil {
			rec.say("the case could not run: %v", r.err)
			return 2
		}
		rec.say("%s", r.v.text)
		if r.v.broken {
			rec.say("RULE BROKEN")
			return 1
		}
		rec.say("rule held")
		return 0
	case <-time.After(timeLimit):
		rec.say("the case could not run: it takes longer than %s", timeLimit)
		return 2
	}
}
