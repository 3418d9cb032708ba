// Package callerconn bounds the connections of the clients of a listener, and what they send before a request is complete in its head.
//
// net/http bounds the bytes of one head, but neither its lines, each of which takes far more memory than its bytes, nor the number of
// connections. A connection without a request in progress is closed when there are too many, the longest idle one first.
package callerconn

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavastack/guavastack/internal/telemetry"
)

// metricClosed counts the connections that a Guard closes, by reason.
const metricClosed = "caller_connections_closed"

// metricOpen is the number of open connections, by listener.
const metricOpen = "caller_connections"

const (
	// largeHeadBytes is the size from which a head counts as large.
	largeHeadBytes = 8 << 10
	// bufferBytes is the size of net/http's read buffer: so much of the body may be read together with the head.
	bufferBytes = 4 << 10
)

// Reasons for closing a connection.
const (
	reasonTooMany  = "too_many"
	reasonIdle     = "idle"
	reasonHead     = "head_too_large"
	reasonHeads    = "too_many_large_heads"
	reasonUnending = "unfinished_head"
)

// Config configures a Guard.
type Config struct {
	Name          string // of the listener, for logs and metrics
	MaxConns      int    // open connections
	MaxHeadBytes  func() int
	MaxHeadLines  int
	MaxLargeHeads int  // connections with a head of more than largeHeadBytes
	Encrypted     bool // TLS: the heads can't be seen; net/http bounds their bytes
	Logger        *slog.Logger
	Metrics       *telemetry.Registry // nil: none
	HasGauge      bool                // the number of open connections is a metric
}

// Guard bounds the connections of one listener. It is safe for concurrent use.
type Guard struct {
	cfg Config

	mu      sync.Mutex
	conns   map[*conn]struct{}
	large   int // connections with a large head
	logRate telemetry.PerSecondLimiter
}

// New returns a guard without connections.
func New(cfg Config) *Guard {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	g := &Guard{cfg: cfg, conns: make(map[*conn]struct{})}
	if cfg.Metrics != nil && cfg.HasGauge {
		cfg.Metrics.GaugeFunc(metricOpen+"_"+cfg.Name, func() int64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return int64(len(g.conns))
		})
	}
	return g
}

// Listen returns a listener whose connections are bounded. Connections are closed only if StateChanged is told their states.
func (g *Guard) Listen(lis net.Listener) net.Listener { return listener{lis, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection for which there is room.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// conn is a client's connection.
type conn struct {
	net.Conn
	guard    *Guard
	isActive atomic.Bool // the head of a request is complete, and its answer is not

	// Used only by the reader of the head:
	headBytes, headLines int

	// Guarded by guard.mu:
	inHead  bool // part of a head has arrived
	isLarge bool
	closed  bool
	since   time.Time // when it became idle, or its head began
}

// admit adds a connection. It closes another one if there are too many, and returns nil if all others have a request in progress.
func (g *Guard) admit(raw net.Conn) *conn {
	c := &conn{Conn: raw, guard: g, since: time.Now()}
	g.mu.Lock()
	var victim *conn
	reason := reasonTooMany
	if g.cfg.MaxConns > 0 && len(g.conns) >= g.cfg.MaxConns {
		if victim, reason = g.longestIdle(); victim == nil {
			g.mu.Unlock()
			g.record(raw, reason)
			return nil
		}
		g.removeLocked(victim)
	}
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	if victim != nil {
		g.record(victim, reason)
		_ = victim.Conn.Close()
	}
	return c
}

// longestIdle returns the connection to close for a new one: the one that has been idle longest or, if none is idle, the one whose head
// began first.
func (g *Guard) longestIdle() (victim *conn, reason string) {
	var idle, head *conn
	for c := range g.conns {
		switch {
		case c.isActive.Load():
		case !c.inHead && (idle == nil || c.since.Before(idle.since)):
			idle = c
		case c.inHead && (head == nil || c.since.Before(head.since)):
			head = c
		}
	}
	switch {
	case idle != nil:
		return idle, reasonIdle
	case head != nil:
		return head, reasonUnending
	default:
		return nil, reasonTooMany
	}
}

// removeLocked removes a connection that is about to be closed. g.mu is held.
func (g *Guard) removeLocked(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	g.releaseLargeHead(c)
	delete(g.conns, c)
}

// record counts a closed connection, and logs at most one in a second.
func (g *Guard) record(c net.Conn, reason string) {
	if g.cfg.Metrics != nil {
		g.cfg.Metrics.Counter(metricClosed, telemetry.Label{Name: "listener", Value: g.cfg.Name}, telemetry.Label{Name: "reason", Value: reason}).Inc(1)
	}
	if g.logRate.Allow(time.Now(), 1) {
		g.cfg.Logger.Warn("client connection closed", "listener", g.cfg.Name, "reason", reason, "remote", c.RemoteAddr().String(),
			"max_connections", g.cfg.MaxConns)
	}
}

// StateChanged is told the states of connections that net/http reports.
func (g *Guard) StateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if t, isTLS := nc.(interface{ NetConn() net.Conn }); isTLS {
		c, ok = t.NetConn().(*conn)
	}
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// The head is complete, so it no longer counts among the incomplete large ones.
		g.mu.Lock()
		g.releaseLargeHead(c)
		g.mu.Unlock()
		c.isActive.Store(true)
	case http.StateIdle:
		g.mu.Lock()
		g.releaseLargeHead(c)
		c.inHead, c.since = false, time.Now()
		c.headBytes, c.headLines = 0, 0
		g.mu.Unlock()
		c.isActive.Store(false)
	}
}

// releaseLargeHead ends the count of the connection's head as a large one. mu must be held.
func (g *Guard) releaseLargeHead(c *conn) {
	if c.isLarge {
		c.isLarge = false
		g.large--
	}
}

// Read reads from the connection, within the limits on a head until that is complete.
func (c *conn) Read(p []byte) (int, error) {
	if c.isActive.Load() || c.guard.cfg.Encrypted {
		return c.Conn.Read(p)
	}
	if c.exceedsLimits() {
		// The head is refused here, since net/http would go on reading it.
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		c.guard.record(c, reasonHead)
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.headBytes += n
		c.headLines += bytes.Count(p[:n], []byte("\n"))
		if !c.guard.recordHead(c) {
			return 0, io.EOF
		}
	}
	return n, err
}

// exceedsLimits reports whether a head is above a limit. What the last read returned is not counted fully, since it may contain the
// beginning of the body.
func (c *conn) exceedsLimits() bool {
	cfg := &c.guard.cfg
	if cfg.MaxHeadBytes != nil {
		if limit := cfg.MaxHeadBytes(); limit > 0 && c.headBytes > limit+bufferBytes {
			return true
		}
	}
	return cfg.MaxHeadLines > 0 && c.headLines > cfg.MaxHeadLines
}

// recordHead records the progress of a head. It returns false if the connection must end.
func (g *Guard) recordHead(c *conn) bool {
	g.mu.Lock()
	if c.closed {
		g.mu.Unlock()
		return false
	}
	if !c.inHead {
		c.inHead, c.since = true, time.Now()
	}
	var victim *conn
	if !c.isLarge && c.headBytes > largeHeadBytes {
		c.isLarge = true
		g.large++
		if g.cfg.MaxLargeHeads > 0 && g.large > g.cfg.MaxLargeHeads {
			victim = g.oldestLargeHead()
			g.removeLocked(victim)
		}
	}
	g.mu.Unlock()
	if victim != nil {
		g.record(victim, reasonHeads)
		_ = victim.Conn.Close()
	}
	return victim != c
}

// oldestLargeHead returns the connection whose large head is incomplete and began first. There is at least one.
func (g *Guard) oldestLargeHead() *conn {
	var oldest *conn
	for c := range g.conns {
		if c.isLarge && !c.isActive.Load() && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// Close closes the connection.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.removeLocked(c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}
