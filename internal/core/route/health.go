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
	// maxFailureShare is the share of failures from which a server is set aside.
	maxFailureShare = 0.5
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
	firstToken := g.median(func(s *server) float64 { return s.health.firstToken })
	interval := g.median(func(s *server) float64 { return s.load.TokenInterval.Seconds() })
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
	for _, s := range g.servers {
		if count >= limit {
			return
		}
		if s.health.state == healthy && s.isStraggler(firstToken, interval) {
			s.health.setAside(now)
			count++
		}
	}
}

// beginProbing forgets the observations that set the server aside.
func (s *server) beginProbing() {
	s.health = health{state: probing, duration: s.health.duration}
}

func (s *server) isStraggler(firstToken, interval float64) bool {
	h := &s.health
	if h.outcomes >= minOutcomes && h.failures > maxFailureShare {
		return true
	}
	if h.answered >= minOutcomes && firstToken > 0 && h.firstToken > stragglerFactor*firstToken {
		return true
	}
	return h.answered > 0 && interval > 0 && s.load.TokenInterval.Seconds() > stragglerFactor*interval
}

// median returns the median of the servers' known values, zero when fewer than three are known.
func (g *group) median(value func(*server) float64) float64 {
	g.scratch = g.scratch[:0]
	for _, s := range g.servers {
		if v := value(s); v > 0 {
			g.scratch = append(g.scratch, v)
		}
	}
	if len(g.scratch) < 3 {
		return 0
	}
	slices.Sort(g.scratch)
	return g.scratch[(len(g.scratch)-1)/2]
}
