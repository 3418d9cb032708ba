package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/fairqueue"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// loadDialect is a plainDialect with a header for the load of a server.
type loadDialect struct{ plainDialect }

func (d loadDialect) ParseReply(status int, h http.Header) Reply {
	reply := d.plainDialect.ParseReply(status, h)
	_, _ = fmt.Sscanf(h.Get("X-Load"), "%d,%d,%d", &reply.Load.Running, &reply.Load.Waiting, &reply.Load.Slots)
	return reply
}

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// newFairFixture returns a gateway with fair shares in front of a plain service, and its log.
func newFairFixture(t *testing.T, servers ...*backend) (*fixture, *logBuffer) {
	t.Helper()
	b := newFixture(t, servers...)
	c := &catalog.Catalog{
		Version: 1, RequireKeys: true, Services: []catalog.Service{{Name: "app"}},
		Organisations: []catalog.Organisation{{Name: "one", Keys: []string{"k"}}, {Name: "two", Keys: []string{"k2"}}},
	}
	for _, r := range testRoutes[:3] {
		r.Host, r.Timeout, r.Targets = "127.0.0.1", time.Minute, []catalog.Target{{Service: "app", Weight: 1}}
		c.Routes = append(c.Routes, r)
	}
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	b.dir.index.Store(catalog.NewIndex(c))
	log := &logBuffer{}
	b.gw.cfg.Dialect, b.gw.cfg.FairShares, b.gw.cfg.Metrics = loadDialect{}, true, telemetry.NewRegistry(100)
	b.gw.cfg.Logger = slog.New(slog.NewTextHandler(log, nil))
	b.gw.fair = newFairness(b.gw)
	return b, log
}

// overloaded is the load of a server with as many waiting requests as slots.
var overloaded = fairqueue.Load{Running: 6, Waiting: 6, Slots: 6}

// contend makes the service contended, with a limit below 2, by answers of servers with the given loads after 20 s. If not most of them
// are overloaded, requests above the limit are held for seconds. The answers are dated a minute ahead, so that contention and evidence
// last for the test on a slow machine.
func contend(b *fixture, loads ...fairqueue.Load) *fairService {
	s := b.gw.fair.service("app")
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now().Add(time.Minute)
	before := now.Add(-20 * time.Second)
	var tickets []*fairqueue.Ticket
	for range loads {
		tickets = append(tickets, s.queue.Enter(before, fairqueue.Request{Organisation: "other", Arrived: before, Deadline: now}, 0)[0])
	}
	for i, load := range loads {
		s.queue.End(now, tickets[i], fairqueue.Answered, strconv.Itoa(i), load)
	}
	return s
}

// awaitWaiting waits until the number of held requests is n.
func awaitWaiting(t *testing.T, s *fairService, n int) {
	t.Helper()
	for range 2000 {
		s.mu.Lock()
		waiting := s.queue.Status().Waiting
		s.mu.Unlock()
		if waiting == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("the number of held requests does not become %d", n)
}

// awaitRequests waits until a server has n requests.
func awaitRequests(t *testing.T, b *backend, n int) {
	t.Helper()
	for range 2000 {
		if len(b.requests()) == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d requests at the server, want %d", len(b.requests()), n)
}

// answerOnRelease returns a server that answers each request when release receives a value or is closed.
func answerOnRelease(t *testing.T) (server *backend, release chan struct{}) {
	release = make(chan struct{})
	server = newBackend(t, func(r *http.Request, _ string) string {
		<-release
		return fullAnswer(r, 200, seal+"X-Load: 6,3,6\r\n", "x")
	})
	return server, release
}

func withID(id string) func(*http.Request) { return func(r *http.Request) { r.Header.Set("X-Id", id) } }

// Guards against a place in the queue that a caller keeps after it has disconnected, and against a send for it.
func TestCallerDisconnectsWhileHeld(t *testing.T) {
	server, release := answerOnRelease(t)
	b, _ := newFairFixture(t, server)
	s := contend(b, overloaded, fairqueue.Load{})
	var calls sync.WaitGroup
	calls.Go(func() { _, _, _ = b.do(http.MethodPost, "/unsafe/x", withID("sent")) })
	awaitRequests(t, server, 1)
	ctx, disconnect := context.WithCancel(context.Background())
	calls.Go(func() {
		_, _, _ = b.do(http.MethodPost, "/unsafe/x", withID("held"), func(r *http.Request) { *r = *r.WithContext(ctx) })
	})
	awaitWaiting(t, s, 1)
	disconnect()
	awaitWaiting(t, s, 0)
	close(release)
	calls.Wait()
	if res, _, err := b.do(http.MethodPost, "/unsafe/x", withID("later")); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("a later request: %v", err)
	}
	for _, r := range server.requests() {
		if r.Header.Get("X-Id") == "held" {
			t.Error("the request was sent")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.queue.Status(); status.InFlight != 0 || len(s.places) != 0 {
		t.Errorf("%d in flight, %d places", status.InFlight, len(s.places))
	}
}

// Guards against held requests that a shutdown ends without an answer, or with one that does not say that they have not run.
func TestShutdownWhileHeld(t *testing.T) {
	server, release := answerOnRelease(t)
	defer close(release)
	b, _ := newFairFixture(t, server)
	s := contend(b, overloaded, fairqueue.Load{})
	address, shutDown := startServing(t, b, time.Second)
	b.http.URL = "http://" + address
	var calls sync.WaitGroup
	calls.Go(func() { _, _, _ = b.do(http.MethodPost, "/unsafe/x", withID("sent")) })
	awaitRequests(t, server, 1)
	calls.Go(func() {
		res, _, err := b.do(http.MethodPost, "/unsafe/x", withID("held"))
		if err != nil {
			t.Errorf("the held request got no answer: %v", err)
			return
		}
		if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(headerVerdict) != "not_run" || res.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, verdict %q, Retry-After %q", res.StatusCode, res.Header.Get(headerVerdict), res.Header.Get("Retry-After"))
		}
	})
	awaitWaiting(t, s, 1)
	shutDown()
	calls.Wait()
	if n := len(server.requests()); n != 1 {
		t.Errorf("%d requests at the server", n)
	}
}

// Guards against decisions that leave no trace: why a request was held and released can be told from logs and counters.
func TestHeldRequestIsLoggedAndCounted(t *testing.T) {
	server, release := answerOnRelease(t)
	b, log := newFairFixture(t, server)
	s := contend(b, overloaded, fairqueue.Load{})
	var calls sync.WaitGroup
	calls.Go(func() { _, _, _ = b.do(http.MethodPost, "/unsafe/x", withID("sent")) })
	awaitRequests(t, server, 1)
	calls.Go(func() {
		if res, _, err := b.do(http.MethodPost, "/unsafe/x", withID("held")); err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("the held request was not served: %v", err)
		}
	})
	awaitWaiting(t, s, 1)
	close(release)
	calls.Wait()
	for _, want := range []string{
		`msg="service contention changed" service=app contended=true`, `msg="request held" request_id=held`, `msg="request released" request_id=held`,
		"use_per_s=", "share_per_s=", "limit=1",
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no %q in the log:\n%s", want, log.String())
		}
	}
	var metrics strings.Builder
	if err := b.gw.cfg.Metrics.WriteText(&metrics); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`guavastack_gateway_held_requests{service="app"} 1`, `guavastack_gateway_concurrency_limit{service="app"} 1`} {
		if !strings.Contains(metrics.String(), want) {
			t.Errorf("no %s in the metrics:\n%s", want, metrics.String())
		}
	}
}

// Guards against a refusal without a reason in the log, or one that does not say that the request has not run.
func TestRefusedRequest(t *testing.T) {
	server, release := answerOnRelease(t)
	b, log := newFairFixture(t, server)
	s := contend(b, overloaded, overloaded)
	s.mu.Lock()
	now := time.Now()
	for range 100 { // far more than the share of the organisation; the first one is in flight
		s.queue.Leave(s.queue.Enter(now, fairqueue.Request{Organisation: "one", Arrived: now, Deadline: now.Add(time.Minute)}, 0)[0])
	}
	s.mu.Unlock()
	res, body, err := b.do(http.MethodPost, "/unsafe/x", withID("refused"), func(r *http.Request) { r.Header.Set("X-Wait-Ms", "3000") })
	close(release)
	if err != nil {
		t.Fatal(err)
	}
	retry, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(headerVerdict) != "not_run" || retry <= 0 || retry > 1 {
		t.Errorf("status %d, verdict %q, Retry-After %v, body %s", res.StatusCode, res.Header.Get(headerVerdict), retry, body)
	}
	if n := len(server.requests()); n != 0 {
		t.Errorf("%d requests at the server", n)
	}
	for _, want := range []string{`msg="request refused by the fair queue" request_id=refused`, "reason=no_turn_in_time", "organisation=one", "asked_per_s=", "share_per_s="} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no %q in the log:\n%s", want, log.String())
		}
	}
}

// Guards against requests that run twice, or that run although their refusal says that they have not, while servers reject many, break
// off answers and requests are held and retried.
func TestAtMostOnceUnderContention(t *testing.T) {
	const callers, requests, slots = 24, 10, 2
	var mu sync.Mutex
	runs := make(map[string]int) // by request
	newServer := func(seed int) *backend {
		running, count := 0, seed
		return newBackend(t, func(r *http.Request, _ string) string {
			id := r.Header.Get("X-Id")
			mu.Lock()
			load := fmt.Sprintf("X-Load: %d,0,%d\r\n", running, slots)
			if running >= slots {
				mu.Unlock()
				return fullAnswer(r, 503, "X-Not-Run: 1\r\n"+load, "")
			}
			running++
			runs[id]++
			count++
			fails := count%17 == 0
			mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			mu.Lock()
			running--
			mu.Unlock()
			if fails {
				return closeAfter
			}
			return fullAnswer(r, 200, seal+load, "x")
		})
	}
	b, _ := newFairFixture(t, newServer(0), newServer(5))
	var calls sync.WaitGroup
	verdicts := make(map[string]int)
	for c := range callers {
		calls.Go(func() {
			for n := range requests {
				id := fmt.Sprint(c, "-", n)
				res, _, err := b.do(http.MethodPost, "/unsafe/x", withID(id), func(r *http.Request) {
					if c%3 == 0 {
						r.Header.Set("X-Key", "k2")
					}
					r.Body = io.NopCloser(strings.NewReader("body"))
				})
				if err != nil {
					t.Errorf("request %s: %v", id, err)
					continue
				}
				mu.Lock()
				verdicts[strconv.Itoa(res.StatusCode)+" "+res.Header.Get(headerVerdict)]++
				if retry, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); res.StatusCode == 503 && (retry <= 0 || retry > 20) {
					t.Errorf("Retry-After %v, want at most a third of the time left", retry)
				}
				if runs[id] > 1 {
					t.Errorf("request %s ran %d times", id, runs[id])
				}
				if runs[id] > 0 && res.Header.Get(headerVerdict) == "not_run" {
					t.Errorf("request %s ran, its refusal says that it has not", id)
				}
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	t.Log(verdicts)
	if verdicts["200 "] == 0 {
		t.Error("no request was served")
	}
	s := b.gw.fair.service("app")
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.queue.Status(); status.InFlight != 0 || status.Waiting != 0 || len(s.places) != 0 {
		t.Errorf("%d in flight, %d waiting, %d places after all requests", status.InFlight, status.Waiting, len(s.places))
	}
}

// Guards against streams and services with an engine that are held.
func TestFairSharesApplyToPlainServicesOnly(t *testing.T) {
	server := newBackend(t, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "x") })
	plain, _ := newFairFixture(t, server)
	engines := newFixture(t, server)
	engines.gw.cfg.FairShares = true
	engines.gw.fair = newFairness(engines.gw)
	cases := []struct {
		name string
		b    *fixture
		kind catalog.Kind
		want bool
	}{
		{"unsafe", plain, catalog.Unsafe, true},
		{"safe", plain, catalog.Safe, true},
		{"stream", plain, catalog.Streaming, false},
		{"engine", engines, catalog.Unsafe, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := &exchange{route: &catalog.Route{Kind: c.kind}, service: "app", catalog: c.b.dir.Catalog()}
			if got := c.b.gw.fair.applies(x); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestMisdirectedRequestIsRefused guards against a connection that is closed without an answer: the Retry-After of a request that every
// server turned away was computed from a limit that no answer had set yet.
func TestMisdirectedRequestIsRefused(t *testing.T) {
	s := newBackend(t, func(r *http.Request, _ string) string { return fullAnswer(r, http.StatusMisdirectedRequest, "", "") })
	b, _ := newFairFixture(t, s)
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		res, _, err := b.do(http.MethodPost, path)
		if err != nil {
			t.Fatalf("%s: %v, want a refusal", path, err)
		}
		if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(headerVerdict) != "not_run" {
			t.Errorf("%s: status %d, verdict %q; want 503, not_run", path, res.StatusCode, res.Header.Get(headerVerdict))
		}
	}
}
