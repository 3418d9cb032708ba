package gateway

import (
	"net/http"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// Names of the metrics of cold servers.
const (
	metricColdServers  = "gateway_cold_servers"  // ready backend servers that count as cold, by cause
	metricColdRefusals = "gateway_cold_refusals" // requests refused because all servers are cold and none has a turn, by service
)

// setColdStarts passes what the catalog states about cold servers to the router.
func (s *Server) setColdStarts(index *catalog.Index) {
	if index == nil {
		return
	}
	for _, service := range index.Services() {
		s.servers.SetColdStart(route.KindService, service.Name, route.ColdStart{
			Length: service.ColdStart, PerSecond: service.ColdPerSecond, Overrun: s.cfg.ColdOverrun, Slack: s.cfg.ColdSlack,
		})
	}
}

// recordCold records what a backend server stated with its answer about how much longer it is cold.
func (s *Server) recordCold(server route.Backend, sentAt time.Time, reply Reply) {
	if reply.StatesCold {
		s.servers.RecordColdAnswer(server.ID, server.Incarnation, sentAt, reply.Cold)
	}
}

// followTurns passes the turns of this gateway to the router, and until when it knows every report of the servers.
func (s *Server) followTurns() {
	s.servers.SetTurns(s.dir.Turns(), s.dir.Wall())
	s.servers.RecordConfirmed(time.Now().Add(-s.dir.Unconfirmed(clock.Now())))
}

// noTurn returns the refusal of a request for which no cold server has a turn now.
func noTurn(cold *route.ColdError) *refusal {
	ref := notRun(http.StatusServiceUnavailable, codeCold, cold.Error())
	ref.retryAfter = cold.Left + time.Millisecond // Retry-After is rounded to milliseconds, and must not come before the turn
	return ref
}

// codeCold is the code of the refusal of requests for which no cold server has a turn.
const codeCold = "backend_cold"

// countColdRefusal counts the refusal of x if it was for a lack of turns at cold servers.
func (s *Server) countColdRefusal(x *exchange, ref *refusal) {
	if m := s.cfg.Metrics; m != nil && ref.code == codeCold {
		m.Counter(metricColdRefusals, telemetry.Label{Name: "service", Value: x.service}).Inc(1)
	}
}

// logCold logs that a server began or ceased to count as cold, or does so for another cause, with the age of what that is based on.
func (s *Server) logCold(before, now route.ServerState) {
	if before.Cold.Cause == now.Cold.Cause {
		return
	}
	if now.Cold.Cause == route.NotCold {
		s.cfg.Logger.Info("backend server no longer counts as cold", telemetry.KeyBackendServer, now.ID, "before", before.Cold.Cause)
		return
	}
	s.cfg.Logger.Info("backend server counts as cold", telemetry.KeyBackendServer, now.ID, "cause", now.Cold.Cause,
		"before", before.Cold.Cause, "remaining_ms", now.Cold.Left.Milliseconds(), "until", time.Now().Add(now.Cold.Left).UTC(),
		"per_second", now.Cold.PerSecond, "stated_age_ms", now.Cold.StatedAge.Milliseconds(), "report_age_ms", now.Cold.ReportAge.Milliseconds())
}

// coldCounts count the cold servers by cause.
type coldCounts map[route.ColdCause]int64

func newColdCounts() coldCounts {
	return coldCounts{route.ColdByReport: 0, route.ColdByAnswer: 0, route.ColdUnreachable: 0, route.ColdAfterDrain: 0}
}

func (c coldCounts) add(state route.ServerState) {
	if state.Cold.Cause != route.NotCold {
		c[state.Cold.Cause]++
	}
}

// publish updates the gauges. m may be nil.
func (c coldCounts) publish(m *telemetry.Registry) {
	if m == nil {
		return
	}
	for cause, n := range c {
		m.Gauge(metricColdServers, telemetry.Label{Name: "cause", Value: string(cause)}).Update(n)
	}
}
