package route

import (
	"fmt"
	"time"
)

const (
	// MaxPause bounds the pause that a server asks for. A longer one counts as this.
	MaxPause = time.Hour
	// maxNotices is the number of servers up to which the notices of servers that are no longer registered are kept.
	maxNotices = 4096
)

// notice is what one incarnation of a server said in its answers about the work that it takes. It outlasts the server's absence from
// the registry.
type notice struct {
	incarnation string
	leaves      bool      // takes no new work any more
	pausedUntil time.Time // takes no new work before
}

// PausedError means that each server that could take the request has asked for a pause.
type PausedError struct {
	Left time.Duration // until the first pause ends
}

// Error implements error.
func (e *PausedError) Error() string {
	return fmt.Sprintf("every backend server of the model has asked for a pause, the first for another %v", e.Left.Round(time.Millisecond))
}

// Is reports that the error is an ErrNoCandidate too.
func (e *PausedError) Is(target error) bool { return target == ErrNoCandidate }

// RecordLeaving records that an incarnation of a server said in an answer that it leaves. It gets no new work from then on. The result is
// false if this was known.
func (t *Table) RecordLeaving(id, incarnation string) bool {
	n := t.noticeOf(id, incarnation)
	if n == nil || n.leaves {
		return false
	}
	n.leaves = true
	return true
}

// RecordPause records that an incarnation of a server asked in an answer at now to be sent nothing for a time. A shorter pause than the
// one under way changes nothing. The result is false in this case.
func (t *Table) RecordPause(now time.Time, id, incarnation string, pause time.Duration) bool {
	n := t.noticeOf(id, incarnation)
	until := now.Add(min(pause, MaxPause))
	if n == nil || !until.After(n.pausedUntil) || !until.After(now) {
		return false
	}
	n.pausedUntil = until
	return true
}

// noticeOf returns the notice of an incarnation, or nil if another one is registered.
func (t *Table) noticeOf(id, incarnation string) *notice {
	if s := t.servers[id]; s != nil && s.Incarnation != incarnation {
		return nil
	}
	n := t.notices[id]
	if n == nil || n.incarnation != incarnation {
		t.forgetUnregistered()
		n = &notice{incarnation: incarnation}
		t.notices[id] = n
		if s := t.servers[id]; s != nil {
			s.notice = n
		}
	}
	return n
}

// forgetUnregistered bounds the number of notices.
func (t *Table) forgetUnregistered() {
	if len(t.notices) < maxNotices {
		return
	}
	for id := range t.notices {
		if t.servers[id] == nil {
			delete(t.notices, id)
		}
	}
}

// knownNotice returns the notice of a server that is being registered, or nil if it has said nothing.
func (t *Table) knownNotice(b Backend) *notice {
	if n := t.notices[b.ID]; n != nil && n.incarnation == b.Incarnation {
		return n
	}
	return nil
}

// TakesWork reports whether a server takes new work according to the registry, its notices and the drains of zones.
func (t *Table) TakesWork(now time.Time, id string) bool {
	s := t.servers[id]
	return s != nil && s.takesWork(now)
}

// IsStaying reports whether a server is registered as ready and has not said that it leaves. It stays during the drain of its zone,
// which does not end the requests that it runs.
func (t *Table) IsStaying(id string) bool {
	s := t.servers[id]
	return s != nil && s.isPresent()
}

// takesWork is the one place that decides whether a server may be sent new work at all, whatever its health and load.
func (s *server) takesWork(now time.Time) bool { return s.isStaying() && s.pauseLeft(now) <= 0 }

// isStaying reports whether the server takes new work once its pause is over: it is present and its zone is not drained.
func (s *server) isStaying() bool { return s.isPresent() && !s.drained }

// isPresent reports whether the server is ready and has not said that it leaves.
func (s *server) isPresent() bool {
	return s.Lifecycle == LifecycleReady && (s.notice == nil || !s.notice.leaves)
}

// pauseLeft returns how much of the server's pause is left; 0 or less: none.
func (s *server) pauseLeft(now time.Time) time.Duration {
	if s.notice == nil {
		return 0
	}
	return s.notice.pausedUntil.Sub(now)
}

// firstPauseLeft returns the time until the first pause ends, if all servers that could take the request are paused, otherwise 0.
func (g *group) firstPauseLeft(now time.Time, req *Request) time.Duration {
	first := time.Duration(0)
	for _, s := range g.servers {
		if !s.isStaying() || !s.serves(req) {
			continue
		}
		left := s.pauseLeft(now)
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}
