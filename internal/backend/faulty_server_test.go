package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
)

// rawServer answers each request with start, and then with repeated until the caller closes the connection; without repeated it closes the
// connection, in order or by a reset.
func rawServer(t *testing.T, start, repeated string, resets bool) string {
	t.Helper()
	address := responsechecktest.ServeConns(t, func(conn *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, err = io.WriteString(conn, start)
		for err == nil && repeated != "" {
			_, err = io.WriteString(conn, repeated)
		}
		if resets {
			_ = conn.SetLinger(0)
		}
	})
	return "http://" + address
}

// discarding is a Sink that counts the bytes of an answer.
type discarding struct{ bytes int }

func (d *discarding) Head(int, []Header) error { return nil }

func (d *discarding) Data(data []byte, _ int) error {
	d.bytes += len(data)
	return nil
}

// clients returns a client of each kind.
func clients(t *testing.T, url string) map[string]Backend {
	t.Helper()
	list := map[string]Backend{
		"engine":           NewEngine(Config{URL: url}),
		"resumable engine": NewEngine(Config{URL: url, Resumable: true}),
		"service":          NewService(Config{URL: url}),
	}
	for _, c := range list {
		t.Cleanup(c.Close)
	}
	return list
}

// TestAnswerCutInItsHeadOrFramingFails guards against an answer that counts as whole, with an empty or short body, although its server
// stopped before its end: it is cut after each of its bytes.
func TestAnswerCutInItsHeadOrFramingFails(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string]string{
		"with a length":                 ok + "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
		"chunked":                       ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"after an informational answer": "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "Content-Length: 2\r\n\r\n{}",
		"event stream":                  ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\ne\r\ndata: [DONE]\n\n\r\n",
	} {
		for _, resets := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				for n := range len(answer) {
					for kind, c := range clients(t, rawServer(t, answer[:n], "", resets)) {
						_, err := c.Do(t.Context(), &Request{ID: "r", Method: "POST", Path: "/", Body: []byte("{}")}, &discarding{})
						if whole := strings.HasSuffix(answer[:n], "[DONE]\n\n") || strings.HasSuffix(answer[:n], "[DONE]\n\n\r"); err == nil && !whole {
							t.Errorf("%s: whole after %q, want an error", kind, answer[:n])
						}
					}
				}
			})
		}
	}
}

// TestBytesWithoutEndFail guards against running out of memory by what a faulty server sends without end: each call ends by a bound on the bytes.
func TestBytesWithoutEndFail(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		chunks = ok + "Transfer-Encoding: chunked\r\n\r\n"
		events = ok + "Content-Type: text/event-stream\r\n"
	)
	piece := strings.Repeat("x", 1024)
	for name, text := range map[string]struct{ start, repeated string }{
		"status line":           {"HTTP/1.1 200 ", piece},
		"no answer":             {"", piece},
		"header line":           {ok + "X-Long: ", piece},
		"header lines":          {ok, "X-More: x\r\n"},
		"informational answers": {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40)},
		"trailer":               {chunks + "0\r\nX-Long: ", piece},
		"trailers":              {chunks + "0\r\n", "X-More: x\r\n"},
		"chunk extension":       {chunks + "5;", piece},
		"chunk size":            {chunks, strings.Repeat("0", 1024)},
		"event":                 {events + "\r\ndata: ", piece},
		"event in chunks":       {events + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + piece + "\r\n"},
		"comments":              {events + "\r\n", strings.Repeat(": x\n", 256)},
		"blank lines":           {events + "\r\n", strings.Repeat("\n", 1024)},
		"body without a length": {ok + "\r\n", piece},
	} {
		t.Run(name, func(t *testing.T) {
			for kind, c := range clients(t, rawServer(t, text.start, text.repeated, false)) {
				if kind == "service" && strings.HasPrefix(text.start, events+"Transfer") {
					continue // the body of a service may have any size: see TestBodyWithoutEndWaitsForItsReceiver
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				_, err := c.Do(ctx, &Request{ID: "r", Method: "POST", Path: "/", Body: []byte("{}"), Stream: true}, &discarding{})
				if err == nil || ctx.Err() != nil {
					t.Errorf("%s: error %v, want one before the deadline", kind, err)
				}
				cancel()
			}
		})
	}
	for name, text := range map[string]struct{ start, repeated string }{
		"control call, body":         {ok + "\r\n", piece},
		"control call, body, length": {ok + "Content-Length: 99999999999\r\n\r\n", piece},
		"control call, head":         {ok, "X-More: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEngine(Config{URL: rawServer(t, text.start, text.repeated, false)})
			defer e.Close()
			if _, err := e.Load(t.Context()); err == nil {
				t.Error("no error, want one")
			}
		})
	}
}

// stuck is a Sink that accepts one piece of an answer and no other.
type stuck struct {
	ctx     context.Context
	pieces  int
	entered chan struct{}
}

func (s *stuck) Head(int, []Header) error { return nil }

func (s *stuck) Data([]byte, int) error {
	if s.pieces++; s.pieces == 1 {
		return nil
	}
	close(s.entered)
	<-s.ctx.Done()
	return context.Cause(s.ctx)
}

// TestBodyWithoutEndWaitsForItsReceiver guards against reading what the receiver doesn't take: the server can send no more than the buffers
// of its connection hold.
func TestBodyWithoutEndWaitsForItsReceiver(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	piece := "400\r\n" + strings.Repeat("x", 1024) + "\r\n"
	for _, kind := range []string{"engine", "resumable engine", "service"} {
		t.Run(kind, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &stuck{ctx: ctx, entered: make(chan struct{})}
			go func() {
				<-s.entered
				cancel()
			}()
			c := clients(t, rawServer(t, start, piece, false))[kind]
			if _, err := c.Do(ctx, &Request{ID: "r", Method: "POST", Path: "/", Body: []byte("{}")}, s); err == nil || s.pieces != 2 {
				t.Errorf("%d pieces, error %v; want two and an error", s.pieces, err)
			}
		})
	}
}
