package gateway

import (
	"net/http"
	"testing"
)

// TestServerAtItsRateLimitGetsNoRequests checks that a server whose limit is used up gets no request, whether it served or refused the
// last one: another server gets them, or they are refused as not run.
func TestServerAtItsRateLimitGetsNoRequests(t *testing.T) {
	const limit = "X-Limit: 0.01\r\n"
	answers := map[string]func(r *http.Request, _ string) string{
		"served":  func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal+limit, "x") },
		"refused": func(r *http.Request, _ string) string { return fullAnswer(r, 503, "X-Not-Run: 1\r\n"+limit, "") },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, newBackend(t, answer))
			_, _, _ = b.do(http.MethodPost, "/unsafe/x") // the server states its limit
			res, _, err := b.do(http.MethodPost, "/unsafe/x")
			if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(headerVerdict) != "not_run" {
				t.Errorf("answer %v, error %v; want 503, not run", res, err)
			}
			if n := len(b.servers[0].requests()); n != 1 {
				t.Errorf("the server got %d requests, want 1", n)
			}
		})
		t.Run(name+", beside another server", func(t *testing.T) {
			sound := newBackend(t, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "x") })
			b := newFixture(t, newBackend(t, answer), sound)
			for range 20 {
				if res, _, err := b.do(http.MethodPost, "/unsafe/x"); err != nil || res.StatusCode != http.StatusOK {
					t.Errorf("answer %v, error %v; want 200", res, err)
				}
			}
			if n := len(b.servers[0].requests()); n > 1 {
				t.Errorf("the limited server got %d requests, want at most 1", n)
			}
		})
	}
}
