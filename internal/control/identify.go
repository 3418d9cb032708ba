package control

import (
	"context"
	"strings"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// ErrNoIdentify is returned by IdentifyAt if the member's build does not have the call Identify.
const ErrNoIdentify = errors.ConstError("the control member's build does not identify itself")

// unknownCall is the beginning of the error with which a drpc server refuses a call that it does not have.
const unknownCall = "unknown rpc"

// Identify returns the identity of this member.
func (s *Service) Identify(context.Context, *controlpb.IdentifyRequest) (*controlpb.Identity, error) {
	if s.cfg.Identity == nil {
		return nil, errors.NotSupportedf("identification of this control member")
	}
	return s.cfg.Identity(), nil
}

// IdentifyAt asks the control member at an address for its identity.
func IdentifyAt(ctx context.Context, pool *rpcpool.Pool, address string) (*controlpb.Identity, error) {
	var identity *controlpb.Identity
	err := pool.Do(ctx, address, func(rpc controlpb.DRPCControlClient) error {
		var err error
		identity, err = rpc.Identify(ctx, &controlpb.IdentifyRequest{})
		return err
	})
	if err != nil && strings.Contains(err.Error(), unknownCall) {
		return nil, ErrNoIdentify
	}
	return identity, err
}
