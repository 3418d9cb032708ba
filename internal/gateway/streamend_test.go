package gateway

import (
	"net/http"
	"testing"

	"github.com/guavastack/guavastack/internal/core/route"
)

// TestStreamWithoutItsEndIsBrokenOff guards against streams that the caller takes for complete although the server broke them off: a
// stream that ends inside an event, or one without length and chunks whose connection ends before the first event.
func TestStreamWithoutItsEndIsBrokenOff(t *testing.T) {
	unframed := func(r *http.Request, events string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + seal + "\r\n" + events + closeAfter
	}
	chunked := func(r *http.Request, events string) string {
		if events == "" {
			return streamStart(r) + lastChunk
		}
		return streamStart(r, events) + lastChunk
	}
	sized := func(r *http.Request, events string) string { return fullAnswer(r, 200, seal, events) }
	const (
		whole  = "id: 1\n\nid: 2\n\n"
		inside = "id: 1\n\nid: 2\nda"
		crlf   = "id: 1\r\n\r\nid: 2\r\n\r\n"
	)
	cases := []struct {
		name     string
		answer   func(r *http.Request, events string) string
		events   string
		complete bool
	}{
		{"unframed, whole events", unframed, whole, true},
		{"unframed, inside an event", unframed, inside, false},
		{"unframed, no event", unframed, "", false},
		{"chunked, whole events", chunked, whole, true},
		{"chunked, inside an event", chunked, inside, false},
		{"chunked, no event", chunked, "", true},
		{"chunked, whole events with other line ends", chunked, crlf, true},
		{"with a length, whole events", sized, whole, true},
		{"with a length, inside an event", sized, inside, false},
		{"with a length, no event", sized, "", true},
	}
	for _, c := range cases {
		for _, path := range []string{"/stream/x", "/resume/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				b := newFixture(t, newBackend(t, func(r *http.Request, _ string) string { return c.answer(r, c.events) }))
				res, body, err := b.do(http.MethodPost, path)
				complete := err == nil && res.StatusCode == http.StatusOK
				if complete != c.complete {
					t.Errorf("answer %v, body %q, error %v; want it complete: %v", res, body, err, c.complete)
				}
				if c.complete && body != c.events {
					t.Errorf("body %q, want %q", body, c.events)
				}
			})
		}
	}
}

// TestUnframedAnswerOfCrashedServerIsBrokenOff guards against an answer without length and chunks that the caller takes for complete
// although its server ended in the middle of it (review/3): the end of the connection marks the end of the answer only if the server
// lives on, also if it had said that it leaves or is no longer registered.
func TestUnframedAnswerOfCrashedServerIsBrokenOff(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x", "/unsafe/x"} {
		cases := []struct {
			name    string
			refuses bool // the server refuses connections after its answer
			leaves  bool // it has said that it leaves
			gone    bool // it is no longer registered
			drops   bool // it still accepts connections and closes them at once
		}{
			{"crash", true, false, false, false},
			{"the server lives on", false, false, false, false},
			{"killed after it said that it leaves", true, true, false, false},
			{"killed after it was deregistered", true, false, true, false},
			{"leaves and lives on", false, true, false, false},
			{"killed, its listener ends last", false, false, false, true},
		}
		for _, c := range cases {
			t.Run(c.name+path, func(t *testing.T) {
				crashes := c.refuses || c.drops
				var b *fixture
				b = newFixture(t, newBackend(t, closesWith(&b, c.refuses, func(r *http.Request) string {
					if c.leaves {
						b.dir.backends[0].Lifecycle = route.LifecycleLeaving
						b.dir.onChange()
					}
					b.servers[0].dropsNew.Store(c.drops)
					if c.gone {
						b.dir.backends = nil
						b.dir.onChange()
					}
					return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + seal + "\r\nid: 1\n\n"
				})))
				b.report(crashesOf(2, 0xb))
				res, body, err := b.do(http.MethodPost, path, withParts("a,b,c"))
				if complete := err == nil && res.StatusCode == http.StatusOK; complete == crashes {
					t.Errorf("answer %v, body %q, error %v; want it complete: %v", res, body, err, !crashes)
				}
				b.gw.parts.mu.Lock()
				answered, _ := b.gw.parts.answers.Peek(0xb)
				b.gw.parts.mu.Unlock()
				if !answered.IsZero() && crashes {
					t.Error("the part of the request counts as answered")
				}
			})
		}
	}
}
