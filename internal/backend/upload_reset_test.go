package backend

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
)

// TestAnswerResetDuringUploadFails guards against a part of an answer that counts as whole: a server answers a long request at once with a
// success without a length, and resets the connection while the request is still being written.
func TestAnswerResetDuringUploadFails(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\n"
		tries = 10 // the write of the request or the read of the answer learns of the reset
	)
	for name, part := range map[string]string{
		"behind the head":     head + "\r\n",
		"inside the body":     head + "Content-Type: application/json\r\n\r\n{}",
		"behind whole events": head + "Content-Type: text/event-stream\r\n\r\ndata: {}\n\n",
	} {
		for _, after := range []time.Duration{0, 30 * time.Millisecond} {
			t.Run(name+" "+after.String(), func(t *testing.T) {
				for kind, c := range clients(t, "http://"+responsechecktest.ServeReset(t, part, after)) {
					for range tries {
						r := &Request{ID: "r", Method: "POST", Path: "/", Body: make([]byte, responsechecktest.UploadBytes), Stream: true}
						if _, err := c.Do(t.Context(), r, &discarding{}); err == nil || verdict.Of(err) != verdict.MayHaveRun {
							t.Errorf("%s: error %v, want one with verdict may_have_run", kind, err)
						}
					}
				}
			})
		}
	}
}
