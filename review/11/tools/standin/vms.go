package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is the time until a new runner joins after an upkeep.
const upkeepTime = 2 * time.Second

// vmOrder is an order for one machine, as the platform has received it.
type vmOrder struct {
	at      float64
	machine string
	holder  string
	token   uint64
	status  int
}

// vmService stands in for the platform's machines. It does not check fencing tokens.
type vmService struct {
	c       *cluster
	address string
	mu      sync.Mutex
	done    map[string]bool // machine/wave
	until   map[string]time.Time
	orders  []vmOrder
	seen    chan vmOrder
}

func newVMService(c *cluster) (*vmService, error) {
	s := &vmService{c: c, address: c.addr(200, vmPort), done: map[string]bool{}, until: map[string]time.Time{}, seen: make(chan vmOrder, 1000)}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /machine-upkeep", s.upkeep)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *vmService) upkeep(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	o := vmOrder{machine: b.Machine, holder: r.Header.Get("Duty-Holder"), token: token}
	s.mu.Lock()
	key := b.Machine + "/" + strconv.Itoa(b.Wave)
	run := s.c.runner(b.Machine)
	switch {
	case s.done[key]:
		o.status = http.StatusOK
	case run == nil || run.isDraining() || time.Now().Before(s.until[b.Machine]):
		o.status = http.StatusConflict
	default:
		o.status = http.StatusOK
		s.done[key] = true
		s.until[b.Machine] = time.Now().Add(upkeepTime)
		go s.c.restartRunner(run, upkeepTime)
	}
	o.at = s.c.rec.add("platform: upkeep of %s, holder %s, token %d: %d", o.machine, o.holder, o.token, o.status)
	s.orders = append(s.orders, o)
	s.mu.Unlock()
	s.seen <- o
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(o.status)
	if o.status == http.StatusConflict {
		_, _ = w.Write([]byte(`{"reason":"busy"}`))
	} else {
		_, _ = w.Write([]byte(`{}`))
	}
}
