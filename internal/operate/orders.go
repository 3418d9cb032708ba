package operate

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// maxParallelOrders bounds the orders that are sent concurrently.
const maxParallelOrders = 8

// orderRound settles the orders whose outcome the inventory shows, sends open orders that are due, and then commits new
// ones.
func (c *tenure) orderRound(ctx context.Context) error {
	inventory, err := c.fetchInventory(ctx)
	if err != nil {
		return err
	}
	c.inventory = inventory
	c.refreshRegistry()
	settings, open := c.fleetState()
	if open, err = c.settleByInventory(ctx, open); err != nil {
		return err
	}
	plans, observed := c.planFleet(settings, open)
	if settings.Paused || settings.DryRun {
		return nil
	}
	if err := c.sendDueOrders(ctx, open); err != nil {
		return err
	}
	if len(c.inherited) > 0 {
		return nil // no new orders before every inherited one is settled
	}
	if err := c.retryIntents(ctx); err != nil {
		return err
	}
	return c.intendNew(ctx, settings, plans, observed)
}

// fleetState returns the settings and the open orders from the replicated state.
func (c *tenure) fleetState() (settings fleet.Settings, open []duty.Order) {
	c.op.cfg.Group.View(func() {
		settings, _ = c.op.cfg.Duty.Settings()
		open = c.op.cfg.Duty.Open()
	})
	return settings, open
}

// refreshRegistry reads the registry for this round and records when each server's agent was last registered. A server
// that is new in the inventory counts as registered at this time.
func (c *tenure) refreshRegistry() {
	now := time.Now()
	c.registry = make(map[string]*controlpb.BackendServer)
	for _, server := range c.op.cfg.Registry() {
		c.registry[server.Id] = server
		c.lastSeen[server.Id] = now
	}
	for _, server := range c.inventory.Servers {
		if _, ok := c.lastSeen[server.ID]; !ok {
			c.lastSeen[server.ID] = now
		}
	}
	c.pruneLastSeen()
}

// pruneLastSeen deletes the entries of lastSeen for servers that are neither in the inventory nor in the registry.
func (c *tenure) pruneLastSeen() {
	inInventory := make(map[string]bool, len(c.inventory.Servers))
	for _, server := range c.inventory.Servers {
		inInventory[server.ID] = true
	}
	maps.DeleteFunc(c.lastSeen, func(id string, _ time.Time) bool { return !inInventory[id] && c.registry[id] == nil })
}

// settleByInventory settles the open orders whose outcome the inventory shows, and returns the remaining ones.
func (c *tenure) settleByInventory(ctx context.Context, open []duty.Order) ([]duty.Order, error) {
	var rest []duty.Order
	for _, order := range open {
		server, known := c.inventoryOutcome(order)
		if !known {
			rest = append(rest, order)
			continue
		}
		if err := c.settle(ctx, order, duty.Done, server, ""); err != nil {
			return nil, err
		}
	}
	return rest, nil
}

// inventoryOutcome returns the server of an order that the inventory shows as done, and whether it does.
func (c *tenure) inventoryOutcome(order duty.Order) (server string, known bool) {
	switch order.Kind {
	case duty.StartServer:
		for _, s := range c.inventory.Servers {
			if s.OrderID == order.ID {
				return s.ID, true
			}
		}
		for _, out := range c.inventory.Orders {
			if out.ID == order.ID {
				return out.Server, true
			}
		}
	case duty.StopServer:
		gone := !slices.ContainsFunc(c.inventory.Servers, func(s platformclient.Server) bool { return s.ID == order.Server })
		return order.Server, gone
	}
	return "", false
}

func (c *tenure) settle(ctx context.Context, order duty.Order, status duty.Status, server, reason string) error {
	_, err := c.proposeDuty(ctx, duty.Command{Settle: &duty.Settle{
		Fencing: c.fencing, ID: order.ID, Status: status, Server: server, Reason: reason,
	}})
	if err != nil {
		return err
	}
	c.op.countSettledOrder(order.Kind, status)
	c.op.cfg.Logger.Info("order settled", "id", order.ID, "kind", order.Kind, "status", status, "server", server, "reason", reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inherited, order.ID)
	delete(c.sent, order.ID)
	return nil
}

// sendDueOrders sends the open orders that are due, up to maxParallelOrders concurrently.
func (c *tenure) sendDueOrders(ctx context.Context, open []duty.Order) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelOrders)
	for _, order := range open {
		if !c.isDue(order) {
			continue
		}
		g.Go(func() error { return c.executeOrder(ctx, order) })
	}
	return g.Wait()
}

// isDue reports whether an order may be sent: it has not been sent in this tenure, or so long ago that the inventory of
// this round, fetched after that call had ended, would show its effect.
func (c *tenure) isDue(order duty.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sent[order.ID]
	timing := c.op.cfg.Timing
	return !ok || time.Since(at) >= 2*timing.MaxCallDuration+timing.Drift
}

func (c *tenure) executeOrder(ctx context.Context, order duty.Order) error {
	switch {
	case order.Kind == duty.StartServer:
		return c.sendServerOrder(ctx, order)
	case order.Kind == duty.StopServer:
		return c.drainAndStop(ctx, order)
	default:
		return c.sendEngineOrder(ctx, order)
	}
}

// sendServerOrder sends a server order to the platform once, and settles it if the response proves its outcome.
func (c *tenure) sendServerOrder(ctx context.Context, order duty.Order) error {
	var out platformclient.Outcome
	err := c.call(ctx, func(ctx context.Context) error {
		var err error
		out, err = c.op.cfg.Platform.Order(ctx, c.platformOrder(order))
		return err
	})
	c.recordSent(order.ID, err)
	switch {
	case err == nil:
		return c.settle(ctx, order, duty.Done, out.Server, "")
	case errors.Is(err, platformclient.ErrStaleFencing):
		return errSuperseded
	case errors.Is(err, platformclient.ErrQuota), errors.Is(err, platformclient.ErrNoSupply):
		c.markNoSupply(order)
		return c.settle(ctx, order, duty.Refused, "", err.Error())
	case errors.Is(err, platformclient.ErrInvalid):
		return c.settle(ctx, order, duty.Refused, "", err.Error())
	case errors.Is(err, errNotLeading):
		return err
	default:
		c.op.recordError("order "+order.ID, err) // the outcome is unknown until the inventory shows it
		return nil
	}
}

func (c *tenure) platformOrder(order duty.Order) platformclient.Order {
	kind := platformclient.KindStart
	if order.Kind == duty.StopServer {
		kind = platformclient.KindStop
	}
	return platformclient.Order{
		Sender: c.sender(), ID: order.ID, Kind: kind, Model: order.Model, Zone: order.Zone, Server: order.Server,
	}
}

// recordSent records that the call for an order has ended now, plus the delay that a rate limit demands.
func (c *tenure) recordSent(id string, err error) {
	at := time.Now()
	var limited *platformclient.RateLimitError
	if errors.As(err, &limited) {
		at = at.Add(limited.RetryAfter)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = at
}

func (c *tenure) markNoSupply(order duty.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noSupplyUntil[poolZone{order.Model, order.Zone}] = time.Now().Add(c.op.cfg.NoSupplyHold)
}

// drainAndStop drains a server, and stops it once its agent reports no running or waiting requests in two rounds. A
// server whose agent has been missing for AgentAbsenceTimeout is stopped without draining.
func (c *tenure) drainAndStop(ctx context.Context, order duty.Order) error {
	server := c.registry[order.Server]
	if server == nil {
		if time.Since(c.lastSeen[order.Server]) < c.op.cfg.AgentAbsenceTimeout {
			return nil
		}
		return c.sendServerOrder(ctx, order)
	}
	var reply *linkpb.LifecycleReply
	err := c.call(ctx, func(ctx context.Context) error {
		var err error
		reply, err = c.op.cfg.Agents.SetLifecycle(ctx, server, &linkpb.LifecycleRequest{
			Fencing: c.fencing, Lifecycle: linkpb.Lifecycle_LIFECYCLE_LEAVING,
		})
		return err
	})
	switch {
	case errors.Is(err, errNotLeading):
		return err
	case err != nil:
		c.op.recordError("drain "+order.Server, err)
		return nil
	case !reply.Accepted && reply.Fencing > c.fencing:
		return errSuperseded
	case !isDrained(reply):
		c.recordIdle(server, false)
		return nil
	case !c.recordIdle(server, true):
		return nil
	}
	return c.sendServerOrder(ctx, order)
}

// recordIdle records whether a leaving server was idle in this round, and reports whether it also was in an earlier
// one with the same incarnation of its agent. By then the entries have received the server's lifecycle, and send it
// no new requests.
func (c *tenure) recordIdle(server *controlpb.BackendServer, idle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !idle {
		delete(c.idle, server.Id)
		return false
	}
	before := c.idle[server.Id] == server.Incarnation && server.Incarnation != ""
	c.idle[server.Id] = server.Incarnation
	return before
}

func isDrained(reply *linkpb.LifecycleReply) bool {
	leaving := reply.Lifecycle == linkpb.Lifecycle_LIFECYCLE_LEAVING || reply.Lifecycle == linkpb.Lifecycle_LIFECYCLE_GONE
	return reply.Accepted && leaving && reply.Running == 0 && reply.Waiting == 0
}

// sendEngineOrder sends an engine order to the server's agent, and settles it if the response proves its outcome.
func (c *tenure) sendEngineOrder(ctx context.Context, order duty.Order) error {
	server := c.registry[order.Server]
	if server == nil {
		return nil
	}
	var result *linkpb.EngineOrderResult
	err := c.call(ctx, func(ctx context.Context) error {
		var err error
		result, err = c.op.cfg.Agents.Order(ctx, server, c.engineOrder(ctx, order))
		return err
	})
	c.recordSent(order.ID, err)
	switch {
	case errors.Is(err, errNotLeading):
		return err
	case err != nil:
		c.op.recordError("engine order "+order.ID, err)
		return nil
	case result.Stale && result.Fencing > c.fencing:
		return errSuperseded
	case result.Accepted:
		return c.settle(ctx, order, duty.Done, order.Server, "")
	case result.Refused:
		return c.settle(ctx, order, duty.Refused, order.Server, result.Error)
	default: // the agent has no fencing token yet, or the outcome is unknown: the order is sent again with the same id
		c.op.recordError("engine order "+order.ID, errors.New(result.Error))
		return nil
	}
}

func (c *tenure) engineOrder(ctx context.Context, order duty.Order) *linkpb.EngineOrder {
	deadline, _ := ctx.Deadline()
	return &linkpb.EngineOrder{
		OrderId: order.ID, Fencing: c.fencing, Kind: engineKind(order.Kind), Model: order.Model,
		Version: order.Version, Adapter: order.Adapter, Role: order.Role,
		TimeoutMs: time.Until(deadline).Milliseconds(),
	}
}

func engineKind(k duty.Kind) linkpb.EngineOrderKind {
	switch k {
	case duty.LoadModel:
		return linkpb.EngineOrderKind_ENGINE_ORDER_KIND_LOAD_MODEL
	case duty.UnloadModel:
		return linkpb.EngineOrderKind_ENGINE_ORDER_KIND_UNLOAD_MODEL
	case duty.LoadAdapter:
		return linkpb.EngineOrderKind_ENGINE_ORDER_KIND_LOAD_ADAPTER
	case duty.SetRole:
		return linkpb.EngineOrderKind_ENGINE_ORDER_KIND_SET_ROLE
	default:
		return linkpb.EngineOrderKind_ENGINE_ORDER_KIND_UNSPECIFIED
	}
}

// intend commits the intent of an order. If the outcome of the proposal is unknown, the same intent is proposed again
// before any other, so that one need never results in two orders.
func (c *tenure) intend(ctx context.Context, order duty.Order) error {
	if order.ID == "" {
		order.ID = uuid.NewString()
	}
	result, err := c.proposeDuty(ctx, duty.Command{Intend: &duty.Intend{Fencing: c.fencing, Order: order}})
	if err != nil {
		c.uncertainIntents = append(c.uncertainIntents, order)
		return err
	}
	c.op.cfg.Logger.Info("order intended", "id", order.ID, "kind", order.Kind, "model", order.Model, "zone", order.Zone,
		"server", order.Server, "code", result.Code)
	return nil
}

// retryIntents proposes the intents of unknown outcome again, with the same ids.
func (c *tenure) retryIntents(ctx context.Context) error {
	again := c.uncertainIntents
	c.uncertainIntents = nil
	for i, order := range again {
		if err := c.intend(ctx, order); err != nil {
			c.uncertainIntents = append(c.uncertainIntents, again[i+1:]...)
			return err
		}
	}
	return nil
}
