// Package responsechecktest provides servers that answer with responses which are not well-formed.
package responsechecktest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// InvalidStatuses are statuses that no response to a request has.
func InvalidStatuses() []string {
	return []string{"000", "001", "099", "+99", "-00", "101", "600", "999"}
}

// Server answers each request with the same text and ends the connection. One for all cases of a test leaves ports to other tests.
type Server struct {
	Address string
	text    atomic.Value // string
}

// NewServer starts a server that answers nothing yet.
func NewServer(t testing.TB) *Server {
	s := &Server{}
	s.Answer("")
	s.Address = ServeConns(t, func(conn *net.TCPConn) { answer(conn, s.text.Load().(string)) })
	return s
}

// Answer sets the text of the answers.
func (s *Server) Answer(text string) { s.text.Store(text) }

// Serve starts a server that answers each request with text and ends the connection. It returns its address.
func Serve(t testing.TB, text string) string {
	s := NewServer(t)
	s.Answer(text)
	return s.Address
}

// ServeConns starts a server that calls serve with each connection, in a goroutine of its own, and then closes it. It returns its address.
func ServeConns(t testing.TB, serve func(*net.TCPConn)) string {
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
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return lis.Addr().String()
}

func answer(conn *net.TCPConn, text string) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(conn, text)
}
