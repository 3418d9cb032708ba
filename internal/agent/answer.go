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

// piece is one event of an answer.
type piece struct {
	end    int // offset of its end in the answer
	tokens uint32
}

// answer is what a backend server has answered so far. It is filled by the goroutine that runs the request and
// drained by the writer of the link that consumes it. It holds at most limit bytes and waits with more.
type answer struct {
	id      string
	attempt uint32
	limit   int

	mu       sync.Mutex
	room     chan struct{} // closed and replaced when there may be room again
	waiting  bool          // a run waits for room
	head     *linkpb.Head
	data     []byte
	start    int     // offset of data in the answer
	pieces   []piece // those in data
	first    uint64  // sequence number of pieces[0]
	digest   xxhash.Digest
	tokens   uint64 // in all pieces
	reported uint64 // of them, to the scheduler
	final    *linkpb.AgentFrame
	consumer *consumer
	onFirst  func() // called with the first piece
}

func newAnswer(id string, attempt uint32, limit int, onFirst func()) *answer {
	a := &answer{id: id, attempt: attempt, limit: limit, room: make(chan struct{}), onFirst: onFirst}
	a.digest.Reset()
	return a
}

// sink is the answer as the backend sees it during one run.
type sink struct {
	ctx    context.Context
	answer *answer
}

// Head takes the status and the headers.
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

// Data takes one piece, and waits while the buffer is full of what the consumer has not taken.
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

// append adds a piece; without room for it, it returns the channel that is closed when there may be.
func (a *answer) append(data []byte, tokens int) (room <-chan struct{}, ok bool) {
	a.mu.Lock()
	if len(a.data)+len(data) > a.limit && !a.discard(len(data)) {
		room = a.room
		a.waiting = true
		a.mu.Unlock()
		return room, false
	}
	isFirst := a.first == 0 && len(a.pieces) == 0
	a.data = append(a.data, data...)
	a.pieces = append(a.pieces, piece{end: a.start + len(a.data), tokens: uint32(tokens)})
	a.tokens += uint64(tokens)
	_, _ = a.digest.Write(data)
	a.wakeLocked()
	a.mu.Unlock()
	if isFirst && a.onFirst != nil {
		a.onFirst()
	}
	return nil, true
}

// discard drops the oldest pieces that the consumer has taken, to make room for need bytes. An answer that nobody
// consumes keeps all. The bytes in use by a frame stay where they are, so it copies. The caller holds a.mu.
func (a *answer) discard(need int) bool {
	if a.consumer == nil {
		return false
	}
	if a.consumer.next == a.end() && len(a.data) == 0 {
		return true // a piece larger than the limit stands alone
	}
	target := a.start + max(len(a.data)/2, len(a.data)+need-a.limit)
	n := 0
	for n < len(a.pieces) && a.first+uint64(n) < a.consumer.next && a.offset(n) < target {
		n++
	}
	if n == 0 {
		return false
	}
	cut := a.offset(n) - a.start
	a.data = append(make([]byte, 0, a.limit/2), a.data[cut:]...)
	a.pieces = append([]piece(nil), a.pieces[n:]...)
	a.start += cut
	a.first += uint64(n)
	return len(a.data)+need <= a.limit || len(a.data) == 0
}

// offset returns where the nth kept piece begins. The caller holds a.mu.
func (a *answer) offset(n int) int {
	if n == 0 {
		return a.start
	}
	return a.pieces[n-1].end
}

// end returns the sequence number after the last piece. The caller holds a.mu.
func (a *answer) end() uint64 { return a.first + uint64(len(a.pieces)) }

// count returns the number of pieces so far.
func (a *answer) count() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end()
}

// size returns the bytes that are kept.
func (a *answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.data)
}

// takeTokens returns the tokens since the last call.
func (a *answer) takeTokens() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.tokens - a.reported
	a.reported = a.tokens
	return int(n)
}

// tokenCount returns the tokens in all pieces.
func (a *answer) tokenCount() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens
}

// started queues the frame that says so. The consumer gets it before any piece.
func (a *answer) started(f *linkpb.AgentFrame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.consumer != nil {
		a.consumer.started = f
		a.wakeLocked()
	}
}

// finish ends the answer with an End or a Refused; f may use the count and the digest.
func (a *answer) finish(f func(events, digest uint64) *linkpb.AgentFrame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head != nil && a.end() == 0 {
		a.pieces = append(a.pieces, piece{end: a.start}) // carries the head of an empty body
	}
	a.final = f(a.end(), a.digest.Sum64())
	a.wakeLocked()
}

// wakeLocked lets the consumer's link ask for frames.
func (a *answer) wakeLocked() {
	if a.consumer != nil {
		a.consumer.session.Wake(a.consumer)
	}
}

// attach makes s the consumer from the given piece on. It fails when that piece is not kept any more.
func (a *answer) attach(s *link.Session, from uint64, credit uint32) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from < a.first || from > a.end() {
		return errors.NotFoundf("event %d of the answer", from)
	}
	a.consumer = &consumer{answer: a, session: s, next: from, credit: int64(credit)}
	a.wakeLocked()
	a.freeLocked()
	return nil
}

// detach takes the consumer away.
func (a *answer) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.consumer = nil
}

// grant lets the consumer take more bytes.
func (a *answer) grant(s *link.Session, bytes uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.consumer != nil && a.consumer.session == s {
		a.consumer.credit += int64(bytes)
		a.wakeLocked()
	}
}

// freeLocked lets a run that waits for room try again.
func (a *answer) freeLocked() {
	if a.waiting {
		a.waiting = false
		close(a.room)
		a.room = make(chan struct{})
	}
}

// consumer is a link that takes an answer. It is a link.Source.
type consumer struct {
	answer  *answer
	session *link.Session
	next    uint64 // sequence number of the next piece
	credit  int64
	started *linkpb.AgentFrame
	headed  bool
	ended   bool

	frame linkpb.AgentFrame // in use until the next call of Next
	event linkpb.Event
}

// Next returns the frame that comes next: pieces that wait are joined.
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
		return c.events(min(int64(maxBytes), c.credit))
	}
	if a.final == nil || c.ended {
		return nil
	}
	c.ended = true
	return a.final
}

// events joins pieces up to maxBytes, one at least. The caller holds the answer's lock.
func (c *consumer) events(maxBytes int64) *linkpb.AgentFrame {
	a := c.answer
	if maxBytes <= 0 {
		return nil
	}
	from := int(c.next - a.first)
	begin := a.offset(from)
	to, tokens := from, uint32(0)
	for to < len(a.pieces) && (to == from || int64(a.pieces[to].end-begin) <= maxBytes) {
		tokens += a.pieces[to].tokens
		to++
	}
	data := a.data[begin-a.start : a.pieces[to-1].end-a.start]
	c.event = linkpb.Event{
		RequestId: a.id,
		Attempt:   a.attempt,
		Seq:       c.next,
		Data:      data,
		Tokens:    tokens,
		Count:     uint32(to - from),
	}
	if !c.headed {
		c.event.Head = a.head
		c.headed = true
	}
	c.next += uint64(to - from)
	c.credit -= int64(len(data))
	a.freeLocked()
	c.frame = linkpb.AgentFrame{Event: &c.event}
	return &c.frame
}
