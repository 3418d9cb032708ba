// Package requestmemory reads the bodies of callers' requests within limits on memory and time.
//
// A process has one Memory for all of its listeners. Which body waits or is refused when memory is short is decided in
// internal/core/bodybudget.
package requestmemory

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/bodybudget"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// Names of the metrics.
const (
	metricRefusals   = "request_bodies_refused"     // by reason
	metricBytes      = "request_memory_bytes"       // reserved
	metricUnfinished = "request_bodies_in_progress" // not complete
)

const (
	// blockBytes is the size of the blocks of which a large body consists. A body of unknown size begins with firstBlockBytes.
	blockBytes      = 64 << 10
	firstBlockBytes = 4 << 10
	// retryInterval is the time after which a waiting body tries to reserve memory again, unless memory is released before.
	retryInterval = 100 * time.Millisecond
	// While memory is short, a body of which fewer than progressBytes arrive within stallTime counts as stalled, and the newest unfinished body
	// is refused once another one has waited for refuseAfter.
	progressBytes = 4 << 10
	stallTime     = 500 * time.Millisecond
	refuseAfter   = 500 * time.Millisecond
	// retryAfter is stated with refusals for lack of memory.
	retryAfter = time.Second
)

// Codes of refusals.
const (
	CodeTooLarge   = "body_too_large"
	CodeIncomplete = "body_incomplete"
	CodeTooSlow    = "body_too_slow"
	CodeNoMemory   = "memory_short"
	CodeAborted    = "aborted"
)

// Refusal means that a body was not read. The request has not run.
type Refusal struct {
	Status     int
	Code       string
	Message    string
	RetryAfter time.Duration // 0: none
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

// Config configures a Memory.
type Config struct {
	Limits bodybudget.Limits
	// MinRate is the number of bytes per second that must arrive on average, after Grace.
	MinRate int
	Grace   time.Duration
	Logger  *slog.Logger
	Metrics *telemetry.Registry // nil: none
}

// DefaultConfig returns the limits of a process without settings of its own.
func DefaultConfig() Config {
	const bytes = 512 << 20
	return Config{Limits: NewLimits(bytes, bytes/2, bytes/blockBytes)}
}

// NewLimits returns the limits on memory with the times that apply while it is short.
func NewLimits(bytes, ownerBytes, unfinished int) bodybudget.Limits {
	return bodybudget.Limits{
		Bytes: bytes, OwnerBytes: ownerBytes, Unfinished: unfinished, SmallBytes: blockBytes, ProgressBytes: progressBytes,
		Stall: stallTime, RefuseAfter: refuseAfter,
	}
}

// Memory is the memory of the bodies of all requests. It is safe for concurrent use.
type Memory struct {
	cfg Config

	mu      sync.Mutex
	budget  *bodybudget.Budget
	readers map[*bodybudget.Body]*reader // of unfinished bodies
	freed   chan struct{}                // closed and replaced when memory is released
	logRate telemetry.PerSecondLimiter
	gauges  sync.Once
}

// New returns a Memory without reservations.
func New(cfg Config) *Memory {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	return &Memory{
		cfg: cfg, budget: bodybudget.New(cfg.Limits), readers: make(map[*bodybudget.Body]*reader), freed: make(chan struct{}),
	}
}

// RegisterGauges registers the gauges of the memory, once. Only processes with a listener for requests have them.
func (m *Memory) RegisterGauges() {
	if m.cfg.Metrics == nil {
		return
	}
	m.gauges.Do(func() {
		m.cfg.Metrics.GaugeFunc(metricBytes, func() int64 { return int64(m.state().reserved) })
		m.cfg.Metrics.GaugeFunc(metricUnfinished, func() int64 { return int64(m.state().unfinished) })
	})
}

// state is what the bodies hold.
type state struct{ reserved, unfinished int }

func (m *Memory) state() state {
	m.mu.Lock()
	defer m.mu.Unlock()
	return state{m.budget.Reserved(), m.budget.Unfinished()}
}

// Request describes a body to read.
type Request struct {
	Owner    string        // of the request: an organisation, or else the caller's address
	MaxBytes int64         // limit on the size of the body
	Timeout  time.Duration // limit on the time in which it arrives, without waits for memory
	MaxWait  time.Duration // limit on the waits for memory; 0: Timeout
	Abort    context.Context
	// IsCopied means that a body of several blocks is needed in one piece, too, so that twice its size is reserved.
	IsCopied bool
}

// Body is a body that was read.
type Body struct {
	memory   *Memory
	reserved *bodybudget.Body
	blocks   [][]byte
	size     int
}

// Blocks returns the parts of the body.
func (b *Body) Blocks() [][]byte {
	if b == nil {
		return nil
	}
	return b.blocks
}

// Size returns the size of the body.
func (b *Body) Size() int {
	if b == nil {
		return 0
	}
	return b.size
}

// Bytes returns the body in one piece.
func (b *Body) Bytes() []byte {
	if b == nil || len(b.blocks) == 0 {
		return nil
	}
	if len(b.blocks) > 1 {
		joined := make([]byte, 0, b.size)
		for i, block := range b.blocks {
			joined = append(joined, block...)
			b.blocks[i] = nil
		}
		b.blocks = append(b.blocks[:0], joined)
	}
	return b.blocks[0]
}

// Release ends the reservation. The body must not be used any more. b may be nil.
func (b *Body) Release() {
	if b == nil || b.reserved == nil {
		return
	}
	b.memory.release(b.reserved)
	b.reserved, b.blocks = nil, nil
}

func (m *Memory) release(x *bodybudget.Body) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(x)
	delete(m.readers, x)
	close(m.freed)
	m.freed = make(chan struct{})
}

// reader reads one body.
type reader struct {
	memory  *Memory
	req     Request
	control *http.ResponseController
	body    *bodybudget.Body

	began    time.Time
	waited   time.Duration // for memory
	deadline time.Time     // in force

	mu        sync.Mutex
	isRefused bool
	isDone    bool // the body is complete
}

// Read reads the body of r. If it returns an error, which is a *Refusal, the connection must not be reused: Read has set the header that
// closes it. The caller must call Release on the body.
func (m *Memory) Read(w http.ResponseWriter, r *http.Request, req Request) (*Body, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if req.Abort == nil {
		req.Abort = context.Background()
	}
	if req.MaxWait <= 0 {
		req.MaxWait = req.Timeout
	}
	body, ref := m.read(w, r, req)
	if ref != nil {
		w.Header().Set("Connection", "close")
		m.countRefusal(ref, req, r)
		return nil, ref
	}
	return body, nil
}

func (m *Memory) read(w http.ResponseWriter, r *http.Request, req Request) (*Body, *Refusal) {
	now := time.Now()
	rd := &reader{memory: m, req: req, control: http.NewResponseController(w), began: now}
	if r.ContentLength > req.MaxBytes {
		rd.interrupt()
		return nil, tooLarge()
	}
	m.mu.Lock()
	x, refuse := m.budget.Begin(now, req.Owner, int(r.ContentLength))
	rd.body = x
	m.readers[x] = rd
	m.refuseLocked(refuse)
	m.mu.Unlock()
	stopAbort := context.AfterFunc(req.Abort, rd.interrupt)
	defer stopAbort()
	body := &Body{memory: m, reserved: x}
	if ref := rd.readBlocks(r, body); ref != nil {
		rd.interrupt() // net/http must not wait for the rest of the body
		body.Release()
		return nil, ref
	}
	return body, nil
}

// readBlocks reads all blocks of a body.
func (rd *reader) readBlocks(r *http.Request, body *Body) *Refusal {
	for isComplete := false; !isComplete; {
		n := nextBlockBytes(r.ContentLength, body.size, rd.req.MaxBytes)
		if n == 0 {
			break
		}
		reserved := n
		if rd.req.IsCopied && r.ContentLength != int64(n) {
			reserved = 2 * n
		}
		if ref := rd.reserve(reserved); ref != nil {
			return ref
		}
		block := make([]byte, n)
		n, err := rd.fill(r.Body, block)
		body.size += n
		if n > 0 {
			body.blocks = append(body.blocks, block[:n])
		}
		isComplete = err == io.EOF
		if err != nil && !isComplete {
			return rd.failed(err)
		}
		if int64(body.size) > rd.req.MaxBytes {
			return tooLarge()
		}
	}
	rd.memory.mu.Lock()
	ok := rd.memory.budget.Complete(rd.body)
	delete(rd.memory.readers, rd.body)
	rd.memory.mu.Unlock()
	if !ok {
		return noMemory()
	}
	return rd.finish()
}

// finish lifts the deadline of the connection, unless the read was aborted.
func (rd *reader) finish() *Refusal {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if rd.isRefused {
		return aborted()
	}
	rd.isDone = true
	_ = rd.control.SetReadDeadline(time.Time{})
	return nil
}

// nextBlockBytes returns the size of the next block of a body of the announced size, of which the given bytes have arrived. It is 0 at the
// end. The last block of a body of unknown size has room for one byte above the limit, so that a larger body is noticed.
func nextBlockBytes(announced int64, arrived int, limit int64) int {
	if announced >= 0 {
		return int(min(announced-int64(arrived), blockBytes))
	}
	return int(min(int64(max(firstBlockBytes, arrived)), blockBytes, limit+1-int64(arrived)))
}

// fill reads until the block is full. It returns io.EOF at the end of the body.
func (rd *reader) fill(body io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		if err := rd.extendDeadline(); err != nil {
			return n, err
		}
		var got int
		got, err = body.Read(block[n:])
		n += got
		if got > 0 {
			rd.memory.mu.Lock()
			rd.memory.budget.Progress(time.Now(), rd.body, got)
			rd.memory.mu.Unlock()
		}
	}
	return n, err
}

// errRefused interrupts the read of a body that was refused.
const errRefused = errors.ConstError("refused for lack of memory")

// extendDeadline sets the deadline of the connection to the time at which the body is too slow. It is moved in steps, since setting it
// costs more than a read of a few bytes.
func (rd *reader) extendDeadline() error {
	const step = 250 * time.Millisecond
	until := rd.began.Add(rd.waited + rd.req.Timeout)
	if rate := rd.memory.cfg.MinRate; rate > 0 {
		earned := time.Duration(float64(rd.body.Arrived()) / float64(rate) * float64(time.Second))
		if slow := rd.began.Add(rd.waited + rd.memory.cfg.Grace + earned); slow.Before(until) {
			until = slow
		}
	}
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if rd.isRefused || rd.req.Abort.Err() != nil {
		return errRefused
	}
	if until.Sub(rd.deadline) >= step {
		rd.deadline = until
		_ = rd.control.SetReadDeadline(until) // a test's ResponseWriter may not support deadlines
	}
	return nil
}

// interrupt ends the read in progress. It has no effect on a complete body.
func (rd *reader) interrupt() {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if rd.isDone {
		return
	}
	rd.isRefused = true
	_ = rd.control.SetReadDeadline(time.Unix(1, 0))
}

// reserve waits until n bytes are reserved.
func (rd *reader) reserve(n int) *Refusal {
	m := rd.memory
	var from time.Time // of the wait
	for {
		now := time.Now()
		m.mu.Lock()
		ok, refuse := m.budget.Reserve(now, rd.body, n)
		m.refuseLocked(refuse)
		freed := m.freed
		m.mu.Unlock()
		switch {
		case ok:
			if !from.IsZero() {
				rd.waited += now.Sub(from)
			}
			return nil
		case rd.req.Abort.Err() != nil:
			return aborted()
		case refuse == rd.body:
			return noMemory()
		}
		if from.IsZero() {
			from = now
		}
		left := rd.req.MaxWait - rd.waited - now.Sub(from)
		if left <= 0 {
			return noMemory()
		}
		timer := time.NewTimer(min(retryInterval, left))
		select {
		case <-freed:
		case <-timer.C:
		case <-rd.req.Abort.Done():
		}
		timer.Stop()
	}
}

// refuseLocked interrupts the read of a body that the budget refuses; nil: none. m.mu is held.
func (m *Memory) refuseLocked(x *bodybudget.Body) {
	if rd := m.readers[x]; rd != nil {
		rd.interrupt()
	}
}

// failed returns the refusal of a body whose read failed.
func (rd *reader) failed(err error) *Refusal {
	rd.mu.Lock()
	isRefused := rd.isRefused
	rd.mu.Unlock()
	var timeout interface{ Timeout() bool }
	switch {
	case rd.req.Abort.Err() != nil:
		return aborted()
	case isRefused:
		return noMemory()
	case errors.As(err, &timeout) && timeout.Timeout():
		return &Refusal{Status: http.StatusRequestTimeout, Code: CodeTooSlow, Message: "the body arrived too slowly"}
	default:
		return &Refusal{Status: http.StatusBadRequest, Code: CodeIncomplete, Message: "the body was not received completely"}
	}
}

func tooLarge() *Refusal {
	return &Refusal{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Message: "the body exceeds the size limit"}
}

func noMemory() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Code: CodeNoMemory, Message: "there is no memory for the body at the moment", RetryAfter: retryAfter,
	}
}

func aborted() *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Code: CodeAborted, Message: "the process shuts down"}
}

// countRefusal counts a refusal, and logs at most one in a second.
func (m *Memory) countRefusal(ref *Refusal, req Request, r *http.Request) {
	if m.cfg.Metrics != nil {
		m.cfg.Metrics.Counter(metricRefusals, telemetry.Label{Name: "reason", Value: ref.Code}).Inc(1)
	}
	if !m.logRate.Allow(time.Now(), 1) {
		return
	}
	s := m.state()
	m.cfg.Logger.Warn("request body refused", "reason", ref.Code, "owner", req.Owner, "announced", r.ContentLength,
		"remote", r.RemoteAddr, "reserved_bytes", s.reserved, "unfinished", s.unfinished)
}
