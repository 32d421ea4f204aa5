// Package load submits requests as callers do and compares their outcomes with the
// executions at the endpoints. The demonstration and the process tests share it.
package load

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

// outcomeTimeout is the longest time for which a caller waits for one outcome.
const outcomeTimeout = 2 * time.Minute

// Client calls entry processes, which Pick selects as a load balancer would.
type Client struct {
	// Pick returns the public address for the next call.
	Pick func() string
	// OnUnanswered, if set, is called for each attempt without a definite answer. The
	// status is 0 if there was no answer at all.
	OnUnanswered func(server, call string, status int, text string)

	Token string // sent as bearer token, if not ""

	http  *http.Client
	calls atomic.Int64
}

// Calls returns the number of attempts so far.
func (c *Client) Calls() int64 { return c.calls.Load() }

// NewClient returns a client that calls the servers in turn.
func NewClient(servers []string) *Client {
	var next atomic.Uint64
	return NewClientWithPicker(func() string { return servers[next.Add(1)%uint64(len(servers))] })
}

// NewClientWithPicker returns a client that calls pick to select the server of each
// call.
func NewClientWithPicker(pick func() string) *Client {
	return &Client{Pick: pick, http: &http.Client{Timeout: 90 * time.Second}}
}

// Call makes one attempt at the next server. The status is 0 if it did not answer.
func (c *Client) Call(method, path, team string, body, into any) (status int, text string) {
	server := c.Pick()
	c.calls.Add(1)
	status, text = c.CallAt(server, method, path, team, body, into)
	if c.OnUnanswered != nil && !isDefinite(status) {
		c.OnUnanswered(server, method+" "+path, status, text)
	}
	return status, text
}

// isDefinite reports whether a status settles the call: there was an answer, and it is
// not a server error.
func isDefinite(status int) bool { return status != 0 && status < 500 }

// CallAt makes one attempt at a given server.
func (c *Client) CallAt(server, method, path, team string, body, into any) (status int, text string) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, err.Error()
	}
	req, err := http.NewRequest(method, "http://"+server+path, bytes.NewReader(b))
	if err != nil {
		return 0, err.Error()
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
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
	if res.StatusCode/100 == 2 && into != nil {
		if err := json.Unmarshal(data, into); err != nil {
			return 0, err.Error()
		}
	}
	return res.StatusCode, string(data)
}

// UntilAnswered repeats a call until a server gives a definite answer or outcomeTimeout
// has passed. It returns the last answer.
func (c *Client) UntilAnswered(method, path, team string, body, into any) (status int, text string) {
	for end := time.Now().Add(outcomeTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, text = c.Call(method, path, team, body, into)
		if isDefinite(status) {
			return status, text
		}
	}
	return status, text
}

// ApplyConfiguration replaces the configuration in force.
func (c *Client) ApplyConfiguration(cfg state.Configuration) error {
	var now state.VersionedConfiguration
	if status, text := c.UntilAnswered(http.MethodGet, protocol.PathConfiguration, "", nil, &now); status != http.StatusOK {
		return fmt.Errorf("read configuration: status %d: %s", status, text)
	}
	var res protocol.ConfigureResponse
	body := protocol.ConfigureRequest{Expected: now.Version, ChangeID: fmt.Sprintf("demo-%d", time.Now().UnixNano()), Configuration: cfg}
	if status, text := c.UntilAnswered(http.MethodPut, protocol.PathConfiguration, "", body, &res); status != http.StatusOK {
		return fmt.Errorf("apply configuration: status %d: %s", status, text)
	}
	return nil
}

// Outcome is the state of one request as its caller received it.
type Outcome struct {
	Kind     Kind
	ID       state.RequestID
	Accepted bool
	Refused  bool
	Status   protocol.RequestStatus
	Text     string // text of an error answer
}

func (o *Outcome) String() string {
	s := fmt.Sprintf("%-20s %-44s %s", o.Kind.Name, o.ID, o.Status.Outcome)
	if o.Text != "" {
		s += " " + o.Text
	}
	return s
}

// Run submits one request and waits for its outcome. It sends the same ID again until it
// gets a definite answer other than status 400, which a process returns while the
// configuration is not in force there yet.
func (c *Client) Run(k Kind) Outcome {
	o := Outcome{Kind: k}
	var issued protocol.RequestIDResponse
	if status, text := c.UntilAnswered(http.MethodPost, protocol.PathRequestIDs, k.Team, nil, &issued); status != http.StatusOK {
		o.Text = text
		return o
	}
	o.ID = issued.ID
	payload, _ := json.Marshal(standin.Work{RunMS: k.RunMS}) // cannot fail
	path := protocol.PathRequest + string(o.ID)
	for {
		status, text := c.UntilAnswered(http.MethodPut, path, k.Team, protocol.SubmitRequest{Kind: k.Name, Tasks: k.Tasks, Payload: payload}, &o.Status)
		if status/100 == 2 {
			o.Accepted = true
			break
		}
		if status != http.StatusBadRequest {
			o.Refused, o.Text = true, text
			return o
		}
		time.Sleep(200 * time.Millisecond) // the configuration is not in force at that process yet
	}
	for end := time.Now().Add(outcomeTimeout); time.Now().Before(end); {
		if status, text := c.UntilAnswered(http.MethodGet, path+"?wait=20s", k.Team, nil, &o.Status); status/100 != 2 {
			o.Text = text
			return o
		}
		if o.Status.Final() {
			break
		}
	}
	return o
}
