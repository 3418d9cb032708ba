package gateway

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/requestmemory"
)

const (
	// bodyTimeout bounds the time in which the body of a request must arrive.
	bodyTimeout = 10 * time.Second
	// defaultMaxBodyBytes applies if the catalog sets no limit.
	defaultMaxBodyBytes = 8 << 20
	// memoryWaitShare is the share of the remaining time that a body waits for memory at most, so that its caller can still send it to
	// another gateway.
	memoryWaitShare = 0.3
	minMemoryWait   = 50 * time.Millisecond
)

// limitUnreadBody bounds the time for which the connection of a request that is refused before its body is read waits for the body. net/http
// reads a part of it after the answer.
func (s *Server) limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // a test's ResponseWriter may not support deadlines
	}
}

// readBody reads the body of x within the limits on its size, time and memory, or refuses x.
func (s *Server) readBody(x *exchange, w http.ResponseWriter, r *http.Request, limits catalog.Limits) *refusal {
	maxBytes := int64(defaultMaxBodyBytes)
	if limits.MaxBodyBytes > 0 {
		maxBytes = int64(limits.MaxBodyBytes)
	}
	body, err := s.cfg.Memory.Read(w, r, requestmemory.Request{
		Owner: requestmemory.Owner(x.organisation, r), MaxBytes: maxBytes, Timeout: bodyTimeout, Abort: s.aborted,
		MaxWait: max(minMemoryWait, time.Duration(float64(x.remaining())*memoryWaitShare)),
	})
	var refused *requestmemory.Refusal
	switch {
	case errors.As(err, &refused) && refused.Code == requestmemory.CodeAborted:
		return shuttingDown()
	case errors.As(err, &refused):
		return notRun(refused.Status, refused.Code, refused.Message)
	}
	x.received = body
	if blocks := body.Blocks(); len(blocks) > 0 {
		x.body, x.bodyRest = blocks[0], blocks[1:]
	}
	return nil
}

// endsBodyRead reports whether ref refuses a body whose read the gateway itself has ended.
func endsBodyRead(ref *refusal) bool {
	return ref.code == requestmemory.CodeTooSlow || ref.code == requestmemory.CodeNoMemory
}
