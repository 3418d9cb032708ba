package entry

import (
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// answerCredit is the number of bytes of an answer that may be buffered at the entry.
const answerCredit = 256 << 10

// receiveBuffer buffers the messages of one attempt until the goroutine that relays the answer collects them. It implements
// link.Handler and never blocks: the credit of the attempt bounds its size.
type receiveBuffer struct {
	wake       chan struct{} // holds one element if messages were received since the last read from it
	recordLoad func(addr string, l *linkpb.Load)

	mu      sync.Mutex
	pending received
	spare   []byte // data buffer for reuse after the next collect
}

// received is what has been received since the last collect.
type received struct {
	started   bool
	queueWait time.Duration
	head      *linkpb.Head
	data      []byte
	tokens    int
	events    int

	// At most one of these is set, and nothing follows it.
	end     *linkpb.End
	refused *linkpb.Refused
	lost    *verdict.Error
}

// isFinal reports whether the attempt has ended.
func (a *received) isFinal() bool { return a.end != nil || a.refused != nil || a.lost != nil }

func newReceiveBuffer(recordLoad func(string, *linkpb.Load)) *receiveBuffer {
	return &receiveBuffer{wake: make(chan struct{}, 1), recordLoad: recordLoad}
}

func (r *receiveBuffer) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// collect returns what has been received. The data is valid until the next collect.
func (r *receiveBuffer) collect() received {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.pending
	r.pending = received{data: r.spare[:0]}
	r.spare = a.data
	return a
}

// Started implements link.Handler.
func (r *receiveBuffer) Started(m *linkpb.Started) {
	r.mu.Lock()
	r.pending.started = true
	r.pending.queueWait = time.Duration(m.QueueWaitMs) * time.Millisecond
	r.mu.Unlock()
	r.signal()
}

// Event implements link.Handler. It copies the data, since the link may reuse its buffer.
func (r *receiveBuffer) Event(m *linkpb.Event) {
	r.mu.Lock()
	if m.Head != nil {
		r.pending.head = m.Head
	}
	r.pending.data = append(r.pending.data, m.Data...)
	r.pending.tokens += int(m.Tokens)
	r.pending.events++
	r.mu.Unlock()
	r.signal()
}

// End implements link.Handler.
func (r *receiveBuffer) End(m *linkpb.End) {
	r.mu.Lock()
	r.pending.end = m
	r.mu.Unlock()
	r.signal()
}

// Refused implements link.Handler.
func (r *receiveBuffer) Refused(m *linkpb.Refused) {
	r.mu.Lock()
	r.pending.refused = m
	r.mu.Unlock()
	r.signal()
}

// Lost implements link.Handler.
func (r *receiveBuffer) Lost(v verdict.Verdict, err error) {
	r.mu.Lock()
	r.pending.lost = &verdict.Error{Verdict: v, Code: "link_lost", Message: "the link to the backend server's agent was lost", Cause: err}
	r.mu.Unlock()
	r.signal()
}

// Load implements link.Handler.
func (r *receiveBuffer) Load(addr string, l *linkpb.Load) { r.recordLoad(addr, l) }
