package control

import (
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/proto/controlpb"
	"google.golang.org/protobuf/proto"
)

// softState is the registry and the watching processes: what a member knows but doesn't keep.
type softState struct {
	cfg Config

	mu        sync.Mutex
	registry  *member.Registry[*controlpb.BackendServer]
	processes *member.Processes
	changed   chan struct{}
	news      chan struct{}        // closed when a process that watches this member has another version
	lastLoad  map[string]time.Time // when watchers last learned a backend server's load
}

func newSoftState(cfg Config, now time.Time) *softState {
	return &softState{
		cfg:       cfg,
		registry:  member.NewRegistry[*controlpb.BackendServer](cfg.RegistryTTL, now),
		processes: member.NewProcesses(processMemory*cfg.FreshnessLimit, limit.ShareLifetime),
		changed:   make(chan struct{}),
		news:      make(chan struct{}),
		lastLoad:  make(map[string]time.Time),
	}
}

func (s *softState) changedChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// update runs f and wakes the watchers if it changed the registry.
func (s *softState) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.registry.Version()
	f()
	if s.registry.Version() != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *softState) expire(now time.Time) {
	s.update(func() {
		s.registry.Expire(now)
		s.processes.Expire(now)
		for id := range s.lastLoad {
			if _, ok := s.registry.Get(id); !ok {
				delete(s.lastLoad, id)
			}
		}
	})
}

// putBackend takes a report of an agent, at first hand or from another member.
func (s *softState) putBackend(b *controlpb.BackendServer, heard time.Time, first bool) {
	s.update(func() {
		material := true
		if old, ok := s.registry.Get(b.Id); ok {
			material = isMaterial(old.Report.Detail, b) || s.loadIsDue(old.Report.Detail, b, heard)
		}
		report := member.Report[*controlpb.BackendServer]{
			ID: b.Id, Incarnation: b.Incarnation, StartedMS: b.StartedMs, Sequence: b.Sequence,
			Lifecycle: member.Lifecycle(b.Lifecycle), Detail: b,
		}
		before, known := s.registry.Get(b.Id)
		if s.registry.Put(report, heard, first, material) && material {
			s.lastLoad[b.Id] = heard
		}
		s.logChange(before, known, b.Id, first)
	})
}

// logChange logs what is believed of a backend server when it changes. first says that it spoke to this member.
func (s *softState) logChange(before member.Entry[*controlpb.BackendServer], known bool, id string, first bool) {
	now, ok := s.registry.Get(id)
	if !ok || (known && before.Report.Lifecycle == now.Report.Lifecycle && before.Report.Incarnation == now.Report.Incarnation) {
		return
	}
	s.cfg.Logger.Info("backend server",
		"backend_server", id, "lifecycle", now.Report.Lifecycle, "incarnation", now.Report.Incarnation,
		"sequence", now.Report.Sequence, "address", now.Report.Detail.GetAddress(), "model", now.Report.Detail.GetModel(), "at_first_hand", first)
}

// isMaterial reports whether anything but load changed.
func isMaterial(old, b *controlpb.BackendServer) bool {
	return !proto.Equal(withoutLoad(old), withoutLoad(b))
}

func withoutLoad(b *controlpb.BackendServer) *controlpb.BackendServer {
	c := proto.Clone(b).(*controlpb.BackendServer)
	c.Running, c.Waiting, c.FirstTokenUs, c.TokenIntervalUs, c.Sequence = 0, 0, 0, 0, 0
	return c
}

// loadIsDue reports whether a change of load alone is to be passed on: answers bring load sooner anyway.
func (s *softState) loadIsDue(old, b *controlpb.BackendServer, now time.Time) bool {
	same := old.Running == b.Running && old.Waiting == b.Waiting
	return !same && now.Sub(s.lastLoad[b.Id]) >= member.LoadInterval(s.registry.Len())
}

// renew takes another member's word that an agent was heard. It returns false where the report itself is needed.
func (s *softState) renew(r *controlpb.Renewal, heard time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Renew(member.Renewal{
		ID: r.Id, Incarnation: r.Incarnation, Sequence: r.Sequence, Lifecycle: member.Lifecycle(r.Lifecycle),
	}, heard)
}

func (s *softState) isComplete(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Complete(now)
}

// backendsSince returns the backend servers that changed after a registry version, and the version now.
func (s *softState) backendsSince(version uint64) ([]*controlpb.BackendServer, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.registry.Version()
	if version == now {
		return nil, now
	}
	var out []*controlpb.BackendServer
	for _, e := range s.registry.Since(version) {
		out = append(out, backendOf(e))
	}
	return out, now
}

// backendOf returns the message of an entry with its lifecycle as the registry sees it.
func backendOf(e member.Entry[*controlpb.BackendServer]) *controlpb.BackendServer {
	b := e.Report.Detail
	if b.Lifecycle == string(e.Report.Lifecycle) && b.Sequence == e.Report.Sequence {
		return b
	}
	c := proto.Clone(b).(*controlpb.BackendServer)
	c.Lifecycle, c.Sequence = string(e.Report.Lifecycle), e.Report.Sequence
	return c
}

func (s *softState) putProcess(p member.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.processes.Put(p) && p.First {
		close(s.news)
		s.news = make(chan struct{})
	}
}

func (s *softState) newsChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.news
}

func (s *softState) allProcesses() []member.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes.All()
}

func (s *softState) behind(v settings.Version, now time.Time) []member.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes.Behind(v, now)
}

func processOf(req *controlpb.WatchRequest, now time.Time) member.Process {
	return member.Process{
		ID: req.ProcessId, Incarnation: req.Incarnation, Role: req.Role, Zone: req.Zone, Heard: now, First: true,
		Version: settings.Version{Epoch: req.HaveEpoch, Version: req.HaveVersion}, Demand: demandOf(req.Demand),
		Lanes: serviceWorkOf(req.Lanes), Freshness: time.Duration(req.FreshnessMs) * time.Millisecond,
	}
}

func demandOf(in []*controlpb.Demand) []member.Demand {
	out := make([]member.Demand, len(in))
	for i, d := range in {
		out[i] = member.Demand{Organisation: d.Organisation, Requests: d.Requests, Tokens: d.Tokens, Running: d.Running}
	}
	return out
}
