package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/upstream"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// TestSingleServerAnswers covers the ways in which a single backend server may answer a request.
func TestSingleServerAnswers(t *testing.T) {
	cases := []struct {
		name      string
		path      string
		script    func(r *http.Request, body string) string
		status    int
		body      string // empty: any
		verdict   string // empty: the answer is the server's
		requests  int    // requests received by the server
		truncated bool   // the answer is truncated
	}{
		{"served", "/unsafe/x", func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "ok") }, 200, "ok", "", 1, false},
		{"server error", "/unsafe/x", func(r *http.Request, _ string) string { return fullAnswer(r, 500, seal, "bad") }, 500, "bad", "", 1, false},
		{"not run", "/unsafe/x", func(r *http.Request, _ string) string { return fullAnswer(r, 503, "X-Not-Run: 1\r\n", "") }, 503, "", "not_run", 1, false},
		{"address belongs to another server", "/unsafe/x", func(r *http.Request, _ string) string { return fullAnswer(r, 421, "", "") }, 503, "", "not_run", 1, false},
		{"unsafe request without an answer", "/unsafe/x", func(*http.Request, string) string { return "" }, 502, "", "may_have_run", 1, false},
		{"unsafe request with a truncated answer", "/unsafe/x", func(r *http.Request, _ string) string {
			return strings.Replace(fullAnswer(r, 200, seal, "ok"), "Content-Length: 2", "Content-Length: 9", 1) + closeAfter
		}, 502, "", "may_have_run", 1, false},
		{"success without a signature", "/unsafe/x", func(r *http.Request, _ string) string { return fullAnswer(r, 200, "", "ok") }, 502, "", "may_have_run", 1, false},
		{"answer to another request", "/unsafe/x", func(*http.Request, string) string {
			return "HTTP/1.1 200 OK\r\nX-Id: other\r\n" + seal + "Content-Length: 2\r\n\r\nno" + closeAfter
		}, 502, "", "may_have_run", 1, false},
		{"refusal of another request", "/unsafe/x", func(*http.Request, string) string {
			return "HTTP/1.1 503 X\r\nX-Id: other\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" + closeAfter
		}, 502, "", "may_have_run", 1, false},
		{"answer delimited by connection close", "/unsafe/x", func(r *http.Request, _ string) string {
			return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + seal + "\r\nok" + closeAfter
		}, 200, "ok", "", 1, false},
		{"complete stream", "/stream/x", func(r *http.Request, _ string) string { return streamStart(r, "id: 1\n\n", "id: 2\n\n") + lastChunk }, 200, "id: 1\n\nid: 2\n\n", "", 1, false},
		{"stream truncated after an event", "/stream/x", func(r *http.Request, _ string) string { return streamStart(r, "id: 1\n\n") + closeAfter }, 200, "id: 1\n\n", "", 1, true},
		{"stream truncated within an event", "/stream/x", func(r *http.Request, _ string) string { return streamStart(r, "id: 1\n\n", "id: ") + closeAfter }, 200, "", "", 1, true},
		{"stream truncated before its first event", "/stream/x", func(r *http.Request, _ string) string { return streamStart(r) + closeAfter }, 502, "", "may_have_run", 1, false},
		{"refused stream", "/stream/x", func(r *http.Request, _ string) string { return fullAnswer(r, 503, "X-Not-Run: 1\r\n", "") }, 503, "", "not_run", 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newBackend(t, tc.script)
			b := newFixture(t, s)
			res, body, err := b.do(http.MethodPost, tc.path)
			if res == nil {
				t.Fatal(err)
			}
			if (err != nil) != tc.truncated {
				t.Errorf("error %v, want a truncated answer: %v", err, tc.truncated)
			}
			if res.StatusCode != tc.status || (tc.body != "" && body != tc.body) {
				t.Errorf("status %d, body %q; want %d, %q", res.StatusCode, body, tc.status, tc.body)
			}
			if got := res.Header.Get(headerVerdict); got != tc.verdict {
				t.Errorf("verdict %q, want %q", got, tc.verdict)
			}
			if retry := res.Header.Get("Retry-After"); (retry != "") != (tc.verdict == "not_run") {
				t.Errorf("got Retry-After %q with verdict %q, want it set with verdict not_run only", retry, tc.verdict)
			}
			if n := len(s.requests()); n != tc.requests {
				t.Errorf("server got %d requests, want %d", n, tc.requests)
			}
		})
	}
}

// TestRetryAtSecondServer makes the first server fail. A second one serves the request if a retry is allowed.
func TestRetryAtSecondServer(t *testing.T) {
	cases := []struct {
		name     string
		path     string
		first    func(r *http.Request, body string) string
		status   int
		body     string
		requests int
	}{
		{"safe request without an answer", "/safe/x", func(*http.Request, string) string { return "" }, 200, "served", 2},
		{"safe request that fails", "/safe/x", func(r *http.Request, _ string) string { return fullAnswer(r, 500, seal, "bad") }, 200, "served", 2},
		{"safe request that was not run", "/safe/x", func(r *http.Request, _ string) string { return fullAnswer(r, 503, "X-Not-Run: 1\r\n", "") }, 200, "served", 2},
		{"unsafe request that was not run", "/unsafe/x", func(r *http.Request, _ string) string { return fullAnswer(r, 503, "X-Not-Run: 1\r\n", "") }, 200, "served", 2},
		{"unsafe request without an answer", "/unsafe/x", func(*http.Request, string) string { return "" }, 502, "", 1},
		{"unsafe request that fails", "/unsafe/x", func(r *http.Request, _ string) string { return fullAnswer(r, 500, seal, "bad") }, 500, "bad", 1},
		{"interrupted stream", "/stream/x", func(r *http.Request, _ string) string { return streamStart(r) + closeAfter }, 502, "", 1},
		{"resumable stream interrupted before its first event", "/resume/x", func(r *http.Request, _ string) string { return streamStart(r) + closeAfter }, 200, "id: 1\n\nid: 2\n\nid: 3\n\n", 2},
		{"resumable stream interrupted within an event", "/resume/x", func(r *http.Request, _ string) string {
			return streamStart(r, "id: 1\n\n", "id: 2\nda") + closeAfter
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
					return fullAnswer(r, 200, seal, "served")
				}
				if r.Header.Get("X-After") == "1" {
					return streamStart(r, "id: 2\n\n", "id: 3\n\n") + lastChunk
				}
				return streamStart(r, "id: 1\n\n", "id: 2\n\n", "id: 3\n\n") + lastChunk
			}
			one, two := newBackend(t, script), newBackend(t, script)
			b := newFixture(t, one, two)
			res, body, err := b.do(http.MethodPost, tc.path)
			if err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != tc.status || (tc.body != "" && body != tc.body) {
				t.Errorf("status %d, body %q; want %d, %q", res.StatusCode, body, tc.status, tc.body)
			}
			if n := len(one.requests()) + len(two.requests()); n != tc.requests {
				t.Errorf("servers got %d requests, want %d", n, tc.requests)
			}
		})
	}
}

func TestRequestAuthorisation(t *testing.T) {
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
			s := newBackend(t, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "ok") })
			b := newFixture(t, s)
			b.dir.stale.Store(tc.stale)
			shortWait := func(r *http.Request) { r.Header.Set("X-Wait-Ms", "100") }
			res, _, err := b.do(http.MethodGet, tc.path, tc.change, shortWait)
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

func TestNotReadyWithoutCatalog(t *testing.T) {
	b := newFixture(t)
	b.dir.index.Store(nil)
	res, _, err := b.do(http.MethodGet, "/safe/x", func(r *http.Request) { r.Header.Set("X-Wait-Ms", "100") })
	if err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("response %v, error %v; want status 503", res, err)
	}
	if ready, _ := b.gw.Status(); ready {
		t.Error("got ready without a catalog, want not ready")
	}
}

// TestRequestsAreHeldUntilReady sends requests before the gateway has a catalog: they are held, not refused.
func TestRequestsAreHeldUntilReady(t *testing.T) {
	s := newBackend(t, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "ok") })
	b := newFixture(t, s)
	index := b.dir.index.Swap(nil)
	const callers = 20
	statuses := make(chan int, callers)
	for range callers {
		go func() {
			res, _, err := b.do(http.MethodGet, "/safe/x", func(r *http.Request) { r.Header.Set("X-Wait-Ms", "60000") })
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- res.StatusCode
		}()
	}
	for b.gw.heldRequests.Load() < callers {
		time.Sleep(time.Millisecond)
	}
	b.dir.index.Store(index)
	for range callers {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	var body string
	s := newBackend(t, func(r *http.Request, b string) string {
		body = b
		return fullAnswer(r, 200, seal+"X-Own: 1\r\nKeep-Alive: timeout=5\r\n", "ok")
	})
	b := newFixture(t, s)
	res, _, err := b.do(http.MethodPut, "/unsafe/a%2Fb/../c?x=%20&y", func(r *http.Request) {
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
		t.Errorf("server got method %s, target %s, body %q; want PUT, /unsafe/a%%2Fb/../c?x=%%20&y, \"in chunks\"", got.Method, got.RequestURI, body)
	}
	for name, want := range map[string]string{"X-Other": "kept", "X-Hop": "", "X-Key": "", "X-Organisation": "one", "X-Server": "s0", "X-Id": "id-1"} {
		if v := got.Header.Get(name); v != want {
			t.Errorf("server got %s %q, want %q", name, v, want)
		}
	}
	if res.Header.Get("X-Own") != "1" || res.Header.Get("X-Seal") != "s" || res.Header.Get("Keep-Alive") != "" {
		t.Errorf("answer: got headers %v, want X-Own 1, X-Seal s and no Keep-Alive", res.Header)
	}
}

// TestCallerDisconnectCancelsRequest closes the caller's connection while a server runs the request.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			reached := make(chan struct{})
			s := newBackend(t, func(r *http.Request, _ string) string {
				close(reached)
				if strings.HasPrefix(path, "/stream/") {
					return streamStart(r, "id: 1\n\n") + holdAnswer
				}
				return holdAnswer
			})
			b := newFixture(t, s)
			ctx, cancel := context.WithCancel(context.Background())
			go func() { <-reached; cancel() }()
			_, _, err := b.do(http.MethodPost, path, func(r *http.Request) { *r = *r.WithContext(ctx) })
			if err == nil {
				t.Error("got an answer after the caller disconnected, want an error")
			}
			<-s.disconnected
			if n := len(s.requests()); n != 1 {
				t.Errorf("server got %d requests, want 1", n)
			}
		})
	}
}

// TestRequestMayHaveRunAfterDeadline sends a request to a server that does not answer before the caller's deadline.
func TestRequestMayHaveRunAfterDeadline(t *testing.T) {
	s := newBackend(t, func(*http.Request, string) string { return holdAnswer })
	b := newFixture(t, s)
	res, _, err := b.do(http.MethodPost, "/unsafe/x", func(r *http.Request) { r.Header.Set("X-Wait-Ms", "20") })
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != http.StatusGatewayTimeout || res.Header.Get(headerVerdict) != "may_have_run" {
		t.Errorf("status %d, verdict %q; want 504, may_have_run", res.StatusCode, res.Header.Get(headerVerdict))
	}
	<-s.disconnected
}

// TestDrainTimesFitGracePeriod checks the times of a shutdown against the balancer's and the grace period: the balancer needs two
// failed checks of one second each, and a request accepted last still has most of the grace period.
func TestDrainTimesFitGracePeriod(t *testing.T) {
	const twoFailedChecks = 2 * time.Second
	const latest = 3 * time.Second
	listen, all := drainTimes(8 * time.Second)
	if listen <= twoFailedChecks || listen >= latest {
		t.Errorf("new connections are accepted for %v, want more than %v and less than %v", listen, twoFailedChecks, latest)
	}
	if all <= 7*time.Second || all >= 8*time.Second {
		t.Errorf("requests are aborted after %v, want between 7 s and the grace period of 8 s", all)
	}
}

func TestNewestServerOwnsAddress(t *testing.T) {
	got := newestByAddress([]*controlpb.BackendServer{
		{Id: "a", Address: "1", StartedMs: 5}, {Id: "b", Address: "1", StartedMs: 7}, {Id: "c", Address: "2", StartedMs: 1},
	})
	if len(got) != 2 || got[0].Id != "b" || got[1].Id != "c" {
		t.Errorf("got %v, want b and c", got)
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

// TestDrainingGatewayStillAnswers drains a gateway while callers keep their connections: each gets its answer and is asked to
// close its connection.
func TestDrainingGatewayStillAnswers(t *testing.T) {
	s := newBackend(t, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "ok") })
	b := newFixture(t, s)
	if res, _, err := b.do(http.MethodGet, "/safe/x"); err != nil || res.Close {
		t.Fatalf("response %v, error %v; want an answer that keeps the connection open", res, err)
	}
	b.gw.startDraining(time.Now().Add(time.Minute))
	res, body, err := b.do(http.MethodGet, "/safe/x")
	if err != nil || body != "ok" || !res.Close {
		t.Errorf("response %v, body %q, error %v; want an answer that closes the connection", res, body, err)
	}
	if ready, _ := b.gw.Status(); ready {
		t.Error("got ready while shutting down, want not ready")
	}
}

// TestStreamEndsBetweenEvents covers streams without framing, whose end is complete only after a blank line, in any split of the data.
func TestStreamEndsBetweenEvents(t *testing.T) {
	cases := []struct {
		name  string
		parts []string
		want  bool
	}{
		{"one read", []string{"id: 1\n\n"}, true},
		{"blank line in two reads", []string{"id: 1\n", "\n"}, true},
		{"byte by byte", []string{"i", "d", ":", "1", "\n", "\n"}, true},
		{"within an event", []string{"id: 1\n\n", "id: 2\n"}, false},
		{"lines in two reads", []string{"id: 1\n", "data: x\n"}, false},
		{"nothing", nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newStreamWriter(httptest.NewRecorder(), &exchange{route: &catalog.Route{Kind: catalog.Streaming}})
			w.setHead(http.StatusOK, http.Header{})
			for _, part := range c.parts {
				w.write([]byte(part))
			}
			if got := w.isBetweenEvents(); got != c.want {
				t.Errorf("between events: %v, want %v", got, c.want)
			}
		})
	}
}

// TestFailedAttemptCountsForServer checks what a failed attempt says about its server.
func TestFailedAttemptCountsForServer(t *testing.T) {
	expired, cancel := context.WithDeadlineCause(context.Background(), time.Unix(0, 0), errDeadline)
	defer cancel()
	cases := []struct {
		name string
		ctx  context.Context
		err  error
		want route.Result
	}{
		{"no connection", context.Background(), &upstream.Error{Cause: io.EOF}, route.Unreachable},
		{"deadline while connecting", expired, &upstream.Error{Cause: errDeadline}, route.Refused},
		{"deadline after sending", expired, &upstream.Error{Sent: true, Cause: errDeadline}, route.Failed},
		{"answer lost", context.Background(), &upstream.Error{Sent: true, Cause: io.EOF}, route.Failed},
		{"no acknowledgement of data", context.Background(), &upstream.Error{Sent: true, Cause: unix.ETIMEDOUT}, route.Unreachable},
	}
	for _, c := range cases {
		if got := failedResult(c.ctx, c.err); got != c.want {
			t.Errorf("%s: result %d, want %d", c.name, got, c.want)
		}
	}
}
