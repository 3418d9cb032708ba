package gateway

import (
	"net"
	"net/http"
	"sync"
)

// connTracker knows the callers' connections, so that a shutdown closes only those on which no request has begun to arrive.
// net/http marks a connection as active only after it has read a whole head, and would close one in between.
type connTracker struct {
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

func newConnTracker() *connTracker { return &connTracker{conns: make(map[*trackedConn]struct{})} }

// trackedListener hands out tracked connections.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept returns the next connection.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn, tracker: l.tracker}
	l.tracker.mu.Lock()
	l.tracker.conns[c] = struct{}{}
	l.tracker.mu.Unlock()
	return c, nil
}

// trackedConn is a caller's connection.
type trackedConn struct {
	net.Conn
	tracker *connTracker
	busy    bool // bytes of a request arrived, and its answer is not written; guarded by tracker.mu
	closed  bool // guarded by tracker.mu
}

// Read marks the connection as busy before anybody sees what arrived.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.busy = true
	return n, err
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	c.closed = true
	delete(c.tracker.conns, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

// stateChanged is the http.Server's hook: an answered request leaves its connection idle.
func (t *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok || state != http.StateIdle {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c.busy = false
}

// closeIdle closes the connections on which nothing has arrived since the last answer, and returns the number of the others.
func (t *connTracker) closeIdle() (busy int) {
	var idle []*trackedConn
	t.mu.Lock()
	for c := range t.conns {
		if c.busy {
			busy++
			continue
		}
		c.closed = true
		idle = append(idle, c)
	}
	t.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
	return busy
}
