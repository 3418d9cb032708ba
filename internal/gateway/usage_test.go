package gateway

import (
	"context"
	"net/http"
	"testing"
)

// TestBilledRequests checks that requests are billed if a backend server began to run them, as far as the gateway can tell.
func TestBilledRequests(t *testing.T) {
	answers := func(status int, extra string) func(r *http.Request, body string) string {
		return func(r *http.Request, _ string) string { return fullAnswer(r, status, extra, "x") }
	}
	cases := []struct {
		name   string
		path   string
		script func(r *http.Request, body string) string
		want   uint64
	}{
		{"complete answer", "/unsafe/x", answers(200, seal), 1},
		{"server error", "/unsafe/x", answers(500, seal), 1},
		{"request not run", "/unsafe/x", answers(503, "X-Not-Run: 1\r\n"), 0},
		{"lost answer", "/unsafe/x", func(*http.Request, string) string { return closeAfter }, 1},
		{"stream", "/stream/x", func(r *http.Request, _ string) string { return streamStart(r, "id: 1\n\n") + lastChunk }, 1},
		{"truncated stream", "/stream/x", func(r *http.Request, _ string) string { return streamStart(r, "id: 1\n\n") + closeAfter }, 1},
		{"stream lost before its first event", "/stream/x", func(*http.Request, string) string { return closeAfter }, 1},
		{"stream not run", "/stream/x", answers(503, "X-Not-Run: 1\r\n"), 0},
		{"stream lost at each server", "/resume/x", func(*http.Request, string) string { return closeAfter }, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t, newBackend(t, c.script), newBackend(t, c.script))
			_, _, _ = b.do(http.MethodPost, c.path) // some answers are truncated
			b.gw.usage.Flush(context.Background())
			b.dir.mu.Lock()
			defer b.dir.mu.Unlock()
			got := uint64(0)
			for _, counter := range b.dir.usage {
				got += counter.Requests
			}
			if got != c.want {
				t.Errorf("%d requests billed, want %d", got, c.want)
			}
		})
	}
}
