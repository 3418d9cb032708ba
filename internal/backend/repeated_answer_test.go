package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
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
			address := responsechecktest.ServeConns(t, func(conn *net.TCPConn) {
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
			e := NewEngine(Config{URL: "http://" + address})
			defer e.Close()
			_, _ = e.Do(t.Context(), &Request{ID: "first", Method: "POST", Path: "/", Body: []byte("{}")}, &collector{})
			var c collector
			_, err := e.Do(t.Context(), &Request{ID: "second", Method: "POST", Path: "/", Body: []byte("{}")}, &c)
			if err != nil || c.status != http.StatusOK || c.body.String() != `{"text":"second"}` {
				t.Errorf("got status %d, body %q, error %v; want the answer to the second request", c.status, c.body.String(), err)
			}
		})
	}
}
