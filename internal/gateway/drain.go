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
	// drainEstimateFactor is the multiple of the estimated length of an answer that must remain for a request to be admitted during
	// a shutdown, since a server may become busier than it was during the answers before.
	drainEstimateFactor = 3
	// drainPollInterval is the time between checks of the remaining connections.
	drainPollInterval = 50 * time.Millisecond
	// drainRetryAfter is the Retry-After of a refusal during a shutdown. It is short since other gateways serve the request at once.
	drainRetryAfter = 20 * time.Millisecond
)

// drain stops accepting, closes connections once they are idle and waits for the requests in progress as long as the grace
// period allows. Answers sent meanwhile ask callers to close their connection.
func (s *Server) drain(srv *http.Server, lis net.Listener) {
	began := time.Now()
	listen, all := drainTimes(s.cfg.GracePeriod)
	s.startDraining(began.Add(all))
	s.cfg.Logger.Info("gateway is shutting down", "in_flight", s.inFlight.Load())
	time.Sleep(listen)
	_ = lis.Close()
	for s.conns.closeIdle() > 0 && time.Since(began) < all {
		time.Sleep(drainPollInterval)
	}
	s.cfg.Logger.Info("gateway has shut down", "in_flight", s.inFlight.Load())
	_ = srv.Close() // aborts the requests that outlasted the grace period
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
// remaining requests are aborted, or nil. Other gateways serve such a request completely.
func (s *Server) refuseBeforeAbort(x *exchange) *refusal {
	abortAt := s.abortAt.Load()
	if abortAt == nil {
		return nil
	}
	left := time.Until(*abortAt)
	longest := x.remaining()
	if estimate, ok := s.paces.longest(x); ok {
		longest = min(longest, drainEstimateFactor*estimate)
	}
	s.logStep(x, eventDrainDecision, slog.Bool("admitted", longest <= left), slog.Int64("longest_ms", longest.Milliseconds()),
		slog.Int64("left_ms", left.Milliseconds()), slog.Int("output_tokens", x.call.Prompt.MaxOutputTokens))
	if longest <= left {
		return nil
	}
	ref := notRun(http.StatusServiceUnavailable, "shutting_down", "the gateway shuts down before the request would end")
	ref.retryAfter = drainRetryAfter
	return ref
}
