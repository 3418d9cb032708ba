package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestRepeatedAnswerIsNotTakenForTheNext guards against an answer that a faulty engine writes once more on a kept connection: it would
// count as the answer to the next request.
func TestRepeatedAnswerIsNotTakenForTheNext(t *testing.T) {
	answer := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	for name, first := range map[string]string{
		"refusal":         answer(429, `{"error":"full"}`),
		"another refusal": answer(400, `{"error":"invalid"}`),
		"answer":          answer(200, `{"text":"first"}`),
	} {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = lis.Close() }()
			go acceptEach(lis, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				repeated := ""
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if r.Header.Get(headerRequestID) == "first" {
						_, _ = io.WriteString(conn, first)
						repeated = first
						continue
					}
					_, _ = io.WriteString(conn, repeated+answer(200, `{"text":"second"}`))
				}
			})
			e := NewEngine(Config{URL: "http://" + lis.Addr().String()})
			defer e.Close()
			_, _ = e.Do(t.Context(), &Request{ID: "first", Method: "POST", Path: "/", Body: []byte("{}")}, &collector{})
			var c collector
			_, err = e.Do(t.Context(), &Request{ID: "second", Method: "POST", Path: "/", Body: []byte("{}")}, &c)
			if err != nil || c.status != http.StatusOK || c.body.String() != `{"text":"second"}` {
				t.Errorf("got status %d, body %q, error %v; want the answer to the second request", c.status, c.body.String(), err)
			}
		})
	}
}

// acceptEach calls serve with each connection until the listener is closed.
func acceptEach(lis net.Listener, serve func(net.Conn)) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			serve(conn)
		}()
	}
}
