// Package serverset is a process's table of backend servers with the router over it, fed by the registry and by what the
// process sees of its own requests. It is safe for concurrent use.
package serverset

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// Set holds the known backend servers.
type Set struct {
	zone string

	mu         sync.Mutex
	table      *route.Table
	router     *route.Router
	byAddr     map[string]string // agent address to backend server id
	servers    map[string]route.Backend
	activities map[string]*Activity // by backend server id
}

// New returns an empty set for a process in the availability zone.
func New(zone string, policy route.Policy) *Set {
	table := route.NewTable(route.Config{})
	return &Set{
		zone:       zone,
		table:      table,
		router:     route.NewRouter(table, route.RouterConfig{Policy: policy}),
		byAddr:     make(map[string]string),
		servers:    make(map[string]route.Backend),
		activities: make(map[string]*Activity),
	}
}

// Update replaces the registry.
func (s *Set) Update(now time.Time, backends []*controlpb.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]bool, len(backends))
	for _, b := range backends {
		seen[b.Id] = true
		s.put(now, b)
	}
	for id, b := range s.servers {
		if !seen[id] {
			s.table.Remove(id)
			delete(s.servers, id)
			delete(s.activities, id)
			delete(s.byAddr, b.Address)
		}
	}
}

func (s *Set) put(now time.Time, b *controlpb.BackendServer) {
	server := route.Backend{
		ID:          b.Id,
		Incarnation: b.Incarnation,
		Address:     b.Address,
		Kind:        b.Kind,
		Model:       b.Model,
		Version:     b.Version,
		Adapters:    b.Adapters,
		Zone:        b.Zone,
		Lifecycle:   b.Lifecycle,
		Role:        b.Role,
		Slots:       int(b.Slots),
	}
	s.table.Upsert(now, server)
	s.servers[b.Id] = server
	s.byAddr[b.Address] = b.Id
}

// Choose picks a backend server for a request of this process's availability zone.
func (s *Set) Choose(req route.Request) (route.Backend, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.Zone = s.zone
	return s.router.Choose(time.Now(), req, rand.Uint64())
}

// Source returns a backend server from which the chosen one can fetch the beginning of the prompt, if it should.
func (s *Set) Source(req route.Request, chosen string) (route.Backend, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.Zone = s.zone
	return s.router.Source(time.Now(), req, chosen)
}

// Backup returns a backend server that can keep the backup of a run at the chosen one.
func (s *Set) Backup(req route.Request, chosen string) (route.Backend, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.Zone = s.zone
	return s.router.Backup(time.Now(), req, chosen, rand.Uint64())
}

// Count returns the number of ready backend servers of a model.
func (s *Set) Count(kind, model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, b := range s.servers {
		if b.Kind == kind && b.Model == model && b.Lifecycle == route.LifecycleReady {
			n++
		}
	}
	return n
}

// States returns what this process holds of the ready backend servers.
func (s *Set) States() []route.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.States(time.Now())
}

// Find returns the backend server of the given id.
func (s *Set) Find(id string) (route.Backend, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.servers[id]
	return b, ok
}

// Report takes what a backend server said of its load.
func (s *Set) Report(id string, l route.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Report(time.Now(), id, l)
}

// Load takes a load report of the agent at addr.
func (s *Set) Load(addr string, l *linkpb.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.byAddr[addr]
	if !ok {
		return
	}
	s.table.Report(time.Now(), id, route.Load{
		Slots:           int(l.Slots),
		Running:         int(l.Running),
		Waiting:         int(l.Waiting),
		QueueLimit:      int(l.QueueLimit),
		HasDisplaceable: l.HasDisplaceable,
		LowestTier:      int(l.LowestTier),
		TokenInterval:   time.Duration(l.TokenIntervalUs) * time.Microsecond,
		FirstToken:      time.Duration(l.FirstTokenUs) * time.Microsecond,
		WaitingByTier:   byTier(l.WaitingByTier),
		RunningByTier:   byTier(l.RunningByTier),
	})
}

// byTier converts counts by tier; tiers that the router does not tell apart count as its last.
func byTier(counts []uint32) (out [route.MaxTiers]int) {
	for tier, n := range counts {
		out[min(tier, route.MaxTiers-1)] += int(n)
	}
	return out
}

// Began notes a dispatch to a backend server.
func (s *Set) Began(id string, promptTokens int, prefix []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Began(time.Now(), id, promptTokens, prefix)
}

// Await notes that a request was sent to a backend server, at the returned time. The caller tells the activity what it hears of
// the server, and ends with one call of AwaitOver.
func (s *Set) Await(id string) (since time.Time, activity *Activity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	activity = s.activities[id]
	if activity == nil {
		activity = newActivity(now)
		if _, known := s.servers[id]; known {
			s.activities[id] = activity
		}
	}
	s.table.Await(now, id, activity)
	return now, activity
}

// AnswerBegan notes how long a request waited for the beginning of its answer.
func (s *Set) AnswerBegan(id string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.AnswerBegan(id, took)
}

// AwaitOver notes the end of the request that was sent at since.
func (s *Set) AwaitOver(id string, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.AwaitOver(id, since)
}

// Ended notes the end of a dispatch.
func (s *Set) Ended(id string, o route.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Ended(time.Now(), id, o)
}

// Models returns the models that some backend server serves, in order.
func (s *Set) Models() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]bool)
	for _, b := range s.servers {
		if b.Kind != route.KindEngine {
			continue
		}
		seen[b.Model] = true
		for _, a := range b.Adapters {
			seen[a] = true
		}
	}
	out := make([]string, 0, len(seen))
	for m := range seen {
		out = append(out, m)
	}
	sort.Strings(out)
	return out
}
