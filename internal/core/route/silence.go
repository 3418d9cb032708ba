package route

import (
	"slices"
	"time"
)

const (
	// silentAfter is the shortest time without any data after which a server with requests in flight counts as silent.
	silentAfter = 350 * time.Millisecond
	// silenceFactor is the multiple of the group's mean wait for the start of an answer after which a server counts as
	// silent, if that is longer than silentAfter.
	silenceFactor = 3
	// answerWaitWeight is the weight of a new wait in the moving average of a group.
	answerWaitWeight = 0.05
)

// Activity reports when data last arrived from a backend server.
type Activity interface {
	// LastAt is called on every routing decision.
	LastAt() time.Time
}

// BeginWait records that a request was sent to a backend server, and the Activity that tracks it. The caller must call
// EndWait with the same time when the request ends.
func (t *Table) BeginWait(now time.Time, id string, activity Activity) {
	s := t.servers[id]
	if s == nil {
		return
	}
	s.activity = activity
	s.sentAt = append(s.sentAt, now)
}

// RecordFirstData records how long a request waited for the start of its answer.
func (t *Table) RecordFirstData(id string, took time.Duration) {
	s := t.servers[id]
	if s == nil {
		return
	}
	g := s.group
	if g.answerWait == 0 {
		g.answerWait = took
		return
	}
	g.answerWait += time.Duration(answerWaitWeight * float64(took-g.answerWait))
}

// EndWait records the end of the request that was sent at since.
func (t *Table) EndWait(id string, since time.Time) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if i := slices.IndexFunc(s.sentAt, since.Equal); i >= 0 {
		s.sentAt = slices.Delete(s.sentAt, i, i+1)
	}
}

// isSilent reports whether the server has requests of this process in flight and has sent no data for longer than usual.
// This detects an unresponsive server well before its heartbeats are missed.
func (s *server) isSilent(now time.Time) bool {
	return s.silence(now) > max(silentAfter, silenceFactor*s.group.answerWait)
}

// silence returns how long the server has sent no data while requests of this process are in flight; 0 without such requests.
func (s *server) silence(now time.Time) time.Duration {
	if len(s.sentAt) == 0 {
		return 0
	}
	since := s.sentAt[0]
	if lastData := s.activity.LastAt(); lastData.After(since) {
		since = lastData
	}
	return now.Sub(since)
}
