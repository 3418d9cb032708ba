package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// TestRepeatedRefusalDecidesNothing guards against a refusal that a faulty server writes once more on a kept connection: the next
// request must not count as not run, nor go to another server, although the server runs it.
func TestRepeatedRefusalDecidesNothing(t *testing.T) {
	refusal := func(id string) string {
		head := "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n"
		if id != "" {
			head += "X-Id: " + id + "\r\n"
		}
		return head + "\r\nfull"
	}
	cases := []struct {
		name   string
		served bool   // the first request is served, so that its connection is kept; otherwise it is refused
		behind string // written directly behind the first answer
		before string // written before the answer to the next request
	}{
		{"behind the refusal", false, refusal("a"), ""},
		{"behind the refusal, without an id", false, refusal(""), ""},
		{"after the refusal, once the next request has arrived", false, "", refusal("a")},
		{"behind a later answer", true, refusal("a"), ""},
		{"behind a later answer, without an id", true, refusal(""), ""},
		{"once the next request has arrived", true, "", refusal("a")},
		{"once the next request has arrived, without an id", true, "", refusal("")},
		{"twice", true, "", refusal("a") + refusal("a")},
		{"more often", true, "", strings.Repeat(refusal("a"), maxTestRefusals)},
		{"truncated", true, "", refusal("a")[:20]},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ran, connections atomic.Int32
			s := newBackend(t, nil)
			s.stream = func(r *http.Request, conn net.Conn) {
				connections.Add(1)
				for reader := bufio.NewReader(conn); ; {
					switch {
					case r.Header.Get("X-Id") == "b":
						ran.Add(1)
						_, _ = io.WriteString(conn, c.before+fullAnswer(r, 200, seal, "served"))
					case c.served:
						_, _ = io.WriteString(conn, fullAnswer(r, 200, seal, "served")+c.behind)
					default:
						_, _ = io.WriteString(conn, refusal("a")+c.behind)
					}
					var err error
					if r, err = http.ReadRequest(reader); err != nil {
						return
					}
				}
			}
			b := newFixture(t, s)
			send := func(id string) (*http.Response, string) {
				res, body, err := b.do(http.MethodPost, "/unsafe/x", func(r *http.Request) { r.Header.Set("X-Id", id) })
				if err != nil {
					t.Fatal(err)
				}
				return res, body
			}
			if res, _ := send("a"); !c.served && res.Header.Get(headerVerdict) != "not_run" {
				t.Fatalf("verdict %q of a refused request, want not_run", res.Header.Get(headerVerdict))
			}
			res, body := send("b")
			if n := ran.Load(); n != 1 {
				t.Errorf("the next request ran %d times, want once", n)
			}
			if kept := connections.Load() == 1; kept != (c.served && c.behind == "") {
				t.Errorf("%d connections, want one only if the first answer leaves its connection in order", connections.Load())
			}
			served := res.StatusCode == http.StatusOK && body == "served"
			if mayHaveRun := res.Header.Get(headerVerdict) == "may_have_run"; !served && !mayHaveRun {
				t.Errorf("status %d, verdict %q, body %q; want the server's answer, or may_have_run", res.StatusCode, res.Header.Get(headerVerdict), body)
			}
		})
	}
}

// maxTestRefusals is more than the answers to other requests that are skipped.
const maxTestRefusals = 10

// TestBegunStreamNeverGoesOnWithError guards against errors in the middle of a stream: the server that resumes a begun stream answers
// with something else than its continuation. The stream must end as broken off behind its last event.
func TestBegunStreamNeverGoesOnWithError(t *testing.T) {
	const events = "id: 1\n\nid: 2\n\n"
	answer := func(status, extra, body string) func(*http.Request) string {
		return func(r *http.Request) string {
			return "HTTP/1.1 " + status + "\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + extra + "\r\n" + body
		}
	}
	const chunked = "Transfer-Encoding: chunked\r\n"
	cases := []struct {
		name   string
		answer func(*http.Request) string
	}{
		{"error", answer("500 X", seal+"Content-Length: 6\r\n", "failed")},
		{"error with a blank line", answer("500 X", seal+"Content-Length: 8\r\n", "failed\n\n")},
		{"error without a length", answer("500 X", seal, "failed\n\n"+closeAfter)},
		{"error in chunks", answer("502 X", seal+chunked, "8\r\nfailed\n\n\r\n"+lastChunk)},
		{"not run", answer("503 X", "X-Not-Run: 1\r\nContent-Length: 8\r\n", "failed\n\n")},
		{"unsigned", answer("200 X", "Content-Length: 8\r\n", "failed\n\n")},
		{"text instead of events", answer("200 X", seal+"Content-Type: text/plain\r\nContent-Length: 8\r\n", "failed\n\n")},
		{"JSON instead of events", answer("200 X", seal+"Content-Type: application/json\r\nContent-Length: 8\r\n", "failed\n\n")},
		{"no content", answer("204 X", seal+"Content-Type: text/event-stream\r\n", "")},
		{"accepted, no events", answer("202 X", seal+"Content-Type: text/event-stream\r\nContent-Length: 0\r\n", "")},
		{"whole answer in the body", answer("500 X", seal+"Content-Length: 45\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nid: 3\n\n")},
		{"no answer", func(*http.Request) string { return "" }},
	}
	for _, c := range cases {
		for _, path := range []string{"/resume/x", "/stream/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				var b *fixture
				script := func(r *http.Request, _ string) string {
					if r.Header.Get("X-After") != "" {
						return c.answer(r)
					}
					for i, s := range b.servers {
						if r.Header.Get("X-Server") == b.dir.backends[i].Id {
							_ = s.lis.Close() // the run goes on at its backup
						}
					}
					return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + seal + "Content-Type: text/event-stream\r\n" + chunked + "\r\n" +
						"e\r\n" + events + "\r\n" + closeAfter
				}
				b = newFixture(t, newBackend(t, script), newBackend(t, script))
				_, body, err := b.do(http.MethodPost, path, func(r *http.Request) {
					r.Header.Set("X-Prompt", "700")
					r.Header.Set("X-Output", "300")
				})
				if err == nil || body != events {
					t.Errorf("body %q, error %v; want %q and a broken connection", body, err, events)
				}
			})
		}
	}
}
