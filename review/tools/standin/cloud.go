package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Cloud is the platform's service for machines.
type Cloud struct {
	mu       sync.Mutex
	rec      *Record
	f        *Fleet
	Address  string
	lives    map[string]int       // number of lives, by machine
	downTill map[string]time.Time // by machine
	done     map[string]int       // wave of the last upkeep, by machine
	waves    map[int][]string     // machines by wave
	caps     map[int]int          // by wave
	Broken   []string             // breaks of the rule LIMIT
	Upkeeps  int                  // upkeeps that have begun
	Stall    time.Duration        // from the next call on, for which calls are carried out and not answered
	stalled  time.Time            // end of that time, zero before it begins
	OnUpkeep func(machine, holder string, token uint64)
}

// StartCloud starts the service.
func StartCloud(rec *Record, f *Fleet) (*Cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cloud{
		rec: rec, f: f, Address: l.Addr().String(), lives: map[string]int{}, downTill: map[string]time.Time{}, done: map[string]int{},
		waves: map[int][]string{}, caps: map[int]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /machine-upkeep", c.upkeep)
	go func() { _ = http.Serve(l, mux) }() // ends with the process
	return c, nil
}

// Expect tells the service about a wave that the operator asks for.
func (c *Cloud) Expect(wave, limit int, machines []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waves[wave], c.caps[wave] = machines, limit
}

func (c *Cloud) upkeep(w http.ResponseWriter, q *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(q.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(q.Header.Get("Fencing-Token"), 10, 64)
	holder := q.Header.Get("Duty-Holder")
	status, reason := c.carryOut(body.Machine, body.Wave, holder, token)
	if wait := c.stall(); wait > 0 {
		select {
		case <-time.After(wait):
			c.rec.Printf("platform: answers now")
		case <-q.Context().Done():
			c.rec.Printf("platform: the caller has given up")
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"reason": reason}) // an error means that the caller has gone
	if status == http.StatusOK && c.OnUpkeep != nil {
		go c.OnUpkeep(body.Machine, holder, token)
	}
}

// stall returns the time for which an answer has to wait.
func (c *Cloud) stall() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Stall > 0 {
		c.rec.Printf("disruption: the platform answers nothing for %v", c.Stall)
		c.stalled, c.Stall = time.Now().Add(c.Stall), 0
	}
	return time.Until(c.stalled)
}

func (c *Cloud) carryOut(machine string, wave int, holder string, token uint64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() {
		c.rec.Printf("platform: upkeep of %s for wave %d by %s, token %d -> %d %s", machine, wave, holder, token, status, reason)
	}()
	now := time.Now()
	switch {
	case !slices.Contains(c.waves[wave], machine):
		return http.StatusConflict, "wave"
	case c.done[machine] == wave:
		return http.StatusOK, "" // it is done already
	case now.Before(c.downTill[machine]):
		return http.StatusConflict, "busy"
	}
	var down []string
	for _, m := range c.waves[wave] {
		if c.done[m] == wave && now.Before(c.downTill[m]) {
			down = append(down, m)
		}
	}
	if len(down) >= c.caps[wave] {
		c.Broken = append(c.Broken, fmt.Sprintf("the upkeep of %s begins while %v of its wave are down and the cap is %d", machine, down, c.caps[wave]))
		c.rec.Printf("RULE LIMIT is broken: %s", c.Broken[len(c.Broken)-1])
	}
	c.done[machine], c.downTill[machine] = wave, now.Add(upkeepTime)
	c.Upkeeps++
	for _, r := range c.f.live() {
		if r.Machine != machine {
			continue
		}
		r.Leave("ended by the upkeep")
		c.lives[machine]++
		id, address := fmt.Sprintf("%s-%d", machine, c.lives[machine]+1), r.listener.Addr().String()
		time.AfterFunc(upkeepTime, func() {
			c.rec.Printf("platform: %s is up again as runner %s", machine, id)
			if err := c.f.add(&Runner{ID: id, Machine: machine, Service: r.Service, Zone: r.Zone, Labels: r.Labels}, address); err != nil {
				c.rec.Printf("platform: %v", err)
			}
		})
	}
	return http.StatusOK, ""
}

func (f *Fleet) live() []*Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Runner
	for _, r := range f.Runners {
		if !r.gone {
			out = append(out, r)
		}
	}
	return out
}
