// Package leasecalltest checks that clients that act for the holder of a lease leave nothing behind when their calls end.
package leasecalltest

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/juju/errors"
)

// CheckAbandonedCallIsReset lets call send its request to a server that does not answer, ends its context, and checks that the
// connection is reset then, so that nothing that is still under way can be delivered.
func CheckAbandonedCallIsReset(t *testing.T, call func(ctx context.Context, address string) error) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- call(ctx, lis.Addr().String()) }()
	conn, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Fatalf("read the beginning of the call: %v", err)
	}
	cancel()
	if err := <-ended; err == nil {
		t.Error("got no error from a call whose context ended before the answer")
	}
	if _, err := io.Copy(io.Discard, conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got end %v of the abandoned call at the server, want a reset", err)
	}
}
