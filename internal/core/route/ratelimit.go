package route

import "time"

// rateLimit is the limit that a server states in its answers.
type rateLimit struct {
	perSecond float64   // requests from all processes together; 0: none
	statedAt  time.Time // when an answer last stated it
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
