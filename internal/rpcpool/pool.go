// Package rpcpool pools drpc connections to control members. A drpc connection carries one call at a time, so a pool
// holds several connections per address.
package rpcpool

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

const (
	// MaxMessageBytes is the maximum message size in bytes. The largest messages are snapshots of the settings.
	MaxMessageBytes = 64 << 20
	// maxIdle is the maximum number of idle connections per address.
	maxIdle = 8
	// maxIdleTime is the maximum idle time of a connection. After a longer time it may have been lost unnoticed.
	maxIdleTime = 5 * time.Second
	// dialTimeout is the timeout for connecting.
	dialTimeout = time.Second
)

// DialFunc connects to a control member.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the DialFunc without TLS.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Options returns the drpc options for both ends of a connection.
func Options() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// Connect opens a connection outside of any pool.
func Connect(ctx context.Context, dial DialFunc, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, errors.Annotatef(err, "connect to %s", address)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: Options()}), nil
}

// Pool is a pool of idle connections by address. It is safe for concurrent use.
type Pool struct {
	dial DialFunc

	mu     sync.Mutex
	idle   map[string][]idleConn
	closed bool
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// New returns an empty pool. A nil dial means DialTCP.
func New(dial DialFunc) *Pool {
	if dial == nil {
		dial = DialTCP
	}
	return &Pool{dial: dial, idle: make(map[string][]idleConn)}
}

// ErrNotSent means that no connection could be opened, so that the call did not reach the other end.
const ErrNotSent = errors.ConstError("call not sent")

// Do makes one call to address. Its connection is reused only if the call succeeds.
func (p *Pool) Do(ctx context.Context, address string, call func(controlpb.DRPCControlClient) error) error {
	conn, err := p.acquire(ctx, address)
	if err != nil {
		return errors.WithType(err, ErrNotSent)
	}
	if err := call(controlpb.NewDRPCControlClient(conn)); err != nil {
		_ = conn.Close()
		return err
	}
	p.release(address, conn)
	return nil
}

func (p *Pool) acquire(ctx context.Context, address string) (*drpcconn.Conn, error) {
	for {
		conn, ok := p.pop(address)
		if !ok {
			return Connect(ctx, p.dial, address)
		}
		if time.Since(conn.since) < maxIdleTime && !isClosed(conn.conn) {
			return conn.conn, nil
		}
		_ = conn.conn.Close()
	}
}

func isClosed(c *drpcconn.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

func (p *Pool) pop(address string) (idleConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return idleConn{}, false
	}
	conn := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return conn, true
}

func (p *Pool) release(address string, conn *drpcconn.Conn) {
	p.mu.Lock()
	discard := p.closed || len(p.idle[address]) >= maxIdle
	if !discard {
		p.idle[address] = append(p.idle[address], idleConn{conn: conn, since: time.Now()})
	}
	p.mu.Unlock()
	if discard {
		_ = conn.Close()
	}
}

// Close closes the idle connections. Connections in use are closed after their call.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = make(map[string][]idleConn), true
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.conn.Close()
		}
	}
}
