package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// server is a server whose connections are bounded. A request to /wait sends to waiting, and is answered once release is closed.
type server struct {
	*httptest.Server
	guard            *Guard
	waiting, release chan struct{}
}

func newServer(t *testing.T, cfg Config) *server {
	t.Helper()
	s := &server{guard: New(cfg), waiting: make(chan struct{}), release: make(chan struct{})}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			s.waiting <- struct{}{}
			<-s.release
		}
	}))
	s.Config.ConnState = s.guard.StateChanged
	s.Listener = s.guard.Listen(s.Listener)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// largeHeads returns the number of connections with a large head.
func (s *server) largeHeads() int {
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	return s.guard.large
}

// awaitIdle waits until n connections are idle. net/http reports that after the answer is sent.
func (s *server) awaitIdle(n int) {
	for idle := -1; idle != n; time.Sleep(time.Millisecond) {
		s.guard.mu.Lock()
		idle = 0
		for c := range s.guard.conns {
			if !c.isActive.Load() && !c.inHead {
				idle++
			}
		}
		s.guard.mu.Unlock()
	}
}

// client is a connection to the server.
type client struct {
	net.Conn
	r *bufio.Reader
}

func connect(t *testing.T, s *server) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	return &client{conn, bufio.NewReader(conn)}
}

// status returns the status of the next answer, 0 if the server closed the connection.
func (c *client) status() int {
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func (c *client) send(text string) { _, _ = io.WriteString(c, text) }

const (
	get  = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	wait = "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n"
)

// TestLongestIdleConnectionIsClosed guards against idle connections that use up the descriptors, and against the end of requests in progress
// when there are too many connections.
func TestLongestIdleConnectionIsClosed(t *testing.T) {
	s := newServer(t, Config{MaxConns: 3})
	busy, first, second := connect(t, s), connect(t, s), connect(t, s)
	busy.send(wait)
	<-s.waiting
	for _, c := range []*client{first, second} {
		s.awaitIdle(2)
		c.send(get)
		if got := c.status(); got != http.StatusOK {
			t.Fatalf("got %d, want 200", got)
		}
	}
	s.awaitIdle(2)
	third := connect(t, s)
	third.send(get)
	if got := third.status(); got != http.StatusOK {
		t.Errorf("new connection: got %d, want 200", got)
	}
	if got := first.status(); got != 0 {
		t.Errorf("longest idle connection: got %d, want its end", got)
	}
	second.send(get)
	if got := second.status(); got != http.StatusOK {
		t.Errorf("other idle connection: got %d, want 200", got)
	}
	close(s.release)
	if got := busy.status(); got != http.StatusOK {
		t.Errorf("request in progress: got %d, want 200", got)
	}
}

// TestNewConnectionIsClosedIfAllOthersAreBusy guards against connections above the limit.
func TestNewConnectionIsClosedIfAllOthersAreBusy(t *testing.T) {
	s := newServer(t, Config{MaxConns: 1})
	defer close(s.release)
	busy := connect(t, s)
	busy.send(wait)
	<-s.waiting
	c := connect(t, s)
	c.send(get)
	if got := c.status(); got != 0 {
		t.Errorf("got %d, want its end", got)
	}
}

// TestHeads guards against heads that take much memory: without end, above the limit or in many lines.
func TestHeads(t *testing.T) {
	cfg := Config{MaxConns: 100, MaxHeadBytes: func() int { return 8 << 10 }, MaxHeadLines: 100}
	const begin = "GET / HTTP/1.1\r\nHost: x\r\n"
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"at the limit", begin + "X: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", 200},
		{"above the limit", begin + "X: " + strings.Repeat("x", 32<<10), 431},
		{"as many lines as allowed", begin + strings.Repeat("X: "+strings.Repeat("x", 40)+"\r\n", 90) + "\r\n", 200},
		{"too many lines", begin + strings.Repeat("X: "+strings.Repeat("x", 40)+"\r\n", 220), 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := connect(t, newServer(t, cfg))
			for range 2 { // the second head must not be added to the first one
				client.send(c.text)
				if got := client.status(); got != c.status {
					t.Fatalf("got %d, want %d", got, c.status)
				}
				if c.status != http.StatusOK {
					break
				}
			}
		})
	}
}

// TestLargeHeadsAreBounded guards against many connections that each hold a large head that doesn't end.
func TestLargeHeadsAreBounded(t *testing.T) {
	s := newServer(t, Config{MaxConns: 100, MaxLargeHeads: 2})
	large := "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 10<<10)
	var clients []*client
	for i := range 3 { // they begin one after the other
		c := connect(t, s)
		c.send(large)
		clients = append(clients, c)
		for s.largeHeads() < min(i+1, 2) {
			time.Sleep(time.Millisecond)
		}
	}
	if got := clients[0].status(); got != 0 {
		t.Errorf("oldest head: got %d, want the end of its connection", got)
	}
	for _, c := range clients[1:] {
		c.send("\r\n\r\n")
		if got := c.status(); got != http.StatusOK {
			t.Errorf("newer head: got %d, want 200", got)
		}
	}
}

// TestCompleteLargeHeadsAreNotBounded guards against ordinary callers whose connections are closed because requests with large heads are
// in progress.
func TestCompleteLargeHeadsAreNotBounded(t *testing.T) {
	s := newServer(t, Config{MaxConns: 100, MaxLargeHeads: 1})
	header := " HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 10<<10) + "\r\n\r\n"
	first := connect(t, s)
	first.send("GET /wait" + header)
	<-s.waiting
	second := connect(t, s)
	second.send("GET /" + header)
	if got := second.status(); got != http.StatusOK {
		t.Errorf("got %d beside a request in progress with a large head, want 200", got)
	}
	close(s.release)
	if got := first.status(); got != http.StatusOK {
		t.Errorf("request in progress: got %d, want 200", got)
	}
}
