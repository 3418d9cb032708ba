package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
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

// TestLimitsOnCallersConnections lets connections idle and heads dawdle.
func TestLimitsOnCallersConnections(t *testing.T) {
	limits := connLimits{idle: 15 * time.Second, head: 3 * time.Second}
	began := func(t *testing.T, caller net.Conn, tracked *trackedConn) {
		t.Helper()
		go func() { _, _ = io.WriteString(caller, "P") }()
		if _, err := tracked.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	cases := []struct {
		name  string
		play  func(t *testing.T, tracker *connTracker, caller net.Conn, tracked *trackedConn)
		after time.Duration
		open  bool
	}{
		{"idle within the limit", func(*testing.T, *connTracker, net.Conn, *trackedConn) {}, limits.idle - time.Second, true},
		{"idle beyond the limit", func(*testing.T, *connTracker, net.Conn, *trackedConn) {}, limits.idle + time.Second, false},
		{"a head within the limit", func(t *testing.T, _ *connTracker, caller net.Conn, tracked *trackedConn) {
			began(t, caller, tracked)
		}, limits.head - time.Second, true},
		{"a head beyond the limit", func(t *testing.T, _ *connTracker, caller net.Conn, tracked *trackedConn) {
			began(t, caller, tracked)
		}, limits.head + time.Second, false},
		{"a request in progress", func(t *testing.T, tracker *connTracker, caller net.Conn, tracked *trackedConn) {
			began(t, caller, tracked)
			tracker.stateChanged(tracked, http.StateActive)
		}, time.Hour, true},
		{"idle after an answer, within the limit", func(t *testing.T, tracker *connTracker, caller net.Conn, tracked *trackedConn) {
			began(t, caller, tracked)
			tracker.stateChanged(tracked, http.StateActive)
			tracker.stateChanged(tracked, http.StateIdle)
		}, limits.idle - time.Second, true},
		{"idle after an answer, beyond the limit", func(t *testing.T, tracker *connTracker, caller net.Conn, tracked *trackedConn) {
			began(t, caller, tracked)
			tracker.stateChanged(tracked, http.StateActive)
			tracker.stateChanged(tracked, http.StateIdle)
		}, limits.idle + time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := newConnTracker()
			caller, tracked := connected(t, tracker)
			c.play(t, tracker, caller, tracked)
			tracker.closeOverdue(time.Now().Add(c.after), limits)
			tracker.mu.Lock()
			open := !tracked.closed
			tracker.mu.Unlock()
			if open != c.open {
				t.Errorf("open %v, want %v", open, c.open)
			}
		})
	}
}
