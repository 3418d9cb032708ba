// Package standin and its subpackages are stand-ins for the systems around guavastack: model engines, plain services and the
// platform. Tests and the command `guavastack up` use them.
package standin

import (
	"bytes"
	"net"
	"sync"
)

// Recorder records every byte received on the connections of the listeners that it wraps. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

// Wrap returns a listener that wraps lis and records the bytes received on its connections.
func (r *Recorder) Wrap(lis net.Listener) net.Listener { return &recordingListener{lis, r} }

// Bytes returns a copy of the bytes recorded so far.
func (r *Recorder) Bytes() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.bytes.Bytes())
}

func (r *Recorder) record(p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes.Write(p)
}

type recordingListener struct {
	net.Listener
	recorder *Recorder
}

// Accept returns the next connection, whose received bytes are recorded.
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

// Read reads from the connection and records the bytes read.
func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recorder.record(p[:n])
	return n, err
}
