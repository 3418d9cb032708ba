package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawExchange sends raw bytes and returns the statuses of all answers until the entry closes the connection.
func rawExchange(t *testing.T, url, text string) []int {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, text) }()
	var statuses []int
	r := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		statuses = append(statuses, resp.StatusCode)
		if resp.Close {
			return statuses
		}
	}
}

// TestMalformedRequestsAreNotForwarded sends malformed and ambiguous requests. None of them may reach a backend server, and
// data that follows a request of ambiguous length must not be parsed as another request.
func TestMalformedRequestsAreNotForwarded(t *testing.T) {
	b := newFixture(t)
	post := func(headers, body string) string {
		return "POST /services/orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + b.key.Secret + "\r\n" + headers + "\r\n" + body
	}
	smuggled := post("Content-Length: 8\r\nConnection: close\r\n", "smuggled")
	tests := []struct {
		name string
		text string
	}{
		{"two lengths that differ", post("Content-Length: 1\r\nContent-Length: 5\r\n", "a"+smuggled)},
		{"length and an unknown transfer encoding", post("Content-Length: 1\r\nTransfer-Encoding: xchunked\r\n", "a"+smuggled)},
		{"negative length", post("Content-Length: -1\r\n", smuggled)},
		{"invalid chunk size", post("Transfer-Encoding: chunked\r\n", "zz\r\na\r\n0\r\n\r\n"+smuggled)},
		{"space before the colon", post("Content-Length : 1\r\n", "a"+smuggled)},
		{"oversized header", post("X-Long: "+strings.Repeat("x", 128<<10)+"\r\n", "a")},
		{"not HTTP", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello\r\n\r\n"},
		{"invalid method", "BR\x00KEN / HTTP/1.1\r\nHost: x\r\n\r\n" + smuggled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			statuses := rawExchange(t, b.url, tt.text)
			if len(statuses) > 1 || len(statuses) == 1 && statuses[0] < http.StatusBadRequest {
				t.Errorf("got statuses %v, want at most one, and an error", statuses)
			}
		})
	}
	if n := b.arrivals(); n != 0 {
		t.Errorf("service got %d requests, want 0", n)
	}
}

// TestChunksTakePrecedenceOverLength sends both a length and chunks. Data after the chunks must not be parsed as another
// request.
func TestChunksTakePrecedenceOverLength(t *testing.T) {
	b := newFixture(t)
	text := "POST /services/stock HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" +
		"1\r\na\r\n0\r\n\r\nPOST /services/stock HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nb"
	statuses := rawExchange(t, b.url, text)
	if len(statuses) > 1 || b.arrivals() > 1 {
		t.Errorf("got statuses %v and %d requests at the service, want at most one of each", statuses, b.arrivals())
	}
}

// TestSlowHeaderTimesOut opens connections that never complete their header: the entry closes them and serves others.
func TestSlowHeaderTimesOut(t *testing.T) {
	b := newFixture(t)
	b.configure = func(c *Config) { c.HeaderTimeout = 50 * time.Millisecond }
	url, _ := b.startEntry("entry-slow")
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
		conns = append(conns, conn)
	}
	if a := b.doAt(url, b.chat("1")); a.status != http.StatusOK {
		t.Errorf("status %d with slow callers connected, want 200", a.status)
	}
	for _, conn := range conns {
		_, _ = io.Copy(io.Discard, conn) // returns once the entry closes the connection
		_ = conn.Close()
	}
}

// TestFullEntryRefusesByTier fills an entry: a request of a higher tier displaces a waiting one of a lower tier, and a
// request of a lower tier is refused as not run.
func TestFullEntryRefusesByTier(t *testing.T) {
	b := newFixture(t)
	b.configure = func(c *Config) { c.MaxInFlight = 4 + 2 }
	url, _ := b.startEntry("entry-small")
	request := func(class, tokens string) call {
		c := b.chat(tokens)
		c.headers = map[string]string{headerClass: class}
		return c
	}
	// Four long requests of the highest tier run, and two of the lowest wait behind them.
	for range 4 {
		resp := b.start(t.Context(), url, request("fast", "100000"))
		t.Cleanup(func() { _ = resp.Body.Close() })
		if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	displaced := make(chan answer, 2)
	for i := range 2 {
		go func() { displaced <- b.doAt(url, request("slow", fmt.Sprint(1+i))) }()
	}
	waitFor(t, func() bool { return b.dir.Tree() != nil && b.waiting("engine-1") == 2 })
	if a := b.doAt(url, request("slow", "1")); a.code != "entry_full" || a.verdict != "not_run" {
		t.Errorf("lower tier at a full entry: status %d, code %q; want entry_full, not_run", a.status, a.code)
	}
	arrival := make(chan answer, 1)
	go func() { arrival <- b.doAt(url, request("fast", "1")) }()
	a := <-displaced
	if a.code != "displaced" || a.verdict != "not_run" {
		t.Errorf("displaced request: status %d, code %q, verdict %q; want displaced, not_run", a.status, a.code, a.verdict)
	}
	b.engine.Crash() // ends the running requests
	<-displaced
	<-arrival
}
