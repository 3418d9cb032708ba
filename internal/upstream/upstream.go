// Package upstream sends requests to backend servers over persistent connections.
//
// It sends each request once and never retries. An error states whether any byte of the request may have been sent: only
// if none was, the request certainly has not run. An answer is accepted only for the request to which it belongs, and a
// connection that carries unexpected data is not reused.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/guavastack/guavastack/internal/responsecheck"
)

const (
	defaultDialTimeout = 300 * time.Millisecond
	// maxDialTimeouts is the number of attempts to connect that must time out before a server counts as unreachable.
	maxDialTimeouts = 4
	// maxIdleConns bounds the idle connections to one server.
	maxIdleConns = 64
	// inlineBodyBytes is the largest body that is written before reading of the answer begins. A longer body is written
	// concurrently, since a server may answer before it has read all of it.
	inlineBodyBytes = 8 << 10
	// headBytes is the expected size of the header of a request.
	headBytes = 1 << 10
	// maxHeadBytes bounds the header of an answer, including informational answers before it.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of the same, since each one takes far more memory than its bytes. The lines of the last read, which may
	// contain the beginning of the body, aren't bounded.
	maxHeadLines = 256
	// maxInformationalAnswers bounds the informational answers (1xx) before the answer to a request.
	maxInformationalAnswers = 5
	// maxForeignAnswers bounds the answers to other requests that are skipped before the answer to a request.
	maxForeignAnswers = 2
	// maxDrainBytes bounds the body of an answer to another request that is read to skip it.
	maxDrainBytes = 1 << 20
	// writeTimeout bounds the time to write a request.
	writeTimeout = 5 * time.Second
)

// ErrBroken means that the server closed the connection early, became unreachable or sent no valid answer to the request.
const ErrBroken = errors.ConstError("backend server closed the connection or sent an invalid answer")

// Request is a request to a backend server.
type Request struct {
	Method string
	Target string // path and query, sent unchanged
	Host   string
	Header http.Header
	Body   []byte
	Rest   [][]byte // parts of the body that follow Body
	// Owns reports whether an answer with these headers belongs to the request.
	Owns func(http.Header) bool
}

// bodySize returns the size of the whole body.
func (r *Request) bodySize() int {
	n := len(r.Body)
	for _, part := range r.Rest {
		n += len(part)
	}
	return n
}

// Error is a failure before the head of an answer arrived.
type Error struct {
	Sent  bool // a byte of the request may have been sent
	Cause error
}

// IsUnresponsive reports whether the server's instance stopped acknowledging data, and so is unreachable.
func (e *Error) IsUnresponsive() bool { return errors.Is(e.Cause, unix.ETIMEDOUT) }

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client sends requests and keeps idle connections for reuse. It is safe for concurrent use.
type Client struct {
	dialTimeout time.Duration
	dialConn    func(ctx context.Context, address string) (net.Conn, error) // nil: TCP

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a client without connections.
func New() *Client {
	return &Client{dialTimeout: defaultDialTimeout, idle: make(map[string][]*conn)}
}

// NewWithDial returns a client that opens its connections with dial, as tests in virtual time need it. A connection without a file
// descriptor is not reused.
func NewWithDial(dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	c := New()
	c.dialConn = dial
	return c
}

// Answer is the answer of a backend server. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Framed is false if the end of the body is marked only by the end of the connection.
	Framed bool
	// Length is the length of the body, -1 if it isn't known.
	Length int64

	client     *Client
	address    string
	conn       *conn
	body       io.ReadCloser
	written    <-chan error // receives the result of writing a long body; nil: no write is in progress
	reusable   bool
	complete   bool
	stopCancel func() bool
}

// Do sends r to address and returns once the header of the answer has arrived. When ctx ends, the connection is closed, even
// while the body is being read. The error is an *Error.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	cn, err := c.acquire(ctx, address)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = cn.Close() })
	a, err := c.exchange(cn, address, r)
	if err != nil {
		stopCancel()
		_ = cn.Close()
		if ctx.Err() != nil {
			return nil, &Error{Sent: true, Cause: context.Cause(ctx)}
		}
		return nil, &Error{Sent: true, Cause: err}
	}
	a.stopCancel = stopCancel
	return a, nil
}

// exchange writes the request and reads the header of its answer.
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
	length := res.ContentLength
	if res.Body == http.NoBody {
		length = 0 // of an answer to HEAD, the header states the length that another answer would have
	}
	return &Answer{
		Status: res.StatusCode, Header: res.Header, Framed: framed, Length: length,
		client: c, address: address, conn: cn, body: res.Body, written: written, reusable: framed && !res.Close,
	}, nil
}

// send writes a request. A long body is written in the background, and the returned channel receives the result; otherwise the
// channel is nil.
func send(cn *conn, r *Request) (<-chan error, error) {
	var head bytes.Buffer
	size := r.bodySize()
	if size <= inlineBodyBytes {
		head.Grow(headBytes + size)
	}
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if size > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	if err := r.Header.Write(&head); err != nil {
		return nil, err
	}
	head.WriteString("\r\n")
	_ = cn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if size <= inlineBodyBytes {
		head.Write(r.Body)
		for _, part := range r.Rest {
			head.Write(part)
		}
		_, err := cn.Write(head.Bytes())
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		buffers := append(net.Buffers{head.Bytes(), r.Body}, r.Rest...)
		_, err := buffers.WriteTo(cn.Conn)
		written <- err
	}()
	return written, nil
}

// readHead reads the header of the answer to r. It skips informational answers and answers to other requests.
func readHead(cn *conn, r *Request) (*http.Response, error) {
	for foreign := 0; ; {
		res, err := readFinalHead(cn, r.Method)
		if err != nil {
			return nil, err
		}
		if r.Owns == nil || r.Owns(res.Header) {
			return res, nil
		}
		if foreign++; foreign > maxForeignAnswers {
			return nil, errors.New("too many answers to other requests")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDrainBytes)); err != nil || n == maxDrainBytes || res.Close {
			return nil, errors.New("skip answer to another request: its body is truncated or too large, or the connection ends after it")
		}
	}
}

// readFinalHead reads the header of the next answer that isn't informational.
func readFinalHead(cn *conn, method string) (*http.Response, error) {
	cn.input.limit(maxHeadBytes, maxHeadLines)
	defer cn.input.unlimit()
	for range maxInformationalAnswers + 1 {
		if err := cn.expectHead(); err != nil {
			return nil, errors.Trace(err)
		}
		res, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Trace(err)
		}
		if res.StatusCode >= http.StatusOK {
			res.Body = responsecheck.Body(res)
			return res, nil
		}
	}
	return nil, errors.New("too many informational answers")
}

// Read reads the body. It returns io.EOF only if the body is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == io.EOF && !a.Framed && !a.endWriting():
		err = errors.Annotate(ErrBroken, "the connection ended before the request was written")
	case err == io.EOF:
		a.complete = true
	case err != nil:
		err = errors.WithType(err, ErrBroken)
	}
	return n, err
}

// Close ends the exchange. The connection is reused only if the request was sent completely and the answer is complete, is
// framed, allows reuse and is not followed by further data.
func (a *Answer) Close() {
	stopped := a.stopCancel()
	if !stopped || !a.complete || !a.reusable || a.conn.reader.Buffered() > 0 || !a.isWritten() {
		_ = a.conn.Close()
		return
	}
	a.client.put(a.address, a.conn, idleLimit(a.Header))
}

// isWritten reports whether the complete request was written.
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

// endWriting stops writing the request, and reports whether it was written completely. Of a write and a read that wait, the kernel reports
// a reset to either one, and an orderly end to the other: an end before the request was written may be a reset.
func (a *Answer) endWriting() bool {
	if a.written == nil {
		return true
	}
	_ = a.conn.SetWriteDeadline(time.Now())
	err := <-a.written
	a.written = nil
	return err == nil
}

// acquire returns an idle connection that is still usable, or a new one.
func (c *Client) acquire(ctx context.Context, address string) (*conn, error) {
	for {
		cn := c.pop(address)
		if cn == nil {
			return c.dial(ctx, address)
		}
		if time.Now().Before(cn.idleUntil) && cn.isReusable() {
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

// AcceptsConnections reports whether a new connection to a server can be opened within the dial timeout.
func (c *Client) AcceptsConnections(ctx context.Context, address string) bool {
	return c.tryConnection(ctx, address) == nil
}

// RefusesConnections reports whether the host of a server refuses a new connection, so that no process listens at the address.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	return errors.Is(c.tryConnection(ctx, address), unix.ECONNREFUSED)
}

// MayHaveEnded reports whether the process at an address has ended, is about to or can't be asked: no new connection can be made, or it is
// closed again within the given time, or ctx ends. The connections of a process that is killed end one after the other, and its listener may
// be the last.
func (c *Client) MayHaveEnded(ctx context.Context, address string, within time.Duration) bool {
	cn, err := c.dialRepeatedly(ctx, address)
	if err != nil {
		return true
	}
	defer func() { _ = cn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = cn.Close() })() // ends the read
	_ = cn.SetReadDeadline(time.Now().Add(within))
	_, err = cn.Conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// dialRepeatedly opens a connection to a server. It tries again if that takes too long: the server or this host may be busy.
func (c *Client) dialRepeatedly(ctx context.Context, address string) (*conn, error) {
	for range maxDialTimeouts - 1 {
		cn, err := c.dial(ctx, address)
		if !isTimeout(err) {
			return cn, err
		}
	}
	return c.dial(ctx, address)
}

// isTimeout reports whether err, which may be nil, is a timeout.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// tryConnection opens a new connection to a server and closes it, and returns why that failed.
func (c *Client) tryConnection(ctx context.Context, address string) error {
	cn, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	_ = cn.Close()
	return nil
}

// CloseExpired closes connections that were idle for too long, and all idle ones to addresses for which inUse returns false.
func (c *Client) CloseExpired(now time.Time, inUse func(address string) bool) {
	var drop []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if inUse(address) && now.Before(cn.idleUntil) {
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
