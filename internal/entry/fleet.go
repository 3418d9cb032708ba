package entry

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// fleet is the entry's table of backend servers with the router over it. It is safe for concurrent use.
type fleet struct {
	zone string

	mu      sync.Mutex
	table   *route.Table
	router  *route.Router
	byAddr  map[string]string // agent address to backend server id
	servers map[string]route.Backend
}

func newFleet(zone string, policy route.Policy) *fleet {
	table := route.NewTable(route.Config{})
	return &fleet{
		zone:    zone,
		table:   table,
		router:  route.NewRouter(table, route.RouterConfig{Policy: policy}),
		byAddr:  make(map[string]string),
		servers: make(map[string]route.Backend),
	}
}

// update replaces the registry.
func (f *fleet) update(now time.Time, backends []*controlpb.BackendServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[string]bool, len(backends))
	for _, b := range backends {
		seen[b.Id] = true
		f.put(now, b)
	}
	for id, b := range f.servers {
		if !seen[id] {
			f.table.Remove(id)
			delete(f.servers, id)
			delete(f.byAddr, b.Address)
		}
	}
}

func (f *fleet) put(now time.Time, b *controlpb.BackendServer) {
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
	f.table.Upsert(now, server)
	f.servers[b.Id] = server
	f.byAddr[b.Address] = b.Id
}

// choose picks a backend server for x that is not in exclude.
func (f *fleet) choose(x *exchange, exclude []string) (route.Backend, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.Choose(time.Now(), route.Request{
		Kind:             x.kind,
		Model:            x.model,
		Zone:             f.zone,
		Tier:             x.class.Tier,
		PromptTokens:     x.promptTokens,
		Prefix:           x.prefix,
		Exclude:          exclude,
		FirstTokenTarget: x.class.FirstTokenTarget,
	}, rand.Uint64())
}

// find returns the backend server of the given id.
func (f *fleet) find(id string) (route.Backend, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.servers[id]
	return b, ok
}

// load takes a load report of the agent at addr.
func (f *fleet) load(addr string, l *linkpb.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.byAddr[addr]
	if !ok {
		return
	}
	f.table.Report(time.Now(), id, route.Load{
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

func (f *fleet) began(id string, x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Began(time.Now(), id, x.promptTokens, x.prefix)
}

func (f *fleet) ended(id string, o route.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Ended(time.Now(), id, o)
}

// models returns the models that some backend server serves, in order.
func (f *fleet) models() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[string]bool)
	for _, b := range f.servers {
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
