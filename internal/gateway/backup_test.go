package gateway

import (
	"net/http"
	"testing"
)

// TestACrashedStreamGoesOnWithItsCopy breaks off a stream that may run once only. The server that holds the copy of its run
// goes on, unless the first server may still be at work, or nobody has a copy.
func TestACrashedStreamGoesOnWithItsCopy(t *testing.T) {
	const events = "id: 1\n\nid: 2\n\n"
	cases := []struct {
		name    string
		output  string // tokens at most
		crashes bool   // the first server takes no connections any more
		copied  bool
		fails   bool // the server with the copy answers with a failure of its own
		want    string
		isCut   bool
	}{
		{"a crash", "300", true, true, false, events + "id: 3\n\n", false},
		{"a server that lives on", "300", false, true, false, events, true},
		{"no copy of the run", "300", true, false, false, events, true},
		{"a short answer to a long prompt", "20", true, true, false, events, true},
		{"a failure of the server with the copy", "300", true, true, true, events, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b *bench
			began := 0
			script := func(r *http.Request, _ string) string {
				if from := r.Header.Get("X-From"); from != "" {
					if !c.copied {
						return whole(r, 503, "X-Not-Run: 1\r\n", "")
					}
					if c.fails {
						return whole(r, 500, seal, "failed")
					}
					if r.Header.Get("X-After") != "2" {
						t.Errorf("goes on behind event %q, want 2", r.Header.Get("X-After"))
					}
					return chunks(r, "id: 3\n\n") + lastChunk
				}
				began++
				for i, s := range b.servers {
					if c.crashes && r.Header.Get("X-Server") == b.dir.backends[i].Id {
						_ = s.lis.Close()
					}
				}
				return chunks(r, events) + closeAfter
			}
			b = newBench(t, newBackend(t, script), newBackend(t, script))
			_, body, err := b.get(http.MethodPost, "/stream/x", func(r *http.Request) {
				r.Header.Set("X-Prompt", "700")
				r.Header.Set("X-Output", c.output)
			})
			if body != c.want || (err != nil) != c.isCut {
				t.Errorf("body %q, %v; want %q, cut %v", body, err, c.want, c.isCut)
			}
			if began != 1 {
				t.Errorf("the request was run %d times from its beginning", began)
			}
		})
	}
}
