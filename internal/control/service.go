package control

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/poison"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Intervals, timeouts and limits of the service.
const (
	DefaultFreshnessLimit  = 5 * time.Second
	DefaultRegistryTTL     = 4 * time.Second
	heartbeatInterval      = time.Second             // between updates to a watcher that is up to date
	clientTimeout          = 10 * time.Second        // timeout for the next message of a watcher or agent
	confirmTimeout         = 2 * time.Second         // of one quorum round
	confirmSpacing         = 20 * time.Millisecond   // between quorum rounds, so that queries share a round
	exchangeInterval       = 500 * time.Millisecond  // between digests to another member
	peerPollInterval       = 500 * time.Millisecond  // between updates of the list of peers
	versionBatchDelay      = 30 * time.Millisecond   // delay of a digest, so that the versions of several processes share it
	renewalInterval        = time.Second             // between renewals of a backend server in the digests to another member
	exchangeTimeout        = 1500 * time.Millisecond // of one digest
	housekeepingInterval   = 500 * time.Millisecond
	processStaleFactor     = 2 // in freshness limits: how long a process that stopped reporting still counts as behind
	inForcePollInterval    = 10 * time.Millisecond
	maxDemandOrganisations = 10_000 // per watcher
)

// UsageSink processes the cumulative counters of entries and gateways. It is called on the leader only.
type UsageSink interface {
	ReportUsage(ctx context.Context, report *controlpb.UsageReport) (*controlpb.UsageAck, error)
}

// Config is the configuration of a Service.
type Config struct {
	Group       Group
	Settings    *settings.Module  // part of the Group's state machine; read within Group.View only
	Catalog     *catalog.Module   // like Settings; nil: none
	Poison      *poison.Module    // like Settings; nil: none
	ZoneDrains  *zonedrain.Module // like Settings; nil: none
	Zones       []string          // known availability zones; empty: not known
	Peers       func() []string   // addresses of the other control members' services; nil: none
	Members     func() []string   // addresses of all control members, sent to watchers; nil: not sent
	JoinHandler JoinHandler       // nil: announcements are rejected, operators add members
	PeerHeard   func(Contact)     // called for each digest of another control member; nil: not called
	// MembersNamed is called for each list of the members of a control group that a watcher sends. An error ends the watch. nil: not
	// called.
	MembersNamed func(group uint64, addresses []string) error
	GroupID      uint64                     // number of the control group; 0: not checked
	Epoch        func() uint64              // of the control group, 0 while it is not known; nil: not checked
	Identity     func() *controlpb.Identity // of this member; nil: Identify is rejected

	Usage      UsageSink                              // nil: usage reports are rejected
	OpenWindow func() uint64                          // open billing window; nil: 0
	Fencing    func(backend string) uint64            // fencing token of a backend server; nil: 0
	Dial       rpcpool.DialFunc                       // nil: TCP without TLS
	AddressOf  func(Member) string                    // address of a member's service; nil: Member.Address
	Report     func(backend *controlpb.BackendServer) // called for each report to this member; nil: none

	Incarnation    string
	FreshnessLimit time.Duration
	RegistryTTL    time.Duration
	Logger         *slog.Logger
	Metrics        *telemetry.Registry // nil: none
}

func (c Config) withDefaults() Config {
	if c.FreshnessLimit <= 0 {
		c.FreshnessLimit = DefaultFreshnessLimit
	}
	if c.RegistryTTL <= 0 {
		c.RegistryTTL = DefaultRegistryTTL
	}
	if c.OpenWindow == nil {
		c.OpenWindow = func() uint64 { return 0 }
	}
	if c.Fencing == nil {
		c.Fencing = func(string) uint64 { return 0 }
	}
	if c.AddressOf == nil {
		c.AddressOf = func(m Member) string { return m.Address }
	}
	if c.Peers == nil {
		c.Peers = func() []string { return nil }
	}
	if c.PeerHeard == nil {
		c.PeerHeard = func(Contact) {}
	}
	if c.Epoch == nil {
		c.Epoch = func() uint64 { return 0 }
	}
	if c.MembersNamed == nil {
		c.MembersNamed = func(uint64, []string) error { return nil }
	}
	if c.Members == nil {
		c.Members = func() []string { return nil }
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

// Service is the RPC service of one control member. It implements controlpb.DRPCControlServer.
type Service struct {
	cfg       Config
	pool      *rpcpool.Pool
	hub       *hub
	confirmer *confirmer
	soft      *softState
	lanes     *lanePlans
	clocks    *clocks
}

// New returns a service. It needs Run for its background work.
func New(cfg Config) *Service {
	cfg = cfg.withDefaults()
	h := newHub(cfg)
	return &Service{
		cfg:       cfg,
		pool:      rpcpool.New(cfg.Dial),
		hub:       h,
		confirmer: newConfirmer(cfg.Group, h),
		soft:      newSoftState(cfg, time.Now()),
		lanes:     newLanePlans(cfg.Logger),
		clocks:    newClocks(),
	}
}

// Run runs the background loops of the service until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	defer s.pool.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loops := []func(context.Context){s.hub.run, s.confirmer.run, s.housekeep, s.expireClaims, s.decideOnPromptParts, s.exchangeWithPeers}
	done := make(chan struct{})
	for _, loop := range loops {
		go func() {
			loop(ctx)
			done <- struct{}{}
		}()
	}
	for range loops {
		<-done
	}
	return ctx.Err()
}

// RegisterWith registers the service with a mux, for a listener that is shared with other services.
func (s *Service) RegisterWith(mux *drpcmux.Mux) error {
	return controlpb.DRPCRegisterControl(mux, s)
}

// Serve serves calls on lis until ctx ends.
func (s *Service) Serve(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := s.RegisterWith(mux); err != nil {
		return errors.Trace(err)
	}
	return drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: rpcpool.Options()}).Serve(ctx, lis)
}

// housekeep expires soft state and recomputes the lane plans at intervals.
func (s *Service) housekeep(ctx context.Context) {
	tick := time.NewTicker(housekeepingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.soft.expire(now)
			s.recomputeLanePlans()
		}
	}
}

// leaderFor returns the leader, which must handle a call. It fails if no leader is known, or if the call was forwarded
// already and another member leads.
func (s *Service) leaderFor(forwarded bool) (Member, error) {
	leader, ok := s.cfg.Group.Leader()
	switch {
	case !ok:
		return Member{}, &NotLeaderError{}
	case leader.ID == s.cfg.Group.Self().ID:
		return s.cfg.Group.Self(), nil
	case forwarded:
		return Member{}, &NotLeaderError{Leader: leader}
	default:
		return leader, nil
	}
}

// ReportUsage processes cumulative usage counters. If another member leads, the report is forwarded to it once.
func (s *Service) ReportUsage(ctx context.Context, report *controlpb.UsageReport) (*controlpb.UsageAck, error) {
	if s.cfg.Usage == nil {
		return nil, errors.NotSupportedf("usage reports")
	}
	leader, err := s.leaderFor(report.Forwarded)
	if err != nil {
		return nil, err
	}
	if leader == s.cfg.Group.Self() {
		return s.cfg.Usage.ReportUsage(ctx, report)
	}
	report.Forwarded = true
	var ack *controlpb.UsageAck
	err = s.pool.Do(ctx, s.cfg.AddressOf(leader), func(rpc controlpb.DRPCControlClient) error {
		var err error
		ack, err = rpc.ReportUsage(ctx, report)
		return err
	})
	return ack, err
}
