package responsechecktest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// UploadBytes is the size of a request body of which a server of ServeReset can't have received all when it resets the connection.
const UploadBytes = 8 << 20

// receiveBytes is the size of the receive buffers of ServeReset, which keeps most of the body at the client.
const receiveBytes = 4 << 10

// ServeReset starts a server that answers each POST with text before it has read the body, and resets the connection after the given time. It
// answers other requests with an empty JSON object. It returns its address.
func ServeReset(t testing.TB, text string, after time.Duration) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go AnswerAndReset(conn.(*net.TCPConn), text, after)
		}
	}()
	return lis.Addr().String()
}

// AnswerAndReset serves one connection as ServeReset does.
func AnswerAndReset(conn *net.TCPConn, text string, after time.Duration) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadBuffer(receiveBytes)
	r, err := http.ReadRequest(bufio.NewReaderSize(conn, receiveBytes))
	if err != nil {
		return
	}
	if r.Method != http.MethodPost {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
		return
	}
	_, _ = io.WriteString(conn, text)
	time.Sleep(after)
	_ = conn.SetLinger(0)
}
