package upstream_test

import (
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
	s := responsechecktest.NewServer(t)
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
				s.Answer(text)
				if got, err := readAnswer(t, upstream.New(), s.Address, "one"); err == nil {
					t.Errorf("got the body %q, want an error", got)
				}
			})
		}
	}
}

// TestAnswerWithMalformedFieldFails guards against an answer with another body than the server's, or other headers: a line of its head, of an
// informational answer before it or of its trailer is no field.
func TestAnswerWithMalformedFieldFails(t *testing.T) {
	const (
		ok = "HTTP/1.1 200 OK\r\n"
		id = "Request-Id: one\r\n"
	)
	s := responsechecktest.NewServer(t)
	for name, field := range responsechecktest.MalformedFields() {
		line := field + "\r\n"
		for place, text := range map[string]string{
			"first":                      ok + line + id + "Content-Length: 5\r\n\r\nhello",
			"last":                       ok + id + "Content-Length: 5\r\n" + line + "\r\nhello",
			"in place of the length":     ok + id + line + "Connection: close\r\n\r\nhello",
			"in chunks":                  ok + id + line + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			"in an informational answer": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + line + "\r\n" + answer("one", "hello"),
			"in the answer to another":   ok + "Request-Id: zero\r\nContent-Length: 0\r\n" + line + "\r\n" + answer("one", "hello"),
			"in the trailer of another":  ok + "Request-Id: zero\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + line + "\r\n" + answer("one", "hello"),
			"in the trailer":             ok + id + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + line + "\r\n",
		} {
			t.Run(name+" "+place, func(t *testing.T) {
				s.Answer(text)
				if got, err := readAnswer(t, upstream.New(), s.Address, "one"); err == nil {
					t.Errorf("got the body %q, want an error", got)
				}
			})
		}
	}
}

// TestChunkedAnswerOfHTTP10Fails guards against a body with its chunk sizes: net/http ignores the coding of an HTTP/1.0 answer, and RFC 9112,
// section 6.1, has a recipient treat such an answer as faulty.
func TestChunkedAnswerOfHTTP10Fails(t *testing.T) {
	const text = "HTTP/1.0 200 OK\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	if got, err := readAnswer(t, upstream.New(), responsechecktest.Serve(t, text), "one"); err == nil {
		t.Errorf("got the body %q, want an error", got)
	}
}
