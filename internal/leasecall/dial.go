// Package leasecall opens connections for calls that a process makes while it holds a lease, such as the orders and reports of the
// leader of the control group.
//
// The successor of a holder acts once the lease has ended, and relies on nothing arriving later that the former holder sent. So the
// end of a call also ends its transmission: closing a connection resets it, which discards what the kernel has not delivered yet,
// and the kernel itself gives up on unacknowledged data at the deadline, even if the process is stopped by then. Without that a
// call that was under way when the path failed would be delivered once the path is back, possibly after a call of the successor.
package leasecall

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/guavastack/guavastack/internal/clock"
)

// deadlineKey is the key of the deadline in a context.
type deadlineKey struct{}

// WithDeadline returns a context that ends at deadline, a time of clock.Now. Connections that Dial opens with it send nothing after
// the deadline, although the timer of the context does not count the time in which the machine is suspended.
func WithDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx = context.WithValue(ctx, deadlineKey{}, deadline)
	return context.WithTimeout(ctx, clock.Until(deadline))
}

// deadlineOf returns the deadline of ctx as a time of clock.Now, or false if it has none.
func deadlineOf(ctx context.Context) (time.Time, bool) {
	at, ok := ctx.Deadline()
	if !ok {
		return time.Time{}, false
	}
	deadline := clock.Now().Add(time.Until(at))
	if exact, ok := ctx.Value(deadlineKey{}).(time.Time); ok && exact.Before(deadline) {
		deadline = exact
	}
	return deadline, true
}

// Dial opens a TCP connection for one call that ends at the deadline of ctx.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	deadline, ok := deadlineOf(ctx)
	d := net.Dialer{}
	if ok {
		d.Control = func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, clock.Until(deadline)) }
	}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := resetOnClose(conn); err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	if !ok {
		return conn, nil
	}
	if err := conn.SetDeadline(time.Now().Add(clock.Until(deadline))); err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	return &deadlineConn{Conn: conn, deadline: deadline, now: clock.Now}, nil
}

// resetOnClose makes the end of a TCP connection, also that of the process, discard unsent data.
func resetOnClose(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.SetLinger(0)
}

// setUserTimeout makes the kernel abort a connection whose data is not acknowledged for the given time.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	milliseconds := max(int(timeout.Milliseconds()), 1) // 0 would mean the kernel's default
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if err != nil {
		return err
	}
	return failed
}

// deadlineConn checks the deadline immediately before each write. Thus a process that was suspended after it last
// checked its lease sends nothing after it resumes, even if no timer has fired yet.
type deadlineConn struct {
	net.Conn
	deadline time.Time        // a time of now
	now      func() time.Time // clock.Now
}

// Write implements net.Conn.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if !c.now().Before(c.deadline) {
		return 0, context.DeadlineExceeded
	}
	return c.Conn.Write(p)
}
