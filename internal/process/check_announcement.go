package process

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/replica"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// metricRefusedAnnouncements counts the refused announcements of control members, by reason.
const metricRefusedAnnouncements = "announcements_refused"

// Reasons of refusals.
const (
	refusedGroup    = "group"     // of another control group
	refusedEpoch    = "epoch"     // of another epoch of the control group
	refusedAddress  = "address"   // no member with this id may have the address
	refusedNoAnswer = "no_answer" // the announced address does not answer
	refusedIdentity = "identity"  // another member, or one with another disk, answers at the announced address
	refusedBusy     = "busy"      // too many other announcements are being checked
)

// CheckAnnouncement implements control.JoinHandler. An announcement that would change the membership is checked by a call to
// the announced address.
func (m *membershipManager) CheckAnnouncement(_ context.Context, req *controlpb.JoinRequest) error {
	reason, err := m.checkAnnouncement(m.replica.Status(), req)
	if err == nil {
		return nil
	}
	m.base.Metrics.Counter(metricRefusedAnnouncements, telemetry.Label{Name: "reason", Value: reason}).Inc(1)
	if m.refusals.allow(reason, clock.Now()) {
		m.base.Logger.Warn("announcement of a control member refused", "reason", reason, "member", req.Id, "address", req.Address,
			"group", req.Group, "epoch", req.Epoch, telemetry.KeyError, err.Error())
	}
	return errors.Annotatef(err, "announcement of member %d at %q refused", req.Id, req.Address)
}

// checkAnnouncement returns why an announcement is refused: the reason for metrics, and the error.
func (m *membershipManager) checkAnnouncement(st replica.Status, req *controlpb.JoinRequest) (reason string, err error) {
	group := m.base.Config.Control.Group
	switch {
	case req.Group != 0 && req.Group != group:
		return refusedGroup, errors.NotValidf("control group %d at the leader of group %d", req.Group, group)
	case !raft.IsSameEpoch(req.Epoch, st.Epoch):
		return refusedEpoch, errors.NotValidf("epoch %d at the leader of a control group with epoch %d", req.Epoch, st.Epoch)
	}
	if err := m.checkMember(req.Id, req.Address); err != nil {
		return refusedAddress, err
	}
	member, ok := st.Configuration.Member(req.Id)
	if req.Leaving || ok && member.Incarnation == req.Incarnation {
		return "", nil
	}
	return m.checkIdentity(req)
}

// checkIdentity checks that the announced member runs at the announced address. A member whose build does not have the call is
// accepted.
func (m *membershipManager) checkIdentity(req *controlpb.JoinRequest) (reason string, err error) {
	identity, err := m.identifier.identify(req.Address)
	switch {
	case errors.Is(err, control.ErrNoIdentify):
		return "", nil
	case errors.Is(err, errTooManyIdentifications):
		return refusedBusy, err
	case err != nil:
		return refusedNoAnswer, errors.Annotate(err, "ask the announced member who it is")
	case identity.Group != m.base.Config.Control.Group || identity.Id != req.Id || identity.Incarnation != req.Incarnation:
		return refusedIdentity, errors.NotValidf("announced incarnation %d: at the address runs member %d of group %d with incarnation %d, which",
			req.Incarnation, identity.Id, identity.Group, identity.Incarnation)
	}
	return "", nil
}

// refusalLogInterval is the minimum time between two log messages with the same reason of a refusal.
const refusalLogInterval = 10 * time.Second

// refusalLog bounds the number of log messages about refusals.
type refusalLog struct {
	mu   sync.Mutex
	last map[string]time.Time // by reason
}

// allow reports whether a refusal for a reason may be logged at now.
func (l *refusalLog) allow(reason string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last = make(map[string]time.Time)
	}
	last, ok := l.last[reason]
	if ok && now.Sub(last) < refusalLogInterval {
		return false
	}
	l.last[reason] = now
	return true
}
