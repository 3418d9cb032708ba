package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startServing serves the gateway of b with the given grace period, and returns its address and the function that shuts it down and waits.
func startServing(t *testing.T, b *fixture, grace time.Duration) (address string, shutDown context.CancelFunc) {
	t.Helper()
	b.gw.cfg.GracePeriod = grace
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, shutDown := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- b.gw.Serve(ctx, lis) }()
	t.Cleanup(func() {
		shutDown()
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return lis.Addr().String(), shutDown
}

// dialGateway returns a connection of a caller and its reader.
func dialGateway(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// plainHead is the header of a request that may run once, without its end.
func plainHead(id string) string {
	return "POST /unsafe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nX-Id: " + id + "\r\n"
}

// Guards against requests that ran and got no answer: a request that had arrived together with the one before it on its connection counted
// as none, so that a shutdown closed its connection.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	received := make(chan struct{})
	b := newFixture(t, newBackend(t, func(r *http.Request, _ string) string {
		if r.Header.Get("X-Id") == "first" {
			return fullAnswer(r, 200, seal, "first")
		}
		close(received)
		return holdAnswer
	}))
	address, shutDown := startServing(t, b, time.Second)
	conn, reader := dialGateway(t, address)
	_, _ = io.WriteString(conn, plainHead("first")+"Content-Length: 0\r\n\r\n"+plainHead("second")+"Content-Length: 0\r\n\r\n")
	<-received
	shutDown()
	for _, want := range []int{http.StatusOK, http.StatusGatewayTimeout} {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("error %v, want an answer with status %d", err, want)
		}
		_, err = io.Copy(io.Discard, res.Body)
		if err != nil || res.StatusCode != want {
			t.Errorf("status %d, error %v; want %d", res.StatusCode, err, want)
		}
	}
}

// Guards against requests that get no answer, or one after which they aren't sent again, because a shutdown ends while their body arrives.
func TestShutdownRefusesBodiesThatArriveLate(t *testing.T) {
	cases := []struct {
		name        string
		head, start string
		rest        string // sent once the listener is closed
	}{
		{"the body never ends", "Content-Length: 8\r\n\r\n", "half", ""},
		{"chunks never end", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nhalf\r\n", ""},
		{"the body has not begun", "Content-Length: 8\r\n\r\n", "", ""},
		{"the body ends late", "Content-Length: 8\r\n\r\n", "half", "half"},
		{"chunks end late", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nhalf\r\n", lastChunk},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newBackend(t, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "ran") })
			b := newFixture(t, s)
			address, shutDown := startServing(t, b, time.Second)
			conn, reader := dialGateway(t, address)
			_, _ = io.WriteString(conn, plainHead("late")+c.head+c.start)
			awaitTrue(t, func() bool { return b.gw.inFlight.Load() == 1 })
			shutDown()
			awaitTrue(t, b.gw.hasStoppedAccepting.Load)
			_, _ = io.WriteString(conn, c.rest)
			res, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("error %v, want an answer", err)
			}
			if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(headerVerdict) != "not_run" || res.Header.Get("Retry-After") == "" {
				t.Errorf("status %d, verdict %q, Retry-After %q; want 503, not_run and a time", res.StatusCode, res.Header.Get(headerVerdict), res.Header.Get("Retry-After"))
			}
			if n := len(s.requests()); n != 0 {
				t.Errorf("%d requests at the server, want none", n)
			}
		})
	}
}

// Guards against requests that a caller sends on a kept connection to a gateway that shuts down: an answer whose request had begun before the
// signal didn't ask the caller to leave.
func TestAnswersSentDuringShutdownCloseTheirConnection(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			received, answers := make(chan struct{}), make(chan struct{})
			b := newFixture(t, newBackend(t, func(r *http.Request, _ string) string {
				close(received)
				<-answers
				return streamStart(r, "id: 1\n\n") + lastChunk
			}))
			address, shutDown := startServing(t, b, 4*time.Second) // enough for the answer on a busy machine
			b.http.URL = "http://" + address
			go func() {
				<-received
				shutDown()
				awaitTrue(t, b.gw.isDraining)
				close(answers)
			}()
			res, _, err := b.do(http.MethodPost, path)
			if err != nil || res.StatusCode != http.StatusOK || !res.Close {
				t.Errorf("answer %v, error %v; want it complete, with Connection: close", res, err)
			}
		})
	}
}

// awaitTrue waits until f returns true.
func awaitTrue(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Error("a condition was not met in time")
			return
		}
	}
}
