package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// maxImmediateSteps bounds the steps that are logged immediately in each second. Further steps are kept until the end of their
// request, and not logged if it succeeds in time.
const maxImmediateSteps = 100

// step is one logged event of a request. At a low rate it is logged immediately, so that it is not lost if the process crashes; under
// load it is kept until the request ends, and logged only if the request failed, was refused or was late.
type step struct {
	at    time.Time
	event string
	attrs []slog.Attr
}

// Log messages of the steps of a request.
const (
	eventAdmitted      = "request admitted"
	eventSent          = "request sent"
	eventDrainDecision = "request during shutdown"
	eventTryEnded      = "try ended"
	eventResumed       = "request resumed at its backup"
	eventRetried       = "request retried at another server"
	eventHedgeRefused  = "request not hedged"
	eventHedgeDecided  = "hedge decided"
	eventEnded         = "request ended"
)

// logStep logs a step of x or keeps it for the end of x. Once one is kept, so are those that follow, to preserve their order.
func (s *Server) logStep(x *exchange, event string, attrs ...slog.Attr) {
	st := step{time.Now(), event, attrs}
	if len(x.pendingSteps) == 0 && s.stepRate.Allow(st.at, maxImmediateSteps) {
		s.writeStep(slog.LevelInfo, x, st)
		return
	}
	x.pendingSteps = append(x.pendingSteps, st)
}

// requestOutcome is the result of a request for its caller.
type requestOutcome struct {
	status     int
	code       string // of the gateway's refusal; empty: a backend server answered
	reason     string
	verdict    verdict.Verdict
	truncated  bool // the answer was truncated
	callerGone bool // the caller disconnected
}

// failed reports whether the caller did not get a complete and successful answer.
func (e requestOutcome) failed() bool {
	return e.code != "" || e.truncated || e.callerGone || e.status >= http.StatusInternalServerError
}

// finish counts the end of x. It logs the kept steps and the end if x failed or was late, or if no step had to be kept.
func (s *Server) finish(x *exchange, e requestOutcome) {
	took := time.Since(x.arrived)
	if x.attempts > 0 && x.isStream() && x.firstAfter == 0 {
		s.lanes.recordDelay(x, max(took, x.route.LatencyTarget), x.route.LatencyTarget) // no answer began; the wait counts as missing the target
	}
	if x.longestGap > 0 {
		s.lanes.recordDelay(x, x.longestGap, x.route.GapTarget)
	}
	s.countRequest(x, e, took)
	if x.firstAfter > 0 && !e.failed() {
		s.paces.record(x, took)
	}
	level := slog.LevelInfo
	if e.failed() {
		level = slog.LevelWarn
	} else if len(x.pendingSteps) > 0 && !x.isLate() {
		return
	}
	end := step{time.Now(), eventEnded, []slog.Attr{
		slog.Int("status", e.status), slog.String("code", e.code), slog.String("reason", e.reason),
		slog.String(telemetry.KeyVerdict, e.verdict.String()), slog.Bool("cut", e.truncated), slog.Bool("caller_gone", e.callerGone),
		slog.Int("tries", x.attempts), slog.Int64("first_ms", x.firstAfter.Milliseconds()), slog.Int64("longest_gap_ms", x.longestGap.Milliseconds()),
		slog.Int64("after_ms", took.Milliseconds()),
	}}
	for _, st := range append(x.pendingSteps, end) {
		s.writeStep(level, x, st)
	}
}

func (s *Server) writeStep(level slog.Level, x *exchange, st step) {
	handler := s.cfg.Logger.Handler()
	ctx := context.Background()
	if !handler.Enabled(ctx, level) {
		return
	}
	r := slog.NewRecord(st.at, level, st.event, 0)
	r.AddAttrs(slog.String(telemetry.KeyRequestID, x.call.ID))
	r.AddAttrs(st.attrs...)
	_ = handler.Handle(ctx, r) // there is nowhere to report a failing log output
}

// recordFirstData records when the answer to x began. If a stream is resumed at another server, the first server's time counts.
func (s *Server) recordFirstData(x *exchange, at time.Time) {
	if x.firstAfter != 0 {
		return
	}
	x.firstAfter = at.Sub(x.arrived)
	s.parts.recordBegun(x.sharedParts)
	s.paces.recordStart(x)
	s.lanes.recordDelay(x, x.firstAfter, x.route.LatencyTarget)
}

// isLate reports whether the answer began later than the route's latency target, or paused for longer than its gap target.
func (x *exchange) isLate() bool {
	if x.route == nil {
		return false
	}
	exceeds := func(took, target time.Duration) bool { return target > 0 && took > target }
	return exceeds(x.firstAfter, x.route.LatencyTarget) || exceeds(x.longestGap, x.route.GapTarget)
}
