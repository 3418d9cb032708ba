package gateway

import (
	"net/http"
	"testing"
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
