package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/upstream"
)

// TestResetDuringTheRequestBodyFails guards against a short answer that counts as whole: a server answers without a length before it has
// read the body of the request, and resets the connection in the middle of its answer. The write of the body may be the call that learns of
// the reset, and the read of the answer then sees an orderly end.
func TestResetDuringTheRequestBodyFails(t *testing.T) {
	const (
		bodyBytes = 32 << 20 // exceeds the buffers of a connection
		exchanges = 10       // either call may learn of the reset
	)
	for name, start := range map[string]string{"after the head": "", "inside the body": "hello"} {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = lis.Close() }()
			isRead := make(chan struct{})
			go func() {
				for {
					conn, err := lis.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n\r\n"+start)
					<-isRead
					_ = conn.(*net.TCPConn).SetLinger(0)
					_ = conn.Close()
				}
			}()
			r := request("one")
			r.Body = make([]byte, bodyBytes)
			for range exchanges {
				a, err := upstream.New().Do(t.Context(), lis.Addr().String(), r)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(a, make([]byte, len(start))); err != nil {
					t.Fatal(err)
				}
				isRead <- struct{}{}
				rest, err := io.ReadAll(a)
				a.Close()
				if err == nil {
					t.Fatalf("the answer ends as whole after %q and %q, want an error", start, rest)
				}
			}
		})
	}
}

// TestUnframedAnswerBehindALongRequestIsWhole checks that an answer without a length still counts as whole if its server has read the request.
func TestUnframedAnswerBehindALongRequestIsWhole(t *testing.T) {
	const (
		bodyBytes = 1 << 20
		exchanges = 20
	)
	s := newServer(t, func(int, *http.Request) string {
		return "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nConnection: close\r\n\r\nhello"
	})
	r := request("one")
	r.Body = make([]byte, bodyBytes)
	for range exchanges {
		a, err := upstream.New().Do(t.Context(), s.address, r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(a)
		a.Close()
		if err != nil || string(body) != "hello" {
			t.Fatalf("body %q, error %v; want \"hello\"", body, err)
		}
	}
}

// TestServerThatCannotBeAskedMayHaveEnded guards against a cut answer that counts as whole: its request ends, or its server can't be reached,
// before it is known whether the server lives on.
func TestServerThatCannotBeAskedMayHaveEnded(t *testing.T) {
	const within = 50 * time.Millisecond
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	lives := newServer(t, func(int, *http.Request) string { return "" }).address
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refuses := lis.Addr().String()
	_ = lis.Close()
	cases := []struct {
		name    string
		ctx     context.Context
		address string
		want    bool
	}{
		{"lives on", t.Context(), lives, false},
		{"refuses connections", t.Context(), refuses, true},
		{"the request has ended", ended, lives, true},
		{"no such address", t.Context(), "127.0.0.1:99999", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := upstream.New().MayHaveEnded(c.ctx, c.address, within); got != c.want {
				t.Errorf("may have ended: %v, want %v", got, c.want)
			}
		})
	}
}
