package link

import (
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// MaxFrameBytes bounds one frame; a Submit carries a whole request body.
	MaxFrameBytes = 32 << 20

	// batchBytes is the approximate limit for the frames batched into one message.
	batchBytes = 64 << 10

	// idleBufferBytes bounds the buffers that an idle link retains.
	idleBufferBytes = 64 << 10
)

// managerOptions returns the drpc options of both ends of a link. Queued frames share a message and thus a write. drpc's
// manual flush is not used: with it a receiver waits for a blocked sender, so two ends that are both blocked deadlock.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameBytes},
		Stream: drpcstream.Options{MaximumBufferSize: idleBufferBytes},
	}
}

// transport returns the connection that carries s.
func transport(s drpc.Stream) (drpc.Transport, bool) {
	return drpcctx.Transport(s.Context())
}
