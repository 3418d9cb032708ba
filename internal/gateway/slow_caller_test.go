package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestCallerThatDoesNotRead guards against running out of memory by a server that sends without end to a caller that doesn't read: the gateway
// reads no more than the caller takes, and the exchange ends soon after its deadline.
func TestCallerThatDoesNotRead(t *testing.T) {
	const (
		socketBuffers = 32 << 20 // upper limit of what the sockets of both connections hold
		event         = "id: 1\n\n"
	)
	piece := strings.Repeat(event, 1024)
	chunk := strconv.FormatInt(int64(len(piece)), 16) + "\r\n" + piece + "\r\n"
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			sent := make(chan int, 1)
			s := newBackend(t, nil)
			s.stream = func(r *http.Request, conn net.Conn) {
				n, err := io.WriteString(conn, streamStart(r))
				for total := n; ; total += n {
					if err != nil {
						sent <- total
						return
					}
					n, err = io.WriteString(conn, chunk)
				}
			}
			b := newFixture(t, s)
			conn, _ := dialGateway(t, b.http.Listener.Addr().String())
			_, _ = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nX-Id: id-1\r\nX-Wait-Ms: 500\r\nContent-Length: 0\r\n\r\n")
			if n := <-sent; n > socketBuffers {
				t.Errorf("the server sent %d MiB, want at most %d", n>>20, socketBuffers>>20)
			}
			awaitTrue(t, func() bool { return b.gw.inFlight.Load() == 0 })
		})
	}
}

// TestLateAnswerIsSent guards against connections that are closed without an answer because it is written long after the deadline of its request,
// as on a busy machine.
func TestLateAnswerIsSent(t *testing.T) {
	b := newFixture(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		late := time.Now().Add(-time.Hour)
		mayHaveRun(http.StatusGatewayTimeout, "deadline_exceeded", "late").write(callerWriter{w, b.gw, late})
	}))
	defer s.Close()
	res, err := http.Get(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 504", res.StatusCode)
	}
}
