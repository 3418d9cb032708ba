package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/upstream"
)

const (
	// maxEventBytes bounds an event of a stream of which only complete events are relayed.
	maxEventBytes = 256 << 10
	// streamBufferBytes is the size of the buffers in which streams are read.
	streamBufferBytes = 8 << 10
)

// streamBuffers is a pool of read buffers for streams.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// bufferedAnswer is a complete answer of a backend server.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// write sends the answer to the caller unchanged.
func (a *bufferedAnswer) write(w http.ResponseWriter) {
	copyAnswerHeaders(w.Header(), a.header)
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // the caller may be gone
}

// copyAnswerHeaders copies the headers of an answer except those that apply to its connection.
func copyAnswerHeaders(to, from http.Header) {
	own := from.Clone()
	removeConnectionHeaders(own)
	for name, values := range own {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil // prevents net/http from detecting one
	}
}

// splitList returns the elements of a comma-separated header value.
func splitList(value string) []string {
	var out []string
	for _, name := range strings.Split(value, ",") {
		if name = strings.TrimSpace(name); name != "" {
			out = append(out, name)
		}
	}
	return out
}

// isStream reports whether the route's answers are event streams.
func (x *exchange) isStream() bool { return x.route.Kind == catalog.Streaming }

// relayBuffered buffers an answer until it is complete, then sends it to the caller. It returns a 5xx answer to an idempotent
// request instead, so that it is sent only if no further attempt follows.
func (s *Server) relayBuffered(ctx context.Context, x *exchange, r *received, t *attempts) attemptOutcome {
	answer := r.answer
	body, release, ok := s.bufferBody(ctx, r, t.current.server)
	defer release()
	failed := attemptOutcome{sent: true, ran: true, refusal: truncatedAnswer(ctx)}
	switch {
	case !ok:
		return failed
	case answer.Status/100 == 2 && !r.reply.Signed:
		return failed
	case t.stream.started:
		return failed // the caller has the beginning of a stream, which can't end with another answer
	}
	complete := &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError && x.route.IsIdempotent() {
		if len(body) > smallAnswerBytes {
			return failed // it would stay in memory during the further attempts
		}
		return attemptOutcome{sent: true, ran: true, heldAnswer: complete}
	}
	complete.write(t.stream.w)
	return attemptOutcome{sent: true, ran: true, done: true}
}

// bufferBody buffers the body of an answer. It returns false if the body is not complete. The caller must call release once it no longer needs
// the body.
func (s *Server) bufferBody(ctx context.Context, r *received, server route.Backend) (body []byte, release func(), ok bool) {
	if r.ahead != nil && r.ahead.isBuffered {
		return r.ahead.data, r.ahead.release, r.ahead.isWhole
	}
	body, release, err := s.answers.readBuffered(ctx, server.ID, r.answer)
	return body, release, err == nil && !s.mayBeCut(ctx, r.answer, server)
}

// mayBeCut reports whether an answer that only the end of its connection ends may be incomplete: its server has ended too. Whether the
// server had said that it leaves makes no difference: it may have been killed before its time.
func (s *Server) mayBeCut(ctx context.Context, answer *upstream.Answer, server route.Backend) bool {
	return !answer.Framed && s.client.MayHaveEnded(ctx, server.Address, crashCheckDelay)
}

// truncatedAnswer returns the refusal to send instead of an answer that can't be relayed: it was truncated, exceeds
// maxBufferedBytes or is not signed by the server.
func truncatedAnswer(ctx context.Context) *refusal {
	return missingAnswer(ctx, "answer_cut", "the backend server's answer was truncated or invalid")
}

// relayStream relays the events of a stream as they arrive.
func (s *Server) relayStream(ctx context.Context, x *exchange, r *received, t *attempts) attemptOutcome {
	answer := r.answer
	if !r.reply.Signed || !t.stream.isContinuedBy(answer.Status, answer.Header) {
		return attemptOutcome{sent: true, ran: true, refusal: truncatedAnswer(ctx)}
	}
	t.stream.setHead(answer.Status, answer.Header)
	var last time.Time
	var events eventClock
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	event := s.eventMemoryOf(r, t.current.server)
	defer event.end()
	for {
		n, err := r.read(buffer[:])
		if n > 0 {
			now := time.Now()
			t.current.recordData(now)
			if !last.IsZero() {
				x.longestGap = max(x.longestGap, now.Sub(last))
			}
			last = now
			s.recordUsage(x, now)
			s.recordFirstData(x, now)
			events.recordData(now, buffer[:n], t.current.activity)
			t.stream.write(buffer[:n])
			events.recordWrite(now, time.Now())
			if t.stream.isEventTooLarge() {
				err = errEventTooLarge
			}
			if failure := event.adjust(ctx, len(t.stream.partial)); failure != nil {
				err = failure
			}
		}
		switch {
		case err == io.EOF && t.stream.isComplete(answer.Framed) && !s.mayBeCut(ctx, answer, t.current.server):
			t.stream.finish()
			return attemptOutcome{sent: true, ran: true, done: true}
		case err != nil:
			t.stream.dropPartial()
			return attemptOutcome{sent: true, ran: true, refusal: truncatedAnswer(ctx)}
		}
	}
}

// errEventTooLarge means that an event exceeds maxEventBytes.
const errEventTooLarge = errors.ConstError("event of the stream exceeds the size limit")

// streamWriter relays one stream, which may come from several servers in succession. Of a resumable stream it sends only complete
// events, so that the next server can resume after the last of them.
type streamWriter struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	resumable bool // another server can resume the stream

	started bool        // the header was sent to the caller
	hasData bool        // some of the current answer's body has arrived
	status  int         // of the first answer of which data was sent
	header  http.Header // of the same answer
	partial []byte      // of a resumable stream: the incomplete event at its end
	tail    []byte      // of any other stream: the last bytes sent
	lastID  string      // of the last event sent; empty: none
}

func newStreamWriter(w http.ResponseWriter, x *exchange) *streamWriter {
	return &streamWriter{w: w, control: http.NewResponseController(w), resumable: x.isStream() && (x.route.Resumable || x.keepsBackup)}
}

// setHead stores the status and header of an answer. They are sent with the first event: until then, those of another server's
// answer replace them.
func (s *streamWriter) setHead(status int, header http.Header) {
	s.hasData = false
	if !s.started {
		s.status, s.header = status, header
	}
}

// isContinuedBy reports whether an answer with the given head can go on with the stream: once the stream has begun, the status and the
// media type must be those that were sent. Anything else is not the rest of the stream, even if it says success.
func (s *streamWriter) isContinuedBy(status int, header http.Header) bool {
	return !s.started || status == s.status && mediaType(header) == mediaType(s.header)
}

// mediaType returns the media type of an answer without its parameters, in lower case; empty: none is stated.
func mediaType(header http.Header) string {
	value, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(value))
}

// An event ends with a blank line, of which the line ends are of either kind.
var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
)

// completeEvents returns the length of the complete events at the beginning of data.
func completeEvents(data []byte) int {
	n := 0
	for _, end := range [][]byte{eventEnd, eventEndCRLF} {
		if i := bytes.LastIndex(data, end); i >= 0 {
			n = max(n, i+len(end))
		}
	}
	return n
}

// write relays received data.
func (s *streamWriter) write(data []byte) {
	s.hasData = true
	if !s.resumable {
		s.send(data)
		s.tail = append(s.tail, data[max(0, len(data)-len(eventEndCRLF)):]...)
		s.tail = append(s.tail[:0], s.tail[max(0, len(s.tail)-len(eventEndCRLF)):]...)
		return
	}
	s.partial = append(s.partial, data...)
	end := completeEvents(s.partial)
	if end == 0 {
		return
	}
	events := s.partial[:end]
	if id := lastEventID(events); id != "" {
		s.lastID = id
	}
	s.send(events)
	if cap(s.partial) > smallAnswerBytes {
		s.partial = bytes.Clone(s.partial[end:])
		return
	}
	s.partial = append(s.partial[:0], s.partial[end:]...)
}

// send writes data to the caller and flushes it.
func (s *streamWriter) send(data []byte) {
	if !s.started {
		s.started = true
		copyAnswerHeaders(s.w.Header(), s.header)
		s.w.WriteHeader(s.status)
	}
	_, _ = s.w.Write(data) // a caller that disconnects cancels the request's context
	_ = s.control.Flush()
}

// isBetweenEvents reports whether the last event received is complete.
func (s *streamWriter) isBetweenEvents() bool {
	if s.resumable {
		return len(s.partial) == 0
	}
	return len(s.tail) == 0 || completeEvents(s.tail) == len(s.tail)
}

// isComplete reports whether an answer whose body has ended is a complete stream. The body must not end inside an event. If only the
// end of the connection marks its end, an answer without any event was broken off.
func (s *streamWriter) isComplete(framed bool) bool {
	return s.isBetweenEvents() && (framed || s.hasData)
}

// isEventTooLarge reports whether the incomplete event exceeds maxEventBytes.
func (s *streamWriter) isEventTooLarge() bool { return len(s.partial) > maxEventBytes }

// dropPartial discards an incomplete event.
func (s *streamWriter) dropPartial() { s.partial = nil }

// finish ends a complete stream. It sends the header if the stream had no event.
func (s *streamWriter) finish() {
	if !s.started || len(s.partial) > 0 {
		s.send(s.partial)
	}
}

// lastEventID returns the last event id in a sequence of complete events, empty if there is none.
func lastEventID(events []byte) string {
	rest := events
	if at := bytes.LastIndex(events, []byte("\nid:")); at >= 0 {
		rest = events[at+1:]
	}
	value, ok := bytes.CutPrefix(rest, []byte("id:"))
	if !ok {
		return ""
	}
	line, _, _ := bytes.Cut(value, []byte("\n"))
	return string(bytes.TrimSpace(line))
}
