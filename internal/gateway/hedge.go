package gateway

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
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

// hedges hold what was observed of the requests that may be hedged, by service. They are safe for concurrent use. The methods of a nil value
// do nothing.
type hedges struct {
	ratio float64

	mu        sync.Mutex
	byService map[string]*hedge.Service
}

// newHedges returns nil if the ratio is 0.
func newHedges(ratio float64) *hedges {
	if ratio <= 0 {
		return nil
	}
	return &hedges{ratio: ratio, byService: make(map[string]*hedge.Service)}
}

// forService returns the observations of a service, which it creates if necessary. mu must be held.
func (h *hedges) forService(name string) *hedge.Service {
	service := h.byService[name]
	if service == nil {
		service = hedge.NewService(h.ratio)
		h.byService[name] = service
	}
	return service
}

// recordRequest counts a request for a service.
func (h *hedges) recordRequest(service string) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forService(service).OnRequest(clock.Now())
}

// recordFirst records the time to the first byte of an attempt that succeeded.
func (h *hedges) recordFirst(x *exchange, a *attempt) {
	if h == nil || !x.route.IsIdempotent() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forService(x.service).RecordFirst(clock.Now(), classOf(x), hedgeServer(a.server), a.firstAt.Sub(a.sentAt))
}

// recordCancelled records an attempt that was cancelled because another server was faster.
func (h *hedges) recordCancelled(x *exchange, a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	service := h.forService(x.service)
	if a.firstAt.IsZero() {
		service.RecordCancelled(clock.Now(), classOf(x), hedgeServer(a.server), time.Since(a.sentAt))
		return
	}
	service.RecordFirst(clock.Now(), classOf(x), hedgeServer(a.server), a.firstAt.Sub(a.sentAt))
}

// recordLate records whether x was late.
func (h *hedges) recordLate(x *exchange, late bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forService(x.service).RecordLate(late)
}

// wait returns the time after which x is late at a server, or false if it is not known.
func (h *hedges) wait(x *exchange, server route.Backend) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.forService(x.service).Wait(clock.Now(), classOf(x), hedgeServer(server))
}

// decide returns whether a late request may be hedged, and if not, why.
func (h *hedges) decide(service string, c hedge.Conditions) hedge.Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.forService(service).Decide(clock.Now(), c)
}

// take uses one hedge of the share and one send of the retry budget, or none of both.
func (h *hedges) take(service string, retries *budgets) hedge.Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, observed := clock.Now(), h.forService(service)
	switch {
	case !observed.MayTake(now):
		return hedge.HedgeRatio
	case !retries.take(service):
		return hedge.RetryBudget
	default:
		observed.Take(now)
		return hedge.Allowed
	}
}

func classOf(x *exchange) hedge.Class { return hedge.ClassOf(x.route.Name, x.call.Prompt.Tokens) }

func hedgeServer(b route.Backend) hedge.Server {
	return hedge.Server{ID: b.ID, Incarnation: b.Incarnation}
}

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
		if reason == hedge.RetryBudget {
			s.countNoBudget(x)
		}
		return route.Backend{}, reason
	}
	return server, hedge.Allowed
}

// contender is an attempt that runs beside another one. Until it is received from the results of its race, only its own goroutine uses it.
type contender struct {
	*attempt
	request  *upstream.Request
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
	winner := <-results
	other := second
	if winner == second {
		other = first
	}
	if !winner.wins {
		t.record(winner.server.ID, s.relay(ctx, x, winner.attempt, winner.received, t)) // relays nothing of a failure
		<-results
		if other.wins {
			s.recordHedgeResult(x, other, second)
		}
		return s.relay(ctx, x, other.attempt, other.received, t)
	}
	other.cancel(errLost)
	<-results
	s.discard(x, t, other)
	s.recordHedgeResult(x, winner, second)
	return s.relay(ctx, x, winner.attempt, winner.received, t)
}

// startContender sends the request of an attempt in the background.
func (s *Server) startContender(ctx context.Context, x *exchange, a *attempt, request *upstream.Request, results chan<- *contender) *contender {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &contender{attempt: a, request: request, cancel: cancel}
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

// readAhead is what was read of the body of an answer before its relay. The methods of a nil value do nothing.
type readAhead struct {
	data []byte

	event eventMemory // of a stream
	err   error       // of a stream, after data; nil: the rest was not read

	isBuffered bool // data is a whole body, not a part of a stream
	isWhole    bool // the body is complete; valid with isBuffered
	release    func()
}

// end ends the reservations of memory of what is not relayed.
func (a *readAhead) end() {
	if a == nil {
		return
	}
	a.event.end()
	if a.release != nil {
		a.release()
	}
}

// readUntilDecided reads as much of an answer as decides whether it can be relayed, and reports whether it can: a stream until its first
// event, and the body of what is a failure, so that its relay does not wait for the server.
func (s *Server) readUntilDecided(ctx context.Context, x *exchange, c *contender) bool {
	r := &c.received
	switch {
	case r.isStream(x) && r.reply.Signed:
		return s.readFirstEvent(ctx, c)
	case r.isStream(x):
		return false
	case r.answer.Status >= 500 || r.answer.Status/100 == 2 && !r.reply.Signed:
		body, release, ok := s.bufferBody(ctx, r, c.server)
		r.ahead = &readAhead{data: body, isBuffered: true, isWhole: ok, release: release}
		return false
	default:
		return true
	}
}

// readFirstEvent reads a resumable stream until its first event is complete. A complete stream without an event is relayed too.
func (s *Server) readFirstEvent(ctx context.Context, c *contender) bool {
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	ahead := &readAhead{event: eventMemory{memory: s.answers, server: c.server.ID}}
	c.received.ahead = ahead
	for {
		n, err := c.received.answer.Read(buffer[:])
		if n > 0 {
			c.recordData(time.Now())
			ahead.data = append(ahead.data, buffer[:n]...)
		}
		if err == nil && completeEvents(ahead.data) == 0 {
			err = ahead.reserve(ctx)
		}
		ahead.err = err
		switch {
		case completeEvents(ahead.data) > 0:
			return true
		case err == io.EOF:
			return len(ahead.data) == 0 && c.received.answer.Framed
		case err != nil:
			return false
		}
	}
}

// reserve reserves the memory of an incomplete event, or returns an error if the event is too large.
func (a *readAhead) reserve(ctx context.Context) error {
	if len(a.data) > maxEventBytes {
		return errEventTooLarge
	}
	return a.event.adjust(ctx, len(a.data))
}

// eventMemoryOf returns the reservation for the incomplete events of a stream, which may have been made already.
func (s *Server) eventMemoryOf(r *received, server route.Backend) eventMemory {
	if r.ahead != nil {
		return r.ahead.event
	}
	return eventMemory{memory: s.answers, server: server.ID}
}

// read reads the body of a stream, first what was read ahead.
func (r *received) read(p []byte) (int, error) {
	a := r.ahead
	if a == nil || len(a.data) == 0 && a.err == nil {
		return r.answer.Read(p)
	}
	n := copy(p, a.data)
	a.data = a.data[n:]
	if len(a.data) == 0 {
		return n, a.err
	}
	return n, nil
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
