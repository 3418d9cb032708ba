package serverset

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// recordReport records the remaining cold time of a server if its report has just arrived. The message of a server stays the same one
// until another report arrives. mu must be held.
func (s *Set) recordReport(now time.Time, b *controlpb.BackendServer) {
	if s.reports[b.Id] == b {
		return
	}
	s.reports[b.Id] = b
	s.table.RecordReport(now, b.Id, b.Sequence, time.Duration(b.ColdRemainingMs)*time.Millisecond)
}

// SetColdStart sets what the configuration states about cold servers of a kind that serve a model or service.
func (s *Set) SetColdStart(kind, model string, c route.ColdStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetColdStart(kind, model, c)
}

// RecordColdAnswer records how much longer an incarnation of a backend server is cold, as it stated in its answer to a request sent at the
// given time; 0: it is warm.
func (s *Set) RecordColdAnswer(id, incarnation string, sentAt time.Time, remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordColdAnswer(time.Now(), id, incarnation, sentAt, remaining)
}

// RecordBroken records that an incarnation of a backend server crashed.
func (s *Set) RecordBroken(id, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordBroken(time.Now(), id, incarnation)
}

// RecordConfirmed records that every report that had reached the control group by the given time is known.
func (s *Set) RecordConfirmed(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordConfirmed(time.Now(), at)
}

// TakeColdTurn reports whether this process may send a request to a backend server now as far as its coldness goes, and uses the turn.
func (s *Set) TakeColdTurn(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.TakeColdTurn(time.Now(), id)
}
