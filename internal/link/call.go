package link

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// Call is one request in flight. Its methods are safe for concurrent use.
type Call struct {
	peer    *peer
	id      string
	org     string
	submit  *linkpb.Submit // nil: the call only resumes
	handler Handler

	// Guarded by peer.mu.
	sent      bool   // the Submit was handed to a connection
	sentTo    string // incarnation of the agent that it was sent to
	queuedAt  time.Time
	deadline  int64  // milliseconds from queuedAt; 0: none
	grant     uint32 // credit that waits to be sent
	granting  bool   // a Credit is queued
	window    int64  // credit at the start
	inFlight  bool   // the call stands in peer.calls
	cancelled bool
	cancelWhy linkpb.CancelReason
	resumes   int
	asked     bool // a Resume for a missing event is under way

	attempt atomic.Uint32 // 0: learned from the first message
	next    atomic.Uint64 // sequence number of the next event
	credit  atomic.Int64  // bytes that the agent may still send

	// The handler may call Grant and Cancel, which take peer.mu: never take mu while holding peer.mu.
	mu         sync.Mutex // serialises the handler and guards what follows
	done       bool
	anyAttempt bool // learn the attempt from the first message
	unattended bool // until the first message, attach only where no other entry follows the request
	partial    bool // the answer does not begin at its first event
	digest     xxhash.Digest
	digesting  bool
	headed     bool // the head was delivered
}

// RequestID returns the id of the request.
func (c *Call) RequestID() string { return c.id }

// Cancel ends the request at its agent; the handler still learns the outcome.
func (c *Call) Cancel(reason linkpb.CancelReason) { c.peer.cancel(c, reason) }

// Grant lets the agent send that many more bytes of the answer.
func (c *Call) Grant(bytes uint32) {
	if bytes > 0 {
		c.peer.grant(c, bytes)
	}
}

// reaction is what the peer must do after a message of a call.
type reaction uint8

const (
	nothing  reaction = iota
	progress          // the message was new
	gap               // an event is missing: ask for it, once
	resume            // the end came without all events: ask for them
	finished          // the call is over
)

// accepts reports whether a message of the given attempt belongs to the call. The caller holds c.mu.
func (c *Call) accepts(attempt uint32) bool {
	if c.done {
		return false
	}
	if c.anyAttempt {
		c.attempt.Store(attempt)
		c.anyAttempt = false
	}
	return attempt == c.attempt.Load()
}

func (c *Call) started(m *linkpb.Started) reaction {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.accepts(m.Attempt) {
		return nothing
	}
	c.handler.Started(m)
	return progress
}

// event passes on the next event. One that came already is dropped; one that leaves a gap is dropped and asked for.
func (c *Call) event(m *linkpb.Event) reaction {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := uint64(max(m.Count, 1))
	switch {
	case !c.accepts(m.Attempt), m.Seq+count <= c.next.Load():
		return nothing
	case m.Seq != c.next.Load():
		return gap
	}
	c.next.Add(count)
	c.credit.Add(-int64(len(m.Data)))
	if !c.digesting {
		c.digest.Reset()
		c.digesting = true
	}
	_, _ = c.digest.Write(m.Data)
	if c.headed {
		m.Head = nil
	}
	c.headed = c.headed || m.Head != nil
	c.handler.Event(m)
	return progress
}

// end completes the answer once its count and digest are verified.
func (c *Call) end(m *linkpb.End) reaction {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.accepts(m.Attempt) {
		return nothing
	}
	if m.Events > c.next.Load() {
		return resume
	}
	if m.Events < c.next.Load() || !c.matches(m.Digest) {
		c.done = true
		c.handler.Lost(verdict.Ran, verdict.New(verdict.Ran, "answer_damaged",
			"answer of %d events does not match its count or digest", m.Events))
		return finished
	}
	c.done = true
	c.handler.End(m)
	return finished
}

// matches compares the digest of a whole answer; that of a part cannot be known.
func (c *Call) matches(digest uint64) bool {
	if c.partial {
		return true
	}
	if !c.digesting {
		c.digest.Reset()
	}
	return c.digest.Sum64() == digest
}

func (c *Call) refused(m *linkpb.Refused) reaction {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.accepts(m.Attempt) {
		return nothing
	}
	c.done = true
	c.handler.Refused(m)
	return finished
}

// lost ends the call without word from its agent.
func (c *Call) lost(err *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	c.handler.Lost(err.Verdict, err)
}

// resumeFrame asks for the rest of the answer.
func (c *Call) resumeFrame() *linkpb.EntryFrame {
	return &linkpb.EntryFrame{Resume: &linkpb.Resume{
		RequestId:    c.id,
		Attempt:      c.attempt.Load(),
		Organisation: c.org,
		Unattended:   c.unattended && c.anyAttempt,
		NextSeq:      c.next.Load(),
		Credit:       c.openCredit(),
	}}
}

// openCredit returns the bytes that the agent may still send.
func (c *Call) openCredit() uint32 { return uint32(max(c.credit.Load(), 0)) }

// VerdictOf translates the verdict of a message.
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
