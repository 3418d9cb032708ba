// Package linktest provides an in-memory network whose connections can be closed or made to drop data, for tests in
// virtual time.
package linktest

import (
	"context"
	"net"
	"sync"

	"github.com/juju/errors"
)

// Direction is a direction of a connection; directions can be combined.
type Direction uint8

const (
	// ToListener is the direction from the dialler to the listener.
	ToListener Direction = 1 << iota
	// ToDialler is the direction from the listener to the dialler.
	ToDialler
	// Both is both directions.
	Both = ToListener | ToDialler
)

// Network connects diallers to listeners by address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	open      []*connection
	refused   bool
	dials     int
}

// New returns a Network without listeners.
func New() *Network { return &Network{listeners: make(map[string]*listener)} }

// Listen returns a listener at addr; it replaces an earlier one.
func (n *Network) Listen(addr string) net.Listener {
	l := &listener{addr: address(addr), conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// Dial connects to the listener at addr.
func (n *Network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l, refused := n.listeners[addr], n.refused
	n.dials++
	n.mu.Unlock()
	if l == nil || refused {
		return nil, errors.Errorf("connection to %s refused", addr)
	}
	near, far := net.Pipe()
	c := &connection{near: near, far: far}
	select {
	case l.conns <- &end{Conn: far, connection: c, direction: ToDialler}:
	case <-l.done:
		return nil, errors.Errorf("connection to %s refused", addr)
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = append(n.open, c)
	return &end{Conn: near, connection: c, direction: ToListener}, nil
}

// Refuse sets whether every dial fails.
func (n *Network) Refuse(refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = refused
}

// Dials returns the number of dials so far, including failed ones.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// Cut closes all open connections, except those that Silence has silenced.
func (n *Network) Cut() {
	for _, c := range n.takeOpen() {
		c.near.Close()
		c.far.Close()
	}
}

// Silence makes all open connections drop data in the given directions; new ones work. Later calls of Cut and Silence
// do not affect the silenced connections.
func (n *Network) Silence(d Direction) {
	for _, c := range n.takeOpen() {
		c.mu.Lock()
		c.silent |= d
		c.mu.Unlock()
	}
}

// takeOpen removes all connections from the list of open ones, and returns them.
func (n *Network) takeOpen() []*connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := n.open
	n.open = nil
	return open
}

type connection struct {
	near, far net.Conn

	mu     sync.Mutex
	silent Direction
}

// end is one end of a connection.
type end struct {
	net.Conn
	connection *connection
	direction  Direction
}

// Write sends p, or drops it if the direction is silent.
func (e *end) Write(p []byte) (int, error) {
	e.connection.mu.Lock()
	silent := e.connection.silent&e.direction != 0
	e.connection.mu.Unlock()
	if silent {
		return len(p), nil
	}
	return e.Conn.Write(p)
}

type listener struct {
	addr  address
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return l.addr }

type address string

// Network returns the name of this kind of network.
func (a address) Network() string { return "memory" }

// String returns the address.
func (a address) String() string { return string(a) }
