package route

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	defaultLoadHalfLife    = 2 * time.Second
	defaultPrefixCapacity  = 100_000
	defaultPrefillPerToken = 50 * time.Microsecond
	defaultZoneCost        = 2 * time.Millisecond

	// outcomeWeight is the weight of a new outcome in the moving averages.
	outcomeWeight = 0.1
	// defaultSlotInterval is used until a backend server has reported a queue.
	defaultSlotInterval = 100 * time.Millisecond
)

// Config is the fixed part of a Table.
type Config struct {
	LoadHalfLife    time.Duration // after this time a load report counts half
	PrefixCapacity  int           // placements remembered for each model
	PrefillPerToken time.Duration // to compute one prompt token that is not cached
	ZoneCost        time.Duration // of a dispatch to another availability zone
}

func (c Config) withDefaults() Config {
	if c.LoadHalfLife <= 0 {
		c.LoadHalfLife = defaultLoadHalfLife
	}
	if c.PrefixCapacity <= 0 {
		c.PrefixCapacity = defaultPrefixCapacity
	}
	if c.PrefillPerToken <= 0 {
		c.PrefillPerToken = defaultPrefillPerToken
	}
	if c.ZoneCost <= 0 {
		c.ZoneCost = defaultZoneCost
	}
	return c
}

// Table holds what an entry knows of the backend servers.
type Table struct {
	cfg     Config
	servers map[string]*server
	groups  map[groupKey]*group
}

type groupKey struct{ kind, model string }

// group holds the backend servers of one model.
type group struct {
	servers    []*server // by id
	ordered    []*server // in the order that all processes share
	placements *simplelru.LRU[uint64, placement]
	roundRobin int
	reviewedAt time.Time
	busy       float64       // sum of the reported busy counts
	reported   int           // number of servers with a report
	usualWait  time.Duration // moving average of the waits for the beginning of an answer
	tight      int           // servers in the tight lane at the last choice; 0: not split
}

// placement remembers where a prompt prefix was computed last.
type placement struct {
	server string
	at     time.Time
}

// server is a backend server with what was observed of it.
type server struct {
	Backend
	group *group
	order uint64 // by chance, the same in every process

	load         Load
	loadAt       time.Time
	hasLoad      bool
	slotInterval time.Duration
	before       [MaxTiers]int // requests that go before one of the tier: those of the tier and above

	inFlight    int // own, begun and not ended
	sinceReport int // own, begun and not ended since the last report
	health      health
	awaited     []time.Time // when own requests without an end were sent, oldest first
	activity    Activity    // nil: nothing was awaited yet
	gapAt       time.Time   // last gap in its cache events
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg.withDefaults(), servers: make(map[string]*server), groups: make(map[groupKey]*group)}
}

// Upsert adds a backend server or replaces what it announced. A new incarnation starts without history.
func (t *Table) Upsert(now time.Time, b Backend) {
	old := t.servers[b.ID]
	if old != nil && old.Incarnation == b.Incarnation && old.Kind == b.Kind && old.Model == b.Model {
		old.Backend = b
		return
	}
	if old != nil {
		t.Remove(b.ID)
	}
	g := t.group(groupKey{b.Kind, b.Model})
	s := &server{Backend: b, group: g, order: orderOf(b.ID), slotInterval: defaultSlotInterval}
	t.servers[b.ID] = s
	i := sort.Search(len(g.servers), func(i int) bool { return g.servers[i].ID >= b.ID })
	g.servers = append(g.servers, nil)
	copy(g.servers[i+1:], g.servers[i:])
	g.servers[i] = s
	g.order()
}

// order brings the servers into the order that all processes share.
func (g *group) order() {
	g.ordered = append(g.ordered[:0], g.servers...)
	slices.SortFunc(g.ordered, func(a, b *server) int { return cmp.Compare(a.order, b.order) })
}

func (t *Table) group(key groupKey) *group {
	g := t.groups[key]
	if g == nil {
		lru, err := simplelru.NewLRU[uint64, placement](t.cfg.PrefixCapacity, nil)
		if err != nil {
			panic(err) // the capacity is positive
		}
		g = &group{placements: lru}
		t.groups[key] = g
	}
	return g
}

// Remove forgets a backend server.
func (t *Table) Remove(id string) {
	s := t.servers[id]
	if s == nil {
		return
	}
	delete(t.servers, id)
	g := s.group
	i := sort.Search(len(g.servers), func(i int) bool { return g.servers[i].ID >= id })
	g.servers = append(g.servers[:i], g.servers[i+1:]...)
	g.order()
	if s.hasLoad {
		g.busy -= s.reportedBusy()
		g.reported--
	}
}

// Report takes a load report.
func (t *Table) Report(now time.Time, id string, l Load) {
	s := t.servers[id]
	if s == nil || (l.Seq != 0 && l.Seq <= s.load.Seq) {
		return
	}
	g := s.group
	if s.hasLoad {
		g.busy -= s.reportedBusy()
	} else {
		g.reported++
	}
	s.load, s.loadAt, s.hasLoad = l, now, true
	s.sinceReport = 0
	g.busy += s.reportedBusy()
	if l.Waiting > 0 && l.FirstToken > 0 {
		s.slotInterval = l.FirstToken / time.Duration(l.Waiting+1)
	}
	s.sumBefore()
	g.review(now)
}

// sumBefore derives from the report how many requests go before an arrival of each tier.
func (s *server) sumBefore() {
	running, waiting := 0, 0
	for i := range s.before {
		running += s.load.RunningByTier[i]
		waiting += s.load.WaitingByTier[i]
		s.before[i] = running + waiting
	}
	runningUntold := s.load.Running - running
	waitingUntold := s.load.Waiting - waiting
	for i := range s.before {
		s.before[i] += runningUntold + waitingUntold
	}
}

func (s *server) reportedBusy() float64 { return float64(s.load.Running + s.load.Waiting) }

func (s *server) slots() int {
	if s.hasLoad && s.load.Slots > 0 {
		return s.load.Slots
	}
	return max(1, s.Slots)
}

// Began notes a dispatch to a backend server.
func (t *Table) Began(now time.Time, id string, requestTokens int, prefix []uint64) {
	s := t.servers[id]
	if s == nil {
		return
	}
	s.inFlight++
	s.sinceReport++
	t.Cached(now, id, prefix)
}

// Ended notes the end of a dispatch.
func (t *Table) Ended(now time.Time, id string, o Outcome) {
	s := t.servers[id]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	s.sinceReport = max(0, s.sinceReport-1)
	s.health.observe(now, o)
	s.group.review(now)
}

// Cached notes that a backend server holds prompt prefixes, from a cache event or an own placement.
func (t *Table) Cached(now time.Time, id string, prefix []uint64) {
	s := t.servers[id]
	if s == nil {
		return
	}
	for _, hash := range prefix {
		s.group.placements.Add(hash, placement{server: id, at: now})
	}
}

// Evicted notes that a backend server has dropped prompt prefixes from its cache.
func (t *Table) Evicted(id string, prefix []uint64) {
	s := t.servers[id]
	if s == nil {
		return
	}
	for _, hash := range prefix {
		if p, ok := s.group.placements.Peek(hash); ok && p.server == id {
			s.group.placements.Remove(hash)
		}
	}
}

// CacheGap notes that cache events of a backend server were lost: what is known of its cache counts less.
func (t *Table) CacheGap(now time.Time, id string) {
	if s := t.servers[id]; s != nil {
		s.gapAt = now
	}
}

// confidence is the weight of the server's last load report.
func (t *Table) confidence(now time.Time, s *server) float64 {
	if !s.hasLoad {
		return 0
	}
	age := now.Sub(s.loadAt)
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(t.cfg.LoadHalfLife))
}

// meanBusy is the mean reported number of requests at the group's servers.
func (g *group) meanBusy() float64 {
	if g.reported == 0 {
		return 0
	}
	return g.busy / float64(g.reported)
}
