package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Job is a submission.
type Job struct {
	ID    string `json:"-"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`

	FailsAfter time.Duration `json:"-"` // time after which each task fails, 0 for never
}

// Step is a step of a job.
type Step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	MemMB      int    `json:"memMb"`
	EstimateMS int    `json:"estimateMs,omitempty"`
	Gang       bool   `json:"gang,omitempty"`
	Perpetual  bool   `json:"perpetual,omitempty"`
	MayMiss    int    `json:"mayMiss,omitempty"`
	Image      string `json:"image,omitempty"`
	PerRunner  int    `json:"antiAffinity,omitempty"`
	Label      string `json:"requiredLabel,omitempty"`
	DataRack   string `json:"dataRack,omitempty"`
}

// NewJob returns a job with a new ID. The runners know how its tasks behave.
func (f *Fleet) NewJob(steps ...Step) *Job {
	id := fmt.Sprintf("%016x", rand.Uint64())
	j := &Job{ID: id, Spec: "spec of " + id, Steps: steps}
	f.mu.Lock()
	f.jobs[id] = j
	f.mu.Unlock()
	return j
}

// taskParts returns the parts of the name of a task.
func taskParts(task string) (id string, occurrence, step, index int) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return "", 0, 0, 0
	}
	occurrence, _ = strconv.Atoi(p[1])
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], occurrence, step, index
}

const host = "jobs.example"

// Client calls the system as clients and the operator do.
type Client struct {
	rec  *Record
	c    *Cluster
	http *http.Client
	next int
}

// NewClient returns a client of a cluster.
func NewClient(rec *Record, c *Cluster) *Client {
	return &Client{rec: rec, c: c, http: &http.Client{Timeout: 3 * time.Second}}
}

func (c *Client) call(method, address, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Time-Budget", "2500")
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, data
}

// Front makes a call at the front machines in turn until one answers other than 429 or 5xx, at
// most for a time.
func (c *Client) Front(method, path string, body []byte, patience time.Duration) (int, []byte) {
	for end := time.Now().Add(patience); ; {
		p := c.c.Fronts[c.next%len(c.c.Fronts)]
		c.next++
		status, data := c.call(method, p.FrontAddress(), path, body)
		if status != 0 && status != http.StatusTooManyRequests && status < 500 || time.Now().After(end) {
			c.rec.Printf("client: %s %s at %s -> %d %s", method, path, p.Name, status, bytes.TrimSpace(data))
			return status, data
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Submit hands a job in and reports whether it was accepted.
func (c *Client) Submit(prefix string, j *Job) bool {
	body, err := json.Marshal(j)
	if err != nil {
		return false
	}
	status, _ := c.Front(http.MethodPost, prefix+j.ID, body, 10*time.Second)
	return status/100 == 2
}

// State returns the state of a job, or "" with the status of the answer.
func (c *Client) State(prefix string, j *Job) (string, int) {
	status, data := c.Front(http.MethodGet, prefix+j.ID, nil, 3*time.Second)
	var a struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &a) != nil {
		return "", status
	}
	return a.State, status
}

// Control makes a call at the core machines in turn until it is answered with 2xx or a code that
// ends a call of the operator, at most for a time.
func (c *Client) Control(method, path string, body []byte, patience time.Duration) (int, []byte) {
	for end := time.Now().Add(patience); ; {
		p := c.c.Members[c.next%len(c.c.Members)]
		c.next++
		status, data := c.call(method, p.ControlAddress(), path, body)
		if status != 0 && status < 500 || time.Now().After(end) {
			c.rec.Printf("operator: %s %s at %s -> %d %s", method, path, p.Name, status, bytes.TrimSpace(data[:min(len(data), 200)]))
			return status, data
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Route is a route of a configuration.
type Route struct {
	Name, Prefix, Service string
	Priority, MaxAttempts int
}

// Configure sends a configuration and reports whether it was acknowledged.
func (c *Client) Configure(version int, services []string, routes ...Route) bool {
	type m = map[string]any
	var rs, ss []m
	for _, r := range routes {
		rs = append(rs, m{
			"name": r.Name, "host": host, "pathPrefix": r.Prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000,
			"priority": r.Priority, "service": r.Service, "maxAttempts": r.MaxAttempts, "stretch": 2.2,
		})
	}
	for _, s := range services {
		ss = append(ss, m{"name": s, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "spare": false})
	}
	body, err := json.Marshal(m{
		"version": version, "routes": rs, "services": ss,
		"limits": m{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return false
	}
	c.rec.Printf("operator: sends configuration %d with the routes %+v", version, routes)
	status, _ := c.Control(http.MethodPut, "/config", body, 20*time.Second)
	return status == http.StatusOK
}
