package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
)

// readAhead is what was read of the body of an answer before its relay. The methods of a nil value do nothing.
type readAhead struct {
	data []byte

	event eventMemory // of a stream
	err   error       // of a stream, after data; nil: the rest was not read

	isBuffered bool // data is a whole body, not a part of a stream
	isWhole    bool // the body is complete; valid with isBuffered
	release    func()
}

// end ends the reservations of memory of what is not relayed.
func (a *readAhead) end() {
	if a == nil {
		return
	}
	a.event.end()
	if a.release != nil {
		a.release()
	}
}

// readUntilDecided reads as much of an answer as decides whether it can be relayed, and reports whether it can: a stream until its first
// event, and the body of what is a failure, so that its relay does not wait for the server.
func (s *Server) readUntilDecided(ctx context.Context, x *exchange, c *contender) bool {
	r := &c.received
	switch {
	case r.isStream(x) && r.reply.Signed:
		return s.readFirstEvent(ctx, c)
	case r.isStream(x):
		return false
	case r.answer.Status >= http.StatusInternalServerError || r.answer.Status/100 == 2 && !r.reply.Signed:
		body, release, ok := s.bufferBody(ctx, r, c.server)
		r.ahead = &readAhead{data: body, isBuffered: true, isWhole: ok, release: release}
		return false
	default:
		return true
	}
}

// readFirstEvent reads a resumable stream until its first event is complete. A complete stream without an event is relayed too.
func (s *Server) readFirstEvent(ctx context.Context, c *contender) bool {
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	ahead := &readAhead{event: eventMemory{memory: s.answers, server: c.server.ID}}
	c.received.ahead = ahead
	for {
		n, err := c.received.answer.Read(buffer[:])
		if n > 0 {
			c.recordData(time.Now())
			ahead.data = append(ahead.data, buffer[:n]...)
		}
		if err == nil && completeEvents(ahead.data) == 0 {
			err = ahead.reserve(ctx)
		}
		ahead.err = err
		switch {
		case completeEvents(ahead.data) > 0:
			return true
		case err == io.EOF:
			return len(ahead.data) == 0 && c.received.answer.Framed
		case err != nil:
			return false
		}
	}
}

// reserve reserves the memory of an incomplete event, or returns an error if the event is too large.
func (a *readAhead) reserve(ctx context.Context) error {
	if len(a.data) > maxEventBytes {
		return errEventTooLarge
	}
	return a.event.adjust(ctx, len(a.data))
}

// eventMemoryOf returns the reservation for the incomplete events of a stream, which may have been made already.
func (s *Server) eventMemoryOf(r *received, server route.Backend) eventMemory {
	if r.ahead != nil {
		return r.ahead.event
	}
	return eventMemory{memory: s.answers, server: server.ID}
}

// read reads the body of a stream, first what was read ahead.
func (r *received) read(p []byte) (int, error) {
	a := r.ahead
	if a == nil || len(a.data) == 0 && a.err == nil {
		return r.answer.Read(p)
	}
	n := copy(p, a.data)
	a.data = a.data[n:]
	if len(a.data) == 0 {
		return n, a.err
	}
	return n, nil
}
