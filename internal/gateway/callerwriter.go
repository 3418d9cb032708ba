package gateway

import (
	"net/http"
	"time"
)

// writeMargin is the time in which a caller must have taken an answer, from the deadline of its request on or, if that is later, from the
// beginning of the answer.
const writeMargin = 2 * time.Second

// callerWriter bounds the time to write an answer, and asks the caller to close its connection with each answer that is sent during a shutdown.
type callerWriter struct {
	http.ResponseWriter
	server   *Server
	deadline time.Time // of the request; zero: unknown
}

// WriteHeader implements http.ResponseWriter.
func (w callerWriter) WriteHeader(status int) {
	from := time.Now()
	if w.deadline.After(from) {
		from = w.deadline
	}
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(from.Add(writeMargin)) // a test's ResponseWriter may not support deadlines
	if w.server.isDraining() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap implements the interface that http.ResponseController uses.
func (w callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
