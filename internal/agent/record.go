package agent

import (
	"context"
	"time"

	"github.com/guavastack/guavastack/internal/core/sched"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// entryKey names one life of an entry.
type entryKey struct {
	id, incarnation string
}

// entry is what the agent knows of one life of an entry.
type entry struct {
	key     entryKey
	epoch   uint64        // highest that it has opened a link with
	session *link.Session // nil while it has none
	// forgot: a request that started was dropped from the table before the entry had seen its end.
	forgot   bool
	lastSeen time.Time
}

// state is where a record stands.
type state uint8

const (
	waiting state = iota
	running
	finished
)

// record is one request. The loop owns it; its answer has a lock of its own.
type record struct {
	id     string
	entry  *entry
	submit *linkpb.Submit // nil: a tombstone, whose Submit has not come
	answer *answer
	state  state

	started    bool // the backend server may know of it
	verdict    linkpb.Verdict
	arrived    time.Time
	finishedAt time.Time
	deadline   time.Time     // zero: none
	session    *link.Session // that consumes the answer; nil: none
	orphanedAt time.Time     // when it lost its session
	acked      bool          // the entry has seen the end
	kept       int           // bytes of the finished answer
	listed     bool          // stands in Agent.released
	releasedAt time.Time

	runs       int // calls of the backend server
	backendID  string
	cancel     context.CancelCauseFunc // of the present run
	preempting bool
	cancelled  bool
}

// maxDeadline bounds what a request may state.
const maxDeadline = 24 * time.Hour

func newRecord(now time.Time, e *entry, s *linkpb.Submit) *record {
	r := &record{id: s.RequestId, entry: e, submit: s, arrived: now, session: e.session}
	if s.DeadlineMs > 0 {
		r.deadline = now.Add(min(time.Duration(s.DeadlineMs)*time.Millisecond, maxDeadline))
	}
	return r
}

// active reports whether the request waits or runs.
func (r *record) active() bool { return r.state != finished }

// isDelivering reports whether a link is about to deliver the answer.
func (r *record) isDelivering() bool { return r.session != nil && !r.acked }

// mayHaveRun reports whether nothing proves that the request did not run.
func (r *record) mayHaveRun() bool {
	return r.active() || r.verdict != linkpb.Verdict_VERDICT_NOT_RUN
}

// schedRequest is the request as the scheduler sees it.
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
