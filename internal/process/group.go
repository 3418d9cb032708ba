package process

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/operate"
	"github.com/guavastack/guavastack/internal/replica"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// controlGroup adapts a replica to control.Group.
type controlGroup struct {
	*replica.Replica
	self replica.Member
}

func controlMember(m replica.Member) control.Member {
	return control.Member{ID: strconv.FormatUint(m.ID, 10), Address: m.Address}
}

// Propose implements control.Group.
func (g controlGroup) Propose(ctx context.Context, data []byte) (control.Outcome, error) {
	out, err := g.Replica.Propose(ctx, data)
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		e := &control.NotLeaderError{}
		if notLeader.Leader != 0 {
			e.Leader = controlMember(replica.Member{ID: notLeader.Leader, Address: notLeader.Address})
		}
		return control.Outcome{}, e
	}
	return control.Outcome{Index: out.Index, Result: out.Result}, err
}

// Leader implements control.Group.
func (g controlGroup) Leader() (control.Member, bool) {
	m, ok := g.Replica.Leader()
	return controlMember(m), ok
}

// Self implements control.Group.
func (g controlGroup) Self() control.Member { return controlMember(g.self) }

// Applied implements control.Group. The first event is sent at once. Events that arrive before the receiver is ready are merged
// into one.
func (g controlGroup) Applied() (events <-chan struct{}, cancel func()) {
	out := make(chan struct{}, 1)
	done := make(chan struct{})
	go func() {
		for {
			applied := g.AppliedSignal()
			select {
			case out <- struct{}{}:
			default:
			}
			select {
			case <-done:
				return
			case <-applied:
			}
		}
	}()
	return out, sync.OnceFunc(func() { close(done) })
}

// operateGroup adapts a replica to operate.Group.
type operateGroup struct{ *replica.Replica }

// Propose implements operate.Group.
func (g operateGroup) Propose(ctx context.Context, data []byte) (json.RawMessage, error) {
	out, err := g.Replica.Propose(ctx, data)
	return out.Result, err
}

// Lease implements operate.Group.
func (g operateGroup) Lease() (duty.Lease, bool) {
	l, ok := g.Replica.Lease()
	return duty.Lease{Term: l.Term, Expires: l.Expires}, ok
}

// usageSink adapts operate.Usage to control.UsageSink, which receives the usage reports of entries and gateways.
type usageSink struct{ *operate.Usage }

// ReportUsage implements control.UsageSink.
func (u usageSink) ReportUsage(_ context.Context, report *controlpb.UsageReport) (*controlpb.UsageAck, error) {
	ack := u.Report(report)
	return &controlpb.UsageAck{OpenWindow: ack.OpenWindow, Accepted: ack.Accepted, SettledWindow: ack.Settled, Session: ack.Session}, nil
}
