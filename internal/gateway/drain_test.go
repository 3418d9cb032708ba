package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/catalog"
)

// TestShutdownAcceptsOnlyWhatEndsInTime covers the seconds of a planned restart in which the balancer still sends requests: a
// request that might not end before the remaining ones are aborted is refused, so that another gateway serves it.
func TestShutdownAcceptsOnlyWhatEndsInTime(t *testing.T) {
	cases := []struct {
		name     string
		observed time.Duration // total time of an earlier stream of 100 tokens; 0: none
		tokens   int
		deadline time.Duration
		abort    time.Duration // until the remaining requests are aborted
		stopped  bool          // new connections are no longer accepted
		served   bool
	}{
		{"short stream", time.Second, 100, time.Minute, 5 * time.Second, false, true},
		{"stream as long as the time left", 6 * time.Second, 100, time.Minute, 5 * time.Second, false, false},
		{"stream that ends in time only if the server stays as idle as before", 3 * time.Second, 100, time.Minute, 5 * time.Second, false, false},
		{"stream that takes more than twice as long when a burst fills the servers", 2 * time.Second, 100, time.Minute, 5 * time.Second, false, false},
		{"more tokens than before", time.Second, 1000, time.Minute, 5 * time.Second, false, false},
		{"slow streams, but the deadline is near", 6 * time.Second, 100, 4 * time.Second, 5 * time.Second, false, true},
		{"nothing observed, late deadline", 0, 100, time.Minute, 5 * time.Second, false, false},
		{"nothing observed, near deadline", 0, 100, 4 * time.Second, 5 * time.Second, false, true},
		// Guards against requests on kept connections that were aborted when their server stopped answering.
		{"short stream on a kept connection, late deadline", time.Second, 100, time.Minute, 5 * time.Second, true, false},
		{"short stream on a kept connection, near deadline", time.Second, 100, 4 * time.Second, 5 * time.Second, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newBackend(t, func(r *http.Request, _ string) string { return streamStart(r, "id: 1\n\n") + lastChunk })
			b := newFixture(t, s)
			if c.observed > 0 {
				earlier := &exchange{route: &catalog.Route{Name: "stream"}, firstAfter: time.Millisecond}
				earlier.call.Prompt.MaxOutputTokens = 100
				b.gw.paces.record(earlier, c.observed)
			}
			b.gw.startDraining(time.Now().Add(c.abort))
			b.gw.hasStoppedAccepting.Store(c.stopped)
			res, _, err := b.do(http.MethodPost, "/stream/x", func(r *http.Request) {
				r.Header.Set("X-Output", strconv.Itoa(c.tokens))
				r.Header.Set("X-Wait-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
			})
			if err != nil {
				t.Fatal(err)
			}
			if served := res.StatusCode == http.StatusOK; served != c.served || len(s.requests()) > 0 != c.served {
				t.Errorf("status %d, %d requests at the server; want served %v", res.StatusCode, len(s.requests()), c.served)
			}
			if retry, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); !c.served && (retry <= 0 || retry > 0.1) {
				t.Errorf("Retry-After %v, want a short one, for other gateways serve the request at once", retry)
			}
			if verdict := res.Header.Get(headerVerdict); !c.served && verdict != "not_run" {
				t.Errorf("verdict %q, want not_run", verdict)
			}
		})
	}
}

// Guards against requests that ran and got no answer: the end of a shutdown closed their connections while their server did not
// answer.
func TestShutdownAnswersRequestsInProgress(t *testing.T) {
	cases := []struct {
		name, path string
		before     string // what the server sends before it stops answering
		answered   bool
	}{
		{"nothing of the answer has arrived", "/unsafe/x", "", true},
		{"a part of a buffered answer has arrived", "/unsafe/x", "half", true},
		{"a stream has not begun", "/stream/x", "", true},
		{"a stream has begun", "/stream/x", "id: 1\n\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			received := make(chan struct{})
			s := newBackend(t, func(r *http.Request, _ string) string {
				defer close(received)
				if c.before == "" {
					return holdAnswer
				}
				return streamStart(r, c.before) + holdAnswer
			})
			b := newFixture(t, s)
			address, shutDown := startServing(t, b, time.Second)
			go func() {
				<-received
				shutDown()
			}()
			b.http.URL = "http://" + address
			res, body, err := b.do(http.MethodPost, c.path)
			switch {
			case !c.answered && err == nil:
				t.Errorf("got status %d and the complete body %q of a stream that was broken off", res.StatusCode, body)
			case c.answered && err != nil:
				t.Errorf("got error %v, want an answer", err)
			case c.answered && (res.StatusCode != http.StatusGatewayTimeout || res.Header.Get(headerVerdict) != "may_have_run"):
				t.Errorf("got status %d, verdict %q; want 504 and may_have_run", res.StatusCode, res.Header.Get(headerVerdict))
			}
		})
	}
}
