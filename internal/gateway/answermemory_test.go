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
)

// heapBytes returns the size of the live heap.
func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// TestManyLargeAnswersAtATimeAreBounded guards against running out of memory when many servers send large answers at a time and don't end them:
// the gateway stops reading from most of them. Once the answers end, all of them are served.
func TestManyLargeAnswersAtATimeAreBounded(t *testing.T) {
	const servers, each = 8, 8
	for _, framing := range []string{"with a length", "chunked", "without a length"} {
		t.Run(framing, func(t *testing.T) {
			body := strings.Repeat("x", maxBufferedBytes-1)
			ends := make(chan struct{})
			s := make([]*backend, servers)
			for i := range s {
				s[i] = newBackend(t, nil)
				s[i].stream = func(r *http.Request, conn net.Conn) { sendInTwoParts(r, conn, framing, body, ends) }
			}
			b := newFixture(t, s...)
			before := heapBytes()
			var callers sync.WaitGroup
			for i := range servers * each {
				callers.Go(func() {
					res, got, err := b.do(http.MethodPost, "/unsafe/x", func(r *http.Request) { r.Header.Set("X-Id", fmt.Sprint("id-", i)) })
					if err != nil || res.StatusCode != http.StatusOK || len(got) != len(body)+1 {
						t.Errorf("answer %v, %d bytes, error %v; want the whole body", res, len(got), err)
					}
				})
			}
			awaitTrue(t, func() bool {
				waiting, reserved := b.gw.answers.state()
				return reserved > 0 && waiting+reserved/maxBufferedBytes == servers*each
			})
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

// sendInTwoParts sends a head and body, and a last byte once ends is closed.
func sendInTwoParts(r *http.Request, conn net.Conn, framing, body string, ends <-chan struct{}) {
	head := "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + seal
	last := "y"
	switch framing {
	case "with a length":
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+1)
	case "chunked":
		head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(body)+1)
		last += "\r\n" + lastChunk
	default:
		head += "\r\n"
	}
	_, _ = io.WriteString(conn, head)
	_, _ = io.WriteString(conn, body)
	<-ends
	_, _ = io.WriteString(conn, last)
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
