package entry

import (
	"bytes"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// streamEnd is the last event of a streamed answer of the OpenAI API.
var streamEnd = []byte("data: [DONE]\n\n")

// deadlineSlack is the time by which a write may exceed the write timeout. It saves setting the deadline for each write.
const deadlineSlack = time.Second

// answerWriter sends one answer to its caller.
//
// The end of a stream is held back until the answer is known to be complete, so that a truncated answer never looks
// complete to the caller. After a failed write the caller is considered gone and the rest is discarded.
type answerWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration

	started    bool // the status has been sent
	stream     bool
	endHeld    bool // streamEnd is held back
	callerGone bool
	bytes      int64

	deadline time.Time // current write deadline
}

func newAnswerWriter(w http.ResponseWriter, writeTimeout time.Duration) *answerWriter {
	return &answerWriter{w: w, control: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// writeHead sends the status and headers.
func (a *answerWriter) writeHead(id requestID, h *linkpb.Head) {
	if a.started || a.callerGone {
		return
	}
	a.started = true
	header := a.w.Header()
	copyReturned(header, h.Headers)
	a.stream = bytes.HasPrefix([]byte(header.Get("Content-Type")), []byte("text/event-stream"))
	header.Set(headerRequestID, id.String())
	header.Set(headerVerdict, verdict.Ran.String())
	a.w.WriteHeader(int(h.Status))
}

// write sends a part of the body.
func (a *answerWriter) write(data []byte) {
	if a.callerGone || len(data) == 0 {
		return
	}
	a.releaseEnd()
	if a.stream && bytes.HasSuffix(data, streamEnd) {
		a.endHeld = true
		data = data[:len(data)-len(streamEnd)]
	}
	a.send(data)
	if a.stream {
		a.flush()
	}
}

// releaseEnd sends the end of the stream that was held back, if any.
func (a *answerWriter) releaseEnd() {
	if a.endHeld {
		a.endHeld = false
		a.send(streamEnd)
	}
}

func (a *answerWriter) send(data []byte) {
	if len(data) == 0 {
		return
	}
	a.extendDeadline()
	n, err := a.w.Write(data)
	a.bytes += int64(n)
	if err != nil {
		a.callerGone = true
	}
}

// extendDeadline gives the next write at least the write timeout. It changes the deadline only when it must.
func (a *answerWriter) extendDeadline() {
	now := time.Now()
	if a.deadline.Sub(now) >= a.writeTimeout {
		return
	}
	a.deadline = now.Add(a.writeTimeout + deadlineSlack)
	_ = a.control.SetWriteDeadline(a.deadline)
}

func (a *answerWriter) flush() {
	if a.control.Flush() != nil {
		a.callerGone = true
	}
}

// finish completes the answer.
func (a *answerWriter) finish() {
	if a.callerGone {
		return
	}
	a.releaseEnd()
	if a.stream {
		a.flush()
	}
	_ = a.control.SetWriteDeadline(time.Time{})
}

// fail ends an answer that cannot be completed: with an error answer if nothing was sent yet, else with an error event in
// a stream and a broken connection.
func (a *answerWriter) fail(id requestID, ref *refusal) {
	if a.callerGone {
		return
	}
	if !a.started {
		a.started = true
		a.w.Header().Set(headerRequestID, id.String())
		ref.write(a.w)
		return
	}
	if a.stream {
		a.endHeld = false
		a.send([]byte("event: error\ndata: "))
		a.send(ref.body())
		a.send([]byte("\n\n"))
		a.flush()
	}
	panic(http.ErrAbortHandler)
}

// isCallerGone reports whether the cause is that the caller disconnected.
func isCallerGone(cause error) bool { return errors.Is(cause, errCallerGone) }
