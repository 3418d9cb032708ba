package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/upstream"
)

// Cancellation causes of the context of a request.
const (
	errDeadline = errors.ConstError("request deadline exceeded")
	errShutdown = errors.ConstError("the gateway has shut down")
)

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !beginRequest(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.limitUnreadBody(w, r)
	x, ref := s.admit(w, r)
	defer func() { x.received.Release() }()
	w = callerWriter{w, s, x.deadline}
	if ref == nil {
		s.budgets.recordRequest(x.service)
		s.hedges.recordRequest(x.service)
		ctx, cancel := s.requestContext(r.Context(), x)
		defer cancel()
		ref = s.forward(ctx, x, w)
	}
	if ref != nil {
		s.respondRefused(w, r, x, ref)
	}
}

// requestContext returns a context that ends at the deadline of x, when the caller disconnects, or when a shutdown ends the
// requests in progress.
func (s *Server) requestContext(ctx context.Context, x *exchange) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.aborted, func() { cancel(errShutdown) })
	ctx, cancelDeadline := context.WithDeadlineCause(ctx, x.deadline, errDeadline)
	return ctx, func() {
		stop()
		cancelDeadline()
		cancel(nil)
	}
}

// isCallerGone reports whether the context of a request has ended because its caller disconnected.
func isCallerGone(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }

// respondRefused sends the gateway's own final answer, unless the caller has disconnected.
func (s *Server) respondRefused(w http.ResponseWriter, r *http.Request, x *exchange, ref *refusal) {
	e := requestOutcome{status: ref.status, code: ref.code, reason: ref.message, verdict: ref.verdict}
	// The abort of a shutdown and the refusal of a body end its read, which net/http takes for the caller's end.
	e.callerGone = errors.Is(r.Context().Err(), context.Canceled) && s.aborted.Err() == nil && !endsBodyRead(ref)
	if !e.callerGone {
		if ref.verdict == verdict.NotRun && ref.status == http.StatusServiceUnavailable && ref.retryAfter == 0 {
			ref.retryAfter = x.retryAfter()
		}
		ref.write(w)
	}
	s.countColdRefusal(x, ref)
	s.finish(x, e)
	if e.callerGone {
		panic(http.ErrAbortHandler) // net/http would send an empty 200 to a caller that has closed only its sending side
	}
}

// forward sends x to backend servers until one answers, within the limits on retries. It returns a refusal if none did.
func (s *Server) forward(ctx context.Context, x *exchange, w http.ResponseWriter) *refusal {
	t := &attempts{stream: newStreamWriter(w, x)}
	for {
		if ref := s.parts.refusal(x.sharedParts); ref != nil {
			t.recordRefusal(ref)
			break
		}
		var ref *refusal
		if t.place, ref = s.fair.enter(ctx, x, t); ref != nil {
			t.recordRefusal(ref)
			break
		}
		server, err := s.nextServer(x, t)
		if err != nil {
			t.place.end()
			t.recordNoServer(err)
			break
		}
		o := s.attemptAt(ctx, x, server, t)
		t.place.end()
		t.next = route.Backend{}
		if o.done {
			s.finish(x, requestOutcome{status: o.status, verdict: verdict.Ran})
			return nil
		}
		t.record(t.current.server.ID, o)
		if s.resumeAtBackup(ctx, x, t, t.current.server, o) {
			continue
		}
		if ctx.Err() != nil || !s.mayRetry(x, t, o) {
			break
		}
		s.logStep(x, eventRetried, slog.Bool("sent", o.sent), slog.Bool("may_have_run", o.ran), slog.String("resume_after", t.stream.lastID))
	}
	t.place.limitRetryAfter(t.refusal)
	return s.finishAttempts(ctx, x, t, w)
}

// nextServer returns the backend server for the next attempt.
func (s *Server) nextServer(x *exchange, t *attempts) (route.Backend, error) {
	if t.next.ID != "" {
		return t.next, nil
	}
	return s.servers.Choose(x.routeRequest(t.exclude))
}

// mayRetry reports whether another attempt may follow o. If o was sent, the retry uses the retry budget.
func (s *Server) mayRetry(x *exchange, t *attempts, o attemptOutcome) bool {
	if t.ran && !x.route.IsIdempotent() {
		return false
	}
	if !o.sent {
		return true // caused no load at any server
	}
	if t.sent >= max(1, x.route.MaxAttempts) {
		return false
	}
	if !s.budgets.take(x.service) {
		s.countNoBudget(x)
		return false
	}
	return true
}

// finishAttempts ends a request after its last attempt. It sends the answer that was held back, if any, breaks off a stream that
// has begun, or returns the refusal to send.
func (s *Server) finishAttempts(ctx context.Context, x *exchange, t *attempts, w http.ResponseWriter) *refusal {
	switch {
	case t.stream.started:
		callerGone := isCallerGone(ctx)
		s.finish(x, requestOutcome{status: t.stream.status, reason: t.refusal.message, verdict: verdict.Ran, truncated: true, callerGone: callerGone})
		panic(http.ErrAbortHandler) // a truncated answer must not look complete
	case t.heldAnswer != nil:
		t.heldAnswer.write(w)
		s.finish(x, requestOutcome{status: t.heldAnswer.status, verdict: verdict.Ran})
		return nil
	case ctx.Err() != nil && t.refusal.verdict == verdict.NotRun:
		return notRun(http.StatusServiceUnavailable, "deadline_exceeded", "no backend server accepted the request before its deadline")
	default:
		return t.refusal
	}
}

// attemptAt sends x to one backend server and relays its answer. If the answer is late and x may be hedged, a second server is asked beside
// it. t.current is the attempt whose outcome is returned; that of the other one is recorded in t.
func (s *Server) attemptAt(ctx context.Context, x *exchange, server route.Backend, t *attempts) attemptOutcome {
	began := time.Now()
	source := s.selectFetchSource(x, server)
	if t.next.ID == "" {
		t.backup = s.selectBackup(x, server)
	}
	s.recordSend(x, server, began, source, t)
	s.servers.RecordDispatch(server.ID, unsharedTokens(x.call.Prompt), x.prefix)
	a := startAttempt(s.servers, server, began)
	request := s.upstreamRequest(x, server, source, t)
	if wait, ok := s.hedgeWait(x, t, server); ok {
		return s.race(ctx, x, t, a, request, wait)
	}
	return s.relay(ctx, x, a, s.receive(ctx, x, a, request), t)
}

// recordSend counts and logs a send of x that is about to happen.
func (s *Server) recordSend(x *exchange, server route.Backend, at time.Time, source route.Backend, t *attempts, attrs ...slog.Attr) {
	x.attempts++
	if x.sentAfter == 0 {
		x.sentAfter = at.Sub(x.arrived)
	}
	s.logStep(x, eventSent, append([]slog.Attr{
		slog.String(telemetry.KeyBackendServer, server.ID), slog.String("address", server.Address),
		slog.String("zone", server.Zone), slog.Int("try", x.attempts), slog.Int64("remaining_ms", x.remaining().Milliseconds()),
		slog.String("fetch_from", source.ID), slog.String("backup", t.backup.ID),
	}, attrs...)...)
}

// received is what a server sent to one attempt: the head of an answer or an error.
type received struct {
	answer *upstream.Answer // nil: err is set
	reply  Reply
	err    error
	ahead  *readAhead // what was read of the body before its relay; nil: nothing
}

// isStream reports whether the answer is a stream of x, which is relayed event by event.
func (r *received) isStream(x *exchange) bool { return r.answer.Status/100 == 2 && x.isStream() }

// isNotRun reports whether the server said that it did not run the request.
func (r *received) isNotRun() bool { return r.reply.NotRun || r.reply.Misdirected }

// receive sends the request of an attempt, waits for the head of its answer and records what that says of the server. It changes neither x
// nor the state of other attempts.
func (s *Server) receive(ctx context.Context, x *exchange, a *attempt, request *upstream.Request) received {
	answer, err := s.client.Do(ctx, a.server.Address, request)
	if err != nil {
		return received{err: err}
	}
	r := received{answer: answer, reply: s.cfg.Dialect.ParseReply(answer.Status, answer.Header)}
	if isLost(ctx) {
		return r
	}
	if !r.isStream(x) {
		a.recordData(time.Now())
	}
	s.recordLoad(a.server, r.reply)
	if !r.reply.Misdirected {
		s.servers.RecordRateLimit(a.server.ID, a.sentAt, r.reply.RateLimit)
		s.recordNotice(x, a.server, r.reply)
		s.recordCold(a.server, a.sentAt, r.reply)
	}
	return r
}

// relay relays what an attempt received, and ends the attempt.
func (s *Server) relay(ctx context.Context, x *exchange, a *attempt, r received, t *attempts) attemptOutcome {
	t.current = a
	defer a.end()
	if r.err != nil {
		return s.endUnanswered(ctx, x, a, r.err)
	}
	answer, server := r.answer, a.server
	defer answer.Close()
	t.place.observe(server.ID, r.reply)
	if r.isNotRun() {
		s.servers.RecordEnd(server.ID, server.Incarnation, route.Outcome{Result: route.Refused})
		s.logAttemptEnd(x, server, "not_run", answer.Status, nil)
		return attemptOutcome{sent: true, refusal: notRun(http.StatusServiceUnavailable, "backend_full", "the backend server did not accept the request")}
	}
	var o attemptOutcome
	if r.isStream(x) {
		o = s.relayStream(ctx, x, &r, t)
	} else {
		s.recordUsage(x, a.began)
		o = s.relayBuffered(ctx, x, &r, t)
		x.firstAfter = time.Since(x.arrived)
	}
	s.endAnswered(ctx, x, a, &r, o)
	o.status = answer.Status
	return o
}

// endUnanswered ends an attempt that failed before the head of an answer arrived.
func (s *Server) endUnanswered(ctx context.Context, x *exchange, a *attempt, err error) attemptOutcome {
	o := s.failedOutcome(ctx, x, a.server, err)
	s.recordEnd(ctx, a.server, route.Outcome{Result: failedResult(ctx, err)})
	lost := isAnswerLost(ctx, err)
	if o.ran && (!x.isStream() || lost) {
		s.recordUsage(x, a.began)
	}
	if lost {
		s.crashes.recordBroken(a.server, x.sharedParts)
	}
	return o
}

// endAnswered records the outcome of an attempt whose answer was relayed as far as possible.
func (s *Server) endAnswered(ctx context.Context, x *exchange, a *attempt, r *received, o attemptOutcome) {
	status := r.answer.Status
	if !o.done && o.heldAnswer == nil && ctx.Err() == nil {
		s.crashes.recordBroken(a.server, x.sharedParts)
	}
	if o.done && status/100 == 2 && !a.firstAt.IsZero() {
		s.parts.recordAnswered(time.Now(), x.sharedParts)
		s.hedges.recordFirst(x, a)
	}
	first := time.Since(a.began)
	if r.isStream(x) && !a.firstAt.IsZero() {
		first = a.firstAt.Sub(a.began)
	}
	s.recordEnd(ctx, a.server, routeOutcome(o, status, first))
	result := "failed"
	if o.done {
		result = "served"
	}
	s.logAttemptEnd(x, a.server, result, status, nil)
}

// selectFetchSource returns the backend server from which the chosen one fetches the prompt prefix, or the zero value if there is
// none.
func (s *Server) selectFetchSource(x *exchange, server route.Backend) route.Backend {
	if !x.fetchesPrefix {
		return route.Backend{}
	}
	source, _ := s.servers.FetchSource(x.routeRequest(nil), server.ID)
	return source
}

// recordEnd records the end of a dispatch. If the caller disconnected, the outcome does not count as a failure of the server.
func (s *Server) recordEnd(ctx context.Context, server route.Backend, o route.Outcome) {
	if isCallerGone(ctx) {
		o = route.Outcome{Result: route.Refused}
	}
	s.servers.RecordEnd(server.ID, server.Incarnation, o)
}

// upstreamRequest returns the request for the backend server.
func (s *Server) upstreamRequest(x *exchange, server, source route.Backend, t *attempts) *upstream.Request {
	header := x.header.Clone()
	removeConnectionHeaders(header)
	s.cfg.Dialect.RewriteHeaders(header, Forwarding{
		Remaining:    x.remaining(),
		ServerID:     server.ID,
		Organisation: x.organisation,
		Rank:         x.rank,
		Ranks:        x.ranks,
		ResumeAfter:  t.stream.lastID,
		FetchFrom:    source.Address,
		BackupTo:     t.backup.Address,
		ContinueFrom: t.next.Address,
	})
	return &upstream.Request{
		Method: x.method,
		Target: x.target,
		Host:   x.host,
		Header: header,
		Body:   x.body,
		Rest:   x.bodyRest,
		Owns:   func(h http.Header) bool { return s.cfg.Dialect.ParseReply(0, h).RequestID == x.call.ID },
	}
}

// logAttemptEnd counts and logs the end of an attempt at x. status is 0 if there is no answer.
func (s *Server) logAttemptEnd(x *exchange, server route.Backend, result string, status int, err error) {
	s.countAttempt(x, result)
	attrs := []slog.Attr{
		slog.String(telemetry.KeyBackendServer, server.ID), slog.String("result", result), slog.Int("status", status),
		slog.Int64("remaining_ms", x.remaining().Milliseconds()),
	}
	if err != nil {
		attrs = append(attrs, slog.String(telemetry.KeyError, err.Error()))
	}
	s.logStep(x, eventTryEnded, attrs...)
}
