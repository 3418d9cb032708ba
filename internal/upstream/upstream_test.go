package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	jujuerrors "github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/upstream"
)

const headerID = "Request-Id"

// server is a scripted server that counts connections and requests.
type server struct {
	address     string
	connections atomic.Int32
	requests    atomic.Int32
}

// newServer starts a server that sends the text returned by answer, which gets the number of the request on its
// connection. An empty text closes the connection.
func newServer(t *testing.T, answer func(n int, r *http.Request) string) *server {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	s := &server{address: lis.Addr().String()}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(conn, answer)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn, answer func(n int, r *http.Request) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text := answer(n, r)
		if text == "" {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if strings.Contains(text, "Connection: close") {
			return
		}
	}
}

// request returns a request that accepts only answers with its id.
func request(id string) *upstream.Request {
	return &upstream.Request{
		Method: http.MethodPost, Target: "/a%2Fb?x=1", Host: "a.example", Header: http.Header{headerID: {id}}, Body: []byte("body"),
		Owns: func(h http.Header) bool { return h.Get(headerID) == id },
	}
}

// answer returns an answer with an id and a Content-Length.
func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + headerID + ": " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// do sends a request and returns the body of its answer.
func do(c *upstream.Client, s *server, id string) (string, error) {
	a, err := c.Do(context.Background(), s.address, request(id))
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestAnswerFramingAndConnectionReuse(t *testing.T) {
	cases := []struct {
		name      string
		first     string // answer to the first request, with the id "one"
		want      string
		wantErr   bool
		reconnect bool // the second request goes over a new connection
	}{
		{"content length", answer("one", "hello"), "hello", false, false},
		{"chunked", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", false, false},
		{"informational answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + answer("one", "hello"), "hello", false, false},
		{"foreign answer first", answer("zero", "other") + answer("one", "hello"), "hello", false, false},
		{"foreign answer after it", answer("one", "hello") + answer("zero", "other"), "hello", false, true},
		{"extra bytes after it", answer("one", "hello") + "x", "hello", false, true},
		{"connection close requested", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", "hello", false, true},
		{"delimited by connection close", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nConnection: close\r\n\r\nhello", "hello", false, true},
		{"only foreign answers", answer("a", "x") + answer("b", "x") + answer("c", "x") + answer("d", "x"), "", true, true},
		{"no answer", "", "", true, true},
		{"not HTTP", "garbage\r\n\r\n", "", true, true},
		{"truncated body", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 50\r\nConnection: close\r\n\r\nhello", "hello", true, true},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "hello", true, true},
		{"keep-alive timeout of 0", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nKeep-Alive: timeout=0\r\nContent-Length: 5\r\n\r\nhello", "hello", false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newServer(t, func(n int, r *http.Request) string {
				if r.Header.Get(headerID) == "one" {
					return tc.first
				}
				return answer("two", "again")
			})
			c := upstream.New()
			got, err := do(c, s, "one")
			if got != tc.want || (err != nil) != tc.wantErr {
				t.Errorf("first answer %q, error %v; want %q, error %v", got, err, tc.want, tc.wantErr)
			}
			if got, err := do(c, s, "two"); got != "again" || err != nil {
				t.Errorf("second answer %q, error %v; want \"again\"", got, err)
			}
			if again := s.connections.Load() == 2; again != tc.reconnect {
				t.Errorf("got %d connections, want a new one for the second request: %v", s.connections.Load(), tc.reconnect)
			}
			if n := s.requests.Load(); n != 2 {
				t.Errorf("server got %d requests, want 2 without any retry", n)
			}
		})
	}
}

func TestRequestIsSentUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	s := newServer(t, func(_ int, r *http.Request) string {
		seen <- r
		return answer("one", "ok")
	})
	if _, err := do(upstream.New(), s, "one"); err != nil {
		t.Fatal(err)
	}
	r := <-seen
	if r.RequestURI != "/a%2Fb?x=1" || r.Host != "a.example" || r.ContentLength != 4 || r.Method != http.MethodPost {
		t.Errorf("server got %s %s, host %s, length %d; want POST /a%%2Fb?x=1, host a.example, length 4", r.Method, r.RequestURI, r.Host, r.ContentLength)
	}
}

func TestDialFailureSendsNothing(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lis.Addr().String()
	_ = lis.Close()
	_, err = upstream.New().Do(context.Background(), address, request("one"))
	var failure *upstream.Error
	if !errors.As(err, &failure) || failure.Sent {
		t.Errorf("error %v, want one with Sent false", err)
	}
}

func TestCancelledContextClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		cancel()
		_, _ = io.Copy(io.Discard, reader) // returns when the client closes the connection
		close(closed)
	}()
	_, err = upstream.New().Do(ctx, lis.Addr().String(), request("one"))
	var failure *upstream.Error
	if !errors.As(err, &failure) || !failure.Sent {
		t.Errorf("error %v, want one with Sent true", err)
	}
	<-closed
}

// TestEarlyAnswerToLongBody answers before the body has been read, and checks that the connection is not reused.
func TestEarlyAnswerToLongBody(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	const bodyBytes = 64 << 20 // exceeds the buffers of a connection
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer("one", "early"))
		}
	}()
	r := request("one")
	r.Body = make([]byte, bodyBytes)
	c := upstream.New()
	a, err := c.Do(context.Background(), lis.Addr().String(), r)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(a); string(body) != "early" || err != nil {
		t.Errorf("answer %q, error %v; want \"early\"", body, err)
	}
	a.Close()
	kept := false
	c.CloseExpired(time.Now(), func(string) bool { kept = true; return true })
	if kept {
		t.Error("a connection is kept although the body has not been written completely, want it closed")
	}
}

// TestIsUnresponsive distinguishes an unreachable instance from a server that closes the connection or answers incorrectly.
func TestIsUnresponsive(t *testing.T) {
	cases := []struct {
		cause error
		want  bool
	}{
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}, true},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, false},
		{io.ErrUnexpectedEOF, false},
		{context.DeadlineExceeded, false},
	}
	for _, tc := range cases {
		wrapped := &upstream.Error{Sent: true, Cause: jujuerrors.WithType(tc.cause, upstream.ErrBroken)}
		if got := wrapped.IsUnresponsive(); got != tc.want {
			t.Errorf("%v: unresponsive %v, want %v", tc.cause, got, tc.want)
		}
	}
}

// TestLongBodyIsNotCopied guards against twice the memory for each long request that waits for its answer.
func TestLongBodyIsNotCopied(t *testing.T) {
	const bodyBytes = 16 << 20
	s := newServer(t, func(int, *http.Request) string { return answer("one", "ok") })
	r := request("one")
	r.Body = make([]byte, bodyBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	a, err := upstream.New().Do(t.Context(), s.address, r)
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > bodyBytes/2 {
		t.Errorf("%d bytes were allocated for a request with a body of %d, want less than half of it", n, bodyBytes)
	}
}
