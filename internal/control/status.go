package control

import (
	"context"
	"time"

	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// Processes returns the processes that watch any member of the group, with the settings version in force in each.
func (s *Service) Processes() []member.Process { return s.soft.allProcesses() }

// Behind returns the processes in which v is not in force yet. A process that stopped reporting is included until it can
// no longer serve keyed routes.
func (s *Service) Behind(v settings.Version) []member.Process { return s.soft.behind(v, time.Now()) }

// Backends returns the registered backend servers. Those that are gone are included until the registry removes them.
func (s *Service) Backends() []*controlpb.BackendServer {
	backends, _ := s.soft.backendsSince(0)
	return backends
}

// WaitInForce waits until v is in force in every process or ctx ends, and returns the processes that are still behind.
func (s *Service) WaitInForce(ctx context.Context, v settings.Version) []member.Process {
	tick := time.NewTicker(inForcePollInterval)
	defer tick.Stop()
	for {
		behind := s.Behind(v)
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return behind
		case <-tick.C:
		}
	}
}

// Confirm returns the newest committed settings, confirmed by a quorum round that started after the call.
func (s *Service) Confirm(ctx context.Context) (*settings.Tree, error) {
	index, err := s.cfg.Group.ReadIndex(ctx)
	if err != nil {
		return nil, err
	}
	if err := s.cfg.Group.WaitApplied(ctx, index); err != nil {
		return nil, err
	}
	s.hub.refresh()
	tree, _ := s.hub.newest()
	return tree, nil
}

// Tree returns the newest settings that this member has applied. They may be stale. The hub's copy may lag behind them.
func (s *Service) Tree() *settings.Tree {
	var tree *settings.Tree
	s.cfg.Group.View(func() { tree = s.cfg.Settings.Tree() })
	return tree
}

// History returns up to limit changes of the settings, newest first.
func (s *Service) History(limit int) []settings.HistoryEntry {
	var history []settings.HistoryEntry
	s.cfg.Group.View(func() { history = s.cfg.Settings.History(limit) })
	return history
}

// Leader returns the leader known to this member, or false if none is known.
func (s *Service) Leader() (Member, bool) { return s.cfg.Group.Leader() }

// Self returns this member.
func (s *Service) Self() Member { return s.cfg.Group.Self() }
