package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestAnswerCutInItsHeadIsNotRelayed guards against a success with an empty or short body that looks whole, although its server stopped inside
// the head of the answer: the caller gets an answer that promises nothing.
func TestAnswerCutInItsHeadIsNotRelayed(t *testing.T) {
	const (
		status = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\n" + seal
		early  = "HTTP/1.1 103 Early Hints\r\n\r\n"
	)
	cuts := map[string]string{
		"nothing":                              "",
		"inside the status line":               "HTTP/1.1 20",
		"behind the status line":               "HTTP/1.1 200 OK\r\n",
		"inside a header name":                 status + "Content-Le",
		"inside a header value":                status + "Content-Length: 1",
		"behind the length":                    status + "Content-Length: 12\r\n",
		"behind a length of 0":                 status + "Content-Length: 0\r\n",
		"before the blank line":                status,
		"inside the blank line":                status + "\r",
		"inside the blank line, with a length": status + "Content-Length: 0\r\n\r",
		"inside a chunk size":                  status + "Transfer-Encoding: chunked\r\n\r\n1",
		"before the first chunk":               status + "Transfer-Encoding: chunked\r\n\r\n",
		"before the body":                      status + "Content-Length: 12\r\n\r\n",
		"behind an informational answer":       early,
		"inside the status line, behind one":   early + "HTTP/1.1 200",
		"before the blank line, behind one":    early + status,
	}
	for name, cut := range cuts {
		for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/resume/x"} {
			for _, ending := range []string{"close", "reset"} {
				t.Run(strings.Join([]string{name, path, ending}, " "), func(t *testing.T) {
					s := newBackend(t, nil)
					s.stream = func(r *http.Request, conn net.Conn) { serveThenCut(r, conn, cut, ending == "reset") }
					b := newFixture(t, s)
					for _, kept := range []bool{false, true} {
						if kept {
							if res, _, err := b.do(http.MethodPost, path, withWhole); err != nil || res.StatusCode != http.StatusOK {
								t.Fatalf("answer %v, error %v; want a whole one", res, err)
							}
						}
						res, body, err := b.do(http.MethodPost, path)
						if err != nil || res.StatusCode != http.StatusBadGateway || res.Header.Get(headerVerdict) != "may_have_run" {
							t.Errorf("kept connection %v: answer %v, body %q, error %v; want 502 and may_have_run", kept, res, body, err)
						}
					}
				})
			}
		}
	}
}

// withWhole makes serveThenCut send a whole answer.
func withWhole(r *http.Request) { r.Header.Set("X-Id", "whole") }

// serveThenCut answers the requests of a connection, up to the first that isn't withWhole: of its answer it sends cut, and ends the connection.
func serveThenCut(r *http.Request, conn net.Conn, cut string, resets bool) {
	reader := bufio.NewReader(conn)
	for r.Header.Get("X-Id") == "whole" {
		_, _ = io.WriteString(conn, fullAnswer(r, http.StatusOK, seal, "id: 1\n\n"))
		var err error
		if r, err = http.ReadRequest(reader); err != nil {
			return
		}
	}
	_, _ = io.WriteString(conn, cut)
	if resets {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}
