package process

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/guavastack/guavastack/internal/admin"
	"github.com/guavastack/guavastack/internal/callerconn"
	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/billing"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/claim"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/poison"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/internal/operate"
	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/internal/replica"
	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/peerpb"
)

// State is the replicated state machine with its modules.
type State struct {
	Machine  *state.Machine
	Settings *settings.Module
	Claims   *claim.Module
	Duty     *duty.Module
	Billing  *billing.Module
	Catalog  *catalog.Module
	Poison   *poison.Module
	Drains   *zonedrain.Module
}

// NewState returns an empty state machine.
func NewState() (*State, error) {
	s := &State{
		Settings: settings.NewModule(),
		Claims:   claim.NewModule(claim.DefaultBounds()),
		Duty:     duty.NewModule(),
		Billing:  billing.NewModule(),
		Catalog:  catalog.NewModule(),
		Poison:   poison.NewModule(),
		Drains:   zonedrain.NewModule(),
	}
	var err error
	s.Machine, err = state.New(s.Settings, s.Claims, s.Duty, s.Billing, s.Catalog, s.Poison, s.Drains)
	return s, err
}

// NewReplica opens the replica stored in the member's data directory.
func NewReplica(base *Base, s *State) (*replica.Replica, error) {
	r, err := replica.Open(replicaConfig(base), s.Machine)
	return r, errors.Annotate(err, "control.data")
}

func replicaConfig(base *Base) replica.Config {
	c := base.Config.Control
	return replica.Config{
		GroupID: c.Group,
		ID:      c.Member,
		Members: replicaMembers(c.Peers),
		Join:    c.Join,
		Address: c.Listen,
		DataDir: c.DataDir,
		Logger:  base.Logger,
		Dial:    base.Network.Dial,

		HeartbeatInterval: time.Duration(c.Heartbeat),
		LeaseDuration:     time.Duration(c.Lease),
		ElectionTimeout:   time.Duration(c.ElectionTimeout),

		MinFreeBytes: uint64(c.MinFreeMB) << 20,
		CompactBytes: int64(c.CompactMB) << 20,
	}
}

func replicaMembers(peers []config.Peer) []replica.Member {
	out := make([]replica.Member, len(peers))
	for i, p := range peers {
		out[i] = replica.Member{ID: p.ID, Address: p.Address}
	}
	return out
}

// Control is the control role.
type Control struct {
	base       *Base
	state      *State
	replica    *replica.Replica
	service    *control.Service
	operator   *operate.Operator  // nil if control.platform is not set
	admin      *admin.Server      // nil if control.admin.listen is empty
	membership *membershipManager // nil if the settings list the members
	monitor    *groupMonitor
	listener   net.Listener
	adminLis   net.Listener
	// operatorLis accepts requests to the handler of the platform adapter; nil if control.operators is empty.
	operatorLis net.Listener
}

// NewControl returns the control role with its listeners open.
func NewControl(base *Base, s *State, r *replica.Replica) (*Control, error) {
	c := base.Config.Control
	base.Memory.RegisterGauges()
	ctl := &Control{base: base, state: s, replica: r}
	if err := checkBootstrap(c.Bootstrap); err != nil {
		return nil, errors.Annotate(err, "control.bootstrap")
	}
	group := controlGroup{Replica: r, self: replica.Member{ID: c.Member, Address: c.Listen}}
	cfg := control.Config{
		Group:       group,
		Settings:    s.Settings,
		Catalog:     s.Catalog,
		Poison:      s.Poison,
		ZoneDrains:  s.Drains,
		Zones:       base.Config.Zones,
		Peers:       func() []string { return otherPeers(c) },
		Dial:        base.Network.Dial,
		Incarnation: base.Incarnation,
		Logger:      base.Logger,
		Metrics:     base.Metrics,
		GroupID:     c.Group,
		Epoch:       func() uint64 { return r.Status().Epoch },
	}
	ctl.monitor = newGroupMonitor(base, r)
	cfg.PeerHeard = ctl.monitor.peerHeard
	if c.Discover {
		ctl.membership = newMembershipManager(base, r)
		cfg.Peers, cfg.Members, cfg.JoinHandler = ctl.membership.peerAddresses, ctl.membership.memberAddresses, ctl.membership
		cfg.MembersNamed, cfg.Identity = ctl.membership.membersNamed, ctl.membership.identity
		cfg.PeerHeard = func(c control.Contact) {
			ctl.membership.peerHeard(c)
			ctl.monitor.peerHeard(c)
		}
		ctl.monitor.announcements = ctl.membership.announcements
	}
	if c.Platform != nil {
		operator, err := newOperator(base, s, r, fleetView{
			backends:     func() []*controlpb.BackendServer { return ctl.service.Backends() },
			priceCeiling: func(zone string) (float64, bool) { return ctl.service.Tree().PriceCeiling(zone) },
			wallClock:    func() time.Time { return ctl.service.Wall() },
		})
		if err != nil {
			return nil, errors.Annotate(err, "control.platform")
		}
		ctl.operator = operator
		cfg.Usage = usageSink{operator.Usage()}
		cfg.OpenWindow = operator.Usage().OpenWindow
	}
	cfg.Fencing = func(string) uint64 {
		var n uint64
		r.View(func() { n, _ = s.Duty.FencingToken() })
		return n
	}
	ctl.service = control.New(cfg)
	if ctl.membership != nil {
		ctl.membership.introduction = ctl.service.Introduction
	}
	ctl.registerMetrics()
	if c.Admin.Listen != "" {
		if err := ctl.buildAdmin(); err != nil {
			return nil, err
		}
	}
	var err error
	if ctl.listener, err = base.Network.Listen(c.Listen); err != nil {
		return nil, errors.Annotate(err, "control.listen")
	}
	if c.OperatorListen != "" {
		ctl.operatorLis, err = net.Listen("tcp", c.OperatorListen)
	}
	return ctl, errors.Annotate(err, "control.operators")
}

// registerMetrics registers the gauges of replication and of the registry.
func (c *Control) registerMetrics() {
	if c.base.Metrics == nil {
		return
	}
	registerReplicationMetrics(c.base.Metrics, func() raft.Status { return c.replica.Status().Status })
	c.monitor.registerMetrics(c.base.Metrics)
	c.base.Metrics.GaugeFunc(metricBackends, func() int64 { return int64(len(c.service.Backends())) })
	c.base.Metrics.GaugeFunc(metricZoneDrains, func() int64 { return int64(len(c.service.ZoneDrains().Drains)) })
	c.base.Metrics.GaugeFunc(metricWatchers, func() int64 { return int64(len(c.service.Processes())) })
}

// buildAdmin creates the server of the operators' API and opens its listener.
func (c *Control) buildAdmin() error {
	adminCfg := c.base.Config.Control.Admin
	mux := http.NewServeMux()
	telemetry.Mount(mux, c.base.Metrics, c.Status)
	cfg := admin.Config{
		Control:    c.service,
		Tokens:     adminTokens(adminCfg.Tokens),
		Replica:    func() any { return c.replica.Status() },
		Group:      c.monitor.status,
		Membership: c.replica,
		Backup:     c.backup,
		Mounts:     map[string]http.Handler{"/metrics": mux, "/healthz": mux, "/readyz": mux, "/debug/pprof/": mux},
		Logger:     c.base.Logger,
		Memory:     c.base.Memory,
		Protect: func(srv *http.Server, lis net.Listener) net.Listener {
			limits := connLimits(c.base, "admin")
			limits.Encrypted = adminCfg.TLS != nil
			return callerconn.Protect(srv, lis, limits)
		},
	}
	if c.operator != nil {
		cfg.Operations = c.operator
	}
	cert, err := listenerTLS(adminCfg.TLS)
	if err != nil {
		return errors.Annotate(err, "control.admin.tls")
	}
	if cert != nil {
		cfg.TLS = func(lis net.Listener) net.Listener { return tls.NewListener(lis, cert.ServerConfig()) }
	}
	if c.admin, err = admin.New(cfg); err != nil {
		return errors.Annotate(err, "control.admin")
	}
	c.adminLis, err = net.Listen("tcp", adminCfg.Listen)
	return errors.Annotate(err, "control.admin.listen")
}

// backupTimeout bounds the time to write a backup.
const backupTimeout = time.Minute

// backup returns a snapshot of the member's state in the format that replica.Restore reads.
func (c *Control) backup() ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), backupTimeout)
	defer cancel()
	dir, err := os.MkdirTemp(c.base.Config.Control.DataDir, "backup-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	file := filepath.Join(dir, "backup")
	if err := c.replica.Backup(ctx, file); err != nil {
		return nil, err
	}
	data, err := os.ReadFile(file)
	return data, errors.Trace(err)
}

// Restore creates the data directory of the member in cfg from a backup file. The settings start a new epoch, so that their
// versions are higher than any that the old group may have issued after the backup.
func Restore(cfg *config.Config, file string) error {
	c := cfg.Control
	return replica.Restore(replica.Config{
		GroupID: c.Group, ID: c.Member, Members: replicaMembers(c.Peers), DataDir: c.DataDir,
	}, file, rebase)
}

// rebase returns the snapshot of the state machine with its settings moved to epoch.
func rebase(snapshot []byte, epoch uint64) ([]byte, error) {
	return state.RewriteModule(snapshot, settings.ModuleName, func(part json.RawMessage) (json.RawMessage, error) {
		return settings.Rebase(part, epoch)
	})
}

func adminTokens(tokens []config.Token) []admin.Token {
	out := make([]admin.Token, len(tokens))
	for i, t := range tokens {
		out[i] = admin.Token{Name: t.Name, SHA256: t.SHA256, Role: admin.Role(t.Role), Organisation: t.Organisation}
	}
	return out
}

func otherPeers(c *config.Control) []string {
	var out []string
	for _, p := range c.Peers {
		if p.ID != c.Member {
			out = append(out, p.Address)
		}
	}
	return out
}

// fleetView gives the operator of the platform read access to the control service's view of the fleet.
type fleetView struct {
	backends     func() []*controlpb.BackendServer
	priceCeiling func(zone string) (float64, bool)
	wallClock    func() time.Time
}

// clockRecordInterval is the time between commits of usage counters with clock_windows, whose windows are short.
const clockRecordInterval = 500 * time.Millisecond

// platformClient returns a client of the platform that uses the deployment's adapter if the settings say so, otherwise
// the product's own protocol.
func platformClient(base *Base) (platformclient.Platform, error) {
	c := base.Config.Control.Platform
	if c.UseAdapter {
		return base.Adapter.Platform(c.URL), nil
	}
	return platformclient.NewClient(platformclient.Config{URL: c.URL})
}

func newOperator(base *Base, s *State, r *replica.Replica, view fleetView) (*operate.Operator, error) {
	c := base.Config.Control.Platform
	client, err := platformClient(base)
	if err != nil {
		return nil, err
	}
	timing := duty.DefaultTiming()
	timing.HolderSpacing = time.Duration(c.HolderSpacing)
	cfg := operate.Config{
		Timing:       timing,
		ClockWindows: c.ClockWindows,
		WindowGrace:  time.Duration(c.WindowGrace),
	}
	if c.ClockWindows {
		cfg.RecordInterval = clockRecordInterval
	}
	cfg.ID = base.Config.ID
	cfg.Group = operateGroup{r}
	cfg.Platform = client
	cfg.Agents = operate.AgentClient{}
	cfg.Duty = s.Duty
	cfg.Billing = s.Billing
	cfg.Registry = view.backends
	cfg.Metrics = base.Metrics
	cfg.ZoneCeiling = view.priceCeiling
	cfg.Wall = view.wallClock
	cfg.WindowLength = time.Duration(c.WindowLength)
	cfg.Logger = base.Logger
	return operate.New(cfg)
}

// Addr returns the address for RPCs of other processes and members.
func (c *Control) Addr() net.Addr { return c.listener.Addr() }

// AdminAddr returns the address of the operators' API.
func (c *Control) AdminAddr() net.Addr { return c.adminLis.Addr() }

// Reload implements Reloader. It applies changes of control_members.
func (c *Control) Reload(cfg *config.Config) {
	if c.membership != nil {
		c.membership.setSeeds(cfg.ControlMembers)
	}
}

// Status implements Role.
func (c *Control) Status() (ready bool, reason string) {
	if _, ok := c.replica.Leader(); !ok {
		return false, "no leader of the control group is known"
	}
	return true, ""
}

// transferTimeout bounds the transfer of leadership when this member shuts down.
const transferTimeout = 3 * time.Second

// Run implements Role. At shutdown it first transfers leadership to another member and leaves a group that can spare it.
func (c *Control) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var running errgroup.Group
	start := func(f func(context.Context) error) {
		running.Go(func() error {
			defer stop()
			return ignoreCancelled(f(serveCtx))
		})
	}
	start(c.replica.Run)
	start(c.service.Run)
	start(c.serveRPC)
	start(c.monitor.run)
	if c.base.Config.Control.Bootstrap != "" {
		running.Go(func() error {
			c.bootstrap(serveCtx)
			return nil
		})
	}
	if c.operator != nil {
		start(c.operator.Run)
	}
	if c.membership != nil {
		start(c.membership.run)
	}
	if c.operatorLis != nil {
		start(c.serveOperators)
	}
	if c.admin != nil {
		start(func(ctx context.Context) error { return c.admin.Serve(ctx, c.adminLis) })
	}
	select {
	case <-ctx.Done():
		c.transferLeadership()
		if c.membership != nil {
			c.membership.leave(serveCtx)
		}
	case <-serveCtx.Done():
	}
	stop()
	err := running.Wait()
	return firstError(err, c.replica.Close())
}

// serveRPC serves RPCs of entries, gateways, relays, agents and the other members.
func (c *Control) serveRPC(ctx context.Context) error {
	mux := drpcmux.New()
	if err := c.service.RegisterWith(mux); err != nil {
		return errors.Trace(err)
	}
	if err := peerpb.DRPCRegisterPeer(mux, c.replica.PeerServer()); err != nil {
		return errors.Trace(err)
	}
	return drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: rpcpool.Options()}).Serve(ctx, c.listener)
}

const (
	// operatorHeaderTimeout bounds the time to read the headers of an operator's request, and operatorReadTimeout that to read
	// all of it.
	operatorHeaderTimeout = 3 * time.Second
	operatorReadTimeout   = 30 * time.Second
	// operatorWriteTimeout bounds the time from the end of the headers until the answer is written.
	operatorWriteTimeout = 60 * time.Second
	// maxOperatorHeaderBytes bounds the headers of requests of operators and backend servers.
	maxOperatorHeaderBytes = 64 << 10
)

// serveOperators serves requests of operators and backend servers with the handler of the platform adapter.
func (c *Control) serveOperators(ctx context.Context) error {
	srv := &http.Server{
		Handler:           c.base.Memory.Handler(c.base.Adapter.ControlHandler(c.service, c.base.Logger)),
		ReadHeaderTimeout: operatorHeaderTimeout,
		ReadTimeout:       operatorReadTimeout,
		WriteTimeout:      operatorWriteTimeout,
		MaxHeaderBytes:    maxOperatorHeaderBytes,
	}
	lis := callerconn.Protect(srv, c.operatorLis, connLimits(c.base, "operators"))
	return errors.Annotate(serveUntil(ctx, srv, lis), "control.operators")
}

// transferLeadership transfers leadership if this member leads a group of several.
func (c *Control) transferLeadership() {
	if _, leads := c.replica.Lease(); !leads || len(c.replica.Status().Members()) == 1 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := c.replica.TransferLeadership(ctx); err != nil {
		c.base.Logger.Warn("transferring leadership at shutdown failed", "error", err.Error())
	}
}
