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
	return ServeConns(t, func(conn *net.TCPConn) { AnswerAndReset(conn, text, after) })
}

// AnswerAndReset serves one connection as ServeReset does. The reset happens when the connection is closed.
func AnswerAndReset(conn *net.TCPConn, text string, after time.Duration) {
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
