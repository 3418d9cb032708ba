package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/lanemsg"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
)

// watcher is the server side of one watch stream.
type watcher struct {
	service *Service
	stream  controlpb.DRPCControl_WatchStream
	process string // process id, set by the first request

	mu                sync.Mutex
	have              position // position of the watcher once it has applied everything that was sent
	initialized       bool     // the first request has arrived
	confirmed         uint64   // newest confirmed query that is not answered yet; 0: none
	confirmedPosition position // position for which it was confirmed
	lastRequest       time.Time
	wake              chan struct{}

	registry   uint64 // last sent registry version
	complete   bool   // the complete registry was sent
	lastShares map[string]limit.Share
	members    []string        // last sent addresses
	lanes      route.LanePlans // last sent
	parts      uint64          // last sent version of the list of prompt parts
}

// Watch serves one watcher until its stream ends or it sends nothing for clientTimeout.
func (s *Service) Watch(stream controlpb.DRPCControl_WatchStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	w := &watcher{service: s, stream: stream, lastRequest: time.Now(), wake: make(chan struct{}, 1)}
	failed := make(chan error, 2)
	go func() { failed <- w.receive() }()
	go func() { failed <- w.send(ctx) }()
	timeoutTicker := time.NewTicker(clientTimeout / 4)
	defer timeoutTicker.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case now := <-timeoutTicker.C:
			if w.sinceLastRequest(now) >= clientTimeout {
				return errors.Timeoutf("requests of watcher %q", w.process)
			}
		}
	}
}

func (w *watcher) sinceLastRequest(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.lastRequest)
}

func (w *watcher) receive() error {
	for {
		req, err := w.stream.Recv()
		if err != nil {
			return err
		}
		if len(req.Demand) > maxDemandOrganisations {
			return errors.NotValidf("demand of %d organisations", len(req.Demand))
		}
		if err := w.service.cfg.MembersNamed(req.ControlGroup, req.ControlMembers); err != nil {
			return errors.Annotatef(err, "watcher %q", req.ProcessId)
		}
		w.handleRequest(req)
	}
}

func (w *watcher) handleRequest(req *controlpb.WatchRequest) {
	now := time.Now()
	w.service.soft.putProcess(processOf(req, now))
	w.mu.Lock()
	w.lastRequest = now
	if !w.initialized {
		w.initialized = true
		w.process = req.ProcessId
		w.have = position{
			settings: settings.Version{Epoch: req.HaveEpoch, Version: req.HaveVersion},
			catalog:  req.HaveCatalog,
			drains:   settings.Version{Epoch: req.HaveDrainsEpoch, Version: req.HaveDrainsRevision},
		}
	}
	w.mu.Unlock()
	w.wakeSender()
	if req.Query == 0 {
		return
	}
	query := req.Query
	w.service.confirmer.enqueue(func(newest position) { w.confirm(query, newest) })
}

func (w *watcher) confirm(query uint64, newest position) {
	w.mu.Lock()
	if query > w.confirmed {
		w.confirmed, w.confirmedPosition = query, newest
	}
	w.mu.Unlock()
	w.wakeSender()
}

func (w *watcher) wakeSender() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// send sends an update whenever something has changed, and heartbeats otherwise.
func (w *watcher) send(ctx context.Context) error {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		_, changed := w.service.hub.newest()
		registryChanged := w.service.soft.changedChannel()
		_, lanesChanged := w.service.lanes.newest()
		update, err := w.next()
		if err != nil {
			return err
		}
		if update != nil {
			if err := w.stream.Send(update); err != nil {
				return err
			}
			heartbeat.Reset(heartbeatInterval)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wake:
		case <-changed:
		case <-registryChanged:
		case <-lanesChanged:
		case <-heartbeat.C:
			if err := w.stream.Send(w.heartbeat()); err != nil {
				return err
			}
			heartbeat.Reset(heartbeatInterval)
		}
	}
}

func (w *watcher) heartbeat() *controlpb.WatchUpdate {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &controlpb.WatchUpdate{
		Epoch: w.have.settings.Epoch, Version: w.have.settings.Version, CatalogVersion: w.have.catalog,
		Member: w.service.cfg.Group.Self().ID,
	}
}

// next returns the next update for the watcher, or nil if it is up to date.
func (w *watcher) next() (*controlpb.WatchUpdate, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.initialized {
		return nil, nil
	}
	newest, changes, snapshot, err := w.service.hub.since(w.have.settings)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if w.have.settings.Less(newest) {
		w.have.settings = newest
	}
	u := &controlpb.WatchUpdate{Epoch: w.have.settings.Epoch, Version: w.have.settings.Version, Changes: changes, Snapshot: snapshot}
	needed := len(changes) > 0 || snapshot != nil
	if w.addCatalog(u) {
		needed = true
	}
	if w.addZoneDrains(u) {
		needed = true
	}
	// A query is answered only once the watcher has at least the position that was confirmed for it.
	if w.confirmed != 0 && w.have.settings == newest && w.have.reaches(w.confirmedPosition) {
		u.ConfirmedQuery, w.confirmed = w.confirmed, 0
		needed = true
	}
	if w.addRegistry(u, time.Now()) {
		needed = true
	}
	if w.addMembers(u) {
		needed = true
	}
	if w.addLanes(u) {
		needed = true
	}
	if w.addPromptParts(u) {
		needed = true
	}
	if !needed {
		return nil, nil
	}
	u.Member = w.service.cfg.Group.Self().ID
	u.OpenWindow = w.service.cfg.OpenWindow()
	u.WallUs = w.service.Wall().UnixMicro()
	w.addProcessState(u, time.Now())
	return u, nil
}

// addCatalog adds the catalog if the watcher does not have the newest one.
func (w *watcher) addCatalog(u *controlpb.WatchUpdate) bool {
	newest := w.service.hub.newestDocument()
	needed := newest.version > w.have.catalog
	if needed {
		w.have.catalog = newest.version
		u.Catalog = newest.data
	}
	u.CatalogVersion = w.have.catalog
	return needed
}

// addMembers adds the addresses of the control members if they changed.
func (w *watcher) addMembers(u *controlpb.WatchUpdate) bool {
	members := w.service.cfg.Members()
	if slices.Equal(members, w.members) {
		return false
	}
	w.members, u.Members = members, members
	u.ControlGroup = w.service.cfg.GroupID
	return true
}

// addLanes adds the lane plans if they changed.
func (w *watcher) addLanes(u *controlpb.WatchUpdate) bool {
	plans, _ := w.service.lanes.newest()
	if len(plans) == 0 || maps.EqualFunc(plans, w.lanes, (*route.LanePlan).Equal) {
		return false
	}
	w.lanes, u.LanePlans = plans, lanemsg.FromPlans(plans)
	return true
}

// addPromptParts adds the list of suspected and blocked prompt parts if it changed.
func (w *watcher) addPromptParts(u *controlpb.WatchUpdate) bool {
	list := w.service.hub.promptParts()
	if list.Version == w.parts {
		return false
	}
	w.parts, u.PromptParts = list.Version, promptPartsMessage(list)
	return true
}

// addRegistry adds the backend servers that changed. Until this member's registry is complete, the watcher merges them
// into its own list; the first complete list replaces it.
func (w *watcher) addRegistry(u *controlpb.WatchUpdate, now time.Time) bool {
	since := w.registry
	complete := w.service.soft.isComplete(now)
	if complete && !w.complete {
		since = 0
	}
	backends, version := w.service.soft.backendsSince(since)
	u.RegistryVersion = version
	if complete && !w.complete {
		w.complete, u.BackendsComplete = true, true
	}
	u.Backends = backends
	changed := version != w.registry || u.BackendsComplete
	w.registry = version
	return changed
}

// addProcessState adds what depends on all watching processes to an update that confirms a query.
func (w *watcher) addProcessState(u *controlpb.WatchUpdate, now time.Time) {
	if u.ConfirmedQuery == 0 || !w.service.soft.isComplete(now) {
		return
	}
	processes := w.service.soft.allProcesses()
	w.addShares(u, processes)
	position, count := rolePosition(processes, w.process)
	u.RolePosition, u.RoleCount = uint32(position), uint32(count)
}

// addShares adds the watcher's shares of limits if they changed.
func (w *watcher) addShares(u *controlpb.WatchUpdate, processes []member.Process) {
	shares := limitSharesOf(processes, w.process)
	u.SharesCurrent = shares != nil
	if maps.Equal(shares, w.lastShares) {
		return
	}
	w.lastShares = shares
	u.Shares = shareMessages(shares)
}
