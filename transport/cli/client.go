// Package cli is the client side of the HTTP API: calls with failover between
// servers, the steps of the command line, its tables and its exit codes.
package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/protocol"
)

const (
	// DefaultRounds over all servers take about 16 s with the pauses between them,
	// several times the 2 s that a leader change takes.
	DefaultRounds = 8

	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second

	// answerTimeout bounds one attempt, in addition to the wait it asks for. It
	// equals the lifetime of a forwarded submission, docs/design.md 4.1.
	answerTimeout = 10 * time.Second

	// maxAnswerBytes bounds the memory that an answer can take.
	maxAnswerBytes = 64 << 20
)

// Client calls the entry processes of one cell. Every call of the API may be sent
// again: it carries an ID, or it changes nothing, or a repetition has no effect.
type Client struct {
	Servers   []string // "host:port" or a URL; tried in this order, from the last one that answered
	Token     string   // sent as bearer token, if not ""
	Team      string   // sent if not ""; read by servers without credentials only
	Operator  string   // sent if not ""; read by servers without credentials only
	HTTP      *http.Client
	MaxRounds int // largest number of attempts at each server, at least 1

	// Pause waits between rounds. It returns early with an error if ctx ends.
	Pause func(ctx context.Context, d time.Duration) error

	last int // index of the server that answered last
}

// Sleep is the usual Client.Pause.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// call is one call of the API.
type call struct {
	step         string // for errors: what the call does
	method, path string
	query        url.Values
	body, into   any           // JSON body, if not nil; target of an answer, nil to ignore its body
	wait         time.Duration // that the server was asked to wait
	harmless     bool          // changes nothing, so that a lost answer leaves no doubt
}

// attempt is what one attempt at one server led to. At most one of answered and
// err decides the call; otherwise the next server is tried.
type attempt struct {
	answered bool
	err      error // of the attempt, for the final message
	final    bool  // err is the answer to the call
	doubt    bool  // the call may have had its effect
	after    time.Duration
}

// do makes a call at one server after the other. Its error is a *protocol.Error
// if the system answered with one or did not answer.
func (c *Client) do(ctx context.Context, k call) error {
	var body []byte
	if k.body != nil {
		var err error
		if body, err = json.Marshal(k.body); err != nil {
			return errors.Wrap(err, k.step)
		}
	}
	var doubt bool
	var last attempt
	pause := firstPause
	for round := range max(1, c.MaxRounds) {
		if round > 0 {
			if c.Pause(ctx, max(pause, last.after)) != nil {
				break
			}
			pause = min(2*pause, maxPause)
		}
		for i := range c.Servers {
			server := (c.last + i) % len(c.Servers)
			last = c.try(ctx, c.Servers[server], k, body)
			doubt = doubt || last.doubt
			if last.answered || last.final {
				c.last = server
				return last.err
			}
		}
	}
	return c.giveUp(ctx, k, last, doubt)
}

// giveUp says what is known after all attempts. A call that may have had its
// effect has an unknown outcome, whatever the last attempt led to.
func (c *Client) giveUp(ctx context.Context, k call, last attempt, doubt bool) error {
	e := &protocol.Error{Code: protocol.CodeUnavailable, Step: k.step, Peer: strings.Join(c.Servers, ", "), Message: "no server answered"}
	var answer *protocol.Error
	if errors.As(last.err, &answer) {
		e.Message, e.RetryAfterMS = answer.Message, answer.RetryAfterMS
	} else if last.err != nil {
		e.Message += ": " + reason(last.err)
	}
	if ctx.Err() != nil {
		e.Message = "interrupted"
	}
	if doubt {
		e.Code = protocol.CodeUnknownOutcome
	}
	return e
}

// reason drops the method and the URL, which the step and the peer tell already.
func reason(err error) string {
	var u *url.Error
	if errors.As(err, &u) {
		err = u.Err
	}
	return err.Error()
}

func (c *Client) try(ctx context.Context, server string, k call, body []byte) attempt {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout+k.wait)
	defer cancel()
	req, err := c.request(ctx, server, k, body)
	if err != nil {
		return attempt{err: err, final: true}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return attempt{err: err, doubt: !k.harmless && !neverSent(err)}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return attempt{err: err, doubt: !k.harmless}
	}
	return k.read(server, resp.StatusCode, answer)
}

// neverSent reports whether a call failed before a byte of it was sent.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) request(ctx context.Context, server string, k call, body []byte) (*http.Request, error) {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	target := strings.TrimSuffix(server, "/") + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, k.method, target, bytes.NewReader(body))
	if err != nil {
		return nil, &InputError{errors.Wrap(err, "--server")}
	}
	for name, value := range map[string]string{
		"Content-Type":          "application/json",
		protocol.HeaderTeam:     c.Team,
		protocol.HeaderOperator: c.Operator,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	return req, nil
}

// read interprets an answer. An answer that is not in the API's form comes from
// something in between, such as the load balancer, and decides nothing.
func (k call) read(server string, status int, answer []byte) attempt {
	var e protocol.ErrorResponse
	isError := json.Unmarshal(answer, &e) == nil && e.Error.Code != ""
	switch {
	case isError:
		return k.refused(server, &e.Error)
	case k.into == nil && isSuccess(status):
		return attempt{answered: true}
	case k.into != nil && (isSuccess(status) || status == http.StatusConflict):
		if err := json.Unmarshal(answer, k.into); err != nil {
			return attempt{err: errors.Wrapf(err, "answer of %s", server), doubt: !k.harmless}
		}
		return attempt{answered: true}
	default:
		return attempt{err: errors.Errorf("%s answered with status %d", server, status), doubt: !k.harmless}
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// refused sorts the error answers into those that end the call and those after
// which another server may do better.
func (k call) refused(server string, e *protocol.Error) attempt {
	if e.Step == "" {
		e.Step = k.step
	}
	if e.Peer == "" {
		e.Peer = server
	}
	a := attempt{err: e, after: min(time.Duration(e.RetryAfterMS)*time.Millisecond, maxPause)}
	switch e.Code {
	case protocol.CodeUnavailable:
	case protocol.CodeUnknownOutcome:
		a.doubt = true
	default:
		a.final = true
	}
	return a
}
