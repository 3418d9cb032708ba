package control

import (
	"context"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// Contact is another control member that has sent a digest.
type Contact struct {
	ID      string
	Address string // "" if the member's build does not send it
}

// checkGroup returns an error if the sender of a message belongs to another control group. A group or epoch of 0 is not known.
func (s *Service) checkGroup(group, epoch uint64) error {
	own := s.cfg.Epoch()
	switch {
	case group != 0 && s.cfg.GroupID != 0 && group != s.cfg.GroupID:
		return errors.NotValidf("control group %d at a member of group %d", group, s.cfg.GroupID)
	case !raft.IsSameEpoch(epoch, own):
		return errors.NotValidf("epoch %d of the control group at a member with epoch %d", epoch, own)
	}
	return nil
}

// Introduction returns a digest that contains only what identifies this member.
func (s *Service) Introduction() *controlpb.Digest {
	self := s.cfg.Group.Self()
	return &controlpb.Digest{
		Member: self.ID, Address: self.Address, Incarnation: s.cfg.Incarnation,
		Group: s.cfg.GroupID, Epoch: s.cfg.Epoch(), WallUs: clock.Wall().UnixMicro(),
	}
}

// IntroduceTo sends an introduction to a process that may be a control member, which then knows where to announce itself.
func IntroduceTo(ctx context.Context, pool *rpcpool.Pool, address string, introduction *controlpb.Digest) error {
	return pool.Do(ctx, address, func(rpc controlpb.DRPCControlClient) error {
		_, err := rpc.Exchange(ctx, introduction)
		return err
	})
}
