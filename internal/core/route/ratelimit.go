package route

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/limit"
)

// rateLimit is the limit that a server states in its answers.
type rateLimit struct {
	perSecond float64   // requests from all processes together; 0: none
	statedAt  time.Time // when an answer last stated it
	chosenAt  time.Time // when this process last chose the server
}

// SetTurns sets the turns by which all processes share the rate limits of servers, and how far the clock that they share is ahead of
// the one of this table's times.
func (t *Table) SetTurns(turns limit.Turns, clockAhead time.Duration) {
	t.turns, t.clockAhead = turns, clockAhead
}

// isWithinLimit reports whether the server's rate limit allows this process to send it a request now.
func (s *server) isWithinLimit(now time.Time) bool {
	return (s.limit.perSecond == 0 && !s.warmth.isTracked) || s.hasTurn(now)
}

func (s *server) hasTurn(now time.Time) bool {
	perSecond := s.rateLimit(now)
	if perSecond == 0 {
		return true
	}
	t := s.group.table
	return t.turns.IsTurnWithin(now.Add(t.clockAhead), s.limit.chosenAt.Add(t.clockAhead), perSecond, s.order, s.turnTime(now))
}

// rateLimit returns the lower one of the limit that the server states and that of a cold server, in requests per second; 0: none.
func (s *server) rateLimit(now time.Time) float64 {
	stated, cold := s.limit.perSecond, s.coldRate(now)
	if stated == 0 || (cold > 0 && cold < stated) {
		return cold
	}
	return stated
}

// turnTime returns the time for which a turn at the server can be used.
func (s *server) turnTime(now time.Time) time.Duration {
	if s.coldRate(now) > 0 {
		return s.group.cold.turnTime
	}
	return limit.TurnTime
}

// RecordRateLimit records the limit that a server stated in its answer to a request sent at sentAt, in requests per second from all
// processes; 0: none. A limit ends only with an answer to a request that was sent after it was last stated, since answers overtake
// each other.
func (t *Table) RecordRateLimit(now time.Time, id string, sentAt time.Time, perSecond float64) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if perSecond > 0 {
		s.limit.perSecond, s.limit.statedAt = perSecond, now
		return
	}
	if !sentAt.Before(s.limit.statedAt) {
		s.limit.perSecond = 0
	}
}
