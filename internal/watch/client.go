// Package watch implements the client of the control group for entries, gateways, relays and agents. A Client follows the
// settings, keys, catalog, registry of backend servers and shares of limits, and tracks how fresh they are. A Registrar keeps a
// backend server registered.
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
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/poison"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/wallclock"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
)

// Defaults of Config.
const (
	DefaultFreshnessLimit = 5 * time.Second
	DefaultQueryInterval  = time.Second
	DefaultMemberTimeout  = 1500 * time.Millisecond
	DefaultAttemptTimeout = 1500 * time.Millisecond
	// DefaultFirstConfirmationTimeout is short because the process serves no requests before the first confirmation.
	DefaultFirstConfirmationTimeout = time.Second
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxControlMembers is the maximum number of known addresses of control members.
	maxControlMembers = 16
)

// Config is the configuration of a Client or Registrar.
type Config struct {
	ProcessID   string
	Incarnation string
	Role        string // for example "entry"
	Zone        string
	Control     []string // addresses of control members; a Client receives the addresses of further members from them

	// ParseCatalog parses the document of a catalog; nil: the client ignores catalogs.
	ParseCatalog func(document []byte) (*catalog.Catalog, error)

	FreshnessLimit           time.Duration // how long a confirmed view may be used, from the time of its query
	QueryInterval            time.Duration // between freshness queries
	MemberTimeout            time.Duration // maximum time without a message or a confirmation before switching to another member
	AttemptTimeout           time.Duration // of one call to one member
	FirstConfirmationTimeout time.Duration // like MemberTimeout for confirmations, until the first one

	Dial   rpcpool.DialFunc // nil: TCP without TLS
	Logger *slog.Logger     // nil: no logging
}

func (c Config) withDefaults() Config {
	setDefault(&c.FreshnessLimit, DefaultFreshnessLimit)
	setDefault(&c.QueryInterval, DefaultQueryInterval)
	setDefault(&c.MemberTimeout, DefaultMemberTimeout)
	setDefault(&c.AttemptTimeout, DefaultAttemptTimeout)
	setDefault(&c.FirstConfirmationTimeout, DefaultFirstConfirmationTimeout)
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

// firstMember returns the position of the first control member to try, which distributes the processes over the members.
func (c Config) firstMember() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.ProcessID))
	return int(h.Sum32() >> 1)
}

// Client watches one control member at a time. Methods other than Run may be called at any time from any goroutine.
type Client struct {
	cfg  Config
	pool *rpcpool.Pool

	tree          atomic.Pointer[settings.Tree]
	catalog       atomic.Pointer[catalog.Index] // nil: no catalog yet
	member        atomic.Pointer[string]        // address of the member of the current session, once it has confirmed; "": none
	control       atomic.Pointer[[]string]      // addresses of the control members; once set, never empty
	group         atomic.Pointer[controlGroup]  // as last received from a control member
	freshUntil    atomic.Pointer[time.Time]
	openWindow    atomic.Uint64
	shares        atomic.Pointer[confirmedShares]
	backends      atomic.Pointer[[]*controlpb.BackendServer]
	demand        atomic.Pointer[func() []*controlpb.Demand]
	laneWork      atomic.Pointer[func() []route.ServiceWork]
	paces         paceSource
	lanePlans     atomic.Pointer[route.LanePlans]
	promptParts   atomic.Pointer[poison.List]
	drains        atomic.Pointer[receivedDrains]
	turns         atomic.Pointer[limit.TurnKeeper]
	wallOffset    atomic.Int64  // how far the agreed wall clock is ahead of the local one, in nanoseconds
	confirmations atomic.Uint64 // number of confirmed queries
	leader        atomic.Int64  // position of the control member that accepted the last proposal

	// applyMu is held while an update is applied, and guards freshness and wall. freshness outlives sessions: queries are numbered
	// across all sessions, so that no confirmation is taken for that of another query.
	applyMu   sync.Mutex
	freshness *member.FreshnessTracker
	wall      wallclock.OffsetEstimator

	mu            sync.Mutex
	changed       chan struct{}
	onChange      []func()
	onPromptParts func() // nil: none
}

// New returns a client without data. It needs Run to connect.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{
		cfg: cfg, pool: rpcpool.New(cfg.Dial), freshness: member.NewFreshnessTracker(cfg.FreshnessLimit), changed: make(chan struct{}),
	}
	c.tree.Store(settings.NewTree())
	c.freshUntil.Store(&time.Time{})
	c.shares.Store(&confirmedShares{})
	c.backends.Store(&[]*controlpb.BackendServer{})
	c.leader.Store(int64(cfg.firstMember()))
	c.control.Store(&cfg.Control)
	c.member.Store(new(string))
	c.group.Store(&controlGroup{})
	c.lanePlans.Store(&route.LanePlans{})
	c.promptParts.Store(&poison.List{})
	c.drains.Store(&receivedDrains{list: &zonedrain.List{}})
	turns := limit.NewTurnKeeper(uint64(cfg.firstMember()))
	c.turns.Store(&turns)
	return c
}

// controlMembers returns the known addresses of control members.
func (c *Client) controlMembers() []string { return *c.control.Load() }

// Member returns the address of the watched control member if it has confirmed a query, otherwise "".
func (c *Client) Member() string { return *c.member.Load() }

// AddControlMembers adds addresses of control members, for example after a change of the settings file.
func (c *Client) AddControlMembers(addresses []string) { c.mergeMembers(addresses, c.controlMembers()) }

// mergeMembers stores the newest list of members, followed by those in before, up to maxControlMembers.
func (c *Client) mergeMembers(newest, before []string) {
	list := slices.Clone(newest)
	for _, address := range before {
		if !slices.Contains(list, address) && len(list) < maxControlMembers {
			list = append(list, address)
		}
	}
	c.control.Store(&list)
}

// Catalog returns the newest received catalog, or nil if there is none. It is immutable.
func (c *Client) Catalog() *catalog.Index { return c.catalog.Load() }

// Tree returns the newest received settings. The tree is immutable.
func (c *Client) Tree() *settings.Tree { return c.tree.Load() }

// Ready reports whether the settings have been confirmed at least once.
func (c *Client) Ready() bool { return !c.freshUntil.Load().IsZero() }

// Fresh reports whether the settings may be used at now: a quorum has confirmed them for a query that was sent within the
// freshness limit before now.
func (c *Client) Fresh(now time.Time) bool { return now.Before(*c.freshUntil.Load()) }

// FreshFor returns how much longer the settings may be used. It is negative if they are stale.
func (c *Client) FreshFor(now time.Time) time.Duration { return c.freshUntil.Load().Sub(now) }

// Unconfirmed returns how long ago the query was sent that was confirmed last. A change committed since then may be missing.
func (c *Client) Unconfirmed(now time.Time) time.Duration {
	return now.Sub(c.freshUntil.Load().Add(-c.cfg.FreshnessLimit))
}

// Backends returns the registered backend servers, sorted by id. They must not be modified.
func (c *Client) Backends() []*controlpb.BackendServer { return *c.backends.Load() }

// OpenWindow returns the number of the open billing window, or 0 while it is unknown.
func (c *Client) OpenWindow() uint64 { return c.openWindow.Load() }

// confirmationLimit returns the maximum time without a confirmation before switching to another member.
func (c *Client) confirmationLimit() time.Duration {
	if !c.Ready() {
		return c.cfg.FirstConfirmationTimeout
	}
	return min(c.cfg.FreshnessLimit/2, c.cfg.MemberTimeout)
}

// confirmedShares are the shares of limits of this process, with the time of the query that confirmed them.
type confirmedShares struct {
	byOrganisation map[string]limit.Share
	at             time.Time
}

// Share returns the part of an organisation's limits that this process may grant: limit.Whole before the first shares arrive, and
// only the floor of the share once it has not been confirmed for limit.ShareLifetime.
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

// SetDemand sets the function that returns the demand of the last interval.
func (c *Client) SetDemand(f func() []*controlpb.Demand) { c.demand.Store(&f) }

// SetLaneWork sets the function that returns the recent work of the services, from which their lanes are planned.
func (c *Client) SetLaneWork(f func() []route.ServiceWork) { c.laneWork.Store(&f) }

// LanePlan returns the plan by which the servers of a service are split into lanes, on which the control group decides for all
// processes. It is nil if they are not split. LanePlan returns false if the plan is unknown.
func (c *Client) LanePlan(service string) (*route.LanePlan, bool) {
	plan, ok := (*c.lanePlans.Load())[service]
	return plan, ok
}

// PromptParts returns the newest received list of suspected and blocked parts of prompts.
func (c *Client) PromptParts() *poison.List { return c.promptParts.Load() }

// Turns returns the turns by which the processes of this one's role share a rate. Until the control group states their number,
// limit.AssumedProcesses are assumed. For a time after that, and while the control group doesn't confirm them, it uses fewer turns.
func (c *Client) Turns() limit.Turns { return c.turns.Load().At(clock.Now()) }

// Wall returns the wall clock time that the control group agrees on, or the local one while that is unknown.
func (c *Client) Wall() time.Time { return clock.Wall().Add(time.Duration(c.wallOffset.Load())) }

// OnPromptParts sets f to be called after each change of the list of prompt parts. f must not block.
func (c *Client) OnPromptParts(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onPromptParts = f
}

// notifyPromptParts calls the function set by OnPromptParts.
func (c *Client) notifyPromptParts() {
	c.mu.Lock()
	f := c.onPromptParts
	c.mu.Unlock()
	if f != nil {
		f()
	}
}

// Changed returns a channel that is closed at the next change of the settings, keys, catalog, registry or drains of zones.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// OnChange registers f to be called after each change of the settings, keys, catalog, registry or drains of zones, one call at a
// time. f must not block.
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

// Run watches the control group until ctx ends. It switches to another control member when the stream fails or the member
// sends or confirms nothing for too long.
func (c *Client) Run(ctx context.Context) error {
	defer c.pool.Close()
	if len(c.controlMembers()) == 0 {
		return errors.NotValidf("empty list of control members")
	}
	f := newFollower(c)
	defer f.running.Wait()
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if f.follow(ctx) {
			backoff = minBackoff
		}
		if !pause(ctx, backoff) {
			return ctx.Err()
		}
	}
}

// pause waits for between 0.5 and 1.5 times d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d/2+rand.N(d))
}

// storeBackends stores the known backend servers, sorted by id.
func (c *Client) storeBackends(byID map[string]*controlpb.BackendServer) {
	list := make([]*controlpb.BackendServer, 0, len(byID))
	for _, b := range byID {
		list = append(list, b)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
	c.backends.Store(&list)
}
