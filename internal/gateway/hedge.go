package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/hedge"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/upstream"
)

// errLost is the cause with which the context of an attempt ends whose answer is no longer wanted, since another server's is relayed.
const errLost = errors.ConstError("the answer of another backend server is relayed")

// isLost reports whether the context of an attempt has ended because another server's answer is relayed.
func isLost(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errLost) }

// Results of a hedge.
const (
	hedgeStarted = "started"
	hedgeWon     = "won"
	hedgeLost    = "lost"
)

// hedgeConditions returns the conditions under which x, which was just sent to a server, would be hedged.
func hedgeConditions(x *exchange, t *attempts) hedge.Conditions {
	return hedge.Conditions{
		Class:       classOf(x),
		Repeatable:  x.route.IsIdempotent(),
		Begun:       t.stream.started || t.next.ID != "" || t.backup.ID != "",
		Servers:     t.sent + 1,
		MaxAttempts: x.route.MaxAttempts,
		Remaining:   x.remaining(),
	}
}

// hedgeWait returns the time after which x is late at the server to which it is being sent, or false if it can't be hedged then.
func (s *Server) hedgeWait(x *exchange, t *attempts, server route.Backend) (time.Duration, bool) {
	if s.hedges == nil || !hedgeConditions(x, t).IsHedgeable() {
		return 0, false
	}
	wait, ok := s.hedges.wait(x, server)
	if !ok {
		s.countNoHedge(x, hedge.NotLearned)
	}
	return wait, ok && wait < x.remaining()
}

// chooseHedge returns the server that gets the second copy of a late request, and pays for it, or returns why there is none.
func (s *Server) chooseHedge(x *exchange, t *attempts, first route.Backend) (route.Backend, hedge.Reason) {
	c := hedgeConditions(x, t)
	c.Server = hedgeServer(first)
	c.Busy, c.Slots = s.servers.Occupancy(route.KindService, x.service)
	if s.fair.isContended(x) {
		return route.Backend{}, hedge.AtCapacity // a hedge has no place in the fair queue
	}
	if reason := s.hedges.decide(x.service, c); reason != hedge.Allowed {
		return route.Backend{}, reason
	}
	if s.parts.refusal(x.sharedParts) != nil {
		return route.Backend{}, hedge.PromptBlocked
	}
	exclude := append(t.exclude[:len(t.exclude):len(t.exclude)], first.ID)
	server, err := s.servers.ChooseExtra(x.routeRequest(exclude))
	if err != nil {
		return route.Backend{}, hedge.NoServer
	}
	if reason := s.hedges.take(x.service, s.budgets); reason != hedge.Allowed {
		return route.Backend{}, reason
	}
	return server, hedge.Allowed
}

// contender is an attempt that runs beside another one. Until it is received from the results of its race, only its own goroutine uses it.
type contender struct {
	*attempt
	cancel   context.CancelCauseFunc
	received received
	wins     bool // its answer can be relayed
}

// race waits for the answer of an attempt that has begun, and if that is late, for the answer of a second server too. It relays the first
// success and cancels the other attempt. A failure of one leaves the other running.
func (s *Server) race(ctx context.Context, x *exchange, t *attempts, a *attempt, request *upstream.Request, wait time.Duration) attemptOutcome {
	results := make(chan *contender, 2)
	first := s.startContender(ctx, x, a, request, results)
	defer func() { first.cancel(nil) }()
	late := time.NewTimer(wait)
	defer late.Stop()
	select {
	case <-results:
		s.hedges.recordLate(x, false)
		return s.relay(ctx, x, first.attempt, first.received, t)
	case <-late.C:
	}
	s.hedges.recordLate(x, true)
	second := s.startHedge(ctx, x, t, first, results)
	if second == nil {
		<-results
		return s.relay(ctx, x, first.attempt, first.received, t)
	}
	defer func() { second.cancel(nil) }()
	decided, other := <-results, second
	if decided == second {
		other = first
	}
	if decided.wins {
		other.cancel(errLost)
		<-results // at once, since the connection is closed
		s.discard(x, t, other)
	} else {
		t.record(decided.server.ID, s.relay(ctx, x, decided.attempt, decided.received, t)) // relays nothing of a failure
		decided = <-results
	}
	if decided.wins {
		s.recordHedgeResult(x, decided, second)
	}
	return s.relay(ctx, x, decided.attempt, decided.received, t)
}

// startContender sends the request of an attempt in the background.
func (s *Server) startContender(ctx context.Context, x *exchange, a *attempt, request *upstream.Request, results chan<- *contender) *contender {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &contender{attempt: a, cancel: cancel}
	go func() {
		c.received = s.receive(ctx, x, a, request)
		if c.received.err == nil && !c.received.isNotRun() {
			c.wins = s.readUntilDecided(ctx, x, c)
		}
		results <- c
	}()
	return c
}

// startHedge sends x to a second server, or returns nil if that is not allowed.
func (s *Server) startHedge(ctx context.Context, x *exchange, t *attempts, first *contender, results chan<- *contender) *contender {
	if ctx.Err() != nil {
		return nil
	}
	server, reason := s.chooseHedge(x, t, first.server)
	if reason != hedge.Allowed {
		s.countNoHedge(x, reason)
		s.logStep(x, eventHedgeRefused, slog.String("reason", string(reason)), slog.Int64("after_ms", time.Since(first.sentAt).Milliseconds()))
		return nil
	}
	source := s.selectFetchSource(x, server)
	if source.ID == first.server.ID {
		source = route.Backend{} // it is late, and would hold up the second server too
	}
	began := time.Now()
	s.recordSend(x, server, began, source, t, slog.String("hedges", first.server.ID), slog.Int64("after_ms", began.Sub(first.sentAt).Milliseconds()))
	s.countHedge(x, hedgeStarted)
	s.servers.RecordDispatch(server.ID, x.call.Prompt.Tokens, nil) // the session stays where it is, should the hedge lose
	return s.startContender(ctx, x, startAttempt(s.servers, server, began), s.upstreamRequest(x, server, source, t), results)
}

// discard ends an attempt that was cancelled since another server's answer is relayed. It does not count as a failure of the server.
func (s *Server) discard(x *exchange, t *attempts, c *contender) {
	status := 0
	if answer := c.received.answer; answer != nil {
		status = answer.Status
		answer.Close()
	}
	c.received.ahead.end()
	c.end()
	s.servers.RecordEnd(c.server.ID, c.server.Incarnation, route.Outcome{Result: route.Refused})
	s.hedges.recordCancelled(x, c.attempt)
	s.logAttemptEnd(x, c.server, "cancelled", status, nil)
	t.record(c.server.ID, attemptOutcome{sent: true, ran: true})
}

// recordHedgeResult counts and logs which server's answer is relayed.
func (s *Server) recordHedgeResult(x *exchange, winner, second *contender) {
	result := hedgeLost
	if winner == second {
		result = hedgeWon
	}
	s.countHedge(x, result)
	s.logStep(x, eventHedgeDecided, slog.String("result", result), slog.String(telemetry.KeyBackendServer, winner.server.ID))
}

// countHedge counts a hedge of x.
func (s *Server) countHedge(x *exchange, result string) {
	if m := s.cfg.Metrics; m != nil {
		m.Counter(metricHedges, classLabel(x), telemetry.Label{Name: "result", Value: result}).Inc(1)
	}
}

// countNoHedge counts that x was not hedged.
func (s *Server) countNoHedge(x *exchange, reason hedge.Reason) {
	if m := s.cfg.Metrics; m != nil {
		m.Counter(metricNoHedge, classLabel(x), telemetry.Label{Name: "reason", Value: string(reason)}).Inc(1)
	}
}
