package entry

import (
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// answerCredit is how many bytes of an answer may wait at the entry for its caller.
const answerCredit = 256 << 10

// relay holds what has arrived of one attempt until the caller's goroutine takes it. It implements link.Handler and
// never blocks: the credit of the attempt bounds what can wait.
type relay struct {
	wake chan struct{} // holds one token while something waits
	load func(addr string, l *linkpb.Load)

	mu      sync.Mutex
	arrived arrival
	spare   []byte // the buffer that the caller's goroutine is done with
}

// arrival is what came since the last take.
type arrival struct {
	started   bool
	queueWait time.Duration
	head      *linkpb.Head
	data      []byte
	tokens    int
	events    int

	// At most one of these is set, and nothing comes after it.
	end     *linkpb.End
	refused *linkpb.Refused
	lost    *verdict.Error
}

// final reports whether the attempt is over.
func (a *arrival) final() bool { return a.end != nil || a.refused != nil || a.lost != nil }

func newRelay(load func(string, *linkpb.Load)) *relay {
	return &relay{wake: make(chan struct{}, 1), load: load}
}

func (r *relay) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take returns what has arrived. The data stays valid until the next take.
func (r *relay) take() arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.arrived
	r.arrived = arrival{data: r.spare[:0]}
	r.spare = a.data
	return a
}

// Started implements link.Handler.
func (r *relay) Started(m *linkpb.Started) {
	r.mu.Lock()
	r.arrived.started = true
	r.arrived.queueWait = time.Duration(m.QueueWaitMs) * time.Millisecond
	r.mu.Unlock()
	r.signal()
}

// Event implements link.Handler. It copies the data, which the link may use again.
func (r *relay) Event(m *linkpb.Event) {
	r.mu.Lock()
	if m.Head != nil {
		r.arrived.head = m.Head
	}
	r.arrived.data = append(r.arrived.data, m.Data...)
	r.arrived.tokens += int(m.Tokens)
	r.arrived.events++
	r.mu.Unlock()
	r.signal()
}

// End implements link.Handler.
func (r *relay) End(m *linkpb.End) {
	r.mu.Lock()
	r.arrived.end = m
	r.mu.Unlock()
	r.signal()
}

// Refused implements link.Handler.
func (r *relay) Refused(m *linkpb.Refused) {
	r.mu.Lock()
	r.arrived.refused = m
	r.mu.Unlock()
	r.signal()
}

// Lost implements link.Handler.
func (r *relay) Lost(v verdict.Verdict, err error) {
	r.mu.Lock()
	r.arrived.lost = &verdict.Error{Verdict: v, Code: "link_lost", Message: "the link to the backend server's agent was lost", Cause: err}
	r.mu.Unlock()
	r.signal()
}

// Load implements link.Handler.
func (r *relay) Load(addr string, l *linkpb.Load) { r.load(addr, l) }
