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
		served   bool
	}{
		{"short stream", time.Second, 100, time.Minute, 5 * time.Second, true},
		{"stream as long as the time left", 6 * time.Second, 100, time.Minute, 5 * time.Second, false},
		{"stream that ends in time only if the server stays as idle as before", 3 * time.Second, 100, time.Minute, 5 * time.Second, false},
		{"stream that takes more than twice as long when a burst fills the servers", 2 * time.Second, 100, time.Minute, 5 * time.Second, false},
		{"more tokens than before", time.Second, 1000, time.Minute, 5 * time.Second, false},
		{"slow streams, but the deadline is near", 6 * time.Second, 100, 4 * time.Second, 5 * time.Second, true},
		{"nothing observed, late deadline", 0, 100, time.Minute, 5 * time.Second, false},
		{"nothing observed, near deadline", 0, 100, 4 * time.Second, 5 * time.Second, true},
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
