package gateway

import (
	"context"
	"net/http"
	"testing"
)

// TestWhatIsBilled counts the requests that backend servers began to run, as far as the gateway can tell.
func TestWhatIsBilled(t *testing.T) {
	answers := func(status int, extra string) func(r *http.Request, body string) string {
		return func(r *http.Request, _ string) string { return whole(r, status, extra, "x") }
	}
	cases := []struct {
		name   string
		path   string
		script func(r *http.Request, body string) string
		want   uint64
	}{
		{"a whole answer", "/unsafe/x", answers(200, seal), 1},
		{"a failure of the server", "/unsafe/x", answers(500, seal), 1},
		{"a request that the server did not run", "/unsafe/x", answers(503, "X-Not-Run: 1\r\n"), 0},
		{"an answer that is lost", "/unsafe/x", func(*http.Request, string) string { return closeAfter }, 1},
		{"a stream", "/stream/x", func(r *http.Request, _ string) string { return chunks(r, "id: 1\n\n") + lastChunk }, 1},
		{"a stream that is cut", "/stream/x", func(r *http.Request, _ string) string { return chunks(r, "id: 1\n\n") + closeAfter }, 1},
		{"a stream that is lost before its first event", "/stream/x", func(*http.Request, string) string { return closeAfter }, 1},
		{"a stream that the server did not run", "/stream/x", answers(503, "X-Not-Run: 1\r\n"), 0},
		{"a stream that is lost at each server", "/resume/x", func(*http.Request, string) string { return closeAfter }, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, newBackend(t, c.script), newBackend(t, c.script))
			_, _, _ = b.get(http.MethodPost, c.path) // some answers break off
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
