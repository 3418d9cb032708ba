package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/callerconn"
)

// connTracker tracks the callers' connections, so that a shutdown closes only those on which no request has begun to arrive.
// net/http marks a connection as active only after it has read the complete header; its own shutdown would close it before that.
type connTracker struct {
	guard *callerconn.Guard // bounds the connections; nil: not bounded

	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

func newConnTracker() *connTracker { return &connTracker{conns: make(map[*trackedConn]struct{})} }

// trackedListener accepts tracked connections.
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
	busy      bool // part of a request has arrived or is served, and its answer is not written yet
	hasHeader bool // the header of the request is complete
	closed    bool
	since     time.Time // when busy last changed
}

// Read marks the connection as busy before it returns the data.
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

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// withConn implements http.Server.ConnContext.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// beginRequest marks the connection of a request as busy, and reports whether it is open. A request that arrived together with the one before
// it is read and served without a further read from the connection.
func beginRequest(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return true
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.busy, c.hasHeader = true, true
	return !c.closed
}

// onStateChange implements http.Server.ConnState: a connection becomes active when a complete header has arrived, and idle when
// its request has been answered.
func (t *connTracker) onStateChange(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	if t.guard != nil {
		t.guard.StateChanged(c.Conn, state)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateActive:
		c.hasHeader = true
	case http.StateIdle:
		c.busy, c.hasHeader, c.since = false, false, time.Now()
	}
}

// connLimits bound how long a caller may stay inactive. 0 means no limit.
type connLimits struct {
	idle   time.Duration // between two requests
	header time.Duration // for the header of a request, from its first byte
}

// isOverdue reports whether the connection exceeds a limit.
func (c *trackedConn) isOverdue(now time.Time, limits connLimits) bool {
	limit := limits.idle
	if c.busy {
		limit = limits.header
	}
	return !c.hasHeader && limit > 0 && now.Sub(c.since) > limit
}

// closeOverdue closes the connections that exceed a limit.
func (t *connTracker) closeOverdue(now time.Time, limits connLimits) {
	t.closeWhere(func(c *trackedConn) bool { return c.isOverdue(now, limits) })
}

// closeIdle closes the connections without a request in progress, and returns the number of the others.
func (t *connTracker) closeIdle() (busy int) {
	return t.closeWhere(func(c *trackedConn) bool { return !c.busy })
}

// closeWhere closes the connections for which f returns true, and returns the number of the others.
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

// newConnGuard returns the limits of the callers' connections. Heads are bounded by the catalog in force.
func (s *Server) newConnGuard() *callerconn.Guard {
	cfg := s.cfg.Connections
	cfg.Name, cfg.Logger, cfg.Metrics = "gateway", s.cfg.Logger, s.cfg.Metrics
	cfg.MaxHeadBytes = func() int {
		if index := s.dir.Catalog(); index != nil {
			return index.Limits().MaxHeaderBytes
		}
		return 0
	}
	return callerconn.New(cfg)
}
