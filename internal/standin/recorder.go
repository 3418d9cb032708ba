// Package standin holds small stand-ins for what lies outside guavastack: model engines, plain services and the
// platform. They are fit for tests and for the command `guavastack up`.
package standin

import (
	"bytes"
	"net"
	"sync"
)

// Recorder keeps every byte that arrives on the connections of its listeners.
type Recorder struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

// Listen returns lis with its incoming bytes recorded.
func (r *Recorder) Listen(lis net.Listener) net.Listener { return &recordingListener{lis, r} }

// Bytes returns a copy of what has arrived.
func (r *Recorder) Bytes() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.bytes.Bytes())
}

func (r *Recorder) write(p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes.Write(p)
}

type recordingListener struct {
	net.Listener
	recorder *Recorder
}

// Accept returns the next connection.
func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{conn, l.recorder}, nil
}

type recordingConn struct {
	net.Conn
	recorder *Recorder
}

// Read reads and records.
func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recorder.write(p[:n])
	return n, err
}
