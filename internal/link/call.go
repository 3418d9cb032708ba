package link

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// Call is one request in flight. Its exported methods are safe for concurrent use.
type Call struct {
	peer    *peer
	id      string
	org     string
	submit  *linkpb.Submit // nil: the call was started by Pool.Resume
	handler Handler

	// Guarded by peer.mu.
	sent         bool   // the Submit was passed to a connection
	sentTo       string // incarnation of the agent that the Submit was sent to
	queuedAt     time.Time
	deadline     int64  // milliseconds from queuedAt; 0: none
	unsentCredit uint32 // granted credit that is not sent yet, bytes
	creditQueued bool   // a Credit frame is queued
	window       int64  // initial credit, bytes
	inFlight     bool   // the call is in peer.calls
	cancelled    bool
	cancelReason linkpb.CancelReason
	resumes      int  // since the last progress; accessed only by the peer's run goroutine
	resumeQueued bool // a Resume for a missing event is queued or sent; accessed only by the peer's run goroutine

	attempt atomic.Uint32 // 0: set from the first message
	next    atomic.Uint64 // sequence number of the next event
	credit  atomic.Int64  // bytes that the agent may still send

	// The handler may call Grant and Cancel, which lock peer.mu: never lock mu while holding peer.mu.
	mu            sync.Mutex // serialises calls of the handler and guards the fields below
	done          bool
	anyAttempt    bool // set attempt from the first message
	unattended    bool // until the first message, attach only if no other link receives the answer
	partial       bool // the call begins after the first event, so that the digest of the answer is unknown
	digest        xxhash.Digest
	digestReady   bool
	headDelivered bool // the head was passed to the handler
}

// RequestID returns the id of the request.
func (c *Call) RequestID() string { return c.id }

// Cancel cancels the request at its agent; the handler still receives the outcome.
func (c *Call) Cancel(reason linkpb.CancelReason) { c.peer.cancel(c, reason) }

// Grant allows the agent to send that many more bytes of the answer.
func (c *Call) Grant(bytes uint32) {
	if bytes > 0 {
		c.peer.grant(c, bytes)
	}
}

// followUp is what the peer must do after a call has handled a message.
type followUp uint8

const (
	nothing  followUp = iota
	progress          // the message was new
	gap               // an event is missing: request a resume, once
	resume            // the end arrived before all events: request a resume
	finished          // the call has ended
)

// acceptsAttempt reports whether a message of the given attempt belongs to the call, which must not have ended. It
// adopts the attempt of the first message where it was unknown. The caller holds c.mu.
func (c *Call) acceptsAttempt(attempt uint32) bool {
	if c.done {
		return false
	}
	if c.anyAttempt {
		c.attempt.Store(attempt)
		c.anyAttempt = false
	}
	return attempt == c.attempt.Load()
}

func (c *Call) handleStarted(m *linkpb.Started) followUp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptsAttempt(m.Attempt) {
		return nothing
	}
	c.handler.Started(m)
	return progress
}

// handleEvent passes the next event to the handler. It drops duplicates, and events after a gap, which must be requested
// again.
func (c *Call) handleEvent(m *linkpb.Event) followUp {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := uint64(max(m.Count, 1))
	switch {
	case !c.acceptsAttempt(m.Attempt), m.Seq+count <= c.next.Load():
		return nothing
	case m.Seq != c.next.Load():
		return gap
	}
	c.next.Add(count)
	c.credit.Add(-int64(len(m.Data)))
	if !c.digestReady {
		c.digest.Reset()
		c.digestReady = true
	}
	_, _ = c.digest.Write(m.Data)
	if c.headDelivered {
		m.Head = nil
	}
	c.headDelivered = c.headDelivered || m.Head != nil
	c.handler.Event(m)
	return progress
}

// handleEnd ends the call once the number of events and the digest of the answer are verified.
func (c *Call) handleEnd(m *linkpb.End) followUp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptsAttempt(m.Attempt) {
		return nothing
	}
	if m.Events > c.next.Load() {
		return resume
	}
	if m.Events < c.next.Load() || !c.matchesDigest(m.Digest) {
		c.done = true
		c.handler.Lost(verdict.Ran, verdict.New(verdict.Ran, "answer_damaged",
			"answer of %d events does not match its count or digest", m.Events))
		return finished
	}
	c.done = true
	c.handler.End(m)
	return finished
}

// matchesDigest compares the digest of the answer. It accepts any for a partial answer, whose digest is unknown.
func (c *Call) matchesDigest(digest uint64) bool {
	if c.partial {
		return true
	}
	if !c.digestReady {
		c.digest.Reset()
	}
	return c.digest.Sum64() == digest
}

func (c *Call) handleRefused(m *linkpb.Refused) followUp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptsAttempt(m.Attempt) {
		return nothing
	}
	c.done = true
	c.handler.Refused(m)
	return finished
}

// fail ends the call without an outcome from its agent.
func (c *Call) fail(err *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	c.handler.Lost(err.Verdict, err)
}

// resumeFrame returns a Resume for the rest of the answer.
func (c *Call) resumeFrame() *linkpb.EntryFrame {
	return &linkpb.EntryFrame{Resume: &linkpb.Resume{
		RequestId:    c.id,
		Attempt:      c.attempt.Load(),
		Organisation: c.org,
		Unattended:   c.unattended && c.anyAttempt,
		NextSeq:      c.next.Load(),
		Credit:       c.remainingCredit(),
	}}
}

// remainingCredit returns the number of bytes that the agent may still send.
func (c *Call) remainingCredit() uint32 { return uint32(max(c.credit.Load(), 0)) }

// VerdictOf converts the verdict of a message; unknown values become MayHaveRun.
func VerdictOf(v linkpb.Verdict) verdict.Verdict {
	switch v {
	case linkpb.Verdict_VERDICT_NOT_RUN:
		return verdict.NotRun
	case linkpb.Verdict_VERDICT_RAN:
		return verdict.Ran
	default:
		return verdict.MayHaveRun
	}
}

// VerdictMessage is the inverse of VerdictOf.
func VerdictMessage(v verdict.Verdict) linkpb.Verdict {
	switch v {
	case verdict.NotRun:
		return linkpb.Verdict_VERDICT_NOT_RUN
	case verdict.Ran:
		return linkpb.Verdict_VERDICT_RAN
	default:
		return linkpb.Verdict_VERDICT_MAY_HAVE_RUN
	}
}
