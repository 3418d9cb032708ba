package agent

import (
	"context"
	"time"

	"github.com/guavastack/guavastack/internal/core/sched"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// entryKey identifies one incarnation of an entry.
type entryKey struct {
	id, incarnation string
}

// entry is the state of one incarnation of an entry.
type entry struct {
	key     entryKey
	epoch   uint64        // highest epoch of its links
	session *link.Session // current link; nil: none
	// incomplete: a request that started was evicted before the entry acknowledged its end.
	incomplete bool
	lastSeen   time.Time
}

// state is the processing state of a record.
type state uint8

const (
	waiting state = iota
	running
	finished
)

// record is the state of one request. Only the loop accesses it, except for its answer, which has its own lock.
type record struct {
	id     string
	entry  *entry
	submit *linkpb.Submit // nil: a tombstone for a request whose Submit has not arrived
	answer *answer
	state  state

	started     bool // the backend server may have received it
	verdict     linkpb.Verdict
	arrived     time.Time
	finishedAt  time.Time
	deadline    time.Time     // zero: none
	session     *link.Session // link that consumes the answer; nil: none
	orphanedAt  time.Time     // when session became nil
	acked       bool          // the entry has acknowledged the end
	keptBytes   int           // size of the finished answer
	isEvictable bool          // contained in Agent.evictable
	evictableAt time.Time

	runs       int // number of calls of the backend server
	backendID  string
	cancel     context.CancelCauseFunc // cancels the current run
	preempting bool
	cancelled  bool
}

// maxDeadline bounds the deadline of a request.
const maxDeadline = 24 * time.Hour

func newRecord(now time.Time, e *entry, s *linkpb.Submit) *record {
	r := &record{id: s.RequestId, entry: e, submit: s, arrived: now, session: e.session}
	if s.DeadlineMs > 0 {
		r.deadline = now.Add(min(time.Duration(s.DeadlineMs)*time.Millisecond, maxDeadline))
	}
	return r
}

// active reports whether the request is waiting or running.
func (r *record) active() bool { return r.state != finished }

// isDelivering reports whether a link consumes the answer and has not acknowledged its end.
func (r *record) isDelivering() bool { return r.session != nil && !r.acked }

// mayHaveRun reports whether the request may have run: it is active, or its verdict is not NOT_RUN.
func (r *record) mayHaveRun() bool {
	return r.active() || r.verdict != linkpb.Verdict_VERDICT_NOT_RUN
}

// schedRequest converts the request for the scheduler.
func (r *record) schedRequest(resumable bool) sched.Request {
	s := r.submit
	return sched.Request{
		ID:                 r.id,
		Organisation:       s.Organisation,
		Class:              s.Class,
		Tier:               int(s.Tier),
		Weight:             s.Weight,
		FloorShare:         s.FloorShare,
		Deadline:           r.deadline,
		FirstTokenTarget:   time.Duration(s.FirstTokenTargetMs) * time.Millisecond,
		BetweenTokenTarget: time.Duration(s.BetweenTokenTargetMs) * time.Millisecond,
		PromptTokens:       int(s.PromptTokens),
		Repeatable:         s.Repeatable,
		Preemptible:        s.Preemptible && s.Repeatable,
		Resumable:          resumable && s.Stream,
	}
}
