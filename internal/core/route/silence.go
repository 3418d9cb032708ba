package route

import (
	"slices"
	"time"
)

const (
	// silentAfter is how long a server may say nothing at all while own requests are there.
	silentAfter = 350 * time.Millisecond
	// silentWaits is the multiple of the usual wait for an answer from which a server is silent, where that is longer.
	silentWaits = 3
	// usualWaitWeight is the weight of a new wait in the moving average of a group.
	usualWaitWeight = 0.05
)

// Activity tells when something came from a backend server last. It is asked whenever a server is chosen.
type Activity interface {
	LastAt() time.Time
}

// Await notes that a request was sent to a backend server, whose activity is given. Each call is followed by one of AwaitOver with
// the same time.
func (t *Table) Await(now time.Time, id string, activity Activity) {
	s := t.servers[id]
	if s == nil {
		return
	}
	s.activity = activity
	s.awaited = append(s.awaited, now)
}

// AnswerBegan notes how long a request waited for the beginning of its answer.
func (t *Table) AnswerBegan(id string, took time.Duration) {
	s := t.servers[id]
	if s == nil {
		return
	}
	g := s.group
	if g.usualWait == 0 {
		g.usualWait = took
		return
	}
	g.usualWait += time.Duration(usualWaitWeight * float64(took-g.usualWait))
}

// AwaitOver notes the end of the request that was sent at since.
func (t *Table) AwaitOver(id string, since time.Time) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if i := slices.IndexFunc(s.awaited, since.Equal); i >= 0 {
		s.awaited = slices.Delete(s.awaited, i, i+1)
	}
}

// isSilent reports whether own requests are at the server and nothing at all came from it for longer than usual. A server
// that went dark is found so long before its heartbeats are missed.
func (s *server) isSilent(now time.Time) bool {
	return s.silence(now) > max(silentAfter, silentWaits*s.group.usualWait)
}

// silence returns how long nothing came from the server while own requests were there.
func (s *server) silence(now time.Time) time.Duration {
	if len(s.awaited) == 0 {
		return 0
	}
	since := s.awaited[0]
	if heard := s.activity.LastAt(); heard.After(since) {
		since = heard
	}
	return now.Sub(since)
}
