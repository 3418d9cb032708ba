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

	// batchBytes is about the most that one message takes of the frames that wait.
	batchBytes = 64 << 10

	// keptBufferBytes bounds the buffers that an idle link keeps.
	keptBufferBytes = 64 << 10
)

// managerOptions are those of both ends. Frames that wait share a message and so a write. drpc's manual flush is not
// used: with it a receiver waits for a sender that is blocked, and two ends that are both blocked never go on.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameBytes},
		Stream: drpcstream.Options{MaximumBufferSize: keptBufferBytes},
	}
}

// transport returns the connection under s.
func transport(s drpc.Stream) (drpc.Transport, bool) {
	return drpcctx.Transport(s.Context())
}
