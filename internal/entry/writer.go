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

// deadlineSlack is by how much a write may take longer than the write timeout.
const deadlineSlack = time.Second

// answerWriter sends one answer to its caller.
//
// The end of a stream is held back until the answer is known to be whole: a caller never sees a short answer that
// looks complete. Once a write failed the caller is gone and the rest is dropped.
type answerWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration

	started bool // the status has been sent
	stream  bool
	held    bool // streamEnd waits
	gone    bool
	bytes   int64

	deadline time.Time // set for writes
}

func newAnswerWriter(w http.ResponseWriter, writeTimeout time.Duration) *answerWriter {
	return &answerWriter{w: w, control: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// head sends the status and headers.
func (a *answerWriter) head(id requestID, h *linkpb.Head) {
	if a.started || a.gone {
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

// write sends a piece of the body.
func (a *answerWriter) write(data []byte) {
	if a.gone || len(data) == 0 {
		return
	}
	a.release()
	if a.stream && bytes.HasSuffix(data, streamEnd) {
		a.held = true
		data = data[:len(data)-len(streamEnd)]
	}
	a.send(data)
	if a.stream {
		a.flush()
	}
}

// release sends an end of stream that turned out not to be the last piece.
func (a *answerWriter) release() {
	if a.held {
		a.held = false
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
		a.gone = true
	}
}

// extendDeadline gives the next write at least the write timeout. It moves the deadline now and then only.
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
		a.gone = true
	}
}

// finish completes the answer.
func (a *answerWriter) finish() {
	if a.gone {
		return
	}
	a.release()
	if a.stream {
		a.flush()
	}
	_ = a.control.SetWriteDeadline(time.Time{})
}

// fail ends an answer that cannot be completed: with an error answer where nothing was sent yet, else with an error
// event and a broken connection.
func (a *answerWriter) fail(id requestID, ref *refusal) {
	if a.gone {
		return
	}
	if !a.started {
		a.started = true
		a.w.Header().Set(headerRequestID, id.String())
		ref.write(a.w)
		return
	}
	if a.stream {
		a.held = false
		a.send([]byte("event: error\ndata: "))
		a.send(ref.body())
		a.send([]byte("\n\n"))
		a.flush()
	}
	panic(http.ErrAbortHandler)
}

// isGone reports whether a cause means that the caller is not there any more.
func isGone(cause error) bool { return errors.Is(cause, errCallerGone) }
