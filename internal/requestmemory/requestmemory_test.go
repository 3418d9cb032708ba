package requestmemory

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
)

const testMaxBytes = 1 << 20

// newServer returns a server that answers with the size of a body or with the code of its refusal.
func newServer(t *testing.T, m *Memory, timeout time.Duration, abort context.Context) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := m.Read(w, r, Request{Owner: "o", MaxBytes: testMaxBytes, Timeout: timeout, Abort: abort})
		defer body.Release()
		var refused *Refusal
		if errors.As(err, &refused) {
			w.WriteHeader(refused.Status)
			_, _ = io.WriteString(w, refused.Code)
			return
		}
		data := body.Bytes()
		if body.Size() != len(data) || bytes.Count(data, []byte("x")) != len(data) {
			t.Errorf("got %d bytes in one piece, want the %d sent", len(data), body.Size())
		}
		_, _ = fmt.Fprint(w, len(data))
	}))
	t.Cleanup(s.Close)
	return s
}

// send sends text on a connection that stays open, and returns the status and the body of the answer.
func send(t *testing.T, s *httptest.Server, text string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, text) }() // the server may stop reading
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(body)
}

const head = "POST / HTTP/1.1\r\nHost: x\r\n"

func withLength(n, sent int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, n, strings.Repeat("x", sent))
}

func inChunks(n, size int, end string) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, n/size) + end
}

// TestBodies guards against bodies that arrive incompletely, above the limit or too slowly and hold a request for ever.
func TestBodies(t *testing.T) {
	const lastChunk = "0\r\n\r\n"
	cases := []struct {
		name    string
		text    string
		timeout time.Duration
		status  int
		answer  string
	}{
		{"small", withLength(5, 5), time.Minute, 200, "5"},
		{"of one block", withLength(blockBytes, blockBytes), time.Minute, 200, fmt.Sprint(blockBytes)},
		{"at the limit", withLength(testMaxBytes, testMaxBytes), time.Minute, 200, fmt.Sprint(testMaxBytes)},
		{"announced above the limit", withLength(testMaxBytes+1, 10), time.Minute, 413, CodeTooLarge},
		{"small chunks", inChunks(100_000, 10, lastChunk), time.Minute, 200, "100000"},
		{"chunks at the limit", inChunks(testMaxBytes, 1<<15, lastChunk), time.Minute, 200, fmt.Sprint(testMaxBytes)},
		{"chunks above the limit", inChunks(testMaxBytes+1<<15, 1<<15, ""), time.Minute, 413, CodeTooLarge},
		{"no chunk", inChunks(0, 1, lastChunk), time.Minute, 200, "0"},
		{"invalid chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", time.Minute, 400, CodeIncomplete},
		{"stops short", withLength(10, 5), 50 * time.Millisecond, 408, CodeTooSlow},
		{"chunks that stop short", inChunks(20, 10, ""), 50 * time.Millisecond, 408, CodeTooSlow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(DefaultConfig())
			status, answer := send(t, newServer(t, m, c.timeout, nil), c.text)
			if status != c.status || answer != c.answer {
				t.Errorf("got %d %q, want %d %q", status, answer, c.status, c.answer)
			}
			awaitEmpty(t, m)
		})
	}
}

// awaitEmpty waits until no memory is reserved.
func awaitEmpty(t *testing.T, m *Memory) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); m.state() != (state{}); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("still reserved: %+v", m.state())
		}
	}
}

// TestSlowBodyIsRefused guards against a body that arrives a byte at a time and holds its memory up to the limit on its time.
func TestSlowBodyIsRefused(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MinRate, cfg.Grace = 1<<20, 10*time.Millisecond
	m := New(cfg)
	if status, answer := send(t, newServer(t, m, time.Hour, nil), withLength(100, 1)); status != 408 || answer != CodeTooSlow {
		t.Errorf("got %d %q, want 408 %q", status, answer, CodeTooSlow)
	}
	awaitEmpty(t, m)
}

// TestStalledBodyGivesWay checks that a body gets the memory of one that stopped short of its end.
func TestStalledBodyGivesWay(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Limits = NewLimits(4*blockBytes, 4*blockBytes, 10)
	m := New(cfg)
	s := newServer(t, m, time.Hour, nil)
	stalled := make(chan string)
	go func() {
		status, answer := send(t, s, withLength(4*blockBytes, 3*blockBytes+1))
		stalled <- fmt.Sprint(status, " ", answer)
	}()
	for m.state().reserved < 3*blockBytes {
		time.Sleep(time.Millisecond)
	}
	if status, answer := send(t, s, withLength(3*blockBytes, 3*blockBytes)); status != 200 {
		t.Errorf("got %d %q, want 200", status, answer)
	}
	if got, want := <-stalled, "503 "+CodeNoMemory; got != want {
		t.Errorf("stalled body got %q, want %q", got, want)
	}
	awaitEmpty(t, m)
}

// TestWaitForMemoryIsBounded guards against a body that waits for memory until its caller has given up.
func TestWaitForMemoryIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Limits = NewLimits(2*blockBytes, 2*blockBytes, 10)
	cfg.Limits.RefuseAfter = time.Hour
	m := New(cfg)
	holder, _ := m.budget.Begin(time.Now(), "o", 2*blockBytes)
	if ok, _ := m.budget.Reserve(time.Now(), holder, 2*blockBytes); !ok || !m.budget.Complete(holder) {
		t.Fatal("the only body was not reserved")
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := m.Read(w, r, Request{Owner: "p", MaxBytes: testMaxBytes, Timeout: time.Hour, MaxWait: 20 * time.Millisecond})
		var refused *Refusal
		if !errors.As(err, &refused) || refused.Code != CodeNoMemory {
			t.Errorf("error %v, want %s", err, CodeNoMemory)
		}
	}))
	defer s.Close()
	send(t, s, withLength(blockBytes, blockBytes))
	m.release(holder)
	awaitEmpty(t, m)
}

// TestAbortEndsReads checks that a shutdown ends the read of a body that does not arrive.
func TestAbortEndsReads(t *testing.T) {
	m := New(DefaultConfig())
	ctx, abort := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, abort)
	if status, answer := send(t, newServer(t, m, time.Hour, ctx), withLength(100, 1)); status != 503 || answer != CodeAborted {
		t.Errorf("got %d %q, want 503 %q", status, answer, CodeAborted)
	}
	awaitEmpty(t, m)
}

// TestConnectionIsReusedAfterBody guards against a deadline of a body that stays in force for the next request.
func TestConnectionIsReusedAfterBody(t *testing.T) {
	m := New(DefaultConfig())
	s := newServer(t, m, 100*time.Millisecond, nil)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for range 2 {
		_, _ = io.WriteString(conn, withLength(5, 5))
		res, err := http.ReadResponse(r, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("response %v, error %v, want 200", res, err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		time.Sleep(150 * time.Millisecond)
	}
}

// TestHandlerReleasesAfterRequest checks ReadAll below Handler and JoiningHandler: a body of several blocks counts twice below the latter, and all is
// released once the request has ended.
func TestHandlerReleasesAfterRequest(t *testing.T) {
	const size = 5 * blockBytes
	for _, c := range []struct {
		name    string
		handler func(*Memory, http.Handler) http.Handler
		want    int
	}{
		{"one at a time", (*Memory).Handler, size},
		{"joining", (*Memory).JoiningHandler, 2 * size},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(DefaultConfig())
			s := httptest.NewServer(c.handler(m, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := ReadAll(w, r, testMaxBytes)
				if err != nil || len(body) != size || m.state().reserved != c.want {
					t.Errorf("%d bytes, error %v, reserved %d; want %d bytes and %d reserved", len(body), err, m.state().reserved, size, c.want)
				}
			})))
			defer s.Close()
			for range 3 {
				send(t, s, withLength(size, size))
			}
			awaitEmpty(t, m)
		})
	}
}
