package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/primrosereach/primrosereach/demo/standin"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// patience is how long the demonstration waits for one outcome.
const patience = 2 * time.Minute

// client calls the entry processes in turn, as a balancer would.
type client struct {
	servers []string
	next    atomic.Uint64
	http    *http.Client
}

func newClient(servers []string) *client {
	return &client{servers: servers, http: &http.Client{Timeout: 40 * time.Second}}
}

// call makes one attempt at the next server. The status is 0 if it did not answer.
func (c *client) call(method, path, team string, body, into any) (status int, text string) {
	server := c.servers[c.next.Add(1)%uint64(len(c.servers))]
	b, err := json.Marshal(body)
	if err != nil {
		return 0, err.Error()
	}
	req, err := http.NewRequest(method, "http://"+server+path, bytes.NewReader(b))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set(protocol.HeaderTeam, team)
	req.Header.Set(protocol.HeaderOperator, "demo")
	res, err := c.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	if res.StatusCode/100 == 2 {
		if err := json.Unmarshal(data, into); err != nil {
			return 0, err.Error()
		}
	}
	return res.StatusCode, string(data)
}

// untilAnswered repeats a call until a server gives a definite answer.
func (c *client) untilAnswered(method, path, team string, body, into any) (status int, text string) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, text = c.call(method, path, team, body, into)
		if status != 0 && status < 500 {
			return status, text
		}
	}
	return status, text
}

func (c *client) applyConfiguration(cfg state.Configuration) error {
	var now state.VersionedConfiguration
	if status, text := c.untilAnswered(http.MethodGet, protocol.PathConfiguration, "", nil, &now); status != http.StatusOK {
		return fmt.Errorf("read configuration: status %d: %s", status, text)
	}
	var res protocol.ConfigureResponse
	body := protocol.ConfigureRequest{Expected: now.Version, ChangeID: fmt.Sprintf("demo-%d", time.Now().UnixNano()), Configuration: cfg}
	if status, text := c.untilAnswered(http.MethodPut, protocol.PathConfiguration, "", body, &res); status != http.StatusOK {
		return fmt.Errorf("apply configuration: status %d: %s", status, text)
	}
	return nil
}

// outcome is what the caller heard about one request.
type outcome struct {
	kind     kind
	id       state.RequestID
	accepted bool
	refused  bool
	status   protocol.RequestStatus
	text     string // of an error
}

func (o *outcome) String() string {
	s := fmt.Sprintf("%-20s %-44s %s", o.kind.name, o.id, o.status.Outcome)
	if o.text != "" {
		s += " " + o.text
	}
	return s
}

// run submits one request and waits for its outcome. It sends the same ID again
// until it gets a definite answer.
func (c *client) run(k kind) outcome {
	o := outcome{kind: k}
	var issued protocol.RequestIDResponse
	if status, text := c.untilAnswered(http.MethodPost, protocol.PathRequestIDs, k.team, nil, &issued); status != http.StatusOK {
		o.text = text
		return o
	}
	o.id = issued.ID
	payload, _ := json.Marshal(standin.Work{RunMS: k.runMS}) // cannot fail
	path := protocol.PathRequest + string(o.id)
	for {
		status, text := c.untilAnswered(http.MethodPut, path, k.team, protocol.SubmitRequest{Kind: k.name, Tasks: k.tasks, Payload: payload}, &o.status)
		if status/100 == 2 {
			o.accepted = true
			break
		}
		if status != http.StatusBadRequest {
			o.refused, o.text = true, text
			return o
		}
		time.Sleep(200 * time.Millisecond) // the configuration is not in force there yet
	}
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if status, text := c.untilAnswered(http.MethodGet, path+"?wait=20s", k.team, nil, &o.status); status/100 != 2 {
			o.text = text
			return o
		}
		if o.status.Final() {
			break
		}
	}
	return o
}
