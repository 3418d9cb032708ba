package route

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/guavastack/guavastack/internal/core/decay"
	"github.com/guavastack/guavastack/internal/core/limit"
)

const (
	defaultLoadHalfLife    = 2 * time.Second
	defaultPrefixCapacity  = 100_000
	defaultPrefillPerToken = 50 * time.Microsecond
	defaultZoneCost        = 2 * time.Millisecond

	// outcomeWeight is the weight of a new outcome in the moving averages.
	outcomeWeight = 0.1
	// defaultSlotInterval is the time between freed slots assumed until a backend server has reported a queue.
	defaultSlotInterval = 100 * time.Millisecond
)

// Config is the fixed part of a Table.
type Config struct {
	LoadHalfLife    time.Duration // half-life of the weight of a load report
	PrefixCapacity  int           // maximum number of prefix placements stored for each model
	PrefillPerToken time.Duration // time to compute one prompt token that is not cached
	ZoneCost        time.Duration // penalty for a dispatch to another availability zone
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

// Table holds the backend servers known to a routing process, with their load and health.
type Table struct {
	cfg     Config
	servers map[string]*server
	groups  map[groupKey]*group

	notices    map[string]*notice // by server ID, also of servers that are no longer registered
	turns      limit.Turns        // by which the processes share the rate limits of servers
	clockAhead time.Duration      // how far the clock of the turns is ahead
	drains     zoneDrains
	regions    map[string]string // by availability zone
}

type groupKey struct{ kind, model string }

// group holds the backend servers of one model.
type group struct {
	table      *Table
	servers    []*server // by ID
	ordered    []*server // by ID hash, an order that all processes share
	placements *simplelru.LRU[uint64, placement]
	roundRobin int
	reviewedAt time.Time
	busy       float64       // sum of the reported busy counts
	reported   int           // number of servers with a report
	answerWait time.Duration // moving average of the wait for the start of an answer
	cold       coldRule      // for cold servers
	offeredAt  time.Time     // the last turn at a cold server that was offered to a refused request
	lastingAt  time.Time     // of the last comparison of lasting paces
	laneMap
}

// placement records where a prompt prefix was last computed.
type placement struct {
	server string
	at     time.Time
}

// server is a backend server with its observed load, health and cache state.
type server struct {
	Backend
	group *group
	order uint64 // hash of the ID, which decides the position in the common order

	load         Load
	loadAt       time.Time
	hasLoad      bool
	slotInterval time.Duration
	ahead        [MaxTiers]int // by tier: requests ahead of a new one, that is those of the tier and above

	inFlight    int // requests of this process in flight
	sinceReport int // of them, those sent since the last load report
	health      health
	sentAt      []time.Time // send times of the requests of this process in flight, oldest first
	pendingAt   []time.Time // those of sentAt whose answer has not begun
	prefill     pendingPrefill
	activity    Activity  // nil until the first request was sent
	gapAt       time.Time // time of the last gap in its cache events
	membership  laneMembership
	pace        *pace
	isPaceKnown bool // something is known of pace
	limit       rateLimit
	notice      *notice // nil: it has said nothing
	drained     bool    // its zone is drained
	warmth      warmth
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg: cfg.withDefaults(), servers: make(map[string]*server), groups: make(map[groupKey]*group), notices: make(map[string]*notice),
		turns: limit.Turns{Count: limit.AssumedProcesses},
	}
}

// Upsert adds a backend server or updates its registration. A server with a new incarnation, kind or
// model starts without observations.
func (t *Table) Upsert(now time.Time, b Backend) {
	old := t.servers[b.ID]
	if old != nil && old.Incarnation == b.Incarnation && old.Kind == b.Kind && old.Model == b.Model {
		old.group.changed = old.group.changed || old.Lifecycle != b.Lifecycle
		old.Backend = b
		old.setDrained(t.drains.has(b.Zone))
		return
	}
	if old != nil {
		t.Remove(b.ID)
	}
	g := t.group(groupKey{b.Kind, b.Model})
	s := &server{Backend: b, group: g, order: orderHash(b.ID), slotInterval: defaultSlotInterval, notice: t.knownNotice(b), drained: t.drains.has(b.Zone), pace: &pace{}}
	t.servers[b.ID] = s
	i := sort.Search(len(g.servers), func(i int) bool { return g.servers[i].ID >= b.ID })
	g.servers = append(g.servers, nil)
	copy(g.servers[i+1:], g.servers[i:])
	g.servers[i] = s
	g.rebuildOrder()
}

// rebuildOrder rebuilds the order of servers that all processes share.
func (g *group) rebuildOrder() {
	g.ordered = append(g.ordered[:0], g.servers...)
	slices.SortFunc(g.ordered, func(a, b *server) int { return cmp.Compare(a.order, b.order) })
	g.changed = true
}

func (t *Table) group(key groupKey) *group {
	g := t.groups[key]
	if g == nil {
		lru, err := simplelru.NewLRU[uint64, placement](t.cfg.PrefixCapacity, nil)
		if err != nil {
			panic(err) // the capacity is positive
		}
		g = &group{table: t, placements: lru}
		t.groups[key] = g
	}
	return g
}

// Remove removes a backend server and its observations.
func (t *Table) Remove(id string) {
	s := t.servers[id]
	if s == nil {
		return
	}
	delete(t.servers, id)
	g := s.group
	i := sort.Search(len(g.servers), func(i int) bool { return g.servers[i].ID >= id })
	g.servers = append(g.servers[:i], g.servers[i+1:]...)
	g.rebuildOrder()
	if s.hasLoad {
		g.busy -= s.reportedBusy()
		g.reported--
	}
}

// RecordLoad records a load report. A numbered report that isn't newer than the last one is ignored.
func (t *Table) RecordLoad(now time.Time, id string, l Load) {
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
	s.recordSlowdown(now, l.Slowdown)
	s.sinceReport = 0
	g.busy += s.reportedBusy()
	if l.Waiting > 0 && l.FirstToken > 0 {
		s.slotInterval = l.FirstToken / time.Duration(l.Waiting+1)
	}
	s.countAhead()
	g.review(now)
}

// countAhead derives from the load report how many requests are ahead of a new request of each tier. Requests whose tier isn't
// reported count for every tier.
func (s *server) countAhead() {
	running, waiting := 0, 0
	for i := range s.ahead {
		running += s.load.RunningByTier[i]
		waiting += s.load.WaitingByTier[i]
		s.ahead[i] = running + waiting
	}
	runningUntiered := s.load.Running - running
	waitingUntiered := s.load.Waiting - waiting
	for i := range s.ahead {
		s.ahead[i] += runningUntiered + waitingUntiered
	}
}

func (s *server) reportedBusy() float64 { return float64(s.load.Running + s.load.Waiting) }

func (s *server) slots() int {
	if s.hasLoad && s.load.Slots > 0 {
		return s.load.Slots
	}
	return max(1, s.Slots)
}

// RecordDispatch records a dispatch to a backend server, which will then cache the prompt prefixes. requestTokens is the number of prompt
// tokens that it has to prefill. A BeginWait follows, if the wait for the answer is to be tracked.
func (t *Table) RecordDispatch(now time.Time, id string, requestTokens int, prefix []uint64) {
	s := t.servers[id]
	if s == nil {
		return
	}
	s.inFlight++
	s.sinceReport++
	s.limit.chosenAt = now
	s.prefill.dispatched = max(requestTokens, 0)
	t.RecordCached(now, id, prefix)
}

// RecordEnd records the outcome of a dispatch to an incarnation of a server. It does not count for another incarnation.
func (t *Table) RecordEnd(now time.Time, id, incarnation string, o Outcome) {
	s := t.servers[id]
	if s == nil || s.Incarnation != incarnation {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	s.sinceReport = max(0, s.sinceReport-1)
	s.health.observe(now, o)
	if o.Result == Unreachable {
		t.RecordBroken(now, id, incarnation)
	}
	s.group.review(now)
}

// RecordCached records that a backend server caches prompt prefixes, from a cache event or a dispatch.
func (t *Table) RecordCached(now time.Time, id string, prefix []uint64) {
	s := t.servers[id]
	if s == nil {
		return
	}
	for _, hash := range prefix {
		s.group.placements.Add(hash, placement{server: id, at: now})
	}
}

// RecordEvicted records that a backend server has evicted prompt prefixes from its cache.
func (t *Table) RecordEvicted(id string, prefix []uint64) {
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

// RecordCacheGap records that cache events of a backend server were lost, which halves the confidence in its earlier
// placements.
func (t *Table) RecordCacheGap(now time.Time, id string) {
	if s := t.servers[id]; s != nil {
		s.gapAt = now
	}
}

// confidence returns the weight of the server's last load report, from 0 to 1.
func (t *Table) confidence(now time.Time, s *server) float64 {
	if !s.hasLoad {
		return 0
	}
	return decay.Weight(now.Sub(s.loadAt), t.cfg.LoadHalfLife)
}

// meanBusy returns the mean number of requests at the group's servers according to their reports.
func (g *group) meanBusy() float64 {
	if g.reported == 0 {
		return 0
	}
	return g.busy / float64(g.reported)
}
