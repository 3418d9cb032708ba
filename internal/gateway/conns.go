package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
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
	c := &trackedConn{Conn: conn, tracker: l.tracker, since: time.Now()}
	l.tracker.mu.Lock()
	l.tracker.conns[c] = struct{}{}
	l.tracker.mu.Unlock()
	return c, nil
}

// trackedConn is a caller's connection.
type trackedConn struct {
	net.Conn
	tracker *connTracker

	// Guarded by tracker.mu:
	busy   bool // bytes of a request arrived, and its answer is not written
	headed bool // its head is whole
	closed bool
	since  time.Time // of the last change of busy
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
	if !c.busy {
		c.busy, c.since = true, time.Now()
	}
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

// stateChanged is the http.Server's hook: a connection is active once a whole head arrived, and an answered request leaves it
// idle.
func (t *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateActive:
		c.headed = true
	case http.StateIdle:
		c.busy, c.headed, c.since = false, false, time.Now()
	}
}

// connLimits bound how long a caller may do nothing. A limit of 0 is none.
type connLimits struct {
	idle time.Duration // between two requests
	head time.Duration // for the head of a request, once it has begun to arrive
}

// isOverdue reports whether the connection is beyond a limit.
func (c *trackedConn) isOverdue(now time.Time, limits connLimits) bool {
	limit := limits.idle
	if c.busy {
		limit = limits.head
	}
	return !c.headed && limit > 0 && now.Sub(c.since) > limit
}

// closeOverdue closes the connections that are beyond a limit.
func (t *connTracker) closeOverdue(now time.Time, limits connLimits) {
	t.closeWhere(func(c *trackedConn) bool { return c.isOverdue(now, limits) })
}

// closeIdle closes the connections on which nothing has arrived since the last answer, and returns the number of the others.
func (t *connTracker) closeIdle() (busy int) {
	return t.closeWhere(func(c *trackedConn) bool { return !c.busy })
}

// closeWhere closes the connections for which f holds, and returns the number of the others.
func (t *connTracker) closeWhere(f func(*trackedConn) bool) (others int) {
	var chosen []*trackedConn
	t.mu.Lock()
	for c := range t.conns {
		if !f(c) {
			others++
			continue
		}
		c.closed = true
		chosen = append(chosen, c)
	}
	t.mu.Unlock()
	for _, c := range chosen {
		_ = c.Close()
	}
	return others
}
