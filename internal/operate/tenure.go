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
	"github.com/guavastack/guavastack/internal/platform"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	// errNotLeading ends a tenure: the lease is lost, or too short for a call.
	errNotLeading = errors.ConstError("not leading")
	// errOvertaken ends a tenure: another fencing number is the current one.
	errOvertaken = errors.ConstError("fencing number overtaken")
)

// tenure is the time during which one member leads.
type tenure struct {
	op      *Operator
	term    uint64
	began   time.Time
	fencing uint64

	inventory platform.Inventory                  // of this round
	registry  map[string]*controlpb.BackendServer // of this round, by id
	planner   *fleet.Planner
	inherited map[string]bool        // open orders of earlier spells that are not settled
	unsure    []duty.Order           // intents whose proposal has no known outcome
	blocked   map[poolZone]time.Time // zones without supply, until when
	lastSeen  map[string]time.Time   // servers, when their agent was in the registry
	billing   billingState
	counting  sync.Mutex // held over a commit of counters, and from there to the close of a window: a close must know them all

	mu   sync.Mutex
	idle map[string]string    // leaving servers seen idle, with the incarnation of their agent
	sent map[string]time.Time // from when on the effect of each order's last call would show
}

// poolZone is one zone of one pool.
type poolZone struct {
	model, zone string
}

func newTenure(o *Operator, term uint64) *tenure {
	return &tenure{
		op: o, term: term, began: time.Now(), planner: fleet.NewPlanner(),
		inherited: make(map[string]bool), blocked: make(map[poolZone]time.Time),
		lastSeen: make(map[string]time.Time), sent: make(map[string]time.Time), idle: make(map[string]string),
	}
}

// holds reports whether the lease of this tenure's term holds.
func (c *tenure) holds() bool {
	lease, ok := c.op.lease()
	return ok && lease.Term == c.term
}

// watchLease returns once the lease is lost.
func (c *tenure) watchLease(ctx context.Context) error {
	for ctx.Err() == nil {
		if !c.holds() {
			return errNotLeading
		}
		wait.For(ctx, c.op.cfg.Poll)
	}
	return ctx.Err()
}

// repeat runs round at an interval until it says that the tenure is over. Other errors are tried again.
func (c *tenure) repeat(ctx context.Context, interval time.Duration, round func(context.Context) error) error {
	for ctx.Err() == nil {
		err := round(ctx)
		if errors.Is(err, errNotLeading) || errors.Is(err, errOvertaken) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			c.op.fail("round", err)
		}
		wait.For(ctx, interval)
	}
	return ctx.Err()
}

// takeOver waits until no older leader can be sending, makes a fencing number above all that are known, and notes
// the orders whose outcome is unknown.
func (c *tenure) takeOver(ctx context.Context) error {
	if err := c.waitOut(ctx); err != nil {
		return err
	}
	inventory, err := c.askInventory(ctx)
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
			// A stop is sent after draining only and may be carried out twice, so it holds up nothing.
			if order.Kind == duty.StartServer {
				c.inherited[order.ID] = true
			}
		}
	})
	return nil
}

// waitOut waits until every lease and call of an older leader has ended.
func (c *tenure) waitOut(ctx context.Context) error {
	end := c.began.Add(c.op.cfg.Timing.TakeoverWait())
	for time.Now().Before(end) {
		if !c.holds() {
			return errNotLeading
		}
		wait.For(ctx, min(c.op.cfg.Poll, time.Until(end)))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// call runs f with a deadline before the end of the lease. It is the only way to the platform and the agents.
func (c *tenure) call(ctx context.Context, f func(context.Context) error) error {
	lease, ok := c.op.cfg.Group.Lease()
	if !ok || lease.Term != c.term {
		return errNotLeading
	}
	deadline, ok := c.op.cfg.Timing.CallDeadline(clock.Now(), lease)
	if !ok {
		return errNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Until(deadline))
	defer cancel()
	return f(ctx)
}

// sender names this tenure to the platform.
func (c *tenure) sender() platform.Sender {
	return platform.Sender{Holder: c.op.cfg.ID, Fencing: c.fencing}
}

func (c *tenure) askInventory(ctx context.Context) (platform.Inventory, error) {
	var inventory platform.Inventory
	err := c.call(ctx, func(ctx context.Context) error {
		var err error
		inventory, err = c.op.cfg.Platform.Inventory(ctx)
		return err
	})
	return inventory, errors.Annotate(err, "inventory")
}

// proposeDuty commits a command of the duty module; a superseded fencing number ends the tenure.
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
		return result, errOvertaken
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
		return errors.Annotate(err, "propose")
	}
	return errors.Annotate(json.Unmarshal(outcome, result), "outcome of a proposal")
}
