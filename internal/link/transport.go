package link

import (
	"context"
	"crypto/tls"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/juju/errors"
)

const (
	// MaxFrameBytes bounds one frame; a Submit carries a whole request body.
	MaxFrameBytes = 32 << 20

	// keptBufferBytes bounds the buffers that an idle link keeps.
	keptBufferBytes = 64 << 10
)

// managerOptions are those of both ends. Messages are flushed by the writers, so that frames that wait share a write.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameBytes},
		Stream: drpcstream.Options{ManualFlush: true, MaximumBufferSize: keptBufferBytes},
	}
}

// flusher is the part of a drpc stream that writes out what is buffered.
type flusher interface {
	RawFlush() error
}

// flush writes out the frames buffered in s.
func flush(s drpc.Stream) error {
	if g, ok := s.(interface{ GetStream() drpc.Stream }); ok {
		s = g.GetStream()
	}
	f, ok := s.(flusher)
	if !ok {
		return errors.NotSupportedf("flush of %T", s)
	}
	return f.RawFlush()
}

// secure starts TLS on conn as a client, where config asks for it.
func secure(ctx context.Context, conn net.Conn, config *tls.Config) (net.Conn, error) {
	if config == nil {
		return conn, nil
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, errors.Annotate(err, "TLS handshake with the agent")
	}
	return secured, nil
}

// transport returns the connection under s.
func transport(s drpc.Stream) (drpc.Transport, bool) {
	return drpcctx.Transport(s.Context())
}
