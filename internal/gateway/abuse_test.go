package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestRequestsThatAreNone sends what a careless or hostile caller may send. Nothing of it reaches a backend server but what is
// one whole request.
func TestRequestsThatAreNone(t *testing.T) {
	const host = "Host: 127.0.0.1\r\nX-Id: id-1\r\nX-Key: k\r\n"
	cases := []struct {
		name   string
		text   string
		half   bool // the caller closes its side behind the text
		status int  // 0: no answer
		served int  // requests at the backend server
	}{
		{"whole", "POST /unsafe/x HTTP/1.1\r\n" + host + "Content-Length: 2\r\n\r\nok", false, 200, 1},
		{"two lengths", "POST /unsafe/x HTTP/1.1\r\n" + host + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", false, 400, 0},
		{"a length that is none", "POST /unsafe/x HTTP/1.1\r\n" + host + "Content-Length: +2\r\n\r\nok", false, 400, 0},
		{"an unknown coding", "POST /unsafe/x HTTP/1.1\r\n" + host + "Transfer-Encoding: other\r\n\r\nok", false, 501, 0},
		{"chunks with a length", "POST /unsafe/x HTTP/1.1\r\n" + host + "Content-Length: 90\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, 200, 1},
		{"a body that ends early", "POST /unsafe/x HTTP/1.1\r\n" + host + "Content-Length: 20\r\n\r\nok", true, 400, 0},
		{"chunks that end early", "POST /unsafe/x HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n5\r\nok", true, 400, 0},
		{"a head that ends early", "POST /unsafe/x HTTP/1.1\r\n" + host, true, 400, 0},
		{"two hosts", "POST /unsafe/x HTTP/1.1\r\nHost: a\r\n" + host + "\r\n", false, 400, 0},
		{"a header on two lines", "POST /unsafe/x HTTP/1.1\r\n" + host + "X-A: b\r\n c\r\nContent-Length: 2\r\n\r\nok", false, 200, 1},
		{"a space before the colon", "POST /unsafe/x HTTP/1.1\r\n" + host + "X-A : b\r\n\r\n", false, 400, 0},
		{"no protocol", "hello\r\n\r\n", false, 400, 0},
		{"a head at the catalog's limit", "POST /safe/x HTTP/1.1\r\n" + host + "Content-Length: 2\r\nX-A: " + strings.Repeat("a", benchMaxHeaderBytes-200) + "\r\n\r\nok", false, 200, 1},
		{"a head above the catalog's limit", "GET /safe/x HTTP/1.1\r\n" + host + "X-A: " + strings.Repeat("a", benchMaxHeaderBytes) + "\r\n\r\n", false, 431, 0},
		{"a head above the limit", "GET /safe/x HTTP/1.1\r\n" + host + "X-A: " + strings.Repeat("a", 2*maxHeaderBytes) + "\r\n\r\n", false, 431, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bodies := make(chan string, 4)
			s := newBackend(t, func(r *http.Request, body string) string {
				bodies <- body
				return whole(r, 200, seal, "ok")
			})
			b := newBench(t, s)
			conn, err := net.Dial("tcp", b.http.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, tc.text) // the gateway may close before it has read all
			if tc.half {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			status := 0
			if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				status = res.StatusCode
				_ = res.Body.Close()
			}
			// A caller that closes its side may be gone: an answer is allowed, none is too.
			if status != tc.status && (!tc.half || status != 0) {
				t.Errorf("status %d, want %d", status, tc.status)
			}
			if n := len(s.requests()); n != tc.served {
				t.Errorf("%d requests at the backend server, want %d", n, tc.served)
			}
			if tc.served == 1 {
				if body := <-bodies; body != "ok" {
					t.Errorf("body %q at the backend server", body)
				}
			}
		})
	}
}
