package gateway

import (
	"net/http"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// Names of the gateway's metrics. Times are histograms in microseconds, by class, which is the name of the route.
const (
	metricRequests     = "gateway_requests"        // by class, organisation, result and verdict
	metricRefusals     = "gateway_refusals"        // the gateway's own answers, by class and reason
	metricTries        = "gateway_tries"           // by class and result
	metricFurtherTries = "gateway_further_tries"   // by class
	metricNoBudget     = "gateway_no_budget"       // retries prevented by the retry budget, by service
	metricHedges       = "gateway_hedges"          // second copies of late requests, by class and result
	metricNoHedge      = "gateway_no_hedge"        // late requests that were not hedged, by class and reason
	metricQueue        = "gateway_queue_us"        // from the arrival to the first send
	metricFirst        = "gateway_first_us"        // from the arrival to the beginning of the answer
	metricGap          = "gateway_longest_gap_us"  // longest interval between two parts of a stream
	metricTotal        = "gateway_total_us"        // from the arrival to the end
	metricServers      = "gateway_servers"         // ready backend servers, by health
	metricLimited      = "gateway_limited_servers" // ready backend servers that state a rate limit
	metricCrashes      = "gateway_server_crashes"  // crashes of backend servers under requests of this gateway, by service
	metricFresh        = "gateway_keys_fresh_ms"   // how long the keys may still be used; below 0: they have expired
	metricBlockedParts = "gateway_blocked_parts"   // parts of prompts with which requests are refused
	metricDrainedZones = "gateway_drained_zones"   // availability zones whose servers get no new work
	metricDrained      = "gateway_drained_servers" // ready backend servers in these zones
	metricCatalog      = "gateway_catalog_version"
	metricInFlight     = "gateway_in_flight"
)

// Results of a request.
const (
	resultServed       = "served"
	resultCallerGone   = "caller_gone"
	resultTruncated    = "cut"
	resultBackendError = "backend_error"
)

// registerGauges registers the gauges of the gateway's state.
func (s *Server) registerGauges() {
	m := s.cfg.Metrics
	if m == nil {
		return
	}
	m.GaugeFunc(metricFresh, func() int64 { return s.dir.FreshFor(clock.Now()).Milliseconds() })
	m.GaugeFunc(metricCatalog, func() int64 { return int64(s.dir.Catalog().Version()) })
	m.GaugeFunc(metricInFlight, s.inFlight.Load)
	m.GaugeFunc(metricBlockedParts, s.parts.blockedCount)
	m.GaugeFunc(metricDrainedZones, s.drainedZones)
	m.GaugeFunc(metricDrained, s.drainedServers)
}

// countRequest adds the end of x to the metrics. took is the time since the arrival of x.
func (s *Server) countRequest(x *exchange, e requestOutcome, took time.Duration) {
	m := s.cfg.Metrics
	if m == nil {
		return
	}
	class := classLabel(x)
	result := e.result()
	m.Counter(metricRequests, class, telemetry.Label{Name: "organisation", Value: x.organisation},
		telemetry.Label{Name: "result", Value: result}, telemetry.Label{Name: "verdict", Value: e.verdict.String()}).Inc(1)
	if e.code != "" {
		m.Counter(metricRefusals, class, telemetry.Label{Name: "reason", Value: e.code}).Inc(1)
	}
	m.Observe(metricTotal, took, class)
	if x.sentAfter > 0 {
		m.Observe(metricQueue, x.sentAfter, class)
	}
	if x.firstAfter > 0 {
		m.Observe(metricFirst, x.firstAfter, class)
	}
	if x.longestGap > 0 {
		m.Observe(metricGap, x.longestGap, class)
	}
	if x.attempts > 1 {
		m.Counter(metricFurtherTries, class).Inc(int64(x.attempts - 1))
	}
}

// countAttempt adds the end of an attempt to the metrics.
func (s *Server) countAttempt(x *exchange, result string) {
	if m := s.cfg.Metrics; m != nil {
		m.Counter(metricTries, classLabel(x), telemetry.Label{Name: "result", Value: result}).Inc(1)
	}
}

// countNoBudget counts a retry prevented by the retry budget of the request's service.
func (s *Server) countNoBudget(x *exchange) {
	if m := s.cfg.Metrics; m != nil {
		m.Counter(metricNoBudget, telemetry.Label{Name: "service", Value: x.service}).Inc(1)
	}
}

func classLabel(x *exchange) telemetry.Label {
	label := telemetry.Label{Name: "class"}
	if x.route != nil {
		label.Value = x.route.Name
	}
	return label
}

// result returns the value of the result label.
func (e requestOutcome) result() string {
	switch {
	case e.callerGone:
		return resultCallerGone
	case e.truncated:
		return resultTruncated
	case e.code != "":
		return e.code
	case e.status >= http.StatusInternalServerError:
		return resultBackendError
	default:
		return resultServed
	}
}

// healthMonitor logs changes of the health of backend servers as this gateway sees it.
type healthMonitor struct {
	known map[string]route.ServerState // as last observed, by id
}

// observe logs the changes since the last call, with the values that decided them, and updates the number of servers of each
// health and of those with a rate limit.
func (t *healthMonitor) observe(s *Server) {
	counts := map[route.Health]int64{
		route.HealthGood: 0, route.HealthQuarantined: 0, route.HealthProbing: 0, route.HealthSilent: 0,
	}
	known := make(map[string]route.ServerState)
	limited := int64(0)
	cold := newColdCounts()
	for _, state := range s.servers.States() {
		known[state.ID] = state
		before, ok := t.known[state.ID]
		cold.add(state)
		s.logCold(before, state)
		if state.RateLimit > 0 {
			limited++
		}
		if before.RateLimit != state.RateLimit {
			s.cfg.Logger.Info("backend server rate limit", telemetry.KeyBackendServer, state.ID, "per_second", state.RateLimit, "before", before.RateLimit)
		}
		counts[state.Health]++
		if before.Health == state.Health || (!ok && state.Health == route.HealthGood) {
			continue
		}
		s.cfg.Logger.Info("backend server health", telemetry.KeyBackendServer, state.ID, "health", state.Health, "before", before.Health,
			"failures", state.Failures, "first_ms", state.FirstTokenWait.Milliseconds(), "in_flight", state.InFlight,
			"silent_ms", state.SilentFor.Milliseconds())
	}
	t.known = known
	cold.publish(s.cfg.Metrics)
	if m := s.cfg.Metrics; m != nil {
		for health, n := range counts {
			m.Gauge(metricServers, telemetry.Label{Name: "health", Value: string(health)}).Update(n)
		}
		m.Gauge(metricLimited).Update(limited)
	}
}
