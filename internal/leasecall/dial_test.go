package leasecall

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"github.com/guavastack/guavastack/internal/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestWriteFailsAfterDeadline suspends the caller between dial and write until after the deadline, and checks that the
// write fails. The timer of the call's context may not have fired when a suspended process resumes.
func TestWriteFailsAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		defer func() { _ = remote.Close() }()
		conn := &deadlineConn{Conn: local, deadline: time.Now().Add(time.Second), now: time.Now}
		defer func() { _ = conn.Close() }()
		time.Sleep(30 * time.Second)
		if n, err := conn.Write([]byte("order")); n != 0 || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %d bytes written, %v; want 0 and DeadlineExceeded", n, err)
		}
	})
}

// Guards against calls after the end of the lease: the timers of a suspended machine stand still, its lease does not.
func TestDeadlineCountsSuspension(t *testing.T) {
	deadline := clock.Now().Add(time.Hour)
	ctx, cancel := WithDeadline(context.Background(), deadline)
	defer cancel()
	if got, ok := deadlineOf(ctx); !ok || got != deadline {
		t.Errorf("got deadline %v, %v; want %v", got, ok, deadline)
	}
	shorter, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if got, _ := deadlineOf(shorter); !got.Before(deadline) {
		t.Errorf("got deadline %v, want the earlier one of the inner context", got)
	}
	local, remote := net.Pipe()
	defer func() { _, _ = local.Close(), remote.Close() }()
	suspended := func() time.Time { return clock.Now().Add(2 * time.Hour) }
	conn := &deadlineConn{Conn: local, deadline: deadline, now: suspended}
	if n, err := conn.Write([]byte("order")); n != 0 || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %d bytes written, %v; want 0 and DeadlineExceeded", n, err)
	}
}

// Guards against a call that the kernel delivers after its end: closing the connection must reset it.
func TestCloseResets(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	for _, tc := range []struct {
		name string
		ctx  func() (context.Context, context.CancelFunc)
	}{
		{"with a deadline", func() (context.Context, context.CancelFunc) {
			return WithDeadline(context.Background(), clock.Now().Add(time.Minute))
		}},
		{"without a deadline", func() (context.Context, context.CancelFunc) { return context.WithCancel(context.Background()) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := tc.ctx()
			defer cancel()
			conn, err := Dial(ctx, "tcp", lis.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			remote, err := lis.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = remote.Close() }()
			if _, err := conn.Write([]byte("order")); err != nil {
				t.Fatal(err)
			}
			if err := conn.Close(); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(remote); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("got end %v at the receiver, want a reset", err)
			}
		})
	}
}

// Guards against a call of a stopped process that the kernel delivers after its deadline.
func TestKernelGivesUpAtTheDeadline(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	const limit = time.Minute
	ctx, cancel := WithDeadline(context.Background(), clock.Now().Add(limit))
	defer cancel()
	conn, err := Dial(ctx, "tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*deadlineConn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var milliseconds int
	var failed error
	if err := raw.Control(func(fd uintptr) {
		milliseconds, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	if milliseconds <= 0 || milliseconds > int(limit.Milliseconds()) {
		t.Errorf("the kernel gives up after %d ms, want at most the %v that are left", milliseconds, limit)
	}
}
