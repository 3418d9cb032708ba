package route

import (
	"fmt"
	"time"
)

const (
	// MaxPause is the longest pause that a server is granted. A longer one counts as this.
	MaxPause = time.Hour
	// maxOwnWords is the number of servers up to which the words of servers that are no longer registered are kept.
	maxOwnWords = 4096
)

// ownWord is what one incarnation of a server said in its answers about the work that it takes. It outlasts the server's absence from
// the registry.
type ownWord struct {
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
	w := t.wordOf(id, incarnation)
	if w == nil || w.leaves {
		return false
	}
	w.leaves = true
	return true
}

// RecordPause records that an incarnation of a server asked in an answer at now to be sent nothing for a time. A shorter pause than the
// one under way changes nothing. The result is false in this case.
func (t *Table) RecordPause(now time.Time, id, incarnation string, pause time.Duration) bool {
	w := t.wordOf(id, incarnation)
	until := now.Add(min(pause, MaxPause))
	if w == nil || !until.After(w.pausedUntil) || !until.After(now) {
		return false
	}
	w.pausedUntil = until
	return true
}

// wordOf returns the word of an incarnation, or nil if another one is registered or was heard.
func (t *Table) wordOf(id, incarnation string) *ownWord {
	if s := t.servers[id]; s != nil && s.Incarnation != incarnation {
		return nil
	}
	w := t.words[id]
	if w == nil || w.incarnation != incarnation {
		t.forgetUnregistered()
		w = &ownWord{incarnation: incarnation}
		t.words[id] = w
		if s := t.servers[id]; s != nil {
			s.word = w
		}
	}
	return w
}

// forgetUnregistered bounds the number of words.
func (t *Table) forgetUnregistered() {
	if len(t.words) < maxOwnWords {
		return
	}
	for id := range t.words {
		if t.servers[id] == nil {
			delete(t.words, id)
		}
	}
}

// knownWord returns the word of a server that is being registered, or nil if it has said nothing.
func (t *Table) knownWord(b Backend) *ownWord {
	if w := t.words[b.ID]; w != nil && w.incarnation == b.Incarnation {
		return w
	}
	return nil
}

// TakesWork reports whether a server takes new work according to the registry and its own word.
func (t *Table) TakesWork(now time.Time, id string) bool {
	s := t.servers[id]
	return s != nil && s.takesWork(now)
}

// IsStaying reports whether a server is registered as ready and has not said that it leaves.
func (t *Table) IsStaying(id string) bool {
	s := t.servers[id]
	return s != nil && s.isStaying()
}

// takesWork is the one place that decides whether a server may be sent new work at all, whatever its health and load.
func (s *server) takesWork(now time.Time) bool { return s.isStaying() && s.pauseLeft(now) <= 0 }

// isStaying reports whether the server is ready and has not said that it leaves.
func (s *server) isStaying() bool {
	return s.Lifecycle == LifecycleReady && (s.word == nil || !s.word.leaves)
}

// pauseLeft returns how much of the server's pause is left; 0 or less: none.
func (s *server) pauseLeft(now time.Time) time.Duration {
	if s.word == nil {
		return 0
	}
	return s.word.pausedUntil.Sub(now)
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
