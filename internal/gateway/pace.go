package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/serverset"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/wait"
)

const (
	// paceInterval is the time between two comparisons of the pace of backend servers. Other workloads on their machines start and end within
	// a second.
	paceInterval = 250 * time.Millisecond
	// slowWrite is the time for sending a part of a stream to its caller from which the interval before the next part says nothing about
	// the backend server.
	slowWrite = 5 * time.Millisecond
)

// eventClock records the intervals between the events of one answer. The zero value is before the first event.
type eventClock struct {
	last    time.Time // when the last event arrived
	blocked bool      // its caller took long to receive a part since
}

// recordData records that a part of the answer arrived. A part may have several events, or only the beginning of one.
func (c *eventClock) recordData(now time.Time, data []byte, activity *serverset.Activity) {
	events := bytes.Count(data, eventEnd)
	if events == 0 {
		if events = bytes.Count(data, eventEndCRLF); events == 0 {
			return
		}
	}
	if !c.last.IsZero() && !c.blocked {
		activity.RecordInterval(now.Sub(c.last), events)
	}
	c.last, c.blocked = now, false
}

// recordWrite records that a part that arrived at now has been sent to the caller.
func (c *eventClock) recordWrite(now, sent time.Time) {
	if sent.Sub(now) >= slowWrite {
		c.blocked = true
	}
}

// Names of the metrics of the pace of backend servers.
const (
	metricSlowServers = "gateway_slow_servers"        // ready backend servers that count as slow, by this gateway or the common list
	metricSlowdown    = "gateway_server_slowdown_pct" // lasting pace of a backend server that counts as slow or did, by server; 100: as its peers
	metricHomesLeft   = "gateway_homes_left_for_gap"  // streams that didn't get their session's server because of their gap target
)

// maxPaceLogs bounds the log lines on the pace of servers in each second. Other workloads may slow many servers at once.
const maxPaceLogs = 20

// watchPaces compares the pace of the backend servers at intervals, and logs changes.
func (s *Server) watchPaces(ctx context.Context) {
	var monitor paceMonitor
	for wait.For(ctx, paceInterval) {
		s.servers.ObserveIntervals()
		states, homesLeft := s.servers.PaceStates()
		monitor.observe(s, time.Now(), states, homesLeft)
	}
}

// paceMonitor logs which backend servers count as slow.
type paceMonitor struct {
	slow      map[string]route.PaceState // by id
	homesLeft int64
	lines     telemetry.PerSecondLimiter
}

// observe logs the changes since the last call, with the values that decided them and their age, and updates the metrics.
func (m *paceMonitor) observe(s *Server, now time.Time, states []route.PaceState, homesLeft int64) {
	slow := make(map[string]route.PaceState)
	for _, state := range states {
		before, was := m.slow[state.ID]
		was = was && before.Incarnation == state.Incarnation
		if state.Slow {
			slow[state.ID] = state
		}
		if state.Slow == was && (state.Listed > 0) == (before.Listed > 0) {
			if state.Slow {
				s.setSlowdown(state)
			}
			continue
		}
		s.setSlowdown(state)
		if !m.lines.Allow(now, maxPaceLogs) {
			continue
		}
		s.cfg.Logger.Info("backend server pace", telemetry.KeyBackendServer, state.ID, "slow", state.Slow, "listed", state.Listed > 0,
			"lasting", state.Lasting, "stated", state.Stated, "stated_age_ms", state.StatedAge.Milliseconds(),
			"gap_ms", state.Gap.Milliseconds(), "peer_gap_ms", state.PeerGap.Milliseconds())
	}
	for id := range m.slow {
		if _, still := slow[id]; !still && s.cfg.Metrics != nil {
			s.setSlowdown(route.PaceState{ID: id}) // also if it is gone
		}
	}
	m.slow = slow
	if metrics := s.cfg.Metrics; metrics != nil {
		metrics.Gauge(metricSlowServers).Update(int64(len(slow)))
		metrics.Counter(metricHomesLeft).Inc(homesLeft - m.homesLeft)
	}
	m.homesLeft = homesLeft
}

// setSlowdown updates the gauge of a server. It is 100 if the pace is unknown or not above that of the peers.
func (s *Server) setSlowdown(state route.PaceState) {
	if metrics := s.cfg.Metrics; metrics != nil {
		slowdown := max(state.Lasting, state.Listed, 1)
		metrics.Gauge(metricSlowdown, telemetry.Label{Name: "server", Value: state.ID}).Update(int64(100 * slowdown))
	}
}
