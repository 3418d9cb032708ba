package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/lanemsg"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
)

// Register stores each report of an agent in the registry and replies with a directive, until the stream ends or no
// report arrives for clientTimeout.
func (s *Service) Register(stream controlpb.DRPCControl_RegisterStream) error {
	reports := make(chan *controlpb.AgentReport)
	failed := make(chan error, 1)
	go func() { failed <- receiveReports(stream, reports) }()
	timeout := time.NewTimer(clientTimeout)
	defer timeout.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case <-timeout.C:
			return context.DeadlineExceeded
		case report := <-reports:
			timeout.Reset(clientTimeout)
			if err := stream.Send(s.handleReport(report)); err != nil {
				return err
			}
		}
	}
}

func receiveReports(stream controlpb.DRPCControl_RegisterStream, reports chan<- *controlpb.AgentReport) error {
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case reports <- report:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

func (s *Service) handleReport(report *controlpb.AgentReport) *controlpb.AgentDirective {
	b := report.Backend
	if b == nil || b.Id == "" {
		return &controlpb.AgentDirective{}
	}
	s.soft.putBackend(b, time.Now(), true)
	if s.cfg.Report != nil {
		s.cfg.Report(b)
	}
	return &controlpb.AgentDirective{Lifecycle: b.Lifecycle, Fencing: s.cfg.Fencing(b.Id)}
}

// Exchange merges another member's digest into the soft state. The reply has no incarnation if this member
// lacks the full report of a renewal.
func (s *Service) Exchange(_ context.Context, d *controlpb.Digest) (*controlpb.DigestAck, error) {
	if err := s.checkGroup(d.Group, d.Epoch); err != nil {
		return nil, errors.Annotatef(err, "digest of member %q", d.Member)
	}
	now := time.Now()
	s.cfg.PeerHeard(Contact{ID: d.Member, Address: d.Address})
	s.clocks.record(d.Member, d.WallUs)
	for _, b := range d.Backends {
		s.soft.putBackend(b, now, false)
	}
	ack := &controlpb.DigestAck{Incarnation: s.cfg.Incarnation}
	for _, r := range d.Renewals {
		if !s.soft.renew(r, now.Add(-time.Duration(r.AgeMs)*time.Millisecond), now) {
			ack.Incarnation = "" // makes the sender send all full reports again
		}
	}
	if leader, ok := s.cfg.Group.Leader(); ok && leader.ID == d.Member && len(d.LanePlans) > 0 {
		s.lanes.copyFromLeader(d.LanePlans)
	}
	for _, p := range d.Processes {
		s.soft.putProcess(member.Process{
			ID: p.Id, Incarnation: p.Incarnation, Role: p.Role, Zone: p.Zone,
			Version: settings.Version{Epoch: p.Epoch, Version: p.Version},
			Heard:   now.Add(-time.Duration(p.AgeMs) * time.Millisecond), Demand: demandOf(p.Demand),
			Work: lanemsg.ToWork(p.Work), Paces: lanemsg.ToPaces(p.Paces), Freshness: time.Duration(p.FreshnessMs) * time.Millisecond,
		})
	}
	return ack, nil
}

// exchangeWithPeers runs exchangeWith for each peer, following changes of the list of peers.
func (s *Service) exchangeWithPeers(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	stops := make(map[string]context.CancelFunc)
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	for {
		peers := s.cfg.Peers()
		for _, peer := range peers {
			if stops[peer] != nil {
				continue
			}
			peerCtx, stop := context.WithCancel(ctx)
			stops[peer] = stop
			running.Go(func() { s.exchangeWith(peerCtx, peer) })
		}
		for peer, stop := range stops {
			if !slices.Contains(peers, peer) {
				stop()
				delete(stops, peer)
			}
		}
		if !wait.For(ctx, peerPollInterval) {
			return
		}
	}
}

// exchangeWith sends digests to one other member: immediately after a change of the registry or the lane plans, after
// versionBatchDelay when a process has reported another version, and at intervals.
func (s *Service) exchangeWith(ctx context.Context, peer string) {
	var sent peerState
	var incarnation string
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	for {
		changed, versionChanged := s.soft.changedChannel(), s.soft.versionChangedChannel()
		_, lanesChanged := s.lanes.newest()
		digest, next := s.digest(sent, time.Now())
		ack, err := s.sendDigest(ctx, peer, digest)
		switch {
		case err != nil || ack.Incarnation != incarnation:
			sent = peerState{}
		default:
			sent = next
		}
		if err == nil {
			incarnation = ack.Incarnation
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-changed:
		case <-lanesChanged:
		case <-versionChanged:
			wait.For(ctx, versionBatchDelay)
		}
	}
}

func (s *Service) sendDigest(ctx context.Context, peer string, d *controlpb.Digest) (*controlpb.DigestAck, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var ack *controlpb.DigestAck
	err := s.pool.Do(ctx, peer, func(rpc controlpb.DRPCControlClient) error {
		var err error
		ack, err = rpc.Exchange(ctx, d)
		return err
	})
	return ack, err
}

// peerState is the part of this member's registry that a peer has. The zero value is nothing.
type peerState struct {
	registry uint64               // version
	heard    map[string]time.Time // by backend server: time of the newest report or renewal that was sent
}

// digest returns the soft state that was reported to this member directly, and the peer's state once it has that. It holds full
// reports only of the backend servers that changed since, and renewals of the others, at renewalInterval.
func (s *Service) digest(have peerState, now time.Time) (*controlpb.Digest, peerState) {
	d := s.Introduction()
	next := peerState{heard: make(map[string]time.Time, len(have.heard))}
	next.registry = s.soft.forEachDirectReport(have.registry, func(reg *member.Registration[*controlpb.BackendServer]) {
		id := reg.Report.ID
		next.heard[id] = reg.Heard
		if reg.Changed > have.registry {
			d.Backends = append(d.Backends, s.soft.backendOf(*reg, now))
			return
		}
		if last, ok := have.heard[id]; ok && reg.Heard.Sub(last) < renewalInterval {
			next.heard[id] = last
			return
		}
		d.Renewals = append(d.Renewals, &controlpb.Renewal{
			Id: id, Incarnation: reg.Report.Incarnation, Sequence: reg.Report.Sequence, AgeMs: now.Sub(reg.Heard).Milliseconds(),
			Lifecycle: string(reg.ReportedLifecycle), ColdRemainingMs: s.soft.cold.remainingMS(id, now),
		})
	})
	if s.leads() {
		plans, _ := s.lanes.newest()
		d.LanePlans = lanemsg.FromPlans(plans)
	}
	for _, p := range s.soft.allProcesses() {
		if p.Direct {
			d.Processes = append(d.Processes, processMessage(p, now))
		}
	}
	return d, next
}

// forEachDirectReport calls f for each backend server that reports to this member, and returns the registry version. Servers that
// are gone are left out unless they changed after since. Servers without recent reports are left out too: every member detects
// missing reports by itself.
func (s *softState) forEachDirectReport(since uint64, f func(*member.Registration[*controlpb.BackendServer])) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Each(func(reg *member.Registration[*controlpb.BackendServer]) {
		if reg.Direct && !reg.IsSilent() && (reg.ReportedLifecycle != member.Gone || reg.Changed > since) {
			f(reg)
		}
	})
	return s.registry.Version()
}

func processMessage(p member.Process, now time.Time) *controlpb.Process {
	m := &controlpb.Process{
		Id: p.ID, Incarnation: p.Incarnation, Role: p.Role, Zone: p.Zone,
		Epoch: p.Version.Epoch, Version: p.Version.Version, AgeMs: now.Sub(p.Heard).Milliseconds(),
		FreshnessMs: p.Freshness.Milliseconds(), Work: lanemsg.FromWork(p.Work), Paces: lanemsg.FromPaces(p.Paces),
	}
	for _, d := range p.Demand {
		m.Demand = append(m.Demand, &controlpb.Demand{Organisation: d.Organisation, Requests: d.Requests, Tokens: d.Tokens, Running: d.Running})
	}
	return m
}
