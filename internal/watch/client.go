// Package watch is what entries and agents know of the control group: settings, keys, the registry of backend
// servers, shares of limits, and how fresh all that is.
package watch

import (
	"context"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/agreed"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
)

// Defaults of Config.
const (
	DefaultFreshnessLimit = 5 * time.Second
	DefaultQueryInterval  = time.Second
	DefaultSilenceLimit   = 1500 * time.Millisecond
	DefaultAttemptTimeout = 1500 * time.Millisecond
	// DefaultFirstConfirmation is short: before the first confirmation nobody is served here.
	DefaultFirstConfirmation = time.Second
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// firstMembers is the number of members that are asked at once for the first confirmation: one that just came back may
	// have nothing to confirm.
	firstMembers = 3
	// maxControlMembers bounds the addresses that are kept.
	maxControlMembers = 16
)

// Config says who watches and whom.
type Config struct {
	ProcessID   string
	Incarnation string
	Role        string // such as entry
	Zone        string
	Control     []string // addresses of control members; further ones are learned from them

	// ParseCatalog reads a catalog's document; nil: the client keeps no catalog.
	ParseCatalog func(document []byte) (*catalog.Catalog, error)

	FreshnessLimit    time.Duration // how long a confirmed view may be used
	QueryInterval     time.Duration // between freshness questions
	SilenceLimit      time.Duration // a member that is silent, or confirms nothing, for longer is left
	AttemptTimeout    time.Duration // of one call to one member
	FirstConfirmation time.Duration // before anything was confirmed, a member that doesn't within it is left

	Dial   rpcpool.DialFunc // nil: TCP without TLS
	Logger *slog.Logger     // nil: none
}

func (c Config) withDefaults() Config {
	setDefault(&c.FreshnessLimit, DefaultFreshnessLimit)
	setDefault(&c.QueryInterval, DefaultQueryInterval)
	setDefault(&c.SilenceLimit, DefaultSilenceLimit)
	setDefault(&c.AttemptTimeout, DefaultAttemptTimeout)
	setDefault(&c.FirstConfirmation, DefaultFirstConfirmation)
	if c.Dial == nil {
		c.Dial = rpcpool.DialTCP
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d <= 0 {
		*d = v
	}
}

// firstMember spreads processes over the control members.
func (c Config) firstMember() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.ProcessID))
	return int(h.Sum32() >> 1)
}

// Client watches one control member at a time. All methods but Run may be called at any time from anywhere.
type Client struct {
	cfg  Config
	pool *rpcpool.Pool

	tree       atomic.Pointer[settings.Tree]
	catalog    atomic.Pointer[catalog.Index] // nil: none yet
	member     atomic.Pointer[string]        // address of the member that confirmed last; empty: none lately
	control    atomic.Pointer[[]string]      // addresses of the control members, never empty once it was
	freshUntil atomic.Pointer[time.Time]
	openWindow atomic.Uint64
	shares     atomic.Pointer[heldShares]
	backends   atomic.Pointer[[]*controlpb.BackendServer]
	demand     atomic.Pointer[func() []*controlpb.Demand]
	laneWork   atomic.Pointer[func() []*controlpb.LaneWork]
	laneShares atomic.Pointer[map[string]float64]
	wallAhead  atomic.Int64 // of the agreed time of day before the own one, nanoseconds
	leader     atomic.Int64 // index in the control members that answered the last proposal

	// taking is held while an answer comes into force. The view is in its care: it outlives sessions, so that questions are
	// numbered across them and no answer counts for another question.
	taking sync.Mutex
	view   *member.View
	wall   agreed.Follower

	mu       sync.Mutex
	changed  chan struct{}
	onChange []func()
}

// New returns a client that knows nothing until Run.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{
		cfg: cfg, pool: rpcpool.New(cfg.Dial), view: member.NewView(cfg.FreshnessLimit), changed: make(chan struct{}),
	}
	c.tree.Store(settings.NewTree())
	c.freshUntil.Store(&time.Time{})
	c.shares.Store(&heldShares{})
	c.backends.Store(&[]*controlpb.BackendServer{})
	c.leader.Store(int64(cfg.firstMember()))
	c.control.Store(&cfg.Control)
	c.member.Store(new(string))
	c.laneShares.Store(&map[string]float64{})
	return c
}

// controlMembers returns the addresses of the control members as far as they are known.
func (c *Client) controlMembers() []string { return *c.control.Load() }

// Member returns the address of a control member that reaches the group, empty where none is known.
func (c *Client) Member() string { return *c.member.Load() }

// SetSeeds adds addresses of control members, such as after a change of the settings file.
func (c *Client) SetSeeds(seeds []string) { c.learnMembers(seeds, c.controlMembers()) }

// learnMembers keeps the newest list of members, and behind it those known before.
func (c *Client) learnMembers(newest, before []string) {
	list := slices.Clone(newest)
	for _, address := range before {
		if !slices.Contains(list, address) && len(list) < maxControlMembers {
			list = append(list, address)
		}
	}
	c.control.Store(&list)
}

// Catalog returns the newest catalog that is known here, nil while there is none. It never changes.
func (c *Client) Catalog() *catalog.Index { return c.catalog.Load() }

// Tree returns the newest settings that are known here. The tree never changes.
func (c *Client) Tree() *settings.Tree { return c.tree.Load() }

// Ready reports whether the settings were confirmed at least once.
func (c *Client) Ready() bool { return !c.freshUntil.Load().IsZero() }

// Fresh reports whether the settings may be acted on at now: a quorum confirmed them within the freshness limit,
// counted from when the question was sent.
func (c *Client) Fresh(now time.Time) bool { return now.Before(*c.freshUntil.Load()) }

// FreshFor returns how long the settings may still be acted on; below 0: no longer.
func (c *Client) FreshFor(now time.Time) time.Duration { return c.freshUntil.Load().Sub(now) }

// Backends returns the registered backend servers, sorted by id. Nobody may change them.
func (c *Client) Backends() []*controlpb.BackendServer { return *c.backends.Load() }

// OpenWindow returns the number of the open billing window, 0 while it isn't known.
func (c *Client) OpenWindow() uint64 { return c.openWindow.Load() }

// confirmationLimit returns how long a member may confirm nothing before it is left.
func (c *Client) confirmationLimit() time.Duration {
	if !c.Ready() {
		return c.cfg.FirstConfirmation
	}
	return min(c.cfg.FreshnessLimit/2, c.cfg.SilenceLimit)
}

// heldShares are this process's shares of limits, as of a time.
type heldShares struct {
	byOrganisation map[string]limit.Share
	at             time.Time
}

// Share returns the part of an organisation's limits that this process may grant. Before any share is known it is the
// whole; a share that wasn't confirmed for limit.ShareLifetime shrinks to its floor.
func (c *Client) Share(organisation string) limit.Share {
	held := c.shares.Load()
	share, ok := held.byOrganisation[organisation]
	if !ok {
		share, ok = held.byOrganisation[""]
	}
	if !ok {
		return limit.Whole
	}
	if time.Since(held.at) > limit.ShareLifetime {
		share.From, share.To = share.FloorFrom, share.FloorTo
	}
	return share
}

// SetDemand gives the function that reads the demand of the last interval.
func (c *Client) SetDemand(f func() []*controlpb.Demand) { c.demand.Store(&f) }

// SetLaneWork gives the function that reads the recent work for the lanes of services.
func (c *Client) SetLaneWork(f func() []*controlpb.LaneWork) { c.laneWork.Store(&f) }

// LaneShare returns the share of a service's servers that makes its tight lane, as the control group decided it for all
// processes; false where it isn't known.
func (c *Client) LaneShare(service string) (float64, bool) {
	share, ok := (*c.laneShares.Load())[service]
	return share, ok
}

// Wall returns the time of day that the control group agrees on, the own one before it is known.
func (c *Client) Wall() time.Time { return clock.Wall().Add(time.Duration(c.wallAhead.Load())) }

// Changed returns a channel that is closed at the next change of settings, keys or registry.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// OnChange calls f after each change of settings, keys or registry, one call at a time. f must not block.
func (c *Client) OnChange(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = append(c.onChange, f)
}

func (c *Client) notify() {
	c.mu.Lock()
	close(c.changed)
	c.changed = make(chan struct{})
	callbacks := c.onChange[:len(c.onChange):len(c.onChange)]
	c.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// Run watches until ctx ends. It moves to the next control member when one goes away, falls silent or can't confirm.
func (c *Client) Run(ctx context.Context) error {
	defer c.pool.Close()
	if len(c.controlMembers()) == 0 {
		return errors.NotValidf("empty list of control members")
	}
	backoff := minBackoff
	left := ""
	for i := c.cfg.firstMember(); ; i++ {
		width := 1
		if !c.Ready() {
			width = firstMembers
		}
		if members := c.controlMembers(); width == 1 && members[i%len(members)] == left {
			i++ // another one, where there is one
		}
		var confirmed bool
		left, confirmed = c.watch(ctx, i, width)
		if confirmed {
			backoff = minBackoff
		}
		i += width - 1
		if !pause(ctx, backoff) {
			return ctx.Err()
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// watch opens sessions at width members from the given one on and keeps the first that confirms. It returns once all have
// ended: the address of the one that was kept, or of the last, and whether it confirmed.
func (c *Client) watch(ctx context.Context, first, width int) (address string, confirmed bool) {
	members := c.controlMembers()
	var sessions []*session
	for i := range min(width, len(members)) {
		sessions = append(sessions, &session{client: c, address: members[(first+i)%len(members)]})
	}
	contexts := make([]context.Context, len(sessions))
	cancels := make([]context.CancelFunc, len(sessions))
	for i := range sessions {
		contexts[i], cancels[i] = context.WithCancel(ctx)
		defer cancels[i]()
	}
	var won sync.Once
	var ended sync.WaitGroup
	for i, s := range sessions {
		s.onConfirmed = func() { won.Do(func() { cancelAllBut(cancels, i) }) }
		ended.Go(func() { c.runSession(contexts[i], s) })
	}
	ended.Wait()
	c.member.Store(new(string))
	for _, s := range sessions {
		if s.confirmed {
			return s.address, true
		}
		address = s.address
	}
	return address, false
}

func cancelAllBut(cancels []context.CancelFunc, kept int) {
	for i, cancel := range cancels {
		if i != kept {
			cancel()
		}
	}
}

// runSession runs a session and logs why it ended, unless it isn't wanted any more.
func (c *Client) runSession(ctx context.Context, s *session) {
	err := s.run(ctx)
	if ctx.Err() == nil {
		c.cfg.Logger.Info("leaving control member", "address", s.address, "error", err)
	}
}

// pause waits for d with jitter; it returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d/2+rand.N(d))
}

// storeBackends keeps the known backend servers in order.
func (c *Client) storeBackends(byID map[string]*controlpb.BackendServer) {
	list := make([]*controlpb.BackendServer, 0, len(byID))
	for _, b := range byID {
		list = append(list, b)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
	c.backends.Store(&list)
}
