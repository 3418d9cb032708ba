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
	s.pendingAt = append(s.pendingAt, now)
	s.prefill.begin()
}

// RecordFirstData records that the answer to the request that was sent at since began at now.
func (t *Table) RecordFirstData(now time.Time, id string, since time.Time) {
	s := t.servers[id]
	if s == nil {
		return
	}
	s.endPending(since)
	s.recordReachable(now, since)
	took := now.Sub(since)
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
	s.sentAt = removeTime(s.sentAt, since)
	s.endPending(since)
}

// removeTime removes the first element that equals at, if any.
func removeTime(times []time.Time, at time.Time) []time.Time {
	i := slices.IndexFunc(times, at.Equal)
	if i < 0 {
		return times
	}
	return slices.Delete(times, i, i+1)
}

// isHeldUp reports whether a request of this process has waited at the server for a good part of the request's target for the first event,
// for example behind long prompts, or is expected to miss it. The server's reports tell how many requests it has, not how much work they
// are.
func (s *server) isHeldUp(now time.Time, req *Request) bool {
	if req.FirstTokenTarget <= 0 || len(s.pendingAt) == 0 {
		return false
	}
	return now.Sub(s.pendingAt[0]) > heldUpLimit(req) || s.waitShare(now, req) > 1
}

// isSilent reports whether the server has requests of this process in flight and has sent no data for longer than usual.
// This detects an unresponsive server well before its heartbeats are missed.
func (s *server) isSilent(now time.Time) bool {
	return s.mayBeSilent(s.group.silenceCutoff(now)) && s.silence(now) > s.group.silenceLimit()
}

// silenceLimit returns the time without any data after which a server of the group with requests in flight counts as silent.
func (g *group) silenceLimit() time.Duration { return max(silentAfter, silenceFactor*g.answerWait) }

// silenceCutoff returns the time before which the oldest request in flight of a silent server was sent. It is the same for all servers of the
// group, which saves the more expensive check of most of them.
func (g *group) silenceCutoff(now time.Time) time.Time { return now.Add(-g.silenceLimit()) }

// mayBeSilent reports whether the oldest request in flight was sent before the cutoff.
func (s *server) mayBeSilent(cutoff time.Time) bool {
	return len(s.sentAt) > 0 && s.sentAt[0].Before(cutoff)
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
