package link

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/proto/linkpb"
)

const (
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultSilenceTimeout    = 1500 * time.Millisecond
	defaultIdleTimeout       = 60 * time.Second

	// reconnectTimeout bounds the attempts to open a new link for requests that were sent. It must be shorter than the
	// time that agents keep requests of a disconnected entry.
	reconnectTimeout = 8 * time.Second
	// maxResumes bounds the resumes of one request without progress.
	maxResumes = 5
	// firstBackoff is the delay after the first failed attempt to open a link; it doubles with each further one.
	firstBackoff = 50 * time.Millisecond
	// maxBackoff bounds the delay.
	maxBackoff = time.Second
	// maxBodyBytes bounds the body of a request; the rest of a frame is for its other fields.
	maxBodyBytes = MaxFrameBytes - 1<<20
	// maxQueuedBodyBytes bounds the total size of the bodies queued for one agent.
	maxQueuedBodyBytes = 64 << 20
)

// Config holds the settings of a Pool. Zero durations take their defaults.
type Config struct {
	EntryID           string
	Incarnation       string                                                            // unique to this start of the entry
	HeartbeatInterval time.Duration                                                     // between pings while anything is in flight
	SilenceTimeout    time.Duration                                                     // a link that received nothing for so long is replaced
	IdleTimeout       time.Duration                                                     // a link without requests for so long is closed
	Dial              func(ctx context.Context, network, addr string) (net.Conn, error) // nil: a plain net.Dialer; the place for TLS
	Logger            *slog.Logger
	// OnLoad receives the load of frames that belong to no request in flight; it may be nil and must not block.
	OnLoad func(addr string, load *linkpb.Load)
}

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = defaultHeartbeatInterval
	}
	if c.SilenceTimeout <= 0 {
		c.SilenceTimeout = defaultSilenceTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.NewJSONHandler(io.Discard, nil))
	}
	return c
}

// Handler receives the messages of one request. Its methods must not block. Except for Load, they are called in order
// and never concurrently; Load may be called during and after Lost. An Event and its data are valid only during the
// call; the handler may keep the other messages, and the head of an event. End, Refused and Lost are final: exactly one
// of them is called, and after it none but Load.
type Handler interface {
	Started(*linkpb.Started)
	Event(*linkpb.Event)
	End(*linkpb.End)
	Refused(*linkpb.Refused)
	// Lost ends a request without an outcome from its agent; v is what is known about its execution.
	Lost(v verdict.Verdict, err error)
	// Load receives the agent's load that a frame of this request carried.
	Load(addr string, load *linkpb.Load)
}

// Pool holds the links of one entry, at most one to each agent.
type Pool struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	epoch  atomic.Uint64
	wg     sync.WaitGroup

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// NewPool returns a Pool without links; a link is opened by the first request to its agent.
func NewPool(cfg Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{cfg: cfg.withDefaults(), ctx: ctx, cancel: cancel, peers: make(map[string]*peer)}
}

// Close closes all links and ends the requests in flight as lost. To avoid that, wait for their outcomes first.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.wg.Wait()
}

// Submit queues one attempt of a request for the agent at addr. If it returns an error, h is never called.
func (p *Pool) Submit(ctx context.Context, addr string, s *linkpb.Submit, h Handler) (*Call, error) {
	c := &Call{
		id:       s.RequestId,
		deadline: s.DeadlineMs,
		org:      s.Organisation,
		submit:   s,
		handler:  h,
	}
	c.attempt.Store(s.Attempt)
	c.credit.Store(int64(s.Credit))
	c.window = int64(s.Credit)
	return c, p.add(ctx, addr, c)
}

// Resume requests the rest of an answer from the agent at addr, also if another entry submitted the request. If it
// returns an error, h is never called.
func (p *Pool) Resume(ctx context.Context, addr string, r *linkpb.Resume, h Handler) (*Call, error) {
	c := &Call{
		id:         r.RequestId,
		org:        r.Organisation,
		handler:    h,
		anyAttempt: true,
		unattended: r.Unattended,
		partial:    r.NextSeq > 0,
	}
	c.next.Store(r.NextSeq)
	c.credit.Store(int64(r.Credit))
	c.window = int64(r.Credit)
	return c, p.add(ctx, addr, c)
}

// Fence prevents a request that has not started at its agent from ever starting, and returns its verdict: NotRun proves
// that it has not run and never will. incarnation is that of the agent to which the request was submitted.
func (p *Pool) Fence(ctx context.Context, addr, requestID, incarnation string) (verdict.Verdict, error) {
	peer, err := p.peer(ctx, addr)
	if err != nil {
		return verdict.MayHaveRun, err
	}
	return peer.fence(ctx, &linkpb.Fence{RequestId: requestID, AgentIncarnation: incarnation})
}

// add queues c at the peer for addr, which opens a link if it has none.
func (p *Pool) add(ctx context.Context, addr string, c *Call) error {
	peer, err := p.peer(ctx, addr)
	if err != nil {
		return err
	}
	c.peer = peer
	return peer.add(c)
}

// peer returns the peer for addr. It fails if ctx has ended or the Pool is closed.
func (p *Pool) peer(ctx context.Context, addr string) (*peer, error) {
	if err := ctx.Err(); err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: "cancelled", Message: "request ended before it was sent", Cause: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, verdict.New(verdict.NotRun, "link_closed", "links are closed")
	}
	found := p.peers[addr]
	if found == nil {
		found = newPeer(p, addr)
		p.peers[addr] = found
	}
	return found, nil
}

// start runs f in a goroutine that Close waits for; it reports false if the Pool is closed.
func (p *Pool) start(f func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.wg.Go(f)
	return true
}
