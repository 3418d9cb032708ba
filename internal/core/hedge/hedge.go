// Package hedge decides when a second copy of a request that may be repeated is sent to another backend server, and whether it may be.
//
// The time after which a request counts as late is a quantile of the times to the first byte of its route and prompt size, which are
// observed continuously. It is never a fixed time. The package reads no clock and is not safe for concurrent use.
package hedge

import (
	"math/bits"
	"time"

	"github.com/guavastack/guavastack/internal/core/retry"
)

const (
	// lateQuantile is the share of the usual times to the first byte that a request must have exceeded to be late.
	lateQuantile = 0.95
	// slowServerQuantile applies instead at a server that is known to be slow: half of the requests elsewhere have begun to be answered.
	slowServerQuantile = 0.5
	// measuredInterval is the number of late requests at a slow server of which one is not hedged. A cancelled request does not show how slow a
	// server is: if all were hedged, the health check would never set the server aside.
	measuredInterval = 8
	// maxLateShare is the share of late requests above which the cause is not a single server. One server of three that is slow stays
	// below it.
	maxLateShare = 0.4
	// lateWeight is the weight of one request in the moving average of the late share, which then has a standard deviation of 0.04 at
	// 0.15: with one slow server of ten it does not reach maxLateShare by chance.
	lateWeight = 0.02
	// maxClasses and maxServers bound what is kept for one service.
	maxClasses = 256
	maxServers = 4096
	// unusedAfter is the time after which what is kept of a class or server may be discarded.
	unusedAfter = 2 * time.Minute
	// smallPrompt is the number of tokens below which all prompts are in one size class. Above, each doubling is a class.
	smallPrompt = 512
	// maxSize is the class of the longest prompts.
	maxSize = 10
)

// Reason is why a hedge is not allowed.
type Reason string

// Reasons. The empty one means that the hedge is allowed.
const (
	Allowed       Reason = ""
	NotRepeated   Reason = "not_repeatable" // the request runs at most once
	Begun         Reason = "begun"          // a part of the answer was delivered, or the request resumes a run
	MaxAttempts   Reason = "max_attempts"   // the route allows no further server
	NotLearned    Reason = "not_learned"    // too few observations of the class
	NoTime        Reason = "no_time"        // the deadline comes before the usual time to the first byte
	MostAreSlow   Reason = "most_slow"      // the cause is not one server
	AtCapacity    Reason = "at_capacity"    // the servers report as much work as they have slots
	HedgeRatio    Reason = "hedge_ratio"    // the hedges of the last seconds have reached their share
	RetryBudget   Reason = "retry_budget"   // the retry budget of the service is exhausted
	Measured      Reason = "measured"       // the server is slow, and this request measures how slow
	NoServer      Reason = "no_server"      // no other server is fit
	PromptBlocked Reason = "prompt_blocked" // requests with a part of the prompt are refused
)

// Class identifies requests with similar times to the first byte.
type Class struct {
	Route string
	Size  int // of the prompt, on a logarithmic scale
}

// ClassOf returns the class of a request.
func ClassOf(route string, promptTokens int) Class {
	return Class{Route: route, Size: min(bits.Len(uint(max(0, promptTokens)/smallPrompt)), maxSize)}
}

// Service holds what was observed of the requests for one service.
type Service struct {
	budget    *retry.ShareBudget
	classes   map[Class]*distribution
	servers   map[Server]*serverPace
	lateShare float64 // moving average over the requests
}

// NewService returns a service without observations, whose hedges are at most ratio times its requests.
func NewService(ratio float64) *Service {
	return &Service{
		budget: retry.NewStrictShareBudget(ratio), classes: make(map[Class]*distribution), servers: make(map[Server]*serverPace),
	}
}

// OnRequest counts a request, which adds to the hedges that are allowed.
func (s *Service) OnRequest(now time.Time) { s.budget.OnRequest(now) }

// Wait returns the time after which a request to a server is late, or false if too few requests of its class were observed.
func (s *Service) Wait(now time.Time, class Class, server Server) (time.Duration, bool) {
	if s.servers[server].isSlow(now) {
		return s.quantile(now, class, slowServerQuantile)
	}
	return s.quantile(now, class, lateQuantile)
}

func (s *Service) quantile(now time.Time, class Class, q float64) (time.Duration, bool) {
	d := s.classes[class]
	if d == nil {
		return 0, false
	}
	return d.quantile(now, q)
}

// RecordFirst records the time to the first byte of a request that was sent to a server.
func (s *Service) RecordFirst(now time.Time, class Class, server Server, took time.Duration) {
	s.record(now, class, server, took, false)
}

// RecordCancelled records that a request was cancelled before its first byte, after the given time. Without these, the times would only be
// those of the faster copies and the quantile would fall with each hedge.
func (s *Service) RecordCancelled(now time.Time, class Class, server Server, after time.Duration) {
	s.record(now, class, server, after, true)
}

func (s *Service) record(now time.Time, class Class, server Server, took time.Duration, isLonger bool) {
	d, pace := s.distribution(now, class), s.pace(now, server)
	if d == nil || pace == nil {
		return
	}
	if median, ok := d.quantile(now, 0.5); ok {
		pace.record(now, took, median, isLonger)
	}
	// The times of a slow server are not what is expected elsewhere. If most requests are late, slow is what is usual.
	if !pace.isSlow(now) || s.mostAreLate() {
		d.record(now, took)
	}
}

// distribution returns the distribution of a class, or nil if there are too many.
func (s *Service) distribution(now time.Time, class Class) *distribution {
	d := s.classes[class]
	if d == nil {
		if len(s.classes) >= maxClasses {
			discard(s.classes, func(d *distribution) bool { return now.Sub(d.usedAt) > unusedAfter })
		}
		if len(s.classes) >= maxClasses {
			return nil
		}
		d = &distribution{decayedAt: now, usedAt: now}
		s.classes[class] = d
	}
	return d
}

// pace returns the pace of a server, or nil if there are too many.
func (s *Service) pace(now time.Time, server Server) *serverPace {
	p := s.servers[server]
	if p == nil {
		if len(s.servers) >= maxServers {
			discard(s.servers, func(p *serverPace) bool { return now.Sub(p.at) > unusedAfter })
		}
		if len(s.servers) >= maxServers {
			return nil
		}
		p = &serverPace{at: now}
		s.servers[server] = p
	}
	return p
}

// discard deletes the values for which f returns true.
func discard[K comparable, V any](m map[K]V, f func(V) bool) {
	for key, value := range m {
		if f(value) {
			delete(m, key)
		}
	}
}

// RecordLate records whether a request was late. A late one is recorded as soon as it is.
func (s *Service) RecordLate(late bool) {
	value := 0.0
	if late {
		value = 1
	}
	s.lateShare += lateWeight * (value - s.lateShare)
}

func (s *Service) mostAreLate() bool { return s.lateShare > maxLateShare }

// Conditions are what a decision about a hedge depends on besides the observations.
type Conditions struct {
	Class       Class
	Server      Server        // at which the request is late
	Repeatable  bool          // the request may run more than once
	Begun       bool          // a part of the answer was delivered, or the request resumes a run
	Servers     int           // servers to which the request was sent, including the one that is late
	MaxAttempts int           // servers to which it may be sent
	Remaining   time.Duration // until its deadline
	Busy, Slots int           // requests at the servers of the service and their slots, as reported; Slots 0: not reported
}

// IsHedgeable reports whether a request may be hedged at all, whatever is observed.
func (c Conditions) IsHedgeable() bool { return c.staticReason() == Allowed }

func (c Conditions) staticReason() Reason {
	switch {
	case !c.Repeatable:
		return NotRepeated
	case c.Begun:
		return Begun
	case c.Servers >= max(1, c.MaxAttempts):
		return MaxAttempts
	default:
		return Allowed
	}
}

// Decide returns whether a late request may be hedged now, and if not, why. It uses nothing of the share; Take does.
func (s *Service) Decide(now time.Time, c Conditions) Reason {
	if reason := c.staticReason(); reason != Allowed {
		return reason
	}
	usual, ok := s.quantile(now, c.Class, 0.5)
	switch {
	case !ok:
		return NotLearned
	case c.Remaining <= usual:
		return NoTime
	case s.mostAreLate():
		return MostAreSlow
	case c.Slots > 0 && c.Busy >= c.Slots:
		return AtCapacity
	case !s.budget.Allows(now):
		return HedgeRatio
	case s.isMeasured(now, c.Server):
		return Measured
	default:
		return Allowed
	}
}

// isMeasured reports whether a late request measures a slow server, as the first of each measuredInterval does.
func (s *Service) isMeasured(now time.Time, server Server) bool {
	pace := s.servers[server]
	if !pace.isSlow(now) {
		return false
	}
	pace.late++
	return pace.late%measuredInterval == 1
}

// Take uses one hedge of the share, or returns false if there is none left.
func (s *Service) Take(now time.Time) bool { return s.budget.Take(now) }

// MayTake reports whether Take would use a hedge.
func (s *Service) MayTake(now time.Time) bool { return s.budget.Allows(now) }
