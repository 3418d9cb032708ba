package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/proto/controlpb"
)

// TestOneServer plays what one backend server may do to one request.
func TestOneServer(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		script  func(r *http.Request, body string) string
		status  int
		body    string // empty: any
		verdict string // empty: the answer is the server's
		tries   int    // requests at the server
		cut     bool   // the answer ends without its proper end
	}{
		{"served", "/unsafe/x", func(r *http.Request, _ string) string { return whole(r, 200, seal, "ok") }, 200, "ok", "", 1, false},
		{"the server's failure", "/unsafe/x", func(r *http.Request, _ string) string { return whole(r, 500, seal, "bad") }, 500, "bad", "", 1, false},
		{"not run", "/unsafe/x", func(r *http.Request, _ string) string { return whole(r, 503, "X-Not-Run: 1\r\n", "") }, 503, "", "not_run", 1, false},
		{"another server has the address", "/unsafe/x", func(r *http.Request, _ string) string { return whole(r, 421, "", "") }, 503, "", "not_run", 1, false},
		{"an unsafe request without an answer", "/unsafe/x", func(*http.Request, string) string { return "" }, 502, "", "may_have_run", 1, false},
		{"an unsafe request with half an answer", "/unsafe/x", func(r *http.Request, _ string) string {
			return strings.Replace(whole(r, 200, seal, "ok"), "Content-Length: 2", "Content-Length: 9", 1) + closeAfter
		}, 502, "", "may_have_run", 1, false},
		{"a success without a signature", "/unsafe/x", func(r *http.Request, _ string) string { return whole(r, 200, "", "ok") }, 502, "", "may_have_run", 1, false},
		{"an answer to another request", "/unsafe/x", func(*http.Request, string) string {
			return "HTTP/1.1 200 OK\r\nX-Id: other\r\n" + seal + "Content-Length: 2\r\n\r\nno" + closeAfter
		}, 502, "", "may_have_run", 1, false},
		{"a refusal of another request", "/unsafe/x", func(*http.Request, string) string {
			return "HTTP/1.1 503 X\r\nX-Id: other\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" + closeAfter
		}, 502, "", "may_have_run", 1, false},
		{"an answer that ends with its connection", "/unsafe/x", func(r *http.Request, _ string) string {
			return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + seal + "\r\nok" + closeAfter
		}, 200, "ok", "", 1, false},
		{"a whole stream", "/stream/x", func(r *http.Request, _ string) string { return chunks(r, "id: 1\n\n", "id: 2\n\n") + lastChunk }, 200, "id: 1\n\nid: 2\n\n", "", 1, false},
		{"a stream cut behind an event", "/stream/x", func(r *http.Request, _ string) string { return chunks(r, "id: 1\n\n") + closeAfter }, 200, "id: 1\n\n", "", 1, true},
		{"a stream cut in an event", "/stream/x", func(r *http.Request, _ string) string { return chunks(r, "id: 1\n\n", "id: ") + closeAfter }, 200, "", "", 1, true},
		{"a stream cut before its first event", "/stream/x", func(r *http.Request, _ string) string { return chunks(r) + closeAfter }, 502, "", "may_have_run", 1, false},
		{"a stream that is refused", "/stream/x", func(r *http.Request, _ string) string { return whole(r, 503, "X-Not-Run: 1\r\n", "") }, 503, "", "not_run", 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newBackend(t, tc.script)
			b := newBench(t, s)
			res, body, err := b.get(http.MethodPost, tc.path)
			if res == nil {
				t.Fatal(err)
			}
			if (err != nil) != tc.cut {
				t.Errorf("error %v, want a cut answer: %v", err, tc.cut)
			}
			if res.StatusCode != tc.status || (tc.body != "" && body != tc.body) {
				t.Errorf("%d %q, want %d %q", res.StatusCode, body, tc.status, tc.body)
			}
			if got := res.Header.Get(headerVerdict); got != tc.verdict {
				t.Errorf("verdict %q, want %q", got, tc.verdict)
			}
			if retry := res.Header.Get("Retry-After"); (retry != "") != (tc.verdict == "not_run") {
				t.Errorf("Retry-After %q with the verdict %q", retry, tc.verdict)
			}
			if n := len(s.requests()); n != tc.tries {
				t.Errorf("%d requests at the server, want %d", n, tc.tries)
			}
		})
	}
}

// TestSecondServer lets the first server that gets a request fail and a second one serve it.
func TestSecondServer(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		first  func(r *http.Request, body string) string
		status int
		body   string
		tries  int
	}{
		{"a safe request without an answer", "/safe/x", func(*http.Request, string) string { return "" }, 200, "served", 2},
		{"a safe request that fails", "/safe/x", func(r *http.Request, _ string) string { return whole(r, 500, seal, "bad") }, 200, "served", 2},
		{"a safe request that was not run", "/safe/x", func(r *http.Request, _ string) string { return whole(r, 503, "X-Not-Run: 1\r\n", "") }, 200, "served", 2},
		{"an unsafe request that was not run", "/unsafe/x", func(r *http.Request, _ string) string { return whole(r, 503, "X-Not-Run: 1\r\n", "") }, 200, "served", 2},
		{"an unsafe request without an answer", "/unsafe/x", func(*http.Request, string) string { return "" }, 502, "", 1},
		{"an unsafe request that fails", "/unsafe/x", func(r *http.Request, _ string) string { return whole(r, 500, seal, "bad") }, 500, "bad", 1},
		{"a stream that broke off", "/stream/x", func(r *http.Request, _ string) string { return chunks(r) + closeAfter }, 502, "", 1},
		{"a resumable stream that broke off at once", "/resume/x", func(r *http.Request, _ string) string { return chunks(r) + closeAfter }, 200, "id: 1\n\nid: 2\n\nid: 3\n\n", 2},
		{"a resumable stream that broke off in an event", "/resume/x", func(r *http.Request, _ string) string {
			return chunks(r, "id: 1\n\n", "id: 2\nda") + closeAfter
		}, 200, "id: 1\n\nid: 2\n\nid: 3\n\n", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var first string
			script := func(r *http.Request, body string) string {
				if first == "" {
					first = r.Header.Get("X-Server")
				}
				if r.Header.Get("X-Server") == first {
					return tc.first(r, body)
				}
				if !strings.HasPrefix(tc.path, "/resume/") {
					return whole(r, 200, seal, "served")
				}
				if r.Header.Get("X-After") == "1" {
					return chunks(r, "id: 2\n\n", "id: 3\n\n") + lastChunk
				}
				return chunks(r, "id: 1\n\n", "id: 2\n\n", "id: 3\n\n") + lastChunk
			}
			one, two := newBackend(t, script), newBackend(t, script)
			b := newBench(t, one, two)
			res, body, err := b.get(http.MethodPost, tc.path)
			if err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != tc.status || (tc.body != "" && body != tc.body) {
				t.Errorf("%d %q, want %d %q", res.StatusCode, body, tc.status, tc.body)
			}
			if n := len(one.requests()) + len(two.requests()); n != tc.tries {
				t.Errorf("%d requests at the servers, want %d", n, tc.tries)
			}
		})
	}
}

func TestWhoMaySend(t *testing.T) {
	key := func(k string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set("X-Key", k) }
	}
	cases := []struct {
		name   string
		path   string
		change func(*http.Request)
		stale  bool
		status int
		served bool
	}{
		{"known key", "/safe/x", key("k"), false, 200, true},
		{"unknown key", "/safe/x", key("other"), false, 401, false},
		{"no key", "/safe/x", key(""), false, 401, false},
		{"public route without a key", "/open/x", key(""), false, 200, true},
		{"keys not confirmed", "/safe/x", key("k"), true, 503, false},
		{"public route while keys are not confirmed", "/open/x", key(""), true, 200, true},
		{"no route", "/none/x", key("k"), false, 404, false},
		{"no id", "/safe/x", func(r *http.Request) { r.Header.Del("X-Id") }, false, 400, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newBackend(t, func(r *http.Request, _ string) string { return whole(r, 200, seal, "ok") })
			b := newBench(t, s)
			b.dir.stale.Store(tc.stale)
			shortWait := func(r *http.Request) { r.Header.Set("X-Wait-Ms", "100") }
			res, _, err := b.get(http.MethodGet, tc.path, tc.change, shortWait)
			if err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != tc.status {
				t.Errorf("status %d, want %d", res.StatusCode, tc.status)
			}
			if served := len(s.requests()) == 1; served != tc.served {
				t.Errorf("served %v, want %v", served, tc.served)
			}
		})
	}
}

func TestNoCatalogYet(t *testing.T) {
	b := newBench(t)
	b.dir.index.Store(nil)
	res, _, err := b.get(http.MethodGet, "/safe/x", func(r *http.Request) { r.Header.Set("X-Wait-Ms", "100") })
	if err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v, %v; want 503", res, err)
	}
	if ready, _ := b.gw.Status(); ready {
		t.Error("ready without a catalog")
	}
}

// TestReturnOfAllCallersAfterAStart sends requests before the gateway knows anything: they are held, not refused.
func TestReturnOfAllCallersAfterAStart(t *testing.T) {
	s := newBackend(t, func(r *http.Request, _ string) string { return whole(r, 200, seal, "ok") })
	b := newBench(t, s)
	index := b.dir.index.Swap(nil)
	const callers = 20
	statuses := make(chan int, callers)
	for range callers {
		go func() {
			res, _, err := b.get(http.MethodGet, "/safe/x", func(r *http.Request) { r.Header.Set("X-Wait-Ms", "60000") })
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- res.StatusCode
		}()
	}
	for b.gw.waiting.Load() < callers {
		time.Sleep(time.Millisecond)
	}
	b.dir.index.Store(index)
	for range callers {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
}

func TestRequestGoesOnAsItCame(t *testing.T) {
	var body string
	s := newBackend(t, func(r *http.Request, b string) string {
		body = b
		return whole(r, 200, seal+"X-Own: 1\r\nKeep-Alive: timeout=5\r\n", "ok")
	})
	b := newBench(t, s)
	res, _, err := b.get(http.MethodPut, "/unsafe/a%2Fb/../c?x=%20&y", func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader("in chunks"))
		r.Header.Set("X-Wait-Ms", "5000")
		r.Header.Set("X-Other", "kept")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "dropped")
		r.Header.Set("X-Organisation", "forged")
	})
	if err != nil {
		t.Fatal(err)
	}
	got := s.requests()[0]
	if got.Method != http.MethodPut || got.RequestURI != "/unsafe/a%2Fb/../c?x=%20&y" || body != "in chunks" {
		t.Errorf("the server got %s %s %q", got.Method, got.RequestURI, body)
	}
	for name, want := range map[string]string{"X-Other": "kept", "X-Hop": "", "X-Key": "", "X-Organisation": "one", "X-Server": "s0", "X-Id": "id-1"} {
		if v := got.Header.Get(name); v != want {
			t.Errorf("%s is %q at the server, want %q", name, v, want)
		}
	}
	if res.Header.Get("X-Own") != "1" || res.Header.Get("X-Seal") != "s" || res.Header.Get("Keep-Alive") != "" {
		t.Errorf("headers of the answer: %v", res.Header)
	}
}

// TestCallerThatLeavesEndsTheWork closes the caller's connection while a server works.
func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			reached := make(chan struct{})
			s := newBackend(t, func(r *http.Request, _ string) string {
				close(reached)
				if strings.HasPrefix(path, "/stream/") {
					return chunks(r, "id: 1\n\n") + holdAnswer
				}
				return holdAnswer
			})
			b := newBench(t, s)
			ctx, cancel := context.WithCancel(context.Background())
			go func() { <-reached; cancel() }()
			_, _, err := b.get(http.MethodPost, path, func(r *http.Request) { *r = *r.WithContext(ctx) })
			if err == nil {
				t.Error("an answer for a caller that left")
			}
			<-s.left
			if n := len(s.requests()); n != 1 {
				t.Errorf("%d requests at the server, want 1", n)
			}
		})
	}
}

// TestDeadline lets a server answer nothing until the caller's deadline.
func TestDeadline(t *testing.T) {
	s := newBackend(t, func(*http.Request, string) string { return holdAnswer })
	b := newBench(t, s)
	res, _, err := b.get(http.MethodPost, "/unsafe/x", func(r *http.Request) { r.Header.Set("X-Wait-Ms", "20") })
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != http.StatusGatewayTimeout || res.Header.Get(headerVerdict) != "may_have_run" {
		t.Errorf("%d, verdict %q; want 504, may_have_run", res.StatusCode, res.Header.Get(headerVerdict))
	}
	<-s.left
}

// TestDrainLeavesRoomForTheLastRequests holds the times of a planned stop against the balancer's and the grace period:
// two missed checks of one second each come first, and a request taken at the end still has most of the grace period.
func TestDrainLeavesRoomForTheLastRequests(t *testing.T) {
	const twoMisses = 2 * time.Second
	const latest = 3 * time.Second
	listen, all := drainTimes(8 * time.Second)
	if listen <= twoMisses || listen >= latest {
		t.Errorf("new connections are taken for %v, want more than %v and less than %v", listen, twoMisses, latest)
	}
	if all <= 7*time.Second || all >= 8*time.Second {
		t.Errorf("requests are ended after %v, want between 7 s and the grace period of 8 s", all)
	}
}

func TestAYoungerServerTakesTheAddress(t *testing.T) {
	got := youngestByAddress([]*controlpb.BackendServer{
		{Id: "a", Address: "1", StartedMs: 5}, {Id: "b", Address: "1", StartedMs: 7}, {Id: "c", Address: "2", StartedMs: 1},
	})
	if len(got) != 2 || got[0].Id != "b" || got[1].Id != "c" {
		t.Errorf("%v, want b and c", got)
	}
}

func TestLastEventID(t *testing.T) {
	for events, want := range map[string]string{
		"id: 1\ndata: x\n\n":                "1",
		"data: x\nid: 2\n\n":                "2",
		"id: 1\n\nid: 12\ndata: id: 7\n\n":  "12",
		"data: id: 7\n\n":                   "",
		"id: 1\n\nevent: done\ndata: x\n\n": "1",
	} {
		if got := lastEventID([]byte(events)); got != want {
			t.Errorf("%q: id %q, want %q", events, got, want)
		}
	}
}

// TestAStopAnswersWhatArrives stops a gateway while callers keep their connections: each gets its answer and is told to leave.
func TestAStopAnswersWhatArrives(t *testing.T) {
	s := newBackend(t, func(r *http.Request, _ string) string { return whole(r, 200, seal, "ok") })
	b := newBench(t, s)
	if res, _, err := b.get(http.MethodGet, "/safe/x"); err != nil || res.Close {
		t.Fatalf("%v, %v; want an answer that keeps the connection", res, err)
	}
	b.gw.draining.Store(true)
	res, body, err := b.get(http.MethodGet, "/safe/x")
	if err != nil || body != "ok" || !res.Close {
		t.Errorf("%v, %q, %v; want an answer that closes the connection", res, body, err)
	}
	if ready, _ := b.gw.Status(); ready {
		t.Error("ready while shutting down")
	}
}
