package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/upstream"
)

// endlessServer answers each request with start, and then with repeated until the caller closes the connection.
type endlessServer struct {
	address string
	sent    chan int // bytes sent on a connection, once the caller has closed it
}

func newEndlessServer(t *testing.T, start, repeated string, pause time.Duration) *endlessServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	s := &endlessServer{address: lis.Addr().String(), sent: make(chan int, 1)}
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		sent, err := io.WriteString(conn, start)
		for err == nil {
			n := 0
			n, err = io.WriteString(conn, repeated)
			sent += n
			time.Sleep(pause)
		}
		s.sent <- sent
	}()
	return s
}

// TestBytesWithoutEndBeforeTheBody sends a header that never ends: the exchange fails by a bound on its bytes, or at the
// deadline if the bytes come slowly, and the connection is closed.
func TestBytesWithoutEndBeforeTheBody(t *testing.T) {
	const socketBuffers = 16 << 20 // upper limit of what the two sockets hold when the connection is closed
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n"
	cases := []struct {
		name            string
		start, repeated string
		pause           time.Duration
		deadline        time.Duration
	}{
		{"one header line", ok + "X-Long: ", "xxxxxxxxxxxxxxxx", 0, time.Minute},
		{"many header lines", ok, "X-More: x\r\n", 0, time.Minute},
		{"informational answers", "", "HTTP/1.1 102 Processing\r\n\r\n", 0, time.Minute},
		{"status line", "HTTP/1.1 200 ", "OOOOOOOOOOOOOOOO", 0, time.Minute},
		{"no answer at all", "", "xxxxxxxxxxxxxxxx", 0, time.Minute},
		{"one header line, slowly", ok + "X-Long: ", "x", time.Millisecond, 50 * time.Millisecond},
		{"informational answers, slowly", "", "HTTP/1.1 102 Processing\r\n\r\n", 50 * time.Millisecond, 75 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newEndlessServer(t, c.start, c.repeated, c.pause)
			ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
			defer cancel()
			if a, err := upstream.New().Do(ctx, s.address, request("one")); err == nil {
				a.Close()
				t.Fatal("got an answer, want an error")
			}
			if sent := <-s.sent; sent > socketBuffers {
				t.Errorf("the server sent %d bytes before the connection was closed, want at most %d", sent, socketBuffers)
			}
		})
	}
}

// TestTrailersAndChunkExtensionsWithoutEnd sends what may follow a chunk without end: reading the body fails.
func TestTrailersAndChunkExtensionsWithoutEnd(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	for name, text := range map[string]struct{ start, repeated string }{
		"one trailer":     {start + "0\r\nX-Long: ", "xxxxxxxxxxxxxxxx"},
		"many trailers":   {start + "0\r\n", "X-More: x\r\n"},
		"chunk extension": {start + "5;", "xxxxxxxxxxxxxxxx"},
		"chunk size":      {start, "0000000000000000"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEndlessServer(t, text.start, text.repeated, 0)
			a, err := upstream.New().Do(t.Context(), s.address, request("one"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, a); err == nil {
				t.Error("the body is complete, want an error")
			}
			a.Close()
			<-s.sent // the connection was closed
		})
	}
}

// TestHeadOfManyShortLinesFails guards against running out of memory: a head of short lines takes many times its size.
func TestHeadOfManyShortLinesFails(t *testing.T) {
	for lines, fails := range map[int]bool{200: false, 8000: true} {
		t.Run(strconv.Itoa(lines)+" lines", func(t *testing.T) {
			var head strings.Builder
			head.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 0\r\n")
			for i := range lines {
				head.WriteString(strconv.FormatInt(int64(i), 36) + ":\n")
			}
			s := newServer(t, func(int, *http.Request) string { return head.String() + "\r\n" })
			if _, err := do(upstream.New(), s, "one"); (err != nil) != fails {
				t.Errorf("error %v, want one: %v", err, fails)
			}
		})
	}
}
