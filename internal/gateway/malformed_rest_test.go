package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// malformedStreams returns the starts of answers that are no answers, to a request with the given id, by what is wrong with them.
func malformedStreams(id string) map[string]string {
	const rest = "Content-Length: 7\r\n\r\nid: 2\n\n"
	head := "X-Id: " + id + "\r\n" + seal
	return map[string]string{
		"status 000":                       "HTTP/1.1 000 X\r\n" + head + rest,
		"status 101":                       "HTTP/1.1 101 X\r\n" + head + "\r\nid: 2\n\n",
		"blank in a name":                  "HTTP/1.1 200 OK\r\n" + head + "X Y: z\r\n" + rest,
		"continued line":                   "HTTP/1.1 200 OK\r\n" + head + " z\r\n" + rest,
		"blank behind the length":          "HTTP/1.1 200 OK\r\n" + head + "Content-Length : 7\r\n\r\nid: 2\n\n",
		"in an informational one":          "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n" + head + rest,
		"in place of an informational one": "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n" + head + rest,
		"carriage return in value":         "HTTP/1.1 200 OK\r\n" + head + "X-Y: a\rb\r\n" + rest,
	}
}

// TestMalformedRestOfAStreamIsNotRelayed guards against a stream that goes on with an answer which is not well-formed: the second server, from
// which it is resumed, or which holds the backup of its run, sends one.
func TestMalformedRestOfAStreamIsNotRelayed(t *testing.T) {
	const begun = "id: 1\n\n"
	for name, broken := range malformedStreams("id-1") {
		for _, path := range []string{"/resume/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				var b *fixture
				var arrived atomic.Int32
				script := func(r *http.Request, _ string) string {
					if arrived.Add(1) > 1 {
						return broken + closeAfter
					}
					for i, s := range b.servers {
						if r.Header.Get("X-Server") == b.dir.backends[i].Id {
							_ = s.lis.Close() // it ends, so that the backup of its run may go on
						}
					}
					return streamStart(r, begun) + closeAfter
				}
				b = newFixture(t, newBackend(t, script), newBackend(t, script))
				_, body, err := b.do(http.MethodPost, path, func(r *http.Request) {
					r.Header.Set("X-Prompt", "700")
					r.Header.Set("X-Output", "300")
				})
				if err == nil || body != begun || arrived.Load() != 2 {
					t.Errorf("body %q, error %v after %d attempts; want %q, broken off, after 2", body, err, arrived.Load(), begun)
				}
			})
		}
	}
}

// TestRestOfAStreamResetDuringUploadIsNotWhole guards against a resumed stream that the caller takes for complete although the second server reset
// the connection while the request was still being written.
func TestRestOfAStreamResetDuringUploadIsNotWhole(t *testing.T) {
	const first, second = "id: 1\n\n", "id: 2\n\n"
	var arrived atomic.Int32
	serve := func(conn *net.TCPConn) {
		if arrived.Add(1) > 1 {
			responsechecktest.AnswerAndReset(conn, "HTTP/1.1 200 OK\r\nX-Id: id-1\r\n"+seal+"\r\n"+second, time.Millisecond)
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, streamStart(r, first))
		}
	}
	b := newFixture(t)
	for i := range 2 {
		b.dir.backends = append(b.dir.backends, &controlpb.BackendServer{
			Id: "s" + strconv.Itoa(i), Incarnation: "1", Address: responsechecktest.ServeConns(t, serve), Kind: route.KindService, Model: "app",
			Lifecycle: route.LifecycleReady, Slots: 4,
		})
	}
	b.dir.onChange()
	_, body, err := b.do(http.MethodPost, "/resume/x", withUpload)
	if err == nil || body != first && body != first+second || arrived.Load() != 2 {
		t.Errorf("body %q, error %v after %d attempts; want %q, at most followed by %q, broken off, after 2", body, err, arrived.Load(), first, second)
	}
}

// TestMalformedAnswerLosesTheRace guards against a hedged request that gets an answer which is not well-formed, since it came first.
func TestMalformedAnswerLosesTheRace(t *testing.T) {
	const ms = time.Millisecond
	for name, broken := range malformedStreams("asked") {
		sends := func(after time.Duration) func(*http.Request) []part {
			return func(*http.Request) []part { return []part{{after, broken}} }
		}
		for _, c := range []struct {
			name, path, want string
			first, second    func(*http.Request) []part
		}{
			{"the first", "/safe/x", "second", sends(30 * ms), says(50*ms, 200, seal, "second")},
			{"the hedge", "/safe/x", "first", says(100*ms, 200, seal, "first"), sends(10 * ms)},
			{"the first, a stream", "/resume/x", "id: 7\n\n", sends(30 * ms), streams(50*ms, "id: 7\n\n")},
			{"the hedge, a stream", "/resume/x", "id: 1\n\n", streams(100*ms, "id: 1\n\n"), sends(10 * ms)},
		} {
			t.Run(name+", "+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := startHedgeTest(t, c.path, c.first, c.second)
					if a := h.ask(context.Background(), c.path); a.status != http.StatusOK || a.body != c.want || a.cut {
						t.Errorf("got %+v, want status 200 and body %q", a, c.want)
					}
				})
			})
		}
	}
}
