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

	// resumeFor is how long a new link is tried for requests that were sent. Agents wait longer for their entries.
	resumeFor = 8 * time.Second
	// maxResumes bounds the resumes of one request that bring nothing new.
	maxResumes = 5
	// firstBackoff is the pause after the first failed attempt; it doubles with each.
	firstBackoff = 50 * time.Millisecond
	// maxBackoff bounds the pause.
	maxBackoff = time.Second
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = MaxFrameBytes - 1<<20
	// maxWaitingBytes bounds the bodies that wait for a link to one agent.
	maxWaitingBytes = 64 << 20
)

// Config holds the settings of a Pool. Zero durations take their defaults.
type Config struct {
	EntryID           string
	Incarnation       string                                                            // differs for every start of the entry
	HeartbeatInterval time.Duration                                                     // between pings while anything is in flight
	SilenceTimeout    time.Duration                                                     // a link that brought nothing for so long is replaced
	IdleTimeout       time.Duration                                                     // a link without requests is closed after it
	Dial              func(ctx context.Context, network, addr string) (net.Conn, error) // with TLS where it is wanted
	Logger            *slog.Logger
	// OnLoad receives the load in frames that belong to no request; it may be nil and must not block.
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

// Handler receives what happens to one request. Its methods are called in order and never at the same time, and
// must not block. An Event and its data are valid only during the call; the other messages, and the head of an event,
// are the handler's own. End, Refused and Lost are final: exactly one of them comes,
// and nothing after it but Load.
type Handler interface {
	Started(*linkpb.Started)
	Event(*linkpb.Event)
	End(*linkpb.End)
	Refused(*linkpb.Refused)
	// Lost ends a request whose outcome its agent did not tell; the verdict says what is known.
	Lost(v verdict.Verdict, err error)
	// Load brings the load of the agent that a frame of this request carried.
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

// NewPool returns a Pool without links; they open with the first request to an agent.
func NewPool(cfg Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{cfg: cfg.withDefaults(), ctx: ctx, cancel: cancel, peers: make(map[string]*peer)}
}

// Close closes all links. Requests in flight are lost; close the Pool when none is left.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.wg.Wait()
}

// Submit hands one attempt of a request to the link to addr. An error means that h is never called.
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

// Resume asks the agent at addr for the rest of an answer, which another entry may have submitted.
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

// Fence makes sure that a request that has not started at its agent never will, and returns what is known of it:
// NotRun is a proof. incarnation is that of the agent which the request was submitted to.
func (p *Pool) Fence(ctx context.Context, addr, requestID, incarnation string) (verdict.Verdict, error) {
	peer, err := p.peer(ctx, addr)
	if err != nil {
		return verdict.MayHaveRun, err
	}
	return peer.fence(ctx, &linkpb.Fence{RequestId: requestID, AgentIncarnation: incarnation})
}

// add registers c with the peer at addr and starts the link where there is none.
func (p *Pool) add(ctx context.Context, addr string, c *Call) error {
	peer, err := p.peer(ctx, addr)
	if err != nil {
		return err
	}
	c.peer = peer
	return peer.add(c)
}

// peer returns the peer at addr.
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

// start runs f until the Pool is closed; it reports false when the Pool is closed already.
func (p *Pool) start(f func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.wg.Go(f)
	return true
}
