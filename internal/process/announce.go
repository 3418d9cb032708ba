package process

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/replica"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// announce sends this member's address and incarnation to the most recent contact, and if that does not accept the announcement to all
// other members at once: most of them may be gone.
func (m *membershipManager) announce(ctx context.Context, st replica.Status) {
	m.learnFromSenders(st)
	addresses := m.otherAddresses(st)
	first := addresses[:min(1, len(addresses))]
	err := m.announceToAny(ctx, st, first)
	if err != nil && len(addresses) > 1 {
		err = m.announceToAny(ctx, st, addresses[1:])
	}
	switch {
	case err == nil:
		m.unaccepted.end(m.base.Logger, clock.Now())
	case !hasVote(st):
		m.unaccepted.warn(m.base.Logger, clock.Now(), addresses, err)
	}
}

// errNobodyKnown is returned if a member knows no address to which it could announce itself.
const errNobodyKnown = errors.ConstError("no other control member is known")

// announceToAny announces this member to the given addresses at the same time. It returns nil once one accepts the announcement, or
// an error if none does.
func (m *membershipManager) announceToAny(ctx context.Context, st replica.Status, addresses []string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- m.announceTo(ctx, st, address) }()
	}
	err := error(errNobodyKnown)
	for range addresses {
		if err = <-results; err == nil {
			return nil
		}
	}
	return err
}

func (m *membershipManager) announceTo(ctx context.Context, st replica.Status, address string) error {
	_, err := control.AnnounceTo(ctx, m.pool, address, &controlpb.JoinRequest{
		Id: st.ID, Address: m.base.Config.Control.Listen, Incarnation: st.Incarnation,
		Group: m.base.Config.Control.Group, Epoch: st.Epoch,
	})
	if err != nil {
		m.base.Logger.Debug("announcing to a control member failed", "address", address, telemetry.KeyError, err.Error())
	}
	return err
}

// otherAddresses returns the addresses of other members without duplicates: those learned from messages before those of the
// configuration, and the seeds last.
func (m *membershipManager) otherAddresses(st replica.Status) []string {
	own := m.base.Config.Control.Listen
	m.mu.Lock()
	learned, seeds := m.known.List(clock.Now()), m.seeds
	m.mu.Unlock()
	if !m.base.Config.Control.Join && st.Epoch == 0 {
		learned = nil // of a group that had this address before; this member belongs to the one that its seeds form
	}
	var out []string
	for _, address := range slices.Concat(learned, addressesOf(st.Configuration), seeds) {
		if address != own && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// learnFromSenders learns the addresses of the members that send messages of the log's protocol to this one. After the loss of
// this member's disk they are still addressed to its old incarnation.
func (m *membershipManager) learnFromSenders(st replica.Status) {
	for _, s := range m.replica.Senders() {
		if !raft.IsSameEpoch(s.Epoch, st.Epoch) || m.checkMember(s.ID, s.Address) != nil {
			continue
		}
		m.learn(s.Address, s.Heard, true)
	}
}

func (m *membershipManager) learn(address string, at time.Time, isSender bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known.Record(address, at, isSender)
}

// checkMember returns an error unless another member with this id may have this address. It checks senders and announced members alike.
func (m *membershipManager) checkMember(id uint64, address string) error {
	a, err := m.checkAddress(address)
	if err != nil {
		return err
	}
	if config.MemberID(a) != id {
		return errors.NotValidf("member %d at %s, which has the id %d,", id, a, config.MemberID(a))
	}
	return nil
}

// checkAddress returns an error unless another member may have this address.
func (m *membershipManager) checkAddress(address string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		return a, errors.NotValidf("address %q of a control member", address)
	case a == netip.MustParseAddrPort(m.base.Config.Control.Listen):
		return a, errors.NotValidf("this member's own address %s", a)
	case m.base.Config.ControlPort != 0 && int(a.Port()) != m.base.Config.ControlPort:
		return a, errors.NotValidf("port of %s, expected control_port %d", a, m.base.Config.ControlPort)
	case !m.base.Network.Allows(a.Addr()):
		return a, errors.Forbiddenf("address %s, which is not among allowed_peers,", a)
	}
	return a, nil
}
