// Package serverset combines a process's table of backend servers with a router that selects among them. The table is
// updated from the registry and from the process's own requests. All functions are safe for concurrent use.
package serverset

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// Set holds the registered backend servers.
type Set struct {
	zone string

	mu         sync.Mutex
	table      *route.Table
	router     *route.Router
	byAddr     map[string]string // agent address to backend server id
	servers    map[string]route.Backend
	activities map[string]*Activity // by backend server id
	reports    map[string]*controlpb.BackendServer
}

// New returns an empty set for a process in the given availability zone.
func New(zone string, policy route.Policy) *Set {
	table := route.NewTable(route.Config{})
	return &Set{
		zone:       zone,
		table:      table,
		router:     route.NewRouter(table, route.RouterConfig{Policy: policy}),
		byAddr:     make(map[string]string),
		servers:    make(map[string]route.Backend),
		activities: make(map[string]*Activity),
		reports:    make(map[string]*controlpb.BackendServer),
	}
}

// Update replaces the registered backend servers.
func (s *Set) Update(now time.Time, backends []*controlpb.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]bool, len(backends))
	for _, b := range backends {
		seen[b.Id] = true
		s.upsert(now, b)
	}
	for id, b := range s.servers {
		if !seen[id] {
			s.table.Remove(id)
			delete(s.servers, id)
			delete(s.activities, id)
			delete(s.reports, id)
			if s.byAddr[b.Address] == id { // else another server has taken over the address
				delete(s.byAddr, b.Address)
			}
		}
	}
}

func (s *Set) upsert(now time.Time, b *controlpb.BackendServer) {
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
	if old, ok := s.servers[b.Id]; ok && old.Incarnation != b.Incarnation {
		delete(s.activities, b.Id) // its intervals are those of the former incarnation
	}
	s.table.Upsert(now, server)
	s.recordReport(now, b)
	s.servers[b.Id] = server
	s.byAddr[b.Address] = b.Id
}

// Choose selects a backend server for a request from this process's availability zone. It returns an error of the router if no
// server is eligible.
func (s *Set) Choose(req route.Request) (route.Backend, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.Zone = s.zone
	return s.router.Choose(time.Now(), req, rand.Uint64())
}

// FetchSource returns a backend server from which the chosen one should fetch the prompt prefix, or false if there is none.
func (s *Set) FetchSource(req route.Request, chosen string) (route.Backend, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.Zone = s.zone
	return s.router.FetchSource(time.Now(), req, chosen)
}

// BackupServer returns a backend server that can keep the backup of a run at the chosen one, or false if there is none.
func (s *Set) BackupServer(req route.Request, chosen string) (route.Backend, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.Zone = s.zone
	return s.router.BackupServer(time.Now(), req, chosen, rand.Uint64())
}

// SetLanePlan sets the plan by which the backend servers of a kind that serve a model or service are split into lanes; nil: not
// at all.
func (s *Set) SetLanePlan(kind, model string, plan *route.LanePlan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetLanePlan(kind, model, plan)
}

// States returns the state of each ready backend server as this process sees it.
func (s *Set) States() []route.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.States(time.Now())
}

// Find returns the backend server with the given id.
func (s *Set) Find(id string) (route.Backend, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.servers[id]
	return b, ok
}

// RecordLoad records the load that a backend server reported.
func (s *Set) RecordLoad(id string, l route.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordLoad(time.Now(), id, l)
}

// RecordRateLimit records the rate limit that a backend server stated in its answer to a request sent at the given time, in requests
// per second from all processes; 0: none.
func (s *Set) RecordRateLimit(id string, sentAt time.Time, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordRateLimit(time.Now(), id, sentAt, perSecond)
}

// RecordLeaving records that an incarnation of a backend server said in an answer that it leaves. The result is false if this was known.
func (s *Set) RecordLeaving(id, incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RecordLeaving(id, incarnation)
}

// RecordPause records that an incarnation of a backend server asked in an answer to be sent nothing for a time. The result is false if
// that changes nothing.
func (s *Set) RecordPause(id, incarnation string, pause time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RecordPause(time.Now(), id, incarnation, pause)
}

// TakesWork reports whether a backend server takes new work according to the registry, its notices and the drains of zones.
func (s *Set) TakesWork(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.TakesWork(time.Now(), id)
}

// IsStaying reports whether a backend server is registered as ready and has not said that it leaves.
func (s *Set) IsStaying(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.IsStaying(id)
}

// SetTurns sets the turns by which all processes share the rate limits of backend servers, and the time now on the clock that they share.
func (s *Set) SetTurns(turns limit.Turns, wall time.Time) {
	ahead := time.Duration(wall.UnixNano() - time.Now().UnixNano())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetTurns(turns, ahead)
}

// RecordAgentLoad records the load that the agent at addr reported. Reports of unknown agents are ignored.
func (s *Set) RecordAgentLoad(addr string, l *linkpb.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.byAddr[addr]
	if !ok {
		return
	}
	s.table.RecordLoad(time.Now(), id, route.Load{
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

// byTier converts counts by tier. Tiers beyond the router's number of tiers count as its last.
func byTier(counts []uint32) (out [route.MaxTiers]int) {
	for tier, n := range counts {
		out[min(tier, route.MaxTiers-1)] += int(n)
	}
	return out
}

// RecordDispatch records the dispatch of a request to a backend server. prefix holds the hashes of its prompt prefixes, shortest
// first.
func (s *Set) RecordDispatch(id string, promptTokens int, prefix []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordDispatch(time.Now(), id, promptTokens, prefix)
}

// BeginWait records that a request was sent to a backend server at the returned time. The caller records all data received from
// the server with the activity, and calls EndWait once when the request ends.
func (s *Set) BeginWait(id string) (since time.Time, activity *Activity) {
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
	s.table.BeginWait(now, id, activity)
	return now, activity
}

// RecordFirstData records that the answer of a backend server to the request sent at since began at now.
func (s *Set) RecordFirstData(now time.Time, id string, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordFirstData(now, id, since)
}

// EndWait records the end of the request that was sent at since.
func (s *Set) EndWait(id string, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.EndWait(id, since)
}

// RecordEnd records the outcome of a dispatch to an incarnation of a backend server.
func (s *Set) RecordEnd(id, incarnation string, o route.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordEnd(time.Now(), id, incarnation, o)
}

// Models returns the models and adapters that engines serve, sorted.
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
