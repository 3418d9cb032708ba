package route

import (
	"slices"
	"time"
)

const (
	// reviewInterval is the minimum time between two comparisons of a group's servers.
	reviewInterval = 250 * time.Millisecond
	// stragglerFactor is the multiple of its peers' median above which a server is a straggler.
	stragglerFactor = 3
	// minOutcomes is the number of outcomes needed before a server's health is evaluated.
	minOutcomes = 5
	// maxFailureShare is the share of failures above which a server is quarantined. The share must also exceed the median
	// of the server's peers by failureExcess: if all servers fail alike, removing one of them only costs capacity.
	maxFailureShare = 0.5
	failureExcess   = 0.25
	// probesToRecover is the number of consecutive successful probes after which a server is healthy again.
	probesToRecover = 3
	// minQuarantine and maxQuarantine bound the quarantine of a straggler, which is twice as long as its last one.
	minQuarantine = 2 * time.Second
	maxQuarantine = 8 * time.Second
	// minUnreachableQuarantine and maxUnreachableQuarantine bound the quarantine after a failed connection attempt.
	minUnreachableQuarantine = 250 * time.Millisecond
	maxUnreachableQuarantine = 2 * time.Second
)

// healthState determines how much work a server gets.
type healthState uint8

const (
	healthy     healthState = iota
	quarantined             // no requests until health.until
	probing                 // one request of this process at a time
)

// health is the state of a server derived from the outcomes of its requests.
type health struct {
	state      healthState
	until      time.Time
	duration   time.Duration // of the last quarantine
	outcomes   int
	failures   float64 // moving average of the failed share
	firstToken float64 // moving average, seconds
	answered   int     // number of samples in firstToken
	probes     int     // consecutive successes while probing
}

func (h *health) observe(now time.Time, o Outcome) {
	if o.Result == Refused {
		return
	}
	if o.Result == Unreachable {
		h.quarantineUnreachable(now)
		return
	}
	h.outcomes++
	failed := 0.0
	if o.Result == Failed {
		failed = 1
	}
	h.failures += outcomeWeight * (failed - h.failures)
	if h.outcomes <= minOutcomes {
		h.failures += (failed - h.failures) / float64(h.outcomes+1)
	}
	if o.Result == OK && o.FirstToken > 0 {
		h.observeFirstToken(o.FirstToken)
	}
	if h.state == probing {
		h.observeProbe(now, o.Result == OK)
	}
}

func (h *health) observeFirstToken(took time.Duration) {
	h.answered++
	if h.answered == 1 {
		h.firstToken = took.Seconds()
		return
	}
	h.firstToken += outcomeWeight * (took.Seconds() - h.firstToken)
}

func (h *health) observeProbe(now time.Time, good bool) {
	if !good {
		h.quarantine(now)
		return
	}
	h.probes++
	if h.probes >= probesToRecover {
		*h = health{duration: h.duration}
	}
}

func (h *health) quarantine(now time.Time) {
	h.state = quarantined
	h.duration = min(max(minQuarantine, 2*h.duration), maxQuarantine)
	h.until = now.Add(h.duration)
	h.probes = 0
}

// quarantineUnreachable quarantines a server to which no connection could be established. The time is short because connection
// failures are often transient.
func (h *health) quarantineUnreachable(now time.Time) {
	h.state = quarantined
	h.duration = min(max(minUnreachableQuarantine, 2*h.duration), maxUnreachableQuarantine)
	h.until = now.Add(h.duration)
	h.probes = 0
}

// isAvailable reports whether the server may get a request now. After its quarantine a server gets one probe at a time.
func (s *server) isAvailable(now time.Time) bool {
	switch s.health.state {
	case quarantined:
		if now.Before(s.health.until) {
			return false
		}
		return s.inFlight == 0
	case probing:
		return s.inFlight == 0
	default:
		return true
	}
}

// review compares the servers of a group with one another and quarantines stragglers, at most a third of the group.
func (g *group) review(now time.Time) {
	if now.Sub(g.reviewedAt) < reviewInterval {
		return
	}
	g.reviewedAt = now
	g.refreshLanes(now)
	limit := len(g.servers) / 3
	count := 0
	for _, s := range g.servers {
		if s.health.state == quarantined && !now.Before(s.health.until) {
			s.beginProbing()
		}
		if s.health.state != healthy {
			count++
		}
	}
	for _, peers := range g.peerSets() {
		firstToken := median(peers, func(s *server) float64 { return s.health.firstToken })
		interval := median(peers, func(s *server) float64 { return s.load.TokenInterval.Seconds() })
		busy := median(peers, (*server).reportedBusy)
		failures := median(peers, func(s *server) float64 { return s.health.failures })
		for _, s := range peers {
			if count < limit && s.health.state == healthy && s.isStraggler(firstToken, interval, busy, failures) {
				s.health.quarantine(now)
				count++
			}
		}
	}
}

// peerSets returns the servers grouped by lane, so that servers are compared only with others that do similar work.
func (g *group) peerSets() [][]*server {
	if len(g.lanes) == 0 {
		return [][]*server{g.servers}
	}
	return g.lanes
}

// beginProbing discards the observations that led to the quarantine.
func (s *server) beginProbing() {
	s.health = health{state: probing, duration: s.health.duration}
}

// isStraggler compares a server with the medians of its peers. A slow first token counts only if the server isn't busier than
// its peers.
func (s *server) isStraggler(firstToken, interval, busy, failures float64) bool {
	h := &s.health
	if h.outcomes >= minOutcomes && h.failures > max(maxFailureShare, failures+failureExcess) {
		return true
	}
	if h.answered >= minOutcomes && firstToken > 0 && h.firstToken > stragglerFactor*firstToken {
		return s.reportedBusy() <= busy+1
	}
	return h.answered > 0 && interval > 0 && s.load.TokenInterval.Seconds() > stragglerFactor*interval
}

// median returns the lower median of the servers' positive values, or zero if fewer than three servers have one.
func median(servers []*server, value func(*server) float64) float64 {
	known := make([]float64, 0, len(servers))
	for _, s := range servers {
		if v := value(s); v > 0 {
			known = append(known, v)
		}
	}
	if len(known) < 3 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
