package process

import (
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/roster"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// metricRefusedMembers counts the refused lists of control members, and the refused addresses in them, by reason.
const metricRefusedMembers = "named_members_refused"

// refusedTooMany is the reason of the refusal of a list with more than roster.MaxNamedAddresses addresses.
const refusedTooMany = "too_many"

// membersNamed learns the addresses of control members from a watcher that knows them, while this member does not vote. It returns
// an error for a list that no correct watcher sends.
func (m *membershipManager) membersNamed(group uint64, addresses []string) error {
	if len(addresses) > roster.MaxNamedAddresses {
		err := errors.NotValidf("list of %d control members, expected at most %d,", len(addresses), roster.MaxNamedAddresses)
		m.refuseNamed(refusedTooMany, err)
		return err
	}
	st := m.replica.Status()
	if len(addresses) == 0 || isVoter(st) {
		return nil
	}
	if own := m.base.Config.Control.Group; group != 0 && group != own {
		m.refuseNamed(refusedGroup, errors.NotValidf("list of members of control group %d at a member of group %d", group, own))
		return nil
	}
	for _, address := range addresses {
		m.learnNamed(address)
	}
	return nil
}

func (m *membershipManager) learnNamed(address string) {
	if address == m.base.Config.Control.Listen {
		return
	}
	if _, err := m.checkAddress(address); err != nil {
		m.refuseNamed(refusedAddress, err)
		return
	}
	m.learn(address, clock.Now(), false)
}

func (m *membershipManager) refuseNamed(reason string, err error) {
	m.base.Metrics.Counter(metricRefusedMembers, telemetry.Label{Name: "reason", Value: reason}).Inc(1)
	if m.namedRefusals.allow(reason, clock.Now()) {
		m.base.Logger.Warn("control members named by a watcher refused", "reason", reason, telemetry.KeyError, err.Error())
	}
}
