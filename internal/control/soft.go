package control

import (
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/lanemsg"
	"github.com/guavastack/guavastack/proto/controlpb"
	"google.golang.org/protobuf/proto"
)

// softState holds the registry of backend servers and the watching processes. It is not replicated through the log and is
// lost at a restart.
type softState struct {
	cfg Config

	mu             sync.Mutex
	registry       *member.Registry[*controlpb.BackendServer]
	processes      *member.Processes
	changed        chan struct{}
	versionChanged chan struct{}        // closed when a process that watches this member reports another version
	lastLoad       map[string]time.Time // when a backend server's load was last published to watchers
	cold           coldTimes
}

func newSoftState(cfg Config, now time.Time) *softState {
	return &softState{
		cfg:            cfg,
		registry:       member.NewRegistry[*controlpb.BackendServer](cfg.RegistryTTL, now),
		processes:      member.NewProcesses(processStaleFactor*cfg.FreshnessLimit, limit.ShareLifetime),
		changed:        make(chan struct{}),
		versionChanged: make(chan struct{}),
		lastLoad:       make(map[string]time.Time),
		cold:           make(coldTimes),
	}
}

func (s *softState) changedChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// update calls f with mu locked and wakes the watchers if f changed the registry.
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
		for id := range s.cold {
			if _, ok := s.registry.Get(id); !ok {
				delete(s.cold, id)
			}
		}
	})
}

// putBackend stores a report of a backend server. direct is true if it was sent to this member, false if another member
// relayed it.
func (s *softState) putBackend(b *controlpb.BackendServer, heard time.Time, direct bool) {
	s.update(func() {
		material := true
		if old, ok := s.registry.Get(b.Id); ok {
			material = isMaterial(old.Report.Detail, b) || s.isLoadDue(old.Report.Detail, b, heard) ||
				route.IsColdChange(heard, s.cold[b.Id], untilOf(b.ColdRemainingMs, heard))
		}
		report := member.Report[*controlpb.BackendServer]{
			ID: b.Id, Incarnation: b.Incarnation, StartedMS: b.StartedMs, Sequence: b.Sequence,
			Lifecycle: member.Lifecycle(b.Lifecycle), Detail: b,
		}
		before, known := s.registry.Get(b.Id)
		if s.registry.Put(report, heard, direct, material) && material {
			s.lastLoad[b.Id] = heard
		}
		s.recordCold(b, heard, known && before.Report.Incarnation == b.Incarnation, direct)
		s.logChange(before, known, b.Id, direct)
	})
}

// logChange logs a backend server whose lifecycle or incarnation changed. known is false if it was not registered before; direct
// is true if it reported to this member.
func (s *softState) logChange(before member.Registration[*controlpb.BackendServer], known bool, id string, direct bool) {
	after, ok := s.registry.Get(id)
	if !ok || (known && before.Report.Lifecycle == after.Report.Lifecycle && before.Report.Incarnation == after.Report.Incarnation) {
		return
	}
	s.cfg.Logger.Info("backend server changed",
		"backend_server", id, "lifecycle", after.Report.Lifecycle, "incarnation", after.Report.Incarnation,
		"sequence", after.Report.Sequence, "address", after.Report.Detail.GetAddress(), "model", after.Report.Detail.GetModel(), "at_first_hand", direct)
}

// isMaterial reports whether anything other than the load, the cold time and the sequence number changed.
func isMaterial(old, b *controlpb.BackendServer) bool {
	return !proto.Equal(withoutLoad(old), withoutLoad(b))
}

func withoutLoad(b *controlpb.BackendServer) *controlpb.BackendServer {
	c := proto.Clone(b).(*controlpb.BackendServer)
	c.Running, c.Waiting, c.FirstTokenUs, c.TokenIntervalUs, c.Sequence, c.ColdRemainingMs = 0, 0, 0, 0, 0, 0
	return c
}

// isLoadDue reports whether a change of the load alone is to be published now. It is published at intervals only, since
// the replies to requests report the load sooner anyway.
func (s *softState) isLoadDue(old, b *controlpb.BackendServer, now time.Time) bool {
	same := old.Running == b.Running && old.Waiting == b.Waiting
	return !same && now.Sub(s.lastLoad[b.Id]) >= member.LoadUpdateInterval(s.registry.Len())
}

// renew records that an agent reported to another member without a change. It returns false if this member needs the
// full report, also because the cold time has changed: applying the renewal would make the full report count as old.
func (s *softState) renew(r *controlpb.Renewal, heard, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reg, ok := s.registry.Get(r.Id); ok && reg.Report.Incarnation == r.Incarnation && r.Sequence > reg.Report.Sequence && s.cold.differs(r, now) {
		return false
	}
	return s.registry.Renew(member.Renewal{
		ID: r.Id, Incarnation: r.Incarnation, Sequence: r.Sequence, Lifecycle: member.Lifecycle(r.Lifecycle),
	}, heard)
}

func (s *softState) isComplete(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.IsComplete(now)
}

// backendsSince returns the backend servers that changed after a registry version, and the current version.
func (s *softState) backendsSince(version uint64) ([]*controlpb.BackendServer, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.registry.Version()
	if version == current {
		return nil, current
	}
	var out []*controlpb.BackendServer
	now := time.Now()
	for _, reg := range s.registry.Since(version) {
		out = append(out, s.backendOf(reg, now))
	}
	return out, current
}

func (s *softState) putProcess(p member.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.processes.Put(p) && p.Direct {
		close(s.versionChanged)
		s.versionChanged = make(chan struct{})
	}
}

func (s *softState) versionChangedChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versionChanged
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
		ID: req.ProcessId, Incarnation: req.Incarnation, Role: req.Role, Zone: req.Zone, Heard: now, Direct: true,
		Version: settings.Version{Epoch: req.HaveEpoch, Version: req.HaveVersion}, Demand: demandOf(req.Demand),
		Work: lanemsg.ToWork(req.Work), Paces: lanemsg.ToPaces(req.Paces), Freshness: time.Duration(req.FreshnessMs) * time.Millisecond,
	}
}

func demandOf(in []*controlpb.Demand) []member.Demand {
	out := make([]member.Demand, len(in))
	for i, d := range in {
		out[i] = member.Demand{Organisation: d.Organisation, Requests: d.Requests, Tokens: d.Tokens, Running: d.Running}
	}
	return out
}
