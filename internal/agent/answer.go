package agent

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/backend"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// chunk is one event of an answer; its data is stored in the answer.
type chunk struct {
	end    int // offset of the chunk's end in the answer, bytes
	tokens uint32
}

// answer buffers the answer of a backend server. The goroutine that runs the request appends to it, and the writer of
// the consuming link reads from it. It holds at most limit bytes; the writer blocks while it is full.
type answer struct {
	id      string
	attempt uint32
	limit   int

	mu            sync.Mutex
	spaceFreed    chan struct{} // closed and replaced once chunks may have become discardable
	writerBlocked bool          // a run is waiting for spaceFreed
	head          *linkpb.Head
	data          []byte
	start         int     // offset of data[0] in the answer
	chunks        []chunk // chunks in data
	first         uint64  // sequence number of chunks[0]
	digest        xxhash.Digest
	tokens        uint64 // in all chunks, including discarded ones
	reported      uint64 // tokens already reported to the scheduler
	final         *linkpb.AgentFrame
	consumer      *consumer
	onFirst       func() // called after the first chunk
}

func newAnswer(id string, attempt uint32, limit int, onFirst func()) *answer {
	a := &answer{id: id, attempt: attempt, limit: limit, spaceFreed: make(chan struct{}), onFirst: onFirst}
	a.digest.Reset()
	return a
}

// sink implements backend.Sink for one run.
type sink struct {
	ctx    context.Context
	answer *answer
}

// Head stores the status and the headers.
func (s sink) Head(status int, headers []backend.Header) error {
	h := &linkpb.Head{Status: uint32(status)}
	for _, f := range headers {
		h.Headers = append(h.Headers, &linkpb.Header{Name: f.Name, Value: f.Value})
	}
	s.answer.mu.Lock()
	defer s.answer.mu.Unlock()
	s.answer.head = h
	return nil
}

// Data appends one chunk. It blocks while the buffer is full of data that the consumer has not received.
func (s sink) Data(data []byte, tokens int) error {
	a := s.answer
	for {
		room, ok := a.append(data, tokens)
		if ok {
			return nil
		}
		select {
		case <-room:
		case <-s.ctx.Done():
			return errors.Trace(context.Cause(s.ctx))
		}
	}
}

// append adds a chunk. When the buffer is full it returns a channel that is closed once chunks may have become
// discardable; the caller then tries again.
func (a *answer) append(data []byte, tokens int) (room <-chan struct{}, ok bool) {
	a.mu.Lock()
	if len(a.data)+len(data) > a.limit && !a.discard(len(data)) {
		room = a.spaceFreed
		a.writerBlocked = true
		a.mu.Unlock()
		return room, false
	}
	isFirst := a.first == 0 && len(a.chunks) == 0
	a.data = append(a.data, data...)
	a.chunks = append(a.chunks, chunk{end: a.start + len(a.data), tokens: uint32(tokens)})
	a.tokens += uint64(tokens)
	_, _ = a.digest.Write(data)
	a.wakeConsumerLocked()
	a.mu.Unlock()
	if isFirst && a.onFirst != nil {
		a.onFirst()
	}
	return nil, true
}

// discard drops the oldest chunks that the consumer has received, to make room for need bytes. An answer without a
// consumer keeps all its data. It copies the remaining data, because a frame may still refer to the old buffer. The
// caller holds a.mu.
func (a *answer) discard(need int) bool {
	if a.consumer == nil {
		return false
	}
	if a.consumer.next == a.end() && len(a.data) == 0 {
		return true // a chunk larger than the limit is stored alone
	}
	target := a.start + max(len(a.data)/2, len(a.data)+need-a.limit)
	n := 0
	for n < len(a.chunks) && a.first+uint64(n) < a.consumer.next && a.offset(n) < target {
		n++
	}
	if n == 0 {
		return false
	}
	discarded := a.offset(n) - a.start
	a.data = append(make([]byte, 0, a.limit/2), a.data[discarded:]...)
	a.chunks = append([]chunk(nil), a.chunks[n:]...)
	a.start += discarded
	a.first += uint64(n)
	return len(a.data)+need <= a.limit || len(a.data) == 0
}

// offset returns the offset in the answer at which the nth buffered chunk begins. The caller holds a.mu.
func (a *answer) offset(n int) int {
	if n == 0 {
		return a.start
	}
	return a.chunks[n-1].end
}

// end returns the sequence number of the next chunk to be appended. The caller holds a.mu.
func (a *answer) end() uint64 { return a.first + uint64(len(a.chunks)) }

// eventCount returns the number of chunks appended so far.
func (a *answer) eventCount() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end()
}

// size returns the number of buffered bytes.
func (a *answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.data)
}

// newTokens returns the number of tokens appended since its last call.
func (a *answer) newTokens() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.tokens - a.reported
	a.reported = a.tokens
	return int(n)
}

// tokenCount returns the number of tokens in all chunks.
func (a *answer) tokenCount() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens
}

// queueStarted queues f, a Started frame. The consumer receives it before any chunk.
func (a *answer) queueStarted(f *linkpb.AgentFrame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.consumer != nil {
		a.consumer.started = f
		a.wakeConsumerLocked()
	}
}

// finish ends the answer with the End or Refused frame that f builds from the number of events and their digest.
func (a *answer) finish(f func(events, digest uint64) *linkpb.AgentFrame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head != nil && a.end() == 0 {
		a.chunks = append(a.chunks, chunk{end: a.start}) // carries the head of an answer with an empty body
	}
	a.final = f(a.end(), a.digest.Sum64())
	a.wakeConsumerLocked()
}

// wakeConsumerLocked makes the consumer's link poll it for frames. The caller holds a.mu.
func (a *answer) wakeConsumerLocked() {
	if a.consumer != nil {
		a.consumer.session.Wake(a.consumer)
	}
}

// attach makes s the consumer, starting with the chunk of sequence number from. It returns a NotFound error when that
// chunk is no longer buffered or lies beyond the end.
func (a *answer) attach(s *link.Session, from uint64, credit uint32) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from < a.first || from > a.end() {
		return errors.NotFoundf("event %d of the answer", from)
	}
	a.consumer = &consumer{answer: a, session: s, next: from, credit: int64(credit)}
	a.wakeConsumerLocked()
	a.wakeWriterLocked()
	return nil
}

// detach removes the consumer.
func (a *answer) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.consumer = nil
}

// grant adds flow-control credit to the consumer if s is its link.
func (a *answer) grant(s *link.Session, bytes uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.consumer != nil && a.consumer.session == s {
		a.consumer.credit += int64(bytes)
		a.wakeConsumerLocked()
	}
}

// wakeWriterLocked makes a run that is blocked on a full buffer retry its append. The caller holds a.mu.
func (a *answer) wakeWriterLocked() {
	if a.writerBlocked {
		a.writerBlocked = false
		close(a.spaceFreed)
		a.spaceFreed = make(chan struct{})
	}
}

// consumer delivers an answer to a link. It implements link.Source.
type consumer struct {
	answer    *answer
	session   *link.Session
	next      uint64 // sequence number of the next chunk
	credit    int64  // bytes; negative after a chunk larger than the credit
	started   *linkpb.AgentFrame
	headSent  bool
	finalSent bool

	frame linkpb.AgentFrame // valid until the next call of Next
	event linkpb.Event
}

// Next returns the next frame, or nil if there is none. Buffered chunks are joined into one event of up to maxBytes.
func (c *consumer) Next(maxBytes int) *linkpb.AgentFrame {
	a := c.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.consumer != c {
		return nil
	}
	if f := c.started; f != nil {
		c.started = nil
		return f
	}
	if c.next < a.end() {
		return c.eventFrame(min(int64(maxBytes), c.credit))
	}
	if a.final == nil || c.finalSent {
		return nil
	}
	c.finalSent = true
	return a.final
}

// eventFrame joins chunks of up to maxBytes in total into one event, but at least one chunk. The caller holds the
// answer's lock.
func (c *consumer) eventFrame(maxBytes int64) *linkpb.AgentFrame {
	a := c.answer
	if maxBytes <= 0 {
		return nil
	}
	from := int(c.next - a.first)
	begin := a.offset(from)
	to, tokens := from, uint32(0)
	for to < len(a.chunks) && (to == from || int64(a.chunks[to].end-begin) <= maxBytes) {
		tokens += a.chunks[to].tokens
		to++
	}
	data := a.data[begin-a.start : a.chunks[to-1].end-a.start]
	c.event = linkpb.Event{
		RequestId: a.id,
		Attempt:   a.attempt,
		Seq:       c.next,
		Data:      data,
		Tokens:    tokens,
		Count:     uint32(to - from),
	}
	if !c.headSent {
		c.event.Head = a.head
		c.headSent = true
	}
	c.next += uint64(to - from)
	c.credit -= int64(len(data))
	a.wakeWriterLocked()
	c.frame = linkpb.AgentFrame{Event: &c.event}
	return &c.frame
}
