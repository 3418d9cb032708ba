package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// pipeListener is a listener that returns conn.
type pipeListener struct {
	net.Listener
	conn net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) { return l.conn, nil }

// newTrackedConn returns the caller's end and the tracked end of a connection.
func newTrackedConn(t *testing.T, tracker *connTracker) (caller net.Conn, tracked *trackedConn) {
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

// TestCloseIdleKeepsStartedRequests calls closeIdle at each stage of a request.
func TestCloseIdleKeepsStartedRequests(t *testing.T) {
	tracker := newConnTracker()
	idleCaller, _ := newTrackedConn(t, tracker)
	caller, tracked := newTrackedConn(t, tracker)
	go func() { _, _ = io.WriteString(caller, "P") }()
	if _, err := tracked.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if busy := tracker.closeIdle(); busy != 1 {
		t.Errorf("%d busy connections, want 1", busy)
	}
	if isOpen(idleCaller) {
		t.Error("the idle connection is still open, want it closed")
	}
	go func() { _, _ = io.WriteString(caller, "O") }()
	if _, err := tracked.Read(make([]byte, 1)); err != nil {
		t.Errorf("read the rest of the request: got error %v, want none", err)
	}
	tracker.onStateChange(tracked, http.StateActive)
	if busy := tracker.closeIdle(); busy != 1 {
		t.Errorf("%d busy connections while the request is served, want 1", busy)
	}
	tracker.onStateChange(tracked, http.StateIdle)
	if busy := tracker.closeIdle(); busy != 0 {
		t.Errorf("%d busy connections after the answer, want 0", busy)
	}
	if isOpen(caller) {
		t.Error("the connection is still open after its answer, want it closed")
	}
}

// TestReadAfterCloseReturnsNothing sends data while the connection is being closed: the data must not be processed.
func TestReadAfterCloseReturnsNothing(t *testing.T) {
	tracker := newConnTracker()
	caller, tracked := newTrackedConn(t, tracker)
	tracker.mu.Lock()
	tracked.closed = true // closeIdle sets this before it closes the connection
	tracker.mu.Unlock()
	go func() { _, _ = io.WriteString(caller, "POST") }()
	if n, err := tracked.Read(make([]byte, 4)); n != 0 || err == nil {
		t.Errorf("read %d bytes, error %v; want none and an error", n, err)
	}
}

// TestRequestOfClosedConnectionDoesNotBegin closes a connection between two requests that arrived together: the second must not be passed on.
func TestRequestOfClosedConnectionDoesNotBegin(t *testing.T) {
	tracker := newConnTracker()
	_, tracked := newTrackedConn(t, tracker)
	ctx := withConn(t.Context(), tracked)
	if !beginRequest(ctx) {
		t.Error("the request of an open connection doesn't begin")
	}
	tracker.onStateChange(tracked, http.StateIdle)
	tracker.closeIdle()
	if beginRequest(ctx) {
		t.Error("the request of a closed connection begins")
	}
}

// TestCallerConnectionLimits checks the limits on idle connections and on slow headers.
func TestCallerConnectionLimits(t *testing.T) {
	limits := connLimits{idle: 15 * time.Second, header: 3 * time.Second}
	startHeader := func(t *testing.T, caller net.Conn, tracked *trackedConn) {
		t.Helper()
		go func() { _, _ = io.WriteString(caller, "P") }()
		if _, err := tracked.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	cases := []struct {
		name  string
		run   func(t *testing.T, tracker *connTracker, caller net.Conn, tracked *trackedConn)
		after time.Duration
		open  bool
	}{
		{"idle within the limit", func(*testing.T, *connTracker, net.Conn, *trackedConn) {}, limits.idle - time.Second, true},
		{"idle beyond the limit", func(*testing.T, *connTracker, net.Conn, *trackedConn) {}, limits.idle + time.Second, false},
		{"header within the limit", func(t *testing.T, _ *connTracker, caller net.Conn, tracked *trackedConn) {
			startHeader(t, caller, tracked)
		}, limits.header - time.Second, true},
		{"header beyond the limit", func(t *testing.T, _ *connTracker, caller net.Conn, tracked *trackedConn) {
			startHeader(t, caller, tracked)
		}, limits.header + time.Second, false},
		{"request in progress", func(t *testing.T, tracker *connTracker, caller net.Conn, tracked *trackedConn) {
			startHeader(t, caller, tracked)
			tracker.onStateChange(tracked, http.StateActive)
		}, time.Hour, true},
		{"request in progress that arrived with the one before", func(t *testing.T, tracker *connTracker, caller net.Conn, tracked *trackedConn) {
			startHeader(t, caller, tracked)
			tracker.onStateChange(tracked, http.StateActive)
			tracker.onStateChange(tracked, http.StateIdle)
			beginRequest(withConn(t.Context(), tracked))
		}, time.Hour, true},
		{"idle after an answer, within the limit", func(t *testing.T, tracker *connTracker, caller net.Conn, tracked *trackedConn) {
			startHeader(t, caller, tracked)
			tracker.onStateChange(tracked, http.StateActive)
			tracker.onStateChange(tracked, http.StateIdle)
		}, limits.idle - time.Second, true},
		{"idle after an answer, beyond the limit", func(t *testing.T, tracker *connTracker, caller net.Conn, tracked *trackedConn) {
			startHeader(t, caller, tracked)
			tracker.onStateChange(tracked, http.StateActive)
			tracker.onStateChange(tracked, http.StateIdle)
		}, limits.idle + time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := newConnTracker()
			caller, tracked := newTrackedConn(t, tracker)
			c.run(t, tracker, caller, tracked)
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
