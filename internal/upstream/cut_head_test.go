package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/upstream"
)

// cuttingServer serves whole answers to requests with the id "whole". It sends cut as the answer to any other request and ends the
// connection, in order or by a reset.
func cuttingServer(t *testing.T, cut string, resets bool) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		for reader := bufio.NewReader(conn); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.Header.Get(headerID) == "whole" {
				_, _ = io.WriteString(conn, answer("whole", "hello"))
				continue
			}
			_, _ = io.WriteString(conn, cut)
			if resets {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return lis.Addr().String()
}

// TestAnswerCutInItsHeadFails guards against an answer that counts as whole, with an empty or short body, although its server stopped
// inside the head: it is cut after each of its bytes.
func TestAnswerCutInItsHeadFails(t *testing.T) {
	const (
		ok   = "HTTP/1.1 200 OK\r\n"
		id   = "Request-Id: one\r\n"
		more = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	)
	cases := []struct{ name, head string }{
		{"with a length", ok + id + "Content-Length: 12\r\n\r\n"},
		{"length first", ok + "Content-Length: 12\r\n" + id + "\r\n"},
		{"empty body", ok + id + "Content-Length: 0\r\n\r\n"},
		{"chunked", ok + id + "Transfer-Encoding: chunked\r\n\r\n"},
		{"without a length", ok + id + "Connection: close\r\n\r\n"},
		{"no content", "HTTP/1.1 204 No Content\r\n" + id + "\r\n"},
		{"after an informational answer", more + ok + id + "\r\n"},
		{"bare line feeds", "HTTP/1.1 200 OK\nRequest-Id: one\nContent-Length: 12\n\n"},
		{"continued line", ok + id + "X-Folded: a\r\n b\r\n\r\n"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + id + "\r\n"},
	}
	for _, c := range cases {
		for _, kept := range []bool{false, true} {
			for _, resets := range []bool{false, true} {
				t.Run(c.name+connectionName(kept, resets), func(t *testing.T) {
					for n := range len(c.head) {
						address := cuttingServer(t, c.head[:n], resets)
						if got, ok := firstAnswer(t, address, kept); ok {
							t.Errorf("cut after %q: got the whole body %q, want an error", c.head[:n], got)
						}
					}
				})
			}
		}
	}
}

// TestAnswerCutInItsFramingFails guards against the same behind a whole head: the server stops in a chunk size, a chunk, the last chunk or
// the body, or resets the connection during a body that has no length.
func TestAnswerCutInItsFramingFails(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n"
	cases := []struct {
		name, head, body string
		onlyReset        bool // an orderly close ends the body
	}{
		{"with a length", ok + "Content-Length: 5\r\n\r\n", "hello", false},
		{"chunked", ok + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n", false},
		{"chunked with an extension and a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n", "5;a=b\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", false},
		{"chunked, bare line feeds", ok + "Transfer-Encoding: chunked\r\n\r\n", "5\nhello\n0\n\n", false},
		{"without a length", ok + "\r\n", "hello", true},
	}
	for _, c := range cases {
		for _, kept := range []bool{false, true} {
			for _, resets := range []bool{false, true} {
				if c.onlyReset && !resets {
					continue
				}
				t.Run(c.name+connectionName(kept, resets), func(t *testing.T) {
					for n := range len(c.body) {
						address := cuttingServer(t, c.head+c.body[:n], resets)
						if got, ok := firstAnswer(t, address, kept); ok {
							t.Errorf("cut after %q: got the whole body %q, want an error", c.body[:n], got)
						}
					}
				})
			}
		}
	}
}

func connectionName(kept, resets bool) string {
	name := ", new connection"
	if kept {
		name = ", kept connection"
	}
	if resets {
		return name + ", reset"
	}
	return name
}

// firstAnswer returns the body of the answer to the request "one", and whether it is whole. If kept, the request goes over a connection
// that has served another request.
func firstAnswer(t *testing.T, address string, kept bool) (string, bool) {
	t.Helper()
	client := upstream.New()
	defer client.CloseExpired(time.Time{}, func(string) bool { return false })
	for kept {
		_, err := readAnswer(t, client, address, "whole")
		if err == nil {
			break
		}
		var failure *upstream.Error
		if !errors.As(err, &failure) || failure.Sent { // otherwise no connection was made in time, as on a busy machine
			t.Fatal(err)
		}
	}
	body, err := readAnswer(t, client, address, "one")
	return body, err == nil
}

func readAnswer(t *testing.T, client *upstream.Client, address, id string) (string, error) {
	t.Helper()
	a, err := client.Do(t.Context(), address, request(id))
	if err != nil {
		return "", err
	}
	defer a.Close()
	var body strings.Builder
	_, err = io.Copy(&body, a)
	return body.String(), err
}
