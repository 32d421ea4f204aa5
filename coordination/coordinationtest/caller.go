package coordinationtest

import (
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// Request is the view that a caller has of one request.
type Request struct {
	Key        state.Key
	Domain     string // home domain of the request
	Submission coordination.Submission
	Repeatable bool
	Class      state.Class
	Accepted   bool // an answer stated that the request is accepted
	NotRun     bool // an answer stated that the request has not run and will not run
	Cancelled  bool // the caller has sent a cancellation
	Outcome    state.Outcome
	Done       bool          // an answer stated a final outcome
	SentAt     time.Duration // simulated time, as AcceptedAt and DoneAt
	AcceptedAt time.Duration
	DoneAt     time.Duration
	starts     map[int]int  // number of executions started, by task
	running    map[int]int  // number of executions running, by task
	completed  map[int]bool // tasks of which an execution has completed
}

// Caller submits requests and polls each until it receives the outcome.
type Caller struct {
	sim      *Simulation
	site     site
	Requests []*Request
	// Cancel is the probability that a request is cancelled, Duplicate that its
	// submission is sent again within 50 ms through a random process, and Waits that a
	// poll for its outcome is a blocking call.
	Cancel, Duplicate, Waits float64
	LocalOnly                bool // send only through processes of the caller's own domain
	stopped                  bool
}

// NewCaller adds a caller in a failure domain.
func (sim *Simulation) NewCaller(domain string) *Caller {
	c := &Caller{sim: sim, site: site{fmt.Sprintf("caller-%d", len(sim.Callers)+1), domain}, Cancel: 0.05, Duplicate: 0.1, Waits: 0.5}
	sim.Callers = append(sim.Callers, c)
	return c
}

// Load submits requests at random times around an interval until Stop.
func (c *Caller) Load(every time.Duration) {
	if c.stopped {
		return
	}
	c.Submit(c.randomSpec())
	c.sim.After(c.sim.randomBetween(every/2, 3*every/2), func() { c.Load(every) })
}

// Stop ends Load. Outstanding requests are still polled.
func (c *Caller) Stop() { c.stopped = true }

// Spec describes a request to submit.
type Spec struct {
	Domain string
	Team   string
	Kind   string
	Tasks  int
	Work   Work
	Size   *state.Resources
}

func (c *Caller) randomSpec() Spec {
	r := c.sim.rng
	s := Spec{Domain: c.site.domain, Team: teams[r.IntN(len(teams))], Kind: kindNames[r.IntN(len(kindNames))], Tasks: 1}
	if s.Kind == "statement" || s.Kind == "gang" {
		s.Tasks = 1 + r.IntN(3)
	}
	s.Work = Work{Run: c.sim.randomBetween(20*time.Millisecond, 1500*time.Millisecond), Fail: r.IntN(20) == 0}
	if r.IntN(10) == 0 {
		s.Work.Run *= 10 // a straggler, or work whose estimated run time is far too short
	}
	return s
}

// Submit sends a new request and polls it until its outcome is final.
func (c *Caller) Submit(s Spec) *Request {
	c.sim.nextID++
	kind := configuration(0).Teams[s.Team].Kinds[s.Kind]
	r := &Request{
		Key:        state.Key{Team: s.Team, ID: state.NewRequestID(s.Domain, c.sim.wallMS()/1000, fmt.Sprintf("r%d", c.sim.nextID))},
		Domain:     s.Domain,
		Submission: coordination.Submission{Kind: s.Kind, Tasks: s.Tasks, PerTask: s.Size, Payload: s.Work.payload(), Digest: uint64(c.sim.nextID)},
		Repeatable: kind.Repeatable, Class: kind.Class, SentAt: c.sim.Now,
		starts: map[int]int{}, running: map[int]int{}, completed: map[int]bool{},
	}
	c.Requests = append(c.Requests, r)
	c.sim.Checks.requests[r.Key] = r
	c.send(r)
	if c.sim.chance(c.Duplicate) {
		c.sim.After(c.sim.randomBetween(0, 50*time.Millisecond), func() { c.sendOnce(r) })
	}
	if c.sim.chance(c.Cancel) {
		c.sim.After(c.sim.randomBetween(0, 2*time.Second), func() { c.CancelRequest(r) })
	}
	return r
}

// entry chooses a random entry process that is running and not shutting down, as the
// load balancer of the platform does. If there is none it chooses among all.
func (c *Caller) entry() *Process {
	var up []*Process
	for _, p := range c.sim.Processes {
		if p.Running() && !p.ShuttingDown && (!c.LocalOnly || p.Peer.Domain == c.site.domain) {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		up = c.sim.Processes
	}
	return up[c.sim.rng.IntN(len(up))]
}

// send resends a submission until it is answered.
func (c *Caller) send(r *Request) {
	if r.Accepted || r.NotRun || r.Done {
		return
	}
	c.sendOnce(r)
	c.sim.After(c.sim.randomBetween(time.Second, 8*time.Second), func() { c.send(r) })
}

func (c *Caller) sendOnce(r *Request) {
	build := func(t coordination.Token, age time.Duration) coordination.Event {
		return coordination.Submit{Token: t, Key: r.Key, Submission: r.Submission, Age: age}
	}
	sent := c.sim.Now
	c.sim.callThrough(c.site, c.entry(), true, build, func(a coordination.Answer) { c.submitted(r, a, sent) })
}

func (c *Caller) submitted(r *Request, a coordination.Answer, sent time.Duration) {
	first := !r.Accepted
	c.sim.Checks.callAnswered(r, a, sent)
	if a.Code == coordination.CodeOK && first {
		r.Accepted, r.AcceptedAt = true, c.sim.Now
		c.follow(r)
	}
}

// follow polls a request until its outcome is final.
func (c *Caller) follow(r *Request) {
	if r.Done || r.NotRun {
		return
	}
	wait := c.sim.chance(c.Waits)
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		return coordination.Lookup{Token: t, Key: r.Key, Wait: wait}
	}
	open, sent := true, c.sim.Now
	next := func(after time.Duration) {
		if open {
			open = false
			c.sim.After(after, func() { c.follow(r) })
		}
	}
	c.sim.callThrough(c.site, c.entry(), !wait, build, func(a coordination.Answer) {
		c.sim.Checks.callAnswered(r, a, sent)
		next(500 * time.Millisecond)
	})
	c.sim.After(5*time.Second, func() { next(0) })
}

// CancelRequest resends a cancellation until an answer other than "unavailable" arrives or
// the request has a final outcome.
func (c *Caller) CancelRequest(r *Request) {
	r.Cancelled = true
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		return coordination.CancelRequest{Token: t, Key: r.Key, Actor: c.site.name}
	}
	open, sent := true, c.sim.Now
	c.sim.callThrough(c.site, c.entry(), true, build, func(a coordination.Answer) {
		open = open && a.Code == coordination.CodeUnavailable
		c.sim.Checks.callAnswered(r, a, sent)
	})
	c.sim.After(6*time.Second, func() {
		if open && !r.Done && !r.NotRun {
			c.CancelRequest(r)
		}
	})
}
