package control

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// Errors of OrderZoneDrain after which repeating the order does not help.
const (
	// ErrUnknownZone means that the settings list the zones and the zone is not among them.
	ErrUnknownZone = errors.ConstError("unknown availability zone")
	// ErrTooManyDrains means that the replicated list has no room for another zone.
	ErrTooManyDrains = errors.ConstError("too many availability zones are drained")
)

// ErrOrderNotCommitted means that it is not known whether an order has been committed.
const ErrOrderNotCommitted = errors.ConstError("order not committed in time")

// metricZoneDrainOrders counts the orders of drains at this member by result: committed, refused or failed.
const metricZoneDrainOrders = "zone_drain_orders"

func (s *Service) countZoneDrainOrder(result string) {
	if s.cfg.Metrics != nil {
		s.cfg.Metrics.Counter(metricZoneDrainOrders, telemetry.Label{Name: "result", Value: result}).Inc(1)
	}
}

// OrderZoneDrain orders that the drain of a zone begins or ends, and returns nil once the order is committed. by names who ordered it.
//
// Each order is a command of its own that takes effect only on the revision of the zone that it is based on. If another order on the zone
// came first, the order is based on the newer revision and proposed again, but only until ctx ends: by then the caller may have sent it to
// another member, and newer orders after it.
func (s *Service) OrderZoneDrain(ctx context.Context, zone string, drained bool, by string) error {
	if err := s.checkZone(zone, drained); err != nil {
		s.countZoneDrainOrder("refused")
		return err
	}
	logger := s.cfg.Logger.With("zone", zone, "drained", drained, "ordered_by", by)
	logger.Info("zone drain ordered")
	revision, err := s.commitZoneDrain(ctx, zonedrain.Command{Zone: zone, Drained: drained, By: by})
	if err != nil {
		s.countZoneDrainOrder("failed")
		logger.Warn("zone drain not committed", telemetry.KeyError, err.Error())
		return err
	}
	s.countZoneDrainOrder("committed")
	logger.Info("zone drain committed", "revision", revision)
	return nil
}

// checkZone returns an error for a zone on which the order is not accepted. The drain of a zone that the settings no longer list can be
// withdrawn.
func (s *Service) checkZone(zone string, drained bool) error {
	if err := zonedrain.ValidateZone(zone); err != nil {
		return err
	}
	if s.cfg.ZoneDrains == nil {
		return errors.NotSupportedf("drains of availability zones")
	}
	if len(s.cfg.Zones) == 0 || slices.Contains(s.cfg.Zones, zone) {
		return nil
	}
	hasOrder := false
	s.cfg.Group.View(func() { hasOrder = s.cfg.ZoneDrains.HasOrder(zone) })
	if drained || !hasOrder {
		return errors.WithType(errors.NotFoundf("availability zone %q", zone), ErrUnknownZone)
	}
	return nil
}

// commitZoneDrain commits a command with the newest revision of its zone, and returns the revision of the zone afterwards.
func (s *Service) commitZoneDrain(ctx context.Context, command zonedrain.Command) (revision uint64, err error) {
	// A process that was paused must not propose an old order on a newer revision. The timer of ctx may fire late after a pause, and does
	// not count the time in which the machine was suspended.
	until := clock.Now().Add(untilDeadline(ctx))
	s.cfg.Group.View(func() { command.Base = s.cfg.ZoneDrains.Revision(command.Zone) })
	for {
		if ctx.Err() != nil || !clock.Now().Before(until) {
			if err == nil {
				err = context.DeadlineExceeded
			}
			return 0, errors.WithType(errors.Annotatef(err, "drain of zone %q", command.Zone), ErrOrderNotCommitted)
		}
		var result json.RawMessage
		if result, err = s.commit(ctx, zonedrain.ModuleName, command); err != nil {
			wait.For(ctx, proposeRetryInterval)
			continue
		}
		var outcome zonedrain.Outcome
		if err = json.Unmarshal(result, &outcome); err != nil {
			return 0, errors.Trace(err)
		}
		switch outcome.Result {
		case zonedrain.Accepted:
			return outcome.Revision, nil
		case zonedrain.Overtaken:
			err = errors.NotValidf("base %d of the order with revision %d of the zone", command.Base, outcome.Revision)
			command.Base = outcome.Revision
		case zonedrain.Full:
			return 0, errors.WithType(errors.QuotaLimitExceededf("drained zones"), ErrTooManyDrains)
		default:
			return 0, errors.NotValidf("outcome %q of an order", outcome.Result)
		}
	}
}

// ZoneDrains returns the newest drains that this member knows.
func (s *Service) ZoneDrains() *zonedrain.List { return s.hub.zoneDrains().list }

// zoneDrains is one version of the list of drains. The epoch is that of the settings: a group that was restored from a backup issues lower
// revisions again, in a higher epoch.
type zoneDrains struct {
	version settings.Version
	list    *zonedrain.List
}

func newZoneDrains(epoch uint64, list *zonedrain.List) zoneDrains {
	return zoneDrains{version: settings.Version{Epoch: epoch, Version: list.Revision}, list: list}
}

// zoneDrains returns the newest list of drains.
func (h *hub) zoneDrains() zoneDrains {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drains
}

// addZoneDrains adds the list of drains if the watcher does not have the newest one.
func (w *watcher) addZoneDrains(u *controlpb.WatchUpdate) bool {
	newest := w.service.hub.zoneDrains()
	if !w.have.drains.Less(newest.version) {
		return false
	}
	w.have.drains = newest.version
	m := &controlpb.ZoneDrains{Epoch: newest.version.Epoch, Revision: newest.version.Version}
	for _, d := range newest.list.Drains {
		m.Drains = append(m.Drains, &controlpb.ZoneDrain{Zone: d.Zone, SinceMs: d.SinceMS, OrderedBy: d.By})
	}
	u.ZoneDrains = m
	return true
}
