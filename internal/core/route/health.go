package route

import (
	"slices"
	"time"
)

const (
	// reviewInterval is the least time between two comparisons of a group's servers.
	reviewInterval = 250 * time.Millisecond
	// stragglerFactor is the multiple of the peers' median from which a server is a straggler.
	stragglerFactor = 3
	// minOutcomes is the number of outcomes before a server is judged.
	minOutcomes = 5
	// maxFailureShare is the share of failures from which a server is set aside, failureExcess what it must lie above its
	// peers: where all fail alike, a server less helps nobody.
	maxFailureShare = 0.5
	failureExcess   = 0.25
	// probesToReturn is the number of good outcomes after which a server is fully back.
	probesToReturn = 3
	minAside       = 2 * time.Second
	maxAside       = 8 * time.Second
	// minUnreachable and maxUnreachable bound the time aside of a server to which no connection came about.
	minUnreachable = 250 * time.Millisecond
	maxUnreachable = 2 * time.Second
)

// healthState is how much work a server gets.
type healthState uint8

const (
	healthy healthState = iota
	aside               // no work until a time
	probing             // one own request at a time
)

// health is what the outcomes tell of a server.
type health struct {
	state      healthState
	until      time.Time
	duration   time.Duration // of the last time aside
	outcomes   int
	failures   float64 // moving share
	firstToken float64 // moving average, seconds
	answered   int
	probes     int // good outcomes in a row while probing
}

func (h *health) observe(now time.Time, o Outcome) {
	if o.Result == Refused {
		return
	}
	if o.Result == Unreachable {
		h.setUnreachable(now)
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
		h.setAside(now)
		return
	}
	h.probes++
	if h.probes >= probesToReturn {
		*h = health{duration: h.duration}
	}
}

func (h *health) setAside(now time.Time) {
	h.state = aside
	h.duration = min(max(minAside, 2*h.duration), maxAside)
	h.until = now.Add(h.duration)
	h.probes = 0
}

// setUnreachable sets the server aside for a short time: what keeps connections from coming about may be over soon.
func (h *health) setUnreachable(now time.Time) {
	h.state = aside
	h.duration = min(max(minUnreachable, 2*h.duration), maxUnreachable)
	h.until = now.Add(h.duration)
	h.probes = 0
}

// takesWork reports whether the server may get a request now. One whose time aside is over gets single probes.
func (s *server) takesWork(now time.Time) bool {
	switch s.health.state {
	case aside:
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

// review compares the servers of a group with one another and sets stragglers aside, never more than a third.
func (g *group) review(now time.Time) {
	if now.Sub(g.reviewedAt) < reviewInterval {
		return
	}
	g.reviewedAt = now
	limit := len(g.servers) / 3
	count := 0
	for _, s := range g.servers {
		if s.health.state == aside && !now.Before(s.health.until) {
			s.beginProbing()
		}
		if s.health.state != healthy {
			count++
		}
	}
	for _, peers := range g.peers() {
		firstToken := median(peers, func(s *server) float64 { return s.health.firstToken })
		interval := median(peers, func(s *server) float64 { return s.load.TokenInterval.Seconds() })
		busy := median(peers, (*server).reportedBusy)
		failures := median(peers, func(s *server) float64 { return s.health.failures })
		for _, s := range peers {
			if count < limit && s.health.state == healthy && s.isStraggler(firstToken, interval, busy, failures) {
				s.health.setAside(now)
				count++
			}
		}
	}
}

// peers returns the servers in sets of those that do like work.
func (g *group) peers() [][]*server {
	if g.tight <= 0 || g.tight >= len(g.servers) {
		return [][]*server{g.servers}
	}
	return [][]*server{g.ordered[:g.tight], g.ordered[g.tight:]}
}

// beginProbing forgets the observations that set the server aside.
func (s *server) beginProbing() {
	s.health = health{state: probing, duration: s.health.duration}
}

// isStraggler compares a server with the medians of its peers. One that has more to do than they may well be slower.
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

// median returns the median of the servers' known values, zero when fewer than three are known.
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
