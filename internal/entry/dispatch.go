package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/retry"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/internal/meter"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// outcomeTimeout bounds the wait for the verdict of a cancelled attempt.
const outcomeTimeout = 2 * time.Second

const (
	// grantBytes is the number of relayed bytes after which the agent is granted new credit.
	grantBytes = answerCredit / 4
	// meterBatch is the number of tokens of one answer that are metered together. An entry that crashes loses the count of fewer
	// tokens per answer.
	meterBatch = 16
)

// attempt is one dispatch of an exchange to a backend server.
type attempt struct {
	s         *Server
	x         *exchange
	id        requestID
	number    int
	server    route.Backend
	buffer    *receiveBuffer
	call      *link.Call
	writer    *answerWriter
	began     time.Time     // time of the dispatch
	queueWait time.Duration // at the agent
	first     time.Time     // arrival of the first event with data
	last      time.Time     // arrival of the newest event
	started   bool          // it runs at the backend server

	ungranted int // bytes relayed for which no new credit was granted yet
	unmetered int // output tokens relayed but not metered yet

	replayed bool        // the answer belongs to an earlier request: nothing is billed
	keep     *keptAnswer // nil: the answer is not stored
}

// result is the outcome of an attempt.
type result struct {
	verdict  verdict.Verdict
	complete bool // the complete answer arrived
	replayed bool // the answer belongs to an earlier request
	usage    *linkpb.Usage
	err      *refusal // nil with complete
	code     linkpb.RefuseCode
	kept     *keptAnswer // answer of the last attempt, to be stored with its claim
}

// dispatch sends x to backend servers until one answers or no further attempt is allowed.
func (s *Server) dispatch(ctx context.Context, x *exchange, w *answerWriter) result {
	var exclude []string
	var last result
	failures := 0
	for number := 1; ; number++ {
		server, err := s.servers.Choose(x.routeRequest(exclude))
		if err != nil {
			return noServerResult(x, err, last)
		}
		a := s.newAttempt(x, server, number, w)
		last = a.run(ctx)
		last.kept = a.keep
		if last.complete || ctx.Err() != nil {
			return last
		}
		if !isCapacityRefusal(last.code) {
			failures++
		}
		if !s.prepareRetry(ctx, x, w, last, number, failures) {
			return last
		}
		exclude = append(exclude, server.ID)
	}
}

// newAttempt returns an attempt of x at the given backend server, and adds the server to the id of x.
func (s *Server) newAttempt(x *exchange, server route.Backend, number int, w *answerWriter) *attempt {
	x.id = x.id.withAgent(server.ID, server.Incarnation)
	a := &attempt{s: s, x: x, id: x.id, number: number, server: server, writer: w}
	if x.idempotencyKey != "" {
		a.keep = &keptAnswer{}
	}
	return a
}

// prepareRetry reports whether x is sent to another backend server, after it has waited for the backoff.
func (s *Server) prepareRetry(ctx context.Context, x *exchange, w *answerWriter, last result, attempts, failures int) bool {
	deadline, _ := ctx.Deadline()
	s.budgetMu.Lock()
	d := retry.DefaultConfig.Next(time.Now(), retry.Attempt{
		Refused:     isCapacityRefusal(last.code),
		Verdict:     last.verdict,
		Repeatable:  x.repeatable,
		Delivered:   w.started,
		Dispatches:  attempts,
		Failures:    failures,
		MaxAttempts: x.class.Attempts,
		Deadline:    deadline,
	}, s.budget, rand.Float64())
	s.budgetMu.Unlock()
	if !d.Again {
		return false
	}
	if isCapacityRefusal(last.code) {
		s.count("placed_on", x)
		return true
	}
	s.count("retries", x)
	return wait.For(ctx, d.After)
}

// isCapacityRefusal reports whether an agent refused for lack of capacity or because it is leaving.
func isCapacityRefusal(c linkpb.RefuseCode) bool {
	switch c {
	case linkpb.RefuseCode_REFUSE_CODE_QUEUE_FULL,
		linkpb.RefuseCode_REFUSE_CODE_DISPLACED,
		linkpb.RefuseCode_REFUSE_CODE_HOPELESS,
		linkpb.RefuseCode_REFUSE_CODE_LEAVING:
		return true
	default:
		return false
	}
}

// noServerResult returns the result if no backend server is left to try.
func noServerResult(x *exchange, err error, last result) result {
	if last.err != nil {
		return last
	}
	if errors.Is(err, route.ErrUnknownModel) {
		what := "model"
		if x.kind == route.KindService {
			what = "service"
		}
		ref := refuse(http.StatusNotFound, what+"_not_found", "no backend server offers the %s %q", what, x.model)
		return result{verdict: verdict.NotRun, err: ref}
	}
	return result{verdict: verdict.NotRun, err: refuse(http.StatusServiceUnavailable, "no_backend_server",
		"no backend server for %q is ready", x.model)}
}

// run claims the idempotency key, submits the attempt and relays its answer.
func (a *attempt) run(ctx context.Context) result {
	s := a.s
	if r, mayDispatch := a.claim(ctx); !mayDispatch {
		return r
	}
	a.began = time.Now()
	a.buffer = newReceiveBuffer(s.servers.RecordAgentLoad)
	s.servers.RecordDispatch(a.server.ID, a.x.promptTokens, a.x.prefix)
	call, err := s.links.Submit(ctx, a.server.Address, a.submitMessage(ctx), a.buffer)
	if err != nil {
		r := result{verdict: verdict.Of(err), err: backendError(verdict.Of(err), err)}
		a.recordResult(r)
		return r
	}
	a.call = call
	r := a.relayAnswer(ctx)
	a.recordResult(r)
	return r
}

// submitMessage returns the message to the agent.
func (a *attempt) submitMessage(ctx context.Context) *linkpb.Submit {
	x := a.x
	remaining := x.class.Deadline
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	return &linkpb.Submit{
		RequestId:            a.id.String(),
		Attempt:              uint32(a.number),
		Organisation:         x.organisation,
		Class:                x.class.Name,
		Tier:                 uint32(x.class.Tier),
		Weight:               x.class.Weight,
		FloorShare:           x.class.FloorShare,
		DeadlineMs:           max(remaining.Milliseconds(), 1),
		FirstTokenTargetMs:   x.class.FirstTokenTarget.Milliseconds(),
		BetweenTokenTargetMs: x.class.BetweenTokenTarget.Milliseconds(),
		Repeatable:           x.repeatable,
		Preemptible:          x.class.Preemptible,
		KeepAnswer:           x.detached(),
		Stream:               x.stream,
		Model:                x.model,
		Method:               x.method,
		Path:                 x.pathAndQuery,
		Headers:              x.headers,
		Body:                 x.body,
		PromptTokens:         uint32(x.promptTokens),
		Prefix:               x.prefix,
		Credit:               answerCredit,
		AgentIncarnation:     a.server.Incarnation,
	}
}

// relayAnswer relays the answer until the attempt ends.
func (a *attempt) relayAnswer(ctx context.Context) result {
	for {
		select {
		case <-a.buffer.wake:
		case <-ctx.Done():
			return a.cancel(context.Cause(ctx))
		}
		arrived := a.buffer.collect()
		if r, over := a.deliver(arrived); over {
			return r
		}
		if a.writer.callerGone && !a.x.detached() {
			return a.cancel(errCallerGone)
		}
	}
}

// deliver relays received data. It returns the result and true if the attempt has ended.
func (a *attempt) deliver(in received) (result, bool) {
	if in.started && !a.started {
		a.started = true
		a.s.active.markStarted(a.x)
		a.queueWait = in.queueWait
		a.s.observe("queue_wait_us", in.queueWait, a.x)
	}
	if in.events > 0 {
		a.relayEvents(in)
	}
	switch {
	case in.end != nil:
		return a.endResult(in.end), true
	case in.refused != nil:
		return a.refusedResult(in.refused), true
	case in.lost != nil:
		return result{verdict: in.lost.Verdict, err: backendError(in.lost.Verdict, in.lost)}, true
	default:
		return result{}, false
	}
}

// relayEvents relays received events of the answer, meters them and grants new credit.
func (a *attempt) relayEvents(in received) {
	s, x := a.s, a.x
	now := time.Now()
	if in.head != nil {
		a.writer.writeHead(a.id, in.head)
		a.keep.setHead(in.head)
	}
	if a.replayed {
		// The durations belong to the earlier request.
	} else if a.first.IsZero() && len(in.data) > 0 {
		a.first = now
		s.observe("first_token_us", now.Sub(x.received), x)
	} else if in.tokens > 0 && !a.last.IsZero() {
		s.observe("between_tokens_us", now.Sub(a.last)/time.Duration(in.tokens), x)
	}
	a.last = now
	a.keep.write(in.data)
	a.writer.write(in.data)
	if !a.writer.callerGone {
		a.unmetered += in.tokens
	}
	if a.unmetered >= meterBatch || in.isFinal() {
		a.meterTokens()
	}
	a.ungranted += len(in.data)
	if a.ungranted >= grantBytes {
		a.call.Grant(uint32(a.ungranted))
		a.ungranted = 0
	}
}

// meterTokens counts the relayed tokens that are not metered yet.
func (a *attempt) meterTokens() {
	n := a.unmetered
	a.unmetered = 0
	if n == 0 || a.replayed {
		return
	}
	x := a.x
	x.deliveredTokens += uint64(n)
	a.s.usage.Add(x.meterKey(), meter.Amounts{OutputTokens: uint64(n)})
	a.s.limits.charge(x.lease, n)
	a.s.demand.recordTokens(x.organisation, n)
}

// endResult returns the result of an attempt whose agent reported its end.
func (a *attempt) endResult(end *linkpb.End) result {
	if !end.Stopped {
		return result{verdict: verdict.Ran, complete: true, usage: end.Usage}
	}
	v := link.VerdictOf(end.Verdict)
	ref := backendError(v, errors.New(end.Error))
	ref.Code = "answer_cut"
	return result{verdict: v, err: ref, usage: end.Usage}
}

// refusedResult returns the result of an attempt that its agent refused.
func (a *attempt) refusedResult(m *linkpb.Refused) result {
	v := link.VerdictOf(m.Verdict)
	if v != verdict.NotRun {
		return result{verdict: v, err: backendError(v, errors.New(m.Message)), code: m.Code}
	}
	ref := &refusal{
		Error:      verdict.New(v, refuseCodes[m.Code], "the backend server's agent refused the request: %s", m.Message),
		status:     refuseStatus(m.Code),
		retryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
	}
	if ref.Code == "" {
		ref.Code = "refused"
	}
	return result{verdict: v, err: ref, code: m.Code}
}

// refuseCodes maps an agent's refusals to the codes that callers see.
var refuseCodes = map[linkpb.RefuseCode]string{
	linkpb.RefuseCode_REFUSE_CODE_QUEUE_FULL:      "queue_full",
	linkpb.RefuseCode_REFUSE_CODE_DISPLACED:       "displaced",
	linkpb.RefuseCode_REFUSE_CODE_HOPELESS:        "deadline_unreachable",
	linkpb.RefuseCode_REFUSE_CODE_LEAVING:         "backend_leaving",
	linkpb.RefuseCode_REFUSE_CODE_BACKEND_DOWN:    "backend_down",
	linkpb.RefuseCode_REFUSE_CODE_STALE_EPOCH:     "link_replaced",
	linkpb.RefuseCode_REFUSE_CODE_CANCELLED:       "cancelled",
	linkpb.RefuseCode_REFUSE_CODE_UNKNOWN_REQUEST: "unknown_request",
	linkpb.RefuseCode_REFUSE_CODE_PREEMPTED:       "preempted",
	linkpb.RefuseCode_REFUSE_CODE_INVALID:         "invalid_request",
	linkpb.RefuseCode_REFUSE_CODE_UNKNOWN_MODEL:   "model_not_found",
}

func refuseStatus(c linkpb.RefuseCode) int {
	switch c {
	case linkpb.RefuseCode_REFUSE_CODE_INVALID:
		return http.StatusBadRequest
	case linkpb.RefuseCode_REFUSE_CODE_UNKNOWN_MODEL:
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}

// backendError returns the refusal for an attempt that failed for the given cause, other than by a refusal before it ran.
func backendError(v verdict.Verdict, cause error) *refusal {
	status := http.StatusBadGateway
	if v == verdict.NotRun {
		status = http.StatusServiceUnavailable
	}
	e := verdict.New(v, "backend_failed", "the backend server did not answer")
	e.Cause = cause
	return &refusal{Error: e, status: status}
}

// cancel cancels the attempt and waits up to outcomeTimeout for its verdict.
func (a *attempt) cancel(cause error) result {
	a.call.Cancel(cancelReason(cause))
	timer := time.NewTimer(outcomeTimeout)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return cancelledResult(verdict.MayHaveRun, cause)
		case <-a.buffer.wake:
		}
		in := a.buffer.collect()
		if in.started {
			a.started = true
		}
		if in.isFinal() {
			r, _ := a.deliver(received{end: in.end, refused: in.refused, lost: in.lost})
			if r.complete {
				// The rest of the answer is discarded here, so it is not complete for the caller.
				r.verdict = verdict.Ran
			}
			return cancelledResult(r.verdict, cause)
		}
	}
}

func cancelReason(cause error) linkpb.CancelReason {
	switch {
	case errors.Is(cause, errKeyWithdrawn), errors.Is(cause, errNotFresh):
		return linkpb.CancelReason_CANCEL_REASON_KEY_WITHDRAWN
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return linkpb.CancelReason_CANCEL_REASON_DEADLINE
	case errors.Is(cause, errDisplaced):
		return linkpb.CancelReason_CANCEL_REASON_SUPERSEDED
	default:
		return linkpb.CancelReason_CANCEL_REASON_CALLER_GONE
	}
}

// cancelledResult returns the result of a request that the entry cancelled for the given cause.
func cancelledResult(v verdict.Verdict, cause error) result {
	status, code := http.StatusServiceUnavailable, "cancelled"
	switch {
	case errors.Is(cause, errKeyWithdrawn):
		status, code = http.StatusUnauthorized, "key_withdrawn"
	case errors.Is(cause, errNotFresh):
		code = "settings_not_fresh"
	case errors.Is(cause, errDisplaced):
		code = "displaced"
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		status, code = http.StatusGatewayTimeout, "deadline_exceeded"
	case isCallerGone(cause):
		code = "caller_gone"
	}
	e := verdict.New(v, code, "the request was cancelled")
	e.Cause = cause
	return result{verdict: v, err: &refusal{Error: e, status: status}}
}

// recordResult meters the rest of the answer and records the outcome of the attempt for routing, retries and logs.
func (a *attempt) recordResult(r result) {
	s := a.s
	a.meterTokens()
	o := route.Outcome{Result: route.OK}
	switch {
	case r.complete:
		s.recordSuccess()
	case r.verdict == verdict.NotRun && r.code != linkpb.RefuseCode_REFUSE_CODE_UNSPECIFIED:
		o.Result = route.Refused
	case r.err != nil && r.err.Code == "caller_gone":
	default:
		o.Result = route.Failed
	}
	if !a.first.IsZero() {
		o.FirstToken = max(0, a.first.Sub(a.began)-a.queueWait) // the wait in the queue depends on the tier, not on the server
	}
	s.servers.RecordEnd(a.server.ID, a.server.Incarnation, o)
	if !r.complete {
		s.cfg.Logger.Info("attempt failed",
			telemetry.KeyRequestID, a.id.String(),
			telemetry.KeyBackendServer, a.server.ID,
			telemetry.KeyVerdict, r.verdict.String(),
			"code", r.err.Code, telemetry.KeyError, r.err.Error.Error())
	}
}
