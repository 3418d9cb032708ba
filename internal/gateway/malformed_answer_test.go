package gateway

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
)

// brokenOnce serves the first request that arrives at any of its two servers with broken, which it sends over a connection that it then
// ends, and every other one with a whole answer.
func brokenOnce(t *testing.T, broken string) (*fixture, *atomic.Int32) {
	var arrived atomic.Int32
	servers := []*backend{newBackend(t, nil), newBackend(t, nil)}
	for _, s := range servers {
		s.stream = func(r *http.Request, conn net.Conn) {
			if arrived.Add(1) == 1 {
				_, _ = io.WriteString(conn, broken)
				return
			}
			_, _ = io.WriteString(conn, fullAnswer(r, http.StatusOK, seal, "id: 1\n\n"))
		}
	}
	return newFixture(t, servers...), &arrived
}

// checkBrokenAnswer checks what callers get if the first server that is asked answers with broken: the answer of another server where the
// request may be repeated, and otherwise a failure that promises nothing.
func checkBrokenAnswer(t *testing.T, broken string) {
	t.Helper()
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		b, arrived := brokenOnce(t, broken)
		res, body, err := b.do(http.MethodPost, path)
		if err != nil || res.StatusCode != http.StatusBadGateway || res.Header.Get(headerVerdict) != "may_have_run" || arrived.Load() != 1 {
			t.Errorf("%s: answer %v, body %q, error %v after %d attempts; want 502 and may_have_run after one", path, res, body, err, arrived.Load())
		}
	}
	for _, path := range []string{"/safe/x", "/resume/x"} {
		b, arrived := brokenOnce(t, broken)
		res, body, err := b.do(http.MethodPost, path)
		if err != nil || res.StatusCode != http.StatusOK || body != "id: 1\n\n" || arrived.Load() != 2 {
			t.Errorf("%s: answer %v, body %q, error %v after %d attempts; want the answer of another server", path, res, body, err, arrived.Load())
		}
	}
}

// TestAnswerWithInvalidStatusIsNotRelayed guards against callers that get a status which means nothing, such as 000, or what the server sent
// behind it.
func TestAnswerWithInvalidStatusIsNotRelayed(t *testing.T) {
	const (
		rest = " X\r\nX-Id: id-1\r\n" + seal
		next = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\n" + seal + "Content-Length: 7\r\n\r\nid: 9\n\n"
	)
	cases := map[string]string{
		"000, with a body":               "HTTP/1.1 000" + rest + "Content-Length: 7\r\n\r\nid: 8\n\n",
		"000, until the connection ends": "HTTP/1.1 000" + rest + "\r\nid: 8\n\n",
		"000, behind an informational":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000" + rest + "Content-Length: 0\r\n\r\n" + next,
		"999, with a body":               "HTTP/1.1 999" + rest + "Content-Length: 7\r\n\r\nid: 8\n\n",
		"999, until the connection ends": "HTTP/1.1 999" + rest + "\r\nid: 8\n\n",
		"999, behind an informational":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 999" + rest + "Content-Length: 0\r\n\r\n" + next,
	}
	for _, status := range responsechecktest.InvalidStatuses() {
		cases[status] = "HTTP/1.1 " + status + rest + "Content-Length: 0\r\n\r\n" + next
	}
	for name, broken := range cases {
		t.Run(name, func(t *testing.T) { checkBrokenAnswer(t, broken) })
	}
}

// TestAnswerWithMalformedFieldIsNotRelayed guards against callers that get another body than the server's, or other headers, since a line of
// the head is no field.
func TestAnswerWithMalformedFieldIsNotRelayed(t *testing.T) {
	const (
		ok    = "HTTP/1.1 200 OK\r\n"
		id    = "X-Id: id-1\r\n"
		whole = "Content-Length: 7\r\n\r\nid: 8\n\n"
	)
	cases := make(map[string]string)
	for name, field := range responsechecktest.MalformedFields() {
		cases[name] = ok + id + seal + field + "\r\n" + whole
	}
	for _, field := range []string{"X Blank: z", "Content-Length : 3", " X-Continued: z", "X\x01Control: z"} {
		line := field + "\r\n"
		cases[field+", first"] = ok + line + id + seal + whole
		cases[field+", in place of the length"] = ok + id + seal + line + "\r\nid: 8\n\n"
		cases[field+", in an informational answer"] = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + line + "\r\n" + ok + id + seal + whole
	}
	for name, broken := range cases {
		t.Run(name, func(t *testing.T) { checkBrokenAnswer(t, broken) })
	}
}

// TestStreamWithMalformedTrailerIsBrokenOff guards against a stream that the caller takes for complete although its server's answer is not
// well-formed to its end. Another server goes on with it where it may be resumed.
func TestStreamWithMalformedTrailerIsBrokenOff(t *testing.T) {
	const broken = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 8\n\n\r\n0\r\nX Sum: 1\r\n\r\n"
	b, _ := brokenOnce(t, broken)
	if res, body, err := b.do(http.MethodPost, "/stream/x"); err == nil {
		t.Errorf("answer %v, body %q; want a stream that is broken off", res, body)
	}
	b, _ = brokenOnce(t, broken)
	if res, body, err := b.do(http.MethodPost, "/resume/x"); err != nil || body != "id: 8\n\nid: 1\n\n" {
		t.Errorf("answer %v, body %q, error %v; want the events of both servers", res, body, err)
	}
	for path, status := range map[string]int{"/unsafe/x": http.StatusBadGateway, "/safe/x": http.StatusOK} {
		b, _ = brokenOnce(t, broken)
		if res, body, err := b.do(http.MethodPost, path); err != nil || res.StatusCode != status || body == "id: 8\n\n" {
			t.Errorf("%s: answer %v, body %q, error %v; want status %d and nothing of the first answer", path, res, body, err, status)
		}
	}
}
