// Package upstream sends requests to backend servers over kept connections.
//
// A request is sent once and never again by this package. An error tells whether a byte of the request may have left:
// only where none did, the request surely has not run. An answer is taken only for the request that it belongs to, and a
// connection that carries anything unexpected is not used again.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	defaultDialTimeout = 300 * time.Millisecond
	// maxIdleConns bounds the unused connections to one server.
	maxIdleConns = 64
	// inlineBodyBytes is the largest body that is written before the answer is awaited. A server may answer before it
	// has read a longer one.
	inlineBodyBytes = 8 << 10
	// maxForeignAnswers bounds the answers to other requests that are passed over on one connection.
	maxForeignAnswers = 2
	// maxDrainBytes bounds what is read of an answer to another request.
	maxDrainBytes = 1 << 20
	// unsentDeadline bounds a write to a server that takes nothing.
	unsentDeadline = 5 * time.Second
)

// ErrBroken says that the server broke the connection off, or sent what is no answer to the request.
const ErrBroken = errors.ConstError("the backend server broke off")

// Request is one request for a backend server.
type Request struct {
	Method string
	Target string // path and query as they came
	Host   string
	Header http.Header
	Body   []byte
	// Owns reports whether an answer with these headers belongs to the request.
	Owns func(http.Header) bool
}

// Error is a failure before the head of an answer arrived.
type Error struct {
	Sent  bool // a byte of the request may have left
	Cause error
}

// Silent reports whether the server acknowledged nothing for too long, so that its machine is out of reach.
func (e *Error) Silent() bool { return errors.Is(e.Cause, unix.ETIMEDOUT) }

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client keeps connections. It is safe for concurrent use.
type Client struct {
	dialTimeout time.Duration

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a client without connections.
func New() *Client {
	return &Client{dialTimeout: defaultDialTimeout, idle: make(map[string][]*conn)}
}

// Answer is the answer of a backend server. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Framed is false where the answer ends with its connection.
	Framed bool

	client  *Client
	address string
	conn    *conn
	body    io.ReadCloser
	written <-chan error // nil: the request was written
	reuse   bool
	whole   bool
	release func() bool
}

// Do sends r to address and returns once the head of the answer arrived. The end of ctx closes the connection, also
// while the body is read. The error is an *Error.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	cn, err := c.take(ctx, address)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	release := context.AfterFunc(ctx, func() { _ = cn.Close() })
	a, err := c.exchange(cn, address, r)
	if err != nil {
		release()
		_ = cn.Close()
		if ctx.Err() != nil {
			return nil, &Error{Sent: true, Cause: context.Cause(ctx)}
		}
		return nil, &Error{Sent: true, Cause: err}
	}
	a.release = release
	return a, nil
}

// exchange writes the request and reads the head of its answer.
func (c *Client) exchange(cn *conn, address string, r *Request) (*Answer, error) {
	written, err := send(cn, r)
	if err != nil {
		return nil, errors.WithType(err, ErrBroken)
	}
	res, err := readHead(cn, r)
	if err != nil {
		return nil, errors.WithType(err, ErrBroken)
	}
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	return &Answer{
		Status: res.StatusCode, Header: res.Header, Framed: framed,
		client: c, address: address, conn: cn, body: res.Body, written: written, reuse: framed && !res.Close,
	}, nil
}

// send writes a request. The channel, if there is one, tells when a long body is written.
func send(cn *conn, r *Request) (<-chan error, error) {
	var head bytes.Buffer
	head.Grow(1024 + len(r.Body))
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&head); err != nil {
		return nil, err
	}
	head.WriteString("\r\n")
	_ = cn.SetWriteDeadline(time.Now().Add(unsentDeadline))
	if len(r.Body) <= inlineBodyBytes {
		head.Write(r.Body)
		_, err := cn.Write(head.Bytes())
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		buffers := net.Buffers{head.Bytes(), r.Body}
		_, err := buffers.WriteTo(cn.Conn)
		written <- err
	}()
	return written, nil
}

// readHead reads the head of the answer to r and passes over informational and foreign answers.
func readHead(cn *conn, r *Request) (*http.Response, error) {
	for foreign := 0; ; {
		res, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Trace(err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if r.Owns == nil || r.Owns(res.Header) {
			return res, nil
		}
		if foreign++; foreign > maxForeignAnswers {
			return nil, errors.New("answers to other requests")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDrainBytes)); err != nil || n == maxDrainBytes || res.Close {
			return nil, errors.New("answer to another request")
		}
	}
}

// Read reads the body. It returns io.EOF only at the body's proper end.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == io.EOF:
		a.whole = true
	case err != nil:
		err = errors.WithType(err, ErrBroken)
	}
	return n, err
}

// Close ends the exchange. The connection is used again only after a whole answer without anything behind it.
func (a *Answer) Close() {
	stopped := a.release()
	if !stopped || !a.whole || !a.reuse || a.conn.reader.Buffered() > 0 || !a.isWritten() {
		_ = a.conn.Close()
		return
	}
	a.client.put(a.address, a.conn, idleLimit(a.Header))
}

// isWritten reports whether the whole request was written.
func (a *Answer) isWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// take returns a kept connection that is still good, or a new one.
func (c *Client) take(ctx context.Context, address string) (*conn, error) {
	for {
		cn := c.pop(address)
		if cn == nil {
			return dial(ctx, address, c.dialTimeout)
		}
		if time.Now().Before(cn.idleUntil) && cn.isQuiet() {
			cn.reused = true
			return cn, nil
		}
		_ = cn.Close()
	}
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

func (c *Client) put(address string, cn *conn, limit time.Duration) {
	cn.idleUntil = time.Now().Add(limit)
	c.mu.Lock()
	full := limit <= 0 || len(c.idle[address]) >= maxIdleConns
	if !full {
		c.idle[address] = append(c.idle[address], cn)
	}
	c.mu.Unlock()
	if full {
		_ = cn.Close()
	}
}

// TakesConnections reports whether a server takes new connections. One that can't be reached within the time to connect
// doesn't.
func (c *Client) TakesConnections(ctx context.Context, address string) bool {
	cn, err := dial(ctx, address, c.dialTimeout)
	if err != nil {
		return false
	}
	_ = cn.Close()
	return true
}

// Expire closes the connections that were unused for too long, and all of the addresses that are not wanted any more.
func (c *Client) Expire(now time.Time, wanted func(address string) bool) {
	var drop []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if wanted(address) && now.Before(cn.idleUntil) {
				kept = append(kept, cn)
				continue
			}
			drop = append(drop, cn)
		}
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, cn := range drop {
		_ = cn.Close()
	}
}
