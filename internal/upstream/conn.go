package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/guavastack/guavastack/internal/responsecheck"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a connection whose peer is unreachable.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 1
	// unacknowledgedLimit bounds the time for which sent data may stay unacknowledged.
	unacknowledgedLimit = 1500 * time.Millisecond
	// defaultIdleLimit is how long an idle connection is kept if the server states no limit.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is subtracted from the limit that a server states.
	idleMargin = 500 * time.Millisecond
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	input     *limitedInput // what reader reads from
	reader    *bufio.Reader
	reused    bool
	idleUntil time.Time
}

// lineEnd ends each line of a header.
var lineEnd = []byte("\n")

// errHeadTooLarge means that a server sent more than maxHeadBytes or maxHeadLines without completing the header of an answer.
const errHeadTooLarge = errors.ConstError("header of the answer exceeds the size limit")

// limitedInput reads from a connection. While it is limited, it fails once a limit on the bytes or lines read is exceeded, or the head that
// arrives is not well-formed.
type limitedInput struct {
	conn      net.Conn
	limited   bool
	head      responsecheck.Head // valid if limited
	left      int                // bytes that may still be read; valid if limited
	leftLines int                // lines after which no more is read; valid if limited
}

// limit allows n more bytes, and no further read after the given number of lines.
func (in *limitedInput) limit(n, lines int) { in.limited, in.left, in.leftLines = true, n, lines }

// unlimit removes the limit.
func (in *limitedInput) unlimit() { in.limited = false }

// Read implements io.Reader.
func (in *limitedInput) Read(p []byte) (int, error) {
	if !in.limited {
		return in.conn.Read(p)
	}
	if in.left <= 0 || in.leftLines <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := in.conn.Read(p[:min(len(p), in.left)])
	in.left -= n
	in.leftLines -= bytes.Count(p[:n], lineEnd)
	if _, malformed := in.head.Check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// expectHead expects the head of an answer, the beginning of which may have been read already.
func (c *conn) expectHead() error {
	c.input.head = responsecheck.Head{}
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // fails for more than is buffered only
	_, err := c.input.head.Check(buffered)
	return err
}

// dial opens a connection.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	open := c.dialConn
	if open == nil {
		open = c.dialTCP
	}
	opened, err := open(ctx, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	input := &limitedInput{conn: opened}
	return &conn{Conn: opened, input: input, reader: bufio.NewReaderSize(input, readBufferBytes)}, nil
}

// dialTCP opens a TCP connection that detects an unreachable peer.
func (c *Client) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: c.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
	return d.DialContext(ctx, "tcp", address)
}

func setUserTimeout(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// isReusable reports whether an idle connection is still open and has received no data, which would belong to no request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	descriptor, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN
	})
	return err == nil && reusable
}

// idleLimit returns how long a connection may stay idle after an answer with these headers; not above 0: it is not reused.
func idleLimit(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			break
		}
		return min(time.Duration(seconds)*time.Second-idleMargin, maxIdleLimit)
	}
	return defaultIdleLimit
}

// maxIdleLimit bounds how long a connection stays idle, regardless of the limit that the server states.
const maxIdleLimit = 30 * time.Second
