package coordinationtest

import (
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// Request is one request as its caller knows it.
type Request struct {
	Key        state.Key
	Domain     string // home
	Submission coordination.Submission
	Repeatable bool
	Class      state.Class
	Accepted   bool // the caller was told so
	NotRun     bool // the caller was told that it did not and will not run
	Cancelled  bool // the caller asked for it
	Outcome    state.Outcome
	Done       bool // the caller knows a final outcome
	SentAt     time.Duration
	AcceptedAt time.Duration
	DoneAt     time.Duration
	starts     map[int]int // executions started, by task
	running    map[int]int // executions under way, by task
	completed  map[int]bool
}

// Caller submits requests and follows each until it knows the outcome.
type Caller struct {
	w        *World
	site     site
	Requests []*Request
	// Cancel is the probability that a request is cancelled, Duplicate that it is
	// submitted through two processes at once, Waits that its outcome is awaited by
	// a blocking call.
	Cancel, Duplicate, Waits float64
	Local                    bool // only through processes of the caller's own domain
	stopped                  bool
}

// NewCaller adds a caller in a failure domain.
func (w *World) NewCaller(domain string) *Caller {
	c := &Caller{w: w, site: site{fmt.Sprintf("caller-%d", len(w.Callers)+1), domain}, Cancel: 0.05, Duplicate: 0.1, Waits: 0.5}
	w.Callers = append(w.Callers, c)
	return c
}

// Load submits requests at random times around an interval until Stop.
func (c *Caller) Load(every time.Duration) {
	if c.stopped {
		return
	}
	c.Submit(c.random())
	c.w.After(c.w.between(every/2, 3*every/2), func() { c.Load(every) })
}

// Stop ends Load. Requests under way are followed further.
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

func (c *Caller) random() Spec {
	r := c.w.rng
	s := Spec{Domain: c.site.domain, Team: teams[r.IntN(len(teams))], Kind: kindNames[r.IntN(len(kindNames))], Tasks: 1}
	if s.Kind == "statement" || s.Kind == "gang" {
		s.Tasks = 1 + r.IntN(3)
	}
	s.Work = Work{Run: c.w.between(20*time.Millisecond, 1500*time.Millisecond), Fail: r.IntN(20) == 0}
	if r.IntN(10) == 0 {
		s.Work.Run *= 10 // a straggler, or a badly declared run time
	}
	return s
}

// Submit sends a new request and follows it.
func (c *Caller) Submit(s Spec) *Request {
	c.w.nextID++
	kind := configuration(0).Teams[s.Team].Kinds[s.Kind]
	r := &Request{
		Key:        state.Key{Team: s.Team, ID: state.NewRequestID(s.Domain, c.w.wallMS()/1000, fmt.Sprintf("r%d", c.w.nextID))},
		Domain:     s.Domain,
		Submission: coordination.Submission{Kind: s.Kind, Tasks: s.Tasks, PerTask: s.Size, Payload: s.Work.payload(), Digest: uint64(c.w.nextID)},
		Repeatable: kind.Repeatable, Class: kind.Class, SentAt: c.w.Now,
		starts: map[int]int{}, running: map[int]int{}, completed: map[int]bool{},
	}
	c.Requests = append(c.Requests, r)
	c.w.Checks.requests[r.Key] = r
	c.send(r)
	if c.w.chance(c.Duplicate) {
		c.w.After(c.w.between(0, 50*time.Millisecond), func() { c.sendOnce(r) })
	}
	if c.w.chance(c.Cancel) {
		c.w.After(c.w.between(0, 2*time.Second), func() { c.CancelRequest(r) })
	}
	return r
}

// entry draws an entry process, as the platform's load balancer does among those
// that are ready.
func (c *Caller) entry() *Process {
	var up []*Process
	for _, p := range c.w.Processes {
		if p.Running() && !p.Stopped && (!c.Local || p.Peer.Domain == c.site.domain) {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		up = c.w.Processes
	}
	return up[c.w.rng.IntN(len(up))]
}

// send repeats a submission until it is answered.
func (c *Caller) send(r *Request) {
	if r.Accepted || r.NotRun || r.Done {
		return
	}
	c.sendOnce(r)
	c.w.After(c.w.between(time.Second, 8*time.Second), func() { c.send(r) })
}

func (c *Caller) sendOnce(r *Request) {
	build := func(t coordination.Token, age time.Duration) coordination.Event {
		return coordination.Submit{Token: t, Key: r.Key, Submission: r.Submission, Age: age}
	}
	sent := c.w.Now
	c.w.callThrough(c.site, c.entry(), true, build, func(a coordination.Answer) { c.submitted(r, a, sent) })
}

func (c *Caller) submitted(r *Request, a coordination.Answer, sent time.Duration) {
	first := !r.Accepted
	c.w.Checks.answered(r, a, sent)
	if a.Code == coordination.CodeOK && first {
		r.Accepted, r.AcceptedAt = true, c.w.Now
		c.follow(r)
	}
}

// follow asks for the outcome until it is final.
func (c *Caller) follow(r *Request) {
	if r.Done || r.NotRun {
		return
	}
	wait := c.w.chance(c.Waits)
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		return coordination.Lookup{Token: t, Key: r.Key, Wait: wait}
	}
	open, sent := true, c.w.Now
	next := func(after time.Duration) {
		if open {
			open = false
			c.w.After(after, func() { c.follow(r) })
		}
	}
	c.w.callThrough(c.site, c.entry(), !wait, build, func(a coordination.Answer) {
		c.w.Checks.answered(r, a, sent)
		next(500 * time.Millisecond)
	})
	c.w.After(5*time.Second, func() { next(0) })
}

// CancelRequest asks to cancel a request until it is answered.
func (c *Caller) CancelRequest(r *Request) {
	r.Cancelled = true
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		return coordination.CancelRequest{Token: t, Key: r.Key, Actor: c.site.name}
	}
	open, sent := true, c.w.Now
	c.w.callThrough(c.site, c.entry(), true, build, func(a coordination.Answer) {
		open = open && a.Code == coordination.CodeUnavailable
		c.w.Checks.answered(r, a, sent)
	})
	c.w.After(6*time.Second, func() {
		if open && !r.Done && !r.NotRun {
			c.CancelRequest(r)
		}
	})
}
