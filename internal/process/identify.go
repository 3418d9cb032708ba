package process

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/singleflight"

	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	// identifyTimeout bounds the call to an announced address, with the connection to it. The answer counts even if the announcer has given
	// up by then, which tries again: the address may be far away.
	identifyTimeout = 1500 * time.Millisecond
	// maxIdentifications is the maximum number of such calls at the same time.
	maxIdentifications = 16
)

// errTooManyIdentifications is returned while maxIdentifications calls are in progress.
const errTooManyIdentifications = errors.ConstError("too many announced members are being asked who they are")

// identifier asks members at announced addresses who they are. Concurrent questions about one address share a call.
type identifier struct {
	call    func(ctx context.Context, address string) (*controlpb.Identity, error)
	flights singleflight.Group
	running atomic.Int64
}

func (i *identifier) identify(address string) (*controlpb.Identity, error) {
	identity, err, _ := i.flights.Do(address, func() (any, error) {
		defer i.running.Add(-1)
		if i.running.Add(1) > maxIdentifications {
			return nil, errTooManyIdentifications
		}
		ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
		defer cancel()
		return i.call(ctx, address)
	})
	if err != nil {
		return nil, err
	}
	return identity.(*controlpb.Identity), nil
}
