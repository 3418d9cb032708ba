package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// pipeListener accepts one end of a pipe.
type pipeListener struct {
	net.Listener
	conn net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) { return l.conn, nil }

// connected returns the caller's end and the tracked end of a connection.
func connected(t *testing.T, tracker *connTracker) (caller net.Conn, tracked *trackedConn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	conn, err := trackedListener{pipeListener{conn: far}, tracker}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return near, conn.(*trackedConn)
}

func isOpen(c net.Conn) bool {
	_, err := c.Write([]byte("x"))
	return err == nil
}

// TestAShutdownLeavesARequestThatHasBegun closes idle connections at each moment of a request.
func TestAShutdownLeavesARequestThatHasBegun(t *testing.T) {
	tracker := newConnTracker()
	idleCaller, _ := connected(t, tracker)
	caller, tracked := connected(t, tracker)
	go func() { _, _ = io.WriteString(caller, "P") }()
	if _, err := tracked.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if busy := tracker.closeIdle(); busy != 1 {
		t.Errorf("%d busy connections, want 1", busy)
	}
	if isOpen(idleCaller) {
		t.Error("the idle connection is open")
	}
	go func() { _, _ = io.WriteString(caller, "O") }()
	if _, err := tracked.Read(make([]byte, 1)); err != nil {
		t.Errorf("the rest of the request: %v", err)
	}
	tracker.stateChanged(tracked, http.StateActive)
	if busy := tracker.closeIdle(); busy != 1 {
		t.Errorf("%d busy connections while the request is served, want 1", busy)
	}
	tracker.stateChanged(tracked, http.StateIdle)
	if busy := tracker.closeIdle(); busy != 0 {
		t.Errorf("%d busy connections after the answer, want 0", busy)
	}
	if isOpen(caller) {
		t.Error("the connection is open after its answer")
	}
}

// TestBytesBehindACloseAreNotSeen lets bytes arrive while the connection is being closed: nobody may act on them.
func TestBytesBehindACloseAreNotSeen(t *testing.T) {
	tracker := newConnTracker()
	caller, tracked := connected(t, tracker)
	tracker.mu.Lock()
	tracked.closed = true // as closeIdle decides it, before it closes
	tracker.mu.Unlock()
	go func() { _, _ = io.WriteString(caller, "POST") }()
	if n, err := tracked.Read(make([]byte, 4)); n != 0 || err == nil {
		t.Errorf("read %d bytes, %v; want none", n, err)
	}
}
