package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// firstBufferBytes is the size of the buffer with which the reception of a body starts.
const firstBufferBytes = 4 << 10

var errNoMemory = errors.New("the process handles too many large requests")

// Handler returns a handler that receives the body of each request, of at most maxBody bytes, before
// it calls next. A body beyond maxBody is passed on with one byte more, so that next answers the call.
func (g *Guard) Handler(next http.Handler, maxBody int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		control := http.NewResponseController(w)
		g.limitAnswer(control)
		if r.Body != nil && r.Body != http.NoBody {
			used := &charge{budget: g.budget}
			defer used.release()
			body, err := g.receive(c, control, r.Body, used, maxBody)
			if err != nil {
				g.refuse(w, err)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		if c != nil {
			c.setPhase(isServed)
		}
		g.limitAnswer(control)
		next.ServeHTTP(w, r)
	})
}

// limitAnswer starts the time in which the answer has to be read.
func (g *Guard) limitAnswer(control *http.ResponseController) {
	if g.AnswerTimeout > 0 {
		_ = control.SetWriteDeadline(time.Now().Add(g.AnswerTimeout)) // connections of servers have deadlines
	}
}

// receive reads a body and charges its buffer, which grows with what has arrived and not with what
// the client has announced.
func (g *Guard) receive(c *conn, control *http.ResponseController, body io.Reader, used *charge, maxBody int) ([]byte, error) {
	if c != nil {
		c.setPhase(receivingBody)
	}
	start := time.Now()
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := min(max(firstBufferBytes, 4*cap(buf)), maxBody+1)
			if size == cap(buf) {
				return buf, nil // larger than maxBody
			}
			for !used.resize(size) {
				if !g.closeStalledBody() {
					return nil, errNoMemory
				}
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		_ = control.SetReadDeadline(start.Add(bodyTimeout + time.Duration(len(buf))*time.Second/minBodyRate))
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			_ = control.SetReadDeadline(time.Time{})
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// refuse answers a request whose body was not received, and closes the connection.
func (g *Guard) refuse(w http.ResponseWriter, err error) {
	status, message := http.StatusBadRequest, "the body cannot be read"
	switch {
	case errors.Is(err, errNoMemory):
		g.onRefuse(ReasonMemory)
		w.Header().Set("Retry-After", retryAfterSeconds)
		status, message = http.StatusServiceUnavailable, err.Error()
	case errors.Is(err, os.ErrDeadlineExceeded):
		g.onRefuse(ReasonSlowBody)
		status, message = http.StatusRequestTimeout, "the body did not arrive in time"
	}
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"error":%q}`, message) // an error means that the client has disconnected
}
