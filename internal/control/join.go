package control

import (
	"context"

	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
)

// JoinHandler handles announcements of control members. It is called on the leader only.
type JoinHandler interface {
	// CheckAnnouncement returns an error if an announcement is refused. It may take as long as a call to the announced member.
	CheckAnnouncement(ctx context.Context, req *controlpb.JoinRequest) error
	// Announce reports whether the member is a voter with this incarnation. If it is not, the announcement is recorded.
	Announce(id uint64, address string, incarnation uint64) (isVoter bool)
	// Leave records that the process of a member is about to end. It reports whether the member is still a voter that is going
	// to be removed, so that the process should ask again and end only then.
	Leave(id, incarnation uint64) (wait bool)
}

// Join handles the announcement of a control member that joins or leaves. If another member leads, the announcement is forwarded to it once.
func (s *Service) Join(ctx context.Context, req *controlpb.JoinRequest) (*controlpb.JoinReply, error) {
	if s.cfg.JoinHandler == nil {
		return nil, errors.NotSupportedf("joining by announcement")
	}
	if req.Id == 0 || req.Address == "" || req.Incarnation == 0 {
		return nil, errors.NotValidf("announcement of member %d at %q", req.Id, req.Address)
	}
	leader, err := s.leaderFor(req.Forwarded)
	if err != nil {
		return nil, err
	}
	if leader == s.cfg.Group.Self() {
		if err := s.cfg.JoinHandler.CheckAnnouncement(ctx, req); err != nil {
			return nil, err
		}
		if req.Leaving {
			return &controlpb.JoinReply{Member: s.cfg.JoinHandler.Leave(req.Id, req.Incarnation)}, nil
		}
		return &controlpb.JoinReply{Member: s.cfg.JoinHandler.Announce(req.Id, req.Address, req.Incarnation)}, nil
	}
	req.Forwarded = true
	return AnnounceTo(ctx, s.pool, s.cfg.AddressOf(leader), req)
}

// AnnounceTo sends an announcement to one control member.
func AnnounceTo(ctx context.Context, pool *rpcpool.Pool, address string, req *controlpb.JoinRequest) (*controlpb.JoinReply, error) {
	var reply *controlpb.JoinReply
	err := pool.Do(ctx, address, func(rpc controlpb.DRPCControlClient) error {
		var err error
		reply, err = rpc.Join(ctx, req)
		return err
	})
	return reply, err
}
