package backend

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

// TestResumedStreamNeverGoesOnWithError guards against errors in the middle of a stream: the engine answers the resume of a begun
// stream with something else than its continuation.
func TestResumedStreamNeverGoesOnWithError(t *testing.T) {
	const event = "data: {\"a\":1}\n\n"
	cases := []struct {
		name, contentType, body string
		status                  int
	}{
		{"error", "application/json", `{"error":"overloaded"}`, http.StatusInternalServerError},
		{"error that says success", "application/json", `{"error":"overloaded"}`, http.StatusOK},
		{"text", "text/plain", "overloaded\n\n", http.StatusOK},
		{"page", "text/html", "<html>overloaded</html>", http.StatusOK},
		{"no content", "", "", http.StatusNoContent},
		{"nothing", "", "", http.StatusOK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, event)
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Content-Type", tc.contentType)
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, tc.body)
			}))
			defer s.Close()
			e := NewEngine(Config{URL: s.URL, Resumable: true})
			defer e.Close()
			var c collector
			_, err := e.Do(t.Context(), &Request{ID: "r1", Method: "POST", Path: "/", Body: []byte("{}"), Stream: true}, &c)
			if err == nil || verdict.Of(err) != verdict.MayHaveRun || c.body.String() != event {
				t.Errorf("got body %q, error %v; want %q and an error with verdict may_have_run", c.body.String(), err, event)
			}
		})
	}
}
