package process

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	// introductionInterval is the time between the introductions that a leader sends.
	introductionInterval = time.Second
	// introductionTimeout bounds one introduction to one address.
	introductionTimeout = 500 * time.Millisecond
)

// introduceWhileLeading introduces this member at intervals, while it leads, to the addresses at which a member may have
// started that knows no address of the group.
func (m *membershipManager) introduceWhileLeading(ctx context.Context) {
	for wait.For(ctx, introductionInterval) {
		if m.replica.Status().Role == raft.Leader {
			m.introduceToAbsent(ctx, m.introduction())
		}
	}
}

func (m *membershipManager) introduceToAbsent(ctx context.Context, introduction *controlpb.Digest) {
	ctx, cancel := context.WithTimeout(ctx, introductionTimeout)
	defer cancel()
	var running sync.WaitGroup
	for _, address := range m.absentAddresses() {
		running.Go(func() {
			if err := control.IntroduceTo(ctx, m.pool, address, introduction); err != nil {
				m.base.Logger.Debug("introduction to a former control member failed", "address", address, telemetry.KeyError, err.Error())
			}
		})
	}
	running.Wait()
}

// absentAddresses returns the addresses of former members and the seeds that are not in the configuration.
func (m *membershipManager) absentAddresses() []string {
	members := m.memberAddresses()
	m.mu.Lock()
	candidates := slices.Concat(m.former.List(), m.seeds)
	m.mu.Unlock()
	var out []string
	for _, address := range candidates {
		if !slices.Contains(members, address) && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// peerHeard records that a digest of another member arrived, and learns its address.
func (m *membershipManager) peerHeard(c control.Contact) {
	id, ok := contactID(c)
	if !ok {
		return
	}
	now := clock.Now()
	m.mu.Lock()
	m.contacts.Record(id, now)
	m.mu.Unlock()
	if c.Address != "" && m.checkMember(id, c.Address) == nil {
		m.learn(c.Address, now, true)
	}
}
