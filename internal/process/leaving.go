package process

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/roster"
	"github.com/guavastack/guavastack/internal/replica"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	// defaultLeaveTimeout is well below the grace period of a process.
	defaultLeaveTimeout = 3 * time.Second
	// leavePollInterval is the time between two requests of a member that waits for its removal.
	leavePollInterval = 50 * time.Millisecond
)

// Leave implements control.JoinHandler.
func (m *membershipManager) Leave(id, incarnation uint64) (wait bool) {
	st := m.observe()
	member, ok := st.Configuration.Member(id)
	if !ok || member.Incarnation != incarnation || !m.view(st, clock.Now()).ReleasesLeaving(id) {
		return false
	}
	m.mu.Lock()
	m.leaving[id] = roster.Announcement{Member: member, Heard: clock.Now()}
	m.mu.Unlock()
	m.requestCheck()
	return true
}

// leave announces that this process is about to end, and waits until the group has removed this member, if it is going to. A group
// that can spare the member keeps its tolerance of losses this way. The member announces itself again after its next start.
func (m *membershipManager) leave(ctx context.Context) {
	m.isEnding.Store(true)
	ctx, cancel := context.WithTimeout(ctx, m.leaveTimeout)
	defer cancel()
	for {
		st := m.replica.Status()
		member, ok := st.Configuration.Member(st.ID)
		if !ok || member.Learner || len(st.Members()) <= roster.MinVoters {
			return
		}
		reply, err := m.announceLeaving(ctx, st)
		if err == nil && !reply.Member {
			return
		}
		if !wait.For(ctx, leavePollInterval) {
			m.base.Logger.Warn("the control group did not remove this member before its shutdown", telemetry.KeyError, errorText(err))
			return
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// announceLeaving sends the announcement to the leader, if it is known and another member.
func (m *membershipManager) announceLeaving(ctx context.Context, st replica.Status) (*controlpb.JoinReply, error) {
	leader, ok := m.replica.Leader()
	if !ok || leader.ID == st.ID {
		return nil, errors.NotFoundf("another member that leads the control group")
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return control.AnnounceTo(ctx, m.pool, leader.Address, &controlpb.JoinRequest{
		Id: st.ID, Address: m.base.Config.Control.Listen, Incarnation: st.Incarnation, Leaving: true,
		Group: m.base.Config.Control.Group, Epoch: st.Epoch,
	})
}
