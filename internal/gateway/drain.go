package gateway

import (
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	// drainAcceptPeriod is how long new connections are still accepted after the shutdown signal: the balancer checks
	// readiness once a second and needs two failed checks.
	drainAcceptPeriod = 2500 * time.Millisecond
	// graceMargin is the time before the end of the grace period at which the remaining requests are aborted.
	graceMargin = 300 * time.Millisecond
	// abortAnswerPeriod is the time within graceMargin in which the aborted requests are answered.
	abortAnswerPeriod = 100 * time.Millisecond
	// drainEstimateFactor is the multiple of the estimated length of an answer that must remain for a request to be admitted during
	// a shutdown, since a server may become busier than it was during the answers before.
	drainEstimateFactor = 3
	// drainPollInterval is the time between checks of the remaining connections.
	drainPollInterval = 50 * time.Millisecond
	// abortPollInterval is the same while the aborted requests are answered.
	abortPollInterval = 5 * time.Millisecond
	// drainRetryAfter is the Retry-After of a refusal during a shutdown. It is short since other gateways serve the request at once.
	drainRetryAfter = 20 * time.Millisecond
)

// drain stops accepting, closes connections once they are idle and waits for the requests in progress as long as the grace
// period allows. Answers sent meanwhile ask callers to close their connection. Requests that are still in progress then are answered
// too, with a failure, unless their answer has begun.
func (s *Server) drain(srv *http.Server, lis net.Listener) {
	began := time.Now()
	listen, all := drainTimes(s.cfg.GracePeriod)
	s.startDraining(began.Add(all))
	s.cfg.Logger.Info("gateway is shutting down", "in_flight", s.inFlight.Load())
	time.Sleep(listen)
	_ = lis.Close()
	s.hasStoppedAccepting.Store(true)
	s.awaitRequests(began.Add(all), drainPollInterval)
	s.cfg.Logger.Info("gateway has shut down", "in_flight", s.inFlight.Load())
	s.abort()
	s.awaitRequests(time.Now().Add(abortAnswerPeriod), abortPollInterval)
	_ = srv.Close()
}

// awaitRequests closes connections once they are idle, until none is left or the time is over.
func (s *Server) awaitRequests(until time.Time, interval time.Duration) {
	for s.conns.closeIdle() > 0 && time.Now().Before(until) {
		time.Sleep(interval)
	}
}

// drainTimes returns how long after the shutdown signal new connections are accepted, and when the remaining requests are
// aborted.
func drainTimes(grace time.Duration) (listen, all time.Duration) {
	return min(drainAcceptPeriod, grace/2), grace - min(graceMargin, grace/4)
}

// startDraining makes the gateway report not ready. The requests in progress are aborted at abortAt.
func (s *Server) startDraining(abortAt time.Time) { s.abortAt.Store(&abortAt) }

// isDraining reports whether the gateway is shutting down.
func (s *Server) isDraining() bool { return s.abortAt.Load() != nil }

// refuseBeforeAbort returns a refusal of a request that arrived after the shutdown signal and might not end before the
// remaining requests are aborted, or nil. Other gateways serve such a request completely. As long as callers may still be directed
// here, the length of the answer is estimated from earlier ones. Later only the request's own deadline counts: a server may stop
// answering.
func (s *Server) refuseBeforeAbort(x *exchange) *refusal {
	abortAt := s.abortAt.Load()
	if abortAt == nil {
		return nil
	}
	left := time.Until(*abortAt)
	longest := x.remaining()
	if estimate, ok := s.paces.longest(x); ok && !s.hasStoppedAccepting.Load() {
		longest = min(longest, drainEstimateFactor*estimate)
	}
	s.logStep(x, eventDrainDecision, slog.Bool("admitted", longest <= left), slog.Int64("longest_ms", longest.Milliseconds()),
		slog.Int64("left_ms", left.Milliseconds()), slog.Int("output_tokens", x.call.Prompt.MaxOutputTokens))
	if longest <= left {
		return nil
	}
	return shuttingDown()
}

// shuttingDown returns the refusal of a request that would not end before the remaining requests are aborted.
func shuttingDown() *refusal {
	ref := notRun(http.StatusServiceUnavailable, "shutting_down", "the gateway shuts down before the request would end")
	ref.retryAfter = drainRetryAfter
	return ref
}
