package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// promptSteps bounds the steps that are logged at once, in a second. Beyond it steps wait for the end of their request, and
// those of requests that went well are left out.
const promptSteps = 100

// step is one decision about a request. While there are few it is logged at once, so that it outlives the process; under load
// it is kept until the request ends, and logged if the request failed, was refused or was late.
type step struct {
	at    time.Time
	event string
	attrs []slog.Attr
}

// Events of a request's story.
const (
	eventAdmitted  = "request admitted"
	eventSent      = "request sent"
	eventTryEnded  = "try ended"
	eventContinues = "request continues at its backup"
	eventAgain     = "request goes to another server"
	eventEnded     = "request ended"
)

// tell adds a step to the story of x. Once a step waits, those behind it wait too, so that they stay in order.
func (s *Server) tell(x *exchange, event string, attrs ...slog.Attr) {
	st := step{time.Now(), event, attrs}
	if len(x.steps) == 0 && s.steps.Take(st.at, promptSteps) {
		s.logStep(slog.LevelInfo, x, st)
		return
	}
	x.steps = append(x.steps, st)
}

// ending is how a request ended for its caller.
type ending struct {
	status  int
	code    string // of the gateway's own answer; empty: a backend server's answer
	reason  string
	verdict verdict.Verdict
	cut     bool // the answer was broken off
	gone    bool // the caller went away
}

// failed reports whether the caller didn't get what it asked for.
func (e ending) failed() bool {
	return e.code != "" || e.cut || e.gone || e.status >= http.StatusInternalServerError
}

// finish counts the end of x and logs its story where it matters.
func (s *Server) finish(x *exchange, e ending) {
	took := time.Since(x.arrived)
	if x.tries > 0 && x.isStream() && x.firstAfter == 0 {
		s.lanes.delayed(x, max(took, x.route.LatencyTarget)) // it waited in vain
	}
	s.count(x, e, took)
	level := slog.LevelInfo
	if e.failed() {
		level = slog.LevelWarn
	} else if len(x.steps) > 0 && !s.isLate(x) {
		return
	}
	end := step{time.Now(), eventEnded, []slog.Attr{
		slog.Int("status", e.status), slog.String("code", e.code), slog.String("reason", e.reason),
		slog.String(telemetry.KeyVerdict, e.verdict.String()), slog.Bool("cut", e.cut), slog.Bool("caller_gone", e.gone),
		slog.Int("tries", x.tries), slog.Int64("first_ms", x.firstAfter.Milliseconds()), slog.Int64("after_ms", took.Milliseconds()),
	}}
	for _, st := range append(x.steps, end) {
		s.logStep(level, x, st)
	}
}

func (s *Server) logStep(level slog.Level, x *exchange, st step) {
	handler := s.cfg.Logger.Handler()
	ctx := context.Background()
	if !handler.Enabled(ctx, level) {
		return
	}
	r := slog.NewRecord(st.at, level, st.event, 0)
	r.AddAttrs(slog.String(telemetry.KeyRequestID, x.call.ID))
	r.AddAttrs(st.attrs...)
	_ = handler.Handle(ctx, r) // a logger's output has nowhere to tell that it failed
}

// began notes that the answer to x began. An answer that goes on at another server began at the first one.
func (s *Server) began(x *exchange, at time.Time) {
	if x.firstAfter != 0 {
		return
	}
	x.firstAfter = at.Sub(x.arrived)
	s.lanes.delayed(x, x.firstAfter)
}

// isLate reports whether the beginning of the answer missed its target.
func (s *Server) isLate(x *exchange) bool {
	return x.route != nil && x.route.LatencyTarget > 0 && x.firstAfter > x.route.LatencyTarget
}
