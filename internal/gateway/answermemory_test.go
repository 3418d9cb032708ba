package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// heapBytes returns the size of the live heap.
func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// TestManyLargeAnswersAtATimeAreBounded guards against running out of memory when many servers send large answers or events at a time and don't end
// them: the gateway stops reading from most of them. Once they end, all of them are served.
func TestManyLargeAnswersAtATimeAreBounded(t *testing.T) {
	const servers = 8
	cases := []struct {
		framing, path string
		requests      int
		size          int // of an answer, and of its reservation
	}{
		{"with a length", "/unsafe/x", 64, maxBufferedBytes},
		{"chunked", "/unsafe/x", 64, maxBufferedBytes},
		{"without a length", "/unsafe/x", 64, maxBufferedBytes},
		{"chunked", "/resume/x", 256, maxEventBytes},
	}
	for _, c := range cases {
		t.Run(c.framing+c.path, func(t *testing.T) {
			const end = "\n\n"
			body := strings.Repeat("x", c.size-len(end))
			ends := make(chan struct{})
			s := make([]*backend, servers)
			for i := range s {
				s[i] = newBackend(t, nil)
				s[i].stream = func(r *http.Request, conn net.Conn) { sendInTwoParts(r, conn, c.framing, body, end, ends) }
			}
			b := newFixture(t, s...)
			b.dir.Catalog().Match("127.0.0.1", c.path).Timeout = time.Hour // the requests begin one after the other
			before := heapBytes()
			var callers sync.WaitGroup
			for i := range c.requests {
				callers.Go(func() {
					res, got, err := b.do(http.MethodPost, c.path, func(r *http.Request) { r.Header.Set("X-Id", fmt.Sprint("id-", i)) })
					if err != nil || res.StatusCode != http.StatusOK || len(got) != c.size {
						t.Errorf("answer %v, %.200q, error %v; want the whole body", res, got, err)
					}
				})
				awaitTrue(t, func() bool { // one after the other, so that no connection is refused
					waiting, reserved := b.gw.answers.state()
					return waiting+reserved/c.size == i+1
				})
			}
			if grown := heapBytes() - before; grown > 3*answerMemoryBytes {
				t.Errorf("the heap grew by %d MiB, want at most %d", grown>>20, 3*answerMemoryBytes>>20)
			}
			close(ends)
			callers.Wait()
			awaitTrue(t, func() bool {
				waiting, reserved := b.gw.answers.state()
				return waiting == 0 && reserved == 0
			})
		})
	}
}

// sendInTwoParts sends a head and body, and its end once ends is closed.
func sendInTwoParts(r *http.Request, conn net.Conn, framing, body, end string, ends <-chan struct{}) {
	head := "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + seal
	switch framing {
	case "with a length":
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body+end))
	case "chunked":
		head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(body+end))
		end += "\r\n" + lastChunk
	default:
		head += "\r\n"
	}
	_, _ = io.WriteString(conn, head)
	_, _ = io.WriteString(conn, body)
	<-ends
	_, _ = io.WriteString(conn, end)
}

// state returns the number of answers that wait for memory, and the bytes that are reserved.
func (m *answerMemory) state() (waiting, reserved int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waiting, m.reserved
}

// TestReservationWaitsNoLongerThanItsRequest ends a request whose answer waits for memory.
func TestReservationWaitsNoLongerThanItsRequest(t *testing.T) {
	m := newAnswerMemory()
	release, err := m.reserve(t.Context(), "a", serverAnswerBytes)
	if err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancelCause(t.Context())
	cancel(errDeadline)
	if _, err := m.reserve(ended, "a", 1); !errors.Is(err, errDeadline) {
		t.Errorf("error %v of a request that has ended, want its cause", err)
	}
	if _, err := m.reserve(t.Context(), "b", serverAnswerBytes); err != nil {
		t.Errorf("error %v of an answer of another server, want none", err)
	}
	release()
	if _, err := m.reserve(t.Context(), "a", 1); err != nil {
		t.Errorf("error %v after a release, want none", err)
	}
}
