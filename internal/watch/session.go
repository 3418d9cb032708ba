package watch

import (
	"context"
	"maps"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/poison"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/lanemsg"
	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"
)

// session is one watch stream with one control member.
type session struct {
	client        *Client
	address       string
	onConfirmed   func() // called at each confirmation
	onUnconfirmed func() // called if a query is not confirmed within confirmationDelay

	hasNamed      bool        // the members of the control group
	unconfirmed   *time.Timer // calls onUnconfirmed
	lastHeard     time.Time
	lastConfirmed time.Time
}

// run watches until the stream fails or the member sends or confirms nothing for too long. It closes the connection's
// transport, so that a connection that delivers nothing cannot block the client.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.unconfirmed = time.AfterFunc(confirmationDelay, s.onUnconfirmed)
	defer s.unconfirmed.Stop()
	conn, err := s.connect(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	defer func() { _ = conn.Transport().Close() }()

	queries := make(chan *controlpb.WatchRequest, 1)
	updates := make(chan *controlpb.WatchUpdate)
	failed := make(chan error, 2)
	go func() { failed <- s.exchange(ctx, controlpb.NewDRPCControlClient(conn), queries, updates) }()
	return s.loop(ctx, queries, updates, failed)
}

func (s *session) connect(ctx context.Context) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.client.confirmationLimit())
	defer cancel()
	return rpcpool.Connect(ctx, s.client.cfg.Dial, s.address)
}

// exchange opens the stream, sends queries and forwards updates to a channel. It may hang on a dead connection.
func (s *session) exchange(ctx context.Context, rpc controlpb.DRPCControlClient, queries <-chan *controlpb.WatchRequest, updates chan<- *controlpb.WatchUpdate) error {
	stream, err := rpc.Watch(ctx)
	if err != nil {
		return errors.Annotate(err, "open watch")
	}
	sent := make(chan error, 1)
	go func() { sent <- sendQueries(ctx, stream, queries) }()
	for {
		update, err := stream.Recv()
		if err != nil {
			return errors.Annotate(err, "watch")
		}
		select {
		case updates <- update:
		case err := <-sent:
			return errors.Annotate(err, "send query")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func sendQueries(ctx context.Context, stream controlpb.DRPCControl_WatchClient, queries <-chan *controlpb.WatchRequest) error {
	for {
		select {
		case q := <-queries:
			if err := stream.Send(q); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *session) loop(ctx context.Context, queries chan *controlpb.WatchRequest, updates <-chan *controlpb.WatchUpdate, failed <-chan error) error {
	cfg := s.client.cfg
	s.lastHeard, s.lastConfirmed = time.Now(), time.Now()
	queryTicker := time.NewTicker(cfg.QueryInterval)
	defer queryTicker.Stop()
	watchdog := time.NewTicker(min(cfg.MemberTimeout, s.client.confirmationLimit()) / 5)
	defer watchdog.Stop()
	s.queueQuery(queries)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case <-queryTicker.C:
			s.queueQuery(queries)
		case <-watchdog.C:
			if err := s.checkTimeouts(time.Now()); err != nil {
				return err
			}
		case u := <-updates:
			s.lastHeard = time.Now()
			tree, index, ready := s.client.Tree(), s.client.Catalog(), s.client.Ready()
			if err := s.apply(u); err != nil {
				return err
			}
			if !ready && s.client.Ready() {
				watchdog.Reset(cfg.MemberTimeout / 5)
			}
			if s.client.Tree() != tree || s.client.Catalog() != index {
				s.queueQuery(queries) // reports the version in force to the member immediately
			}
		}
	}
}

// queueQuery queues a query unless the previous one has not been sent yet. If the connection hangs, the watchdog ends the
// session.
func (s *session) queueQuery(queries chan<- *controlpb.WatchRequest) {
	select {
	case queries <- s.newQuery():
		s.unconfirmed.Reset(confirmationDelay)
	default:
	}
}

func (s *session) checkTimeouts(now time.Time) error {
	if now.Sub(s.lastHeard) >= s.client.cfg.MemberTimeout {
		return errors.Timeoutf("messages of the control member")
	}
	if now.Sub(s.lastConfirmed) >= s.client.confirmationLimit() {
		return errors.Timeoutf("confirmation by the control member")
	}
	return nil
}

func (s *session) newQuery() *controlpb.WatchRequest {
	s.client.applyMu.Lock()
	defer s.client.applyMu.Unlock()
	cfg := s.client.cfg
	have := s.client.Tree().Version()
	q := &controlpb.WatchRequest{
		ProcessId: cfg.ProcessID, Incarnation: cfg.Incarnation, Role: cfg.Role, Zone: cfg.Zone,
		HaveEpoch: have.Epoch, HaveVersion: have.Version, HaveCatalog: s.client.Catalog().Version(),
		Query: s.client.freshness.StartQuery(clock.Now()), FreshnessMs: cfg.FreshnessLimit.Milliseconds(),
	}
	drains := s.client.drains.Load().version
	q.HaveDrainsEpoch, q.HaveDrainsRevision = drains.Epoch, drains.Version
	s.nameMembers(q)
	if f := s.client.demand.Load(); f != nil {
		q.Demand = (*f)()
	}
	if f := s.client.laneWork.Load(); f != nil {
		q.Work = lanemsg.FromWork((*f)())
	}
	s.client.paces.addTo(q)
	return q
}

// apply applies one update: the settings first, then the confirmation that refers to them.
func (s *session) apply(u *controlpb.WatchUpdate) error {
	s.client.applyMu.Lock()
	defer s.client.applyMu.Unlock()
	changed, err := s.applySettings(u)
	if err != nil {
		return err
	}
	if replaced, err := s.applyCatalog(u); err != nil {
		return err
	} else if replaced {
		changed = true
	}
	if s.applyZoneDrains(u) {
		changed = true
	}
	if s.mergeBackends(u) {
		changed = true
	}
	if s.applyPromptParts(u) {
		s.client.notifyPromptParts()
	}
	s.applyMembers(u)
	if u.OpenWindow > s.client.openWindow.Load() {
		s.client.openWindow.Store(u.OpenWindow)
	}
	s.applyLanePlans(u)
	s.applyWallClock(u)
	if changed {
		s.client.notify()
	}
	if s.applyConfirmation(u) {
		s.applyLimitShares(u)
		s.applyTurns(u)
	}
	return nil
}

// applySettings applies a snapshot or changes. Versions never decrease: older ones are ignored.
func (s *session) applySettings(u *controlpb.WatchUpdate) (bool, error) {
	tree := s.client.Tree()
	if len(u.Snapshot) > 0 {
		next, err := settings.ParseTree(u.Snapshot)
		if err != nil {
			return false, errors.Annotate(err, "snapshot")
		}
		if tree.Version().Less(next.Version()) {
			tree = next
		}
	}
	for _, change := range u.Changes {
		next, err := applyChange(tree, change)
		if err != nil {
			return false, err
		}
		tree = next
	}
	if tree == s.client.Tree() {
		return false, nil
	}
	s.client.tree.Store(tree)
	return true, nil
}

// applyCatalog stores the catalog if it is newer than the current one.
func (s *session) applyCatalog(u *controlpb.WatchUpdate) (bool, error) {
	parse := s.client.cfg.ParseCatalog
	if parse == nil || len(u.Catalog) == 0 || u.CatalogVersion <= s.client.Catalog().Version() {
		return false, nil
	}
	document, err := catalog.Decompress(u.Catalog)
	if err != nil {
		return false, errors.Annotate(err, "catalog")
	}
	parsed, err := parse(document)
	if err != nil {
		return false, errors.Annotate(err, "catalog")
	}
	s.client.catalog.Store(catalog.NewIndex(parsed))
	s.client.cfg.Logger.Info("catalog in force", "version", parsed.Version, "routes", len(parsed.Routes))
	return true, nil
}

// hasCatalogOf reports whether the catalog in force is at least as new as the one that an update refers to.
func (s *session) hasCatalogOf(u *controlpb.WatchUpdate) bool {
	return s.client.cfg.ParseCatalog == nil || s.client.Catalog().Version() >= u.CatalogVersion
}

// applyChange returns the tree after change, or the same tree if it includes the change already.
func applyChange(tree *settings.Tree, change *controlpb.Change) (*settings.Tree, error) {
	delta, err := settings.ParseDelta(change.Command)
	if err != nil {
		return nil, err
	}
	have := tree.Version()
	if !have.Less(delta.Version) {
		return tree, nil
	}
	if have.Epoch != delta.Version.Epoch || have.Version+1 != delta.Version.Version {
		return nil, errors.NotValidf("gap between versions %s and %s", have, delta.Version)
	}
	next, problems := tree.Apply(delta)
	return next, problems.Err()
}

// applyConfirmation records a confirmation, which counts only if it refers to the version in force.
func (s *session) applyConfirmation(u *controlpb.WatchUpdate) bool {
	version := settings.Version{Epoch: u.Epoch, Version: u.Version}
	if u.ConfirmedQuery == 0 || s.client.Tree().Version() != version || !s.hasCatalogOf(u) {
		return false
	}
	until := s.client.freshness.Confirm(u.ConfirmedQuery)
	s.client.freshUntil.Store(&until)
	s.lastConfirmed = time.Now()
	s.client.confirmations.Add(1)
	s.unconfirmed.Stop()
	s.onConfirmed()
	s.client.member.Store(&s.address)
	return true
}

// mergeBackends merges the update into the list of backend servers. Servers that are missing from the update
// are removed only if it is complete: a member that has just restarted may lack servers, and later updates hold only changes.
func (s *session) mergeBackends(u *controlpb.WatchUpdate) bool {
	if len(u.Backends) == 0 && !u.BackendsComplete {
		return false
	}
	before := make(map[string]*controlpb.BackendServer)
	for _, b := range s.client.Backends() {
		before[b.Id] = b
	}
	known := make(map[string]*controlpb.BackendServer)
	if !u.BackendsComplete {
		known = maps.Clone(before)
	}
	for _, b := range u.Backends {
		if old, ok := before[b.Id]; ok && isOlder(b, old) && !isNewlyLeaving(b, old) {
			b = old
		}
		known[b.Id] = b
		if b.Lifecycle == string(member.Gone) {
			delete(known, b.Id)
		}
	}
	s.client.storeBackends(known)
	return true
}

// isNewlyLeaving reports whether b marks the incarnation in o as leaving. Such a report counts even if it is older than o, since
// it may have been sent to another member.
func isNewlyLeaving(b, o *controlpb.BackendServer) bool {
	return b.Incarnation == o.Incarnation && b.Lifecycle == string(member.Leaving) && o.Lifecycle != b.Lifecycle
}

// isOlder reports whether b was reported before o, so that a lagging member cannot revert what the client has received.
func isOlder(b, o *controlpb.BackendServer) bool {
	if b.StartedMs != o.StartedMs {
		return b.StartedMs < o.StartedMs
	}
	return b.Sequence < o.Sequence
}

// applyWallClock updates the offset of the agreed wall clock.
func (s *session) applyWallClock(u *controlpb.WatchUpdate) {
	if u.WallUs == 0 {
		return
	}
	s.client.wall.RecordReading(time.UnixMicro(u.WallUs), clock.Wall())
	s.client.wallOffset.Store(int64(s.client.wall.Offset()))
}

// applyLanePlans stores the plans of the lanes.
func (s *session) applyLanePlans(u *controlpb.WatchUpdate) {
	if len(u.LanePlans) == 0 {
		return
	}
	plans := lanemsg.ToPlans(u.LanePlans)
	s.client.lanePlans.Store(&plans)
}

// applyPromptParts stores the list of prompt parts if it is newer than the current one.
func (s *session) applyPromptParts(u *controlpb.WatchUpdate) bool {
	if u.PromptParts == nil || u.PromptParts.Version <= s.client.PromptParts().Version {
		return false
	}
	list := &poison.List{Version: u.PromptParts.Version}
	for _, part := range u.PromptParts.Parts {
		list.Suspects = append(list.Suspects, poison.Suspect{Part: part.Id, Begun: part.Begun, BlockedAtMS: part.BlockedAtMs})
	}
	s.client.promptParts.Store(list)
	return true
}

// applyTurns stores the turns of this process. Their number is 0 if the member doesn't know all processes.
func (s *session) applyTurns(u *controlpb.WatchUpdate) {
	turns := s.client.turns.Load().Confirm(clock.Now(), int(u.RolePosition), int(u.RoleCount))
	s.client.turns.Store(&turns)
}

// applyLimitShares stores the shares of limits, as of when the confirmed query was sent.
func (s *session) applyLimitShares(u *controlpb.WatchUpdate) {
	if !u.SharesCurrent {
		return
	}
	held := confirmedShares{byOrganisation: s.client.shares.Load().byOrganisation, at: s.client.freshUntil.Load().Add(-s.client.cfg.FreshnessLimit)}
	if len(u.Shares) > 0 {
		held.byOrganisation = make(map[string]limit.Share, len(u.Shares))
		for _, share := range u.Shares {
			held.byOrganisation[share.Organisation] = limit.Share{
				From: share.From, To: share.To, FloorFrom: share.FloorFrom, FloorTo: share.FloorTo,
			}
		}
	}
	s.client.shares.Store(&held)
}
