// Package cli implements the client side of the HTTP API: calls with failover between
// servers, the commands of the command line, their output and exit codes.
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
	// DefaultRounds is the default number of attempts at each server. The pauses between
	// the rounds add up to about 16 s, several times the 2 s that a leader change takes.
	DefaultRounds = 8

	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second

	// answerTimeout bounds one attempt, in addition to the wait that it requests. It
	// equals the lifetime of a forwarded submission, see docs/design.md 4.1.
	answerTimeout = 10 * time.Second

	// maxAnswerBytes bounds the body of an answer. The rest of a longer body is not read.
	maxAnswerBytes = 64 << 20
)

// Client calls the entry processes of one cell. Every call of the API can be retried: it
// carries an ID, changes nothing, or has no further effect when repeated.
type Client struct {
	Servers   []string // "host:port" or a URL each; tried in this order, starting with the one that answered last
	Token     string   // sent as bearer token, if not ""
	Team      string   // sent if not ""; read by servers without credentials only
	Operator  string   // sent if not ""; read by servers without credentials only
	HTTP      *http.Client
	MaxRounds int // largest number of attempts at each server, at least 1

	// Pause waits for d between rounds. It returns early with an error if ctx ends.
	Pause func(ctx context.Context, d time.Duration) error

	last int // index of the server that answered last
}

// Sleep is the default for Client.Pause.
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
	step         string // what the call does, for error messages
	method, path string
	query        url.Values
	body, into   any           // body: value for the JSON body, nil for none; into: target for the answer, nil to ignore its body
	wait         time.Duration // time for which the server is asked to wait for an outcome
	readOnly     bool          // the call changes nothing, so that a lost answer does not make its outcome unknown
}

// attempt is the result of one attempt at one server. The call is complete if answered or
// final is set; otherwise the next server is tried.
type attempt struct {
	answered      bool
	err           error // error of the attempt, for the final message
	final         bool  // err is the result of the call
	mayHaveEffect bool  // the call may have taken effect
	retryDelay    time.Duration
}

// do tries a call at one server after the other, for several rounds. Its error is a
// *protocol.Error if the system answered with one or did not answer.
func (c *Client) do(ctx context.Context, k call) error {
	var body []byte
	if k.body != nil {
		var err error
		if body, err = json.Marshal(k.body); err != nil {
			return errors.Wrap(err, k.step)
		}
	}
	var mayHaveEffect bool
	var last attempt
	pause := firstPause
	for round := range max(1, c.MaxRounds) {
		if round > 0 {
			if c.Pause(ctx, max(pause, last.retryDelay)) != nil {
				break
			}
			pause = min(2*pause, maxPause)
		}
		for i := range c.Servers {
			server := (c.last + i) % len(c.Servers)
			last = c.try(ctx, c.Servers[server], k, body)
			mayHaveEffect = mayHaveEffect || last.mayHaveEffect
			if last.answered || last.final {
				c.last = server
				return last.err
			}
		}
	}
	return c.giveUp(ctx, k, last, mayHaveEffect)
}

// giveUp returns the error of a call after all attempts failed. If an attempt may have
// taken effect, the outcome is unknown, regardless of the last attempt's result.
func (c *Client) giveUp(ctx context.Context, k call, last attempt, mayHaveEffect bool) error {
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
	if mayHaveEffect {
		e.Code = protocol.CodeUnknownOutcome
	}
	return e
}

// reason returns the text of an error without the method and the URL, since the step and
// the peer already state them.
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
		return attempt{err: err, mayHaveEffect: !k.readOnly && !neverSent(err)}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return attempt{err: err, mayHaveEffect: !k.readOnly}
	}
	return k.interpret(server, resp.StatusCode, answer)
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

// interpret evaluates an answer. An answer that is not in the API's format comes from an
// intermediary, such as the load balancer, and does not complete the call. Status 409 with
// a body other than an error completes it: a configuration change was not applied.
func (k call) interpret(server string, status int, answer []byte) attempt {
	var e protocol.ErrorResponse
	isError := json.Unmarshal(answer, &e) == nil && e.Error.Code != ""
	switch {
	case isError:
		return k.classifyError(server, &e.Error)
	case k.into == nil && isSuccess(status):
		return attempt{answered: true}
	case k.into != nil && (isSuccess(status) || status == http.StatusConflict):
		if err := json.Unmarshal(answer, k.into); err != nil {
			return attempt{err: errors.Wrapf(err, "answer of %s", server), mayHaveEffect: !k.readOnly}
		}
		return attempt{answered: true}
	default:
		return attempt{err: errors.Errorf("%s answered with status %d", server, status), mayHaveEffect: !k.readOnly}
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// classifyError returns the attempt for an error answer: some errors are the result of
// the call, after others it is worth trying another server.
func (k call) classifyError(server string, e *protocol.Error) attempt {
	if e.Step == "" {
		e.Step = k.step
	}
	if e.Peer == "" {
		e.Peer = server
	}
	a := attempt{err: e, retryDelay: min(time.Duration(e.RetryAfterMS)*time.Millisecond, maxPause)}
	switch e.Code {
	case protocol.CodeUnavailable:
	case protocol.CodeUnknownOutcome:
		a.mayHaveEffect = true
	default:
		a.final = true
	}
	return a
}
