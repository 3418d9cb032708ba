package upstream_test

import (
	"net/http"
	"testing"

	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
	"github.com/guavastack/guavastack/internal/upstream"
)

// TestAnswerWithInvalidStatusFails guards against an answer whose status means nothing, such as 000: it counted as an informational one, so
// that whatever the server sent next was the answer, or was passed on.
func TestAnswerWithInvalidStatusFails(t *testing.T) {
	const (
		rest  = " X\r\nRequest-Id: one\r\n"
		early = "HTTP/1.1 103 Early Hints\r\n\r\n"
	)
	next := answer("one", "hello")
	for _, status := range responsechecktest.InvalidStatuses() {
		first := "HTTP/1.1 " + status + rest
		for name, text := range map[string]string{
			"without a body":               first + "Content-Length: 0\r\n\r\n" + next,
			"with a body":                  first + "Content-Length: 5\r\n\r\nother" + next,
			"in chunks":                    first + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next,
			"until the connection ends":    first + "Connection: close\r\n\r\nother",
			"behind an informational one":  early + first + "Content-Length: 0\r\n\r\n" + next,
			"in the answer to another one": "HTTP/1.1 " + status + " X\r\nRequest-Id: zero\r\nContent-Length: 0\r\n\r\n" + next,
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				s := newServer(t, func(int, *http.Request) string { return text })
				if got, err := do(upstream.New(), s, "one"); err == nil {
					t.Errorf("got the body %q, want an error", got)
				}
			})
		}
	}
}
