package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against a budget that is exceeded, that large bodies use up for small ones, that refuses a
// single request, or that is not returned.
func TestBudgetKeepsRoomForSmallBodies(t *testing.T) {
	b := NewBudget(16 * smallBytes)
	first := &charge{budget: b}
	if !first.resize(100 * smallBytes) {
		t.Error("the only request was refused")
	}
	if second := (&charge{budget: b}); second.resize(4 * smallBytes) {
		t.Error("a large body was accepted beyond the budget")
	}
	first.release()
	large := &charge{budget: b}
	if !large.resize(4 * smallBytes) { // charged with decodingFactor: all but the part for small bodies
		t.Error("a large body within the budget was refused")
	}
	if next := (&charge{budget: b}); next.resize(2 * smallBytes) {
		t.Error("a large body takes what is kept for small ones")
	}
	for i := range 4 {
		if small := (&charge{budget: b}); !small.resize(smallBytes) {
			t.Errorf("small body %d was refused", i)
		}
	}
	if small := (&charge{budget: b}); small.resize(smallBytes) {
		t.Error("the budget was exceeded")
	}
	if used := b.Used(); used != 16*smallBytes {
		t.Errorf("%d bytes are in use", used)
	}
}

// server is a guarded server whose refusals are recorded.
type server struct {
	address string
	guard   *Guard

	mu      sync.Mutex
	refused map[Reason]int
}

func newServer(t *testing.T, connections int, budget int64, maxBody int, h http.Handler) *server {
	s := &server{refused: map[Reason]int{}}
	s.guard = NewGuard(connections, NewBudget(budget), func(r Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused[r]++
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	x := &http.Server{Handler: s.guard.Handler(h, maxBody)}
	s.guard.Protect(x)
	go func() { _ = x.Serve(s.guard.Listener(l)) }()
	t.Cleanup(func() { _ = x.Close() })
	return s
}

func (s *server) refusals(r Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[r]
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met: %s", what)
		}
	}
}

func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

// Guards against a listener that is full of connections that send nothing further, so that other
// clients are refused, and against one with more connections than its limit.
func TestStalledConnectionsGiveWay(t *testing.T) {
	const limit = 8
	s := newServer(t, limit, 1<<20, 1<<20, http.HandlerFunc(echo))
	for range limit {
		_, _ = fmt.Fprint(dial(t, s.address), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nshort")
	}
	await(t, "all are connected", func() bool { return s.guard.Open() == limit })
	time.Sleep(stalledAfter + 50*time.Millisecond)
	res, err := http.Post("http://"+s.address, "text/plain", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if answer, _ := io.ReadAll(res.Body); string(answer) != "body" || s.refusals(ReasonStalled) == 0 {
		t.Errorf("answer %q, %d connections were closed", answer, s.refusals(ReasonStalled))
	}
	if n := s.guard.Open(); n > limit {
		t.Errorf("%d connections are open", n)
	}
}

// Guards against a connection on which a request is being handled that is closed for another client.
func TestServedConnectionsStay(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, 1, 1<<20, 1<<20, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { <-release }))
	c := dial(t, s.address)
	_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, "the request is served", func() bool {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		for x := range s.guard.conns {
			_, p := x.since()
			return p == isServed
		}
		return false
	})
	time.Sleep(stalledAfter + 50*time.Millisecond)
	other := dial(t, s.address)
	await(t, "the other one is refused", func() bool { return s.refusals(ReasonConnections) > 0 })
	if _, err := other.Read(make([]byte, 1)); err == nil {
		t.Error("the other connection was answered")
	}
	close(release)
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Error(err)
	}
}

// Guards against a refusal that cannot be read, and against a request that reaches the handler
// although its body was not received.
func TestRefusedRequestIsAnsweredAndNotHandled(t *testing.T) {
	handled := 0
	guard := NewGuard(8, NewBudget(64<<10), func(Reason) {})
	other := &charge{budget: guard.budget}
	other.resize(20 << 10)
	h := guard.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled++ }), 1<<20)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, 100<<10))))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || handled > 0 {
		t.Errorf("status %d, Retry-After %q, %d requests handled", w.Code, w.Header().Get("Retry-After"), handled)
	}
	if used := guard.budget.Used(); used != other.bytes {
		t.Errorf("%d bytes are still charged", used-other.bytes)
	}
}

// Guards against bodies that arrive changed, and against a limit that cuts a body without a sign.
func TestBodiesArriveComplete(t *testing.T) {
	const maxBody = 300 << 10
	s := newServer(t, 8, 8<<20, maxBody, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	}))
	for size, want := range map[int]int{0: 0, 1: 1, firstBufferBytes: firstBufferBytes, maxBody: maxBody, maxBody + 1: maxBody + 1, maxBody + 5000: maxBody + 1} {
		for _, chunked := range []bool{false, true} {
			var body io.Reader = bytes.NewReader(make([]byte, size))
			if chunked {
				body = io.MultiReader(body) // hides the length
			}
			res, err := http.Post("http://"+s.address, "text/plain", body)
			if err != nil {
				t.Fatal(err)
			}
			answer, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if string(answer) != fmt.Sprint(want) {
				t.Errorf("%d bytes, chunked %v: the handler read %s", size, chunked, answer)
			}
		}
	}
}
