package operate

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/billing"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/leasecall"
	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	// errNotLeading ends a tenure: the lease is lost, or its remaining time is too short for a call.
	errNotLeading = errors.ConstError("not leading")
	// errSuperseded ends a tenure: a newer fencing token is in force.
	errSuperseded = errors.ConstError("fencing token superseded")
)

// tenure is the state of the operator during one uninterrupted leadership of its member.
type tenure struct {
	op      *Operator
	term    uint64
	began   time.Time
	fencing uint64

	inventory        platformclient.Inventory            // of this round
	registry         map[string]*controlpb.BackendServer // of this round, by server id
	planner          *fleet.Planner
	inherited        map[string]bool        // open start orders of earlier tenures that are not settled yet
	uncertainIntents []duty.Order           // intents whose proposals have an unknown outcome
	noSupplyUntil    map[poolZone]time.Time // until when a zone counts as without supply
	lastSeen         map[string]time.Time   // when the agent of each server was last in the registry
	billing          billingState
	countersMu       sync.Mutex // held during a commit of counters, and by closeWindow from its commit until the close, which must include them all

	mu   sync.Mutex           // also guards inherited and noSupplyUntil while orders are sent
	idle map[string]string    // by id of a leaving server that was idle in its last round: the incarnation of its agent
	sent map[string]time.Time // by order id: when its last call ended, plus the delay that a rate limit demanded
}

// poolZone identifies one zone of one pool.
type poolZone struct {
	model, zone string
}

func newTenure(o *Operator, term uint64) *tenure {
	return &tenure{
		op: o, term: term, began: time.Now(), planner: fleet.NewPlanner(),
		inherited: make(map[string]bool), noSupplyUntil: make(map[poolZone]time.Time),
		lastSeen: make(map[string]time.Time), sent: make(map[string]time.Time), idle: make(map[string]string),
	}
}

// holdsLease reports whether this member still holds the lease of the tenure's term.
func (c *tenure) holdsLease() bool {
	lease, ok := c.op.lease()
	return ok && lease.Term == c.term
}

// watchLease polls the lease and returns errNotLeading once it is lost.
func (c *tenure) watchLease(ctx context.Context) error {
	for ctx.Err() == nil {
		if !c.holdsLease() {
			return errNotLeading
		}
		wait.For(ctx, c.op.cfg.PollInterval)
	}
	return ctx.Err()
}

// repeat runs round at the given interval until it returns an error that ends the tenure. It records other errors.
func (c *tenure) repeat(ctx context.Context, interval time.Duration, round func(context.Context) error) error {
	for ctx.Err() == nil {
		err := round(ctx)
		if errors.Is(err, errNotLeading) || errors.Is(err, errSuperseded) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			c.op.recordError("round", err)
		}
		wait.For(ctx, interval)
	}
	return ctx.Err()
}

// takeOver waits until no older leader can be sending, commits a fencing token above all known ones, and records the
// open start orders as inherited.
func (c *tenure) takeOver(ctx context.Context) error {
	if err := c.waitForOlderLeaders(ctx); err != nil {
		return err
	}
	inventory, err := c.fetchInventory(ctx)
	if err != nil {
		return err
	}
	above := inventory.Fencing
	for _, server := range c.op.cfg.Registry() {
		above = max(above, server.Fencing)
	}
	result, err := c.proposeDuty(ctx, duty.Command{TakeOver: &duty.TakeOver{
		Holder: c.op.cfg.ID, Term: c.term, Above: above,
	}})
	if err != nil {
		return err
	}
	c.fencing = result.Fencing
	c.op.cfg.Group.View(func() {
		for _, order := range c.op.cfg.Duty.Open() {
			// Stop orders need not be settled first: they are sent only after draining, and are idempotent.
			if order.Kind == duty.StartServer {
				c.inherited[order.ID] = true
			}
		}
	})
	return nil
}

// waitForOlderLeaders waits until every lease and every call of an older leader must have ended.
func (c *tenure) waitForOlderLeaders(ctx context.Context) error {
	end := c.began.Add(c.op.cfg.Timing.TakeoverWait())
	for time.Now().Before(end) {
		if !c.holdsLease() {
			return errNotLeading
		}
		wait.For(ctx, min(c.op.cfg.PollInterval, time.Until(end)))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// call runs f with a deadline before the end of the lease. Every call to the platform or an agent must go through it.
func (c *tenure) call(ctx context.Context, f func(context.Context) error) error {
	lease, ok := c.op.cfg.Group.Lease()
	if !ok || lease.Term != c.term {
		return errNotLeading
	}
	deadline, ok := c.op.cfg.Timing.CallDeadline(clock.Now(), lease)
	if !ok {
		return errNotLeading
	}
	ctx, cancel := leasecall.WithDeadline(ctx, deadline)
	defer cancel()
	return f(ctx)
}

// sender identifies this tenure to the platform.
func (c *tenure) sender() platformclient.Sender {
	return platformclient.Sender{Holder: c.op.cfg.ID, Fencing: c.fencing}
}

func (c *tenure) fetchInventory(ctx context.Context) (platformclient.Inventory, error) {
	var inventory platformclient.Inventory
	err := c.call(ctx, func(ctx context.Context) error {
		var err error
		inventory, err = c.op.cfg.Platform.Inventory(ctx)
		return err
	})
	return inventory, errors.Annotate(err, "fetch inventory")
}

// proposeDuty commits a command of the duty module. It returns errSuperseded if the fencing token is superseded.
func (c *tenure) proposeDuty(ctx context.Context, cmd duty.Command) (duty.Result, error) {
	data, err := duty.Encode(cmd, c.op.cfg.ID, time.Now().UnixMilli())
	if err != nil {
		return duty.Result{}, err
	}
	var result duty.Result
	if err := c.propose(ctx, data, &result); err != nil {
		return duty.Result{}, err
	}
	if result.Code == duty.CodeSuperseded {
		return result, errSuperseded
	}
	return result, nil
}

// proposeBilling commits a command of the billing module.
func (c *tenure) proposeBilling(ctx context.Context, cmd billing.Command) (billing.Result, error) {
	data, err := billing.Encode(cmd, c.op.cfg.ID, time.Now().UnixMilli())
	if err != nil {
		return billing.Result{}, err
	}
	var result billing.Result
	err = c.propose(ctx, data, &result)
	return result, err
}

func (c *tenure) propose(ctx context.Context, data []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome, err := c.op.cfg.Group.Propose(ctx, data)
	if err != nil {
		return errors.Annotate(err, "propose command")
	}
	return errors.Annotate(json.Unmarshal(outcome, result), "decode the outcome of a proposal")
}
