package link

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// ErrSilent is returned for a link that received nothing for the silence timeout.
var ErrSilent = errors.New("link received nothing for the silence timeout")

// errBye is returned for a link that the agent ended with Bye.
var errBye = errors.New("agent is stopping")

// conn is one open link.
type conn struct {
	drpc        *drpcconn.Conn
	stream      linkpb.DRPCAgentLink_ConnectClient
	welcome     *linkpb.Welcome
	epoch       uint64
	lastRecv    atomic.Int64 // unix nanoseconds
	silent      atomic.Bool
	byeReceived bool // the agent has sent Bye: nothing more is sent; guarded by peer.mu
}

// open dials the agent and exchanges Hello and Welcome within the silence timeout.
func (p *peer) open() (*conn, error) {
	cfg := p.pool.cfg
	ctx, cancel := context.WithTimeout(p.pool.ctx, cfg.SilenceTimeout)
	defer cancel()
	raw, err := cfg.Dial(ctx, "tcp", p.addr)
	if err != nil {
		return nil, errors.Annotatef(err, "dial agent %s", p.addr)
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	c := &conn{
		drpc:  drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}),
		epoch: p.pool.epoch.Add(1),
	}
	if err := c.handshake(p.pool); err != nil {
		c.drpc.Close()
		return nil, errors.Annotatef(err, "handshake with agent %s", p.addr)
	}
	c.lastRecv.Store(time.Now().UnixNano())
	return c, nil
}

func (c *conn) handshake(pool *Pool) error {
	stream, err := linkpb.NewDRPCAgentLinkClient(c.drpc).Connect(pool.ctx)
	if err != nil {
		return errors.Trace(err)
	}
	c.stream = stream
	hello := &linkpb.Hello{EntryId: pool.cfg.EntryID, Incarnation: pool.cfg.Incarnation, Epoch: c.epoch}
	if err := stream.Send(&linkpb.EntryFrames{Frames: []*linkpb.EntryFrame{{Hello: hello}}}); err != nil {
		return errors.Trace(err)
	}
	m, err := stream.Recv()
	if err != nil {
		return errors.Trace(err)
	}
	if len(m.Frames) != 1 || m.Frames[0].Welcome == nil {
		return errors.NotValidf("first frame of the agent (expected one Welcome)")
	}
	c.welcome = m.Frames[0].Welcome
	return nil
}

// serve sends and receives frames over c until it fails or has been idle for the idle timeout.
func (p *peer) serve(c *conn) error {
	p.reconcile(c.welcome)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { p.write(c, done) })
	wg.Go(func() { p.watch(c, done) })
	err := p.read(c)
	close(done)
	c.drpc.Close()
	wg.Wait()
	if c.silent.Load() {
		return ErrSilent
	}
	return err
}

// receiver is the method of the generated stream that decodes into an existing message, so that it can be reused.
type receiver interface {
	RecvMsg(m *linkpb.AgentFrames) error
}

// read receives and delivers frames until the link ends.
func (p *peer) read(c *conn) error {
	stream, ok := c.stream.(receiver)
	if !ok {
		return errors.NotSupportedf("receiving by %T", c.stream)
	}
	m := linkpb.AgentFramesFromVTPool()
	defer m.ReturnToVTPool()
	for {
		m.ResetVT() // keeps the memory of its events for reuse
		if err := stream.RecvMsg(m); err != nil {
			return errors.Trace(err)
		}
		c.lastRecv.Store(time.Now().UnixNano())
		for _, frame := range m.Frames {
			if frame.Bye != nil {
				p.handleBye(c, frame.Bye)
				return errBye
			}
			p.deliver(frame)
		}
	}
}

// handleBye ends the requests that the stopping agent has not accepted: they have not run.
func (p *peer) handleBye(c *conn, m *linkpb.Bye) {
	p.mu.Lock()
	c.byeReceived = true
	var notRun []*Call
	for id, call := range p.calls {
		if call.sent && call.submit != nil && !slices.Contains(m.Known, id) {
			notRun = append(notRun, call)
			call.inFlight = false
			delete(p.calls, id)
		}
	}
	p.mu.Unlock()
	for _, call := range notRun {
		call.fail(verdict.New(verdict.NotRun, "agent_left", "agent stopped before it accepted request %s", call.id))
	}
}

// deliver passes a frame to the call or fence that it belongs to. Of a frame of an unknown request it uses only the
// load.
func (p *peer) deliver(f *linkpb.AgentFrame) {
	if f.Fenced != nil {
		p.handleFenced(f.Fenced)
	}
	c := p.callOf(requestID(f))
	if f.Load != nil {
		p.handleLoad(c, f.Load)
	}
	if c == nil {
		return
	}
	var r followUp
	switch {
	case f.Event != nil:
		r = c.handleEvent(f.Event)
	case f.Started != nil:
		r = c.handleStarted(f.Started)
	case f.End != nil:
		r = c.handleEnd(f.End)
	case f.Refused != nil:
		r = c.handleRefused(f.Refused)
	}
	p.handleFollowUp(c, r)
}

func (p *peer) handleFollowUp(c *Call, r followUp) {
	switch r {
	case progress:
		c.resumes = 0
		c.resumeQueued = false
		p.mu.Lock()
		p.sendCredit(c)
		p.mu.Unlock()
	case gap:
		if !c.resumeQueued {
			p.requestResume(c)
		}
	case resume:
		p.requestResume(c)
	case finished:
		p.removeCall(c)
		p.mu.Lock()
		p.push(item{kind: itemAck, id: c.id})
		p.mu.Unlock()
	}
}

// requestResume queues a Resume for the missing events of an answer. It ends the call after maxResumes without progress.
func (p *peer) requestResume(c *Call) {
	p.mu.Lock()
	c.resumes++
	c.resumeQueued = true
	tooMany := c.resumes > maxResumes
	if !tooMany {
		p.push(item{kind: itemResume, call: c})
	}
	p.mu.Unlock()
	if tooMany {
		p.removeCall(c)
		c.fail(verdict.New(verdict.Ran, "answer_incomplete", "events of the answer to request %s are missing", c.id))
	}
}

func (p *peer) handleFenced(m *linkpb.Fenced) {
	p.mu.Lock()
	f := p.fences[m.RequestId]
	delete(p.fences, m.RequestId)
	p.mu.Unlock()
	if f != nil {
		f.result <- VerdictOf(m.Verdict)
	}
}

func (p *peer) handleLoad(c *Call, l *linkpb.Load) {
	if c != nil {
		c.handler.Load(p.addr, l)
		return
	}
	if p.pool.cfg.OnLoad != nil {
		p.pool.cfg.OnLoad(p.addr, l)
	}
}

func (p *peer) callOf(id string) *Call {
	if id == "" {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[id]
}

// requestID returns the id of the request that f belongs to.
func requestID(f *linkpb.AgentFrame) string {
	switch {
	case f.Event != nil:
		return f.Event.RequestId
	case f.Started != nil:
		return f.Started.RequestId
	case f.End != nil:
		return f.End.RequestId
	case f.Refused != nil:
		return f.Refused.RequestId
	}
	return ""
}

// write sends the queued items, batched into messages of about batchBytes.
func (p *peer) write(c *conn, done <-chan struct{}) {
	for {
		for {
			m := p.batch(c)
			if len(m.Frames) == 0 {
				break
			}
			if err := c.stream.Send(m); err != nil {
				c.drpc.Close()
				return
			}
		}
		select {
		case <-done:
			return
		case <-p.wake:
		}
	}
}

// batch dequeues items for one message of about batchBytes.
func (p *peer) batch(c *conn) *linkpb.EntryFrames {
	m := &linkpb.EntryFrames{}
	for size := 0; size < batchBytes; {
		frame, ok := p.next(c)
		if !ok {
			break
		}
		if frame != nil {
			m.Frames = append(m.Frames, frame)
			size += frame.SizeVT()
		}
	}
	return m
}

// next dequeues one item and returns its frame, or a nil frame if the item is obsolete. It returns false if there is
// nothing to send.
func (p *peer) next(c *conn) (*linkpb.EntryFrame, bool) {
	p.mu.Lock()
	if len(p.queue) == 0 || c.byeReceived {
		p.mu.Unlock()
		return nil, false
	}
	it := p.queue[0]
	p.queue = p.queue[1:]
	if it.kind == itemSubmit {
		p.queuedBodyBytes -= len(it.call.submit.Body)
		if it.call.cancelled {
			p.mu.Unlock()
			p.failCancelled(it.call)
			return nil, true
		}
	}
	defer p.mu.Unlock()
	return p.frame(c, it), true
}

// frame builds the frame of an item, nil if it is obsolete. The caller holds p.mu.
func (p *peer) frame(c *conn, it item) *linkpb.EntryFrame {
	if it.call != nil && !it.call.inFlight {
		return nil
	}
	switch it.kind {
	case itemSubmit:
		return it.call.submitFrame(c)
	case itemResume:
		it.call.unsentCredit = 0
		return it.call.resumeFrame()
	case itemCancel:
		return &linkpb.EntryFrame{Cancel: &linkpb.Cancel{RequestId: it.call.id, Reason: it.call.cancelReason}}
	case itemCredit:
		it.call.creditQueued = false
		bytes := it.call.unsentCredit
		it.call.unsentCredit = 0
		if bytes == 0 || !it.call.sent {
			return nil
		}
		return &linkpb.EntryFrame{Credit: &linkpb.Credit{RequestId: it.call.id, Bytes: bytes}}
	case itemFence:
		return &linkpb.EntryFrame{Fence: it.fence.message}
	case itemAck:
		return &linkpb.EntryFrame{Ack: &linkpb.Ack{RequestId: it.id}}
	default:
		return &linkpb.EntryFrame{Ping: &linkpb.Ping{Nonce: it.nonce}}
	}
}

// submitFrame returns the Submit and marks the call as sent. From then on only the agent can prove that it did not run.
func (c *Call) submitFrame(conn *conn) *linkpb.EntryFrame {
	s := c.submit
	s.Epoch = conn.epoch
	if c.deadline > 0 {
		s.DeadlineMs = max(c.deadline-time.Since(c.queuedAt).Milliseconds(), 1)
	}
	if s.AgentIncarnation == "" {
		s.AgentIncarnation = conn.welcome.Incarnation
	}
	s.Credit = c.remainingCredit()
	c.unsentCredit = 0
	c.sent = true
	c.sentTo = conn.welcome.Incarnation
	return &linkpb.EntryFrame{Submit: s}
}

// failCancelled ends a call that was cancelled before it was sent: it has not run.
func (p *peer) failCancelled(c *Call) {
	p.removeCall(c)
	c.fail(verdict.New(verdict.NotRun, "cancelled", "request %s was cancelled before it was sent", c.id))
}

// watch sends heartbeats while anything is in flight, and closes the link when it is silent or idle. While nothing is in
// flight it waits for the next request or the idle timeout.
func (p *peer) watch(c *conn, done <-chan struct{}) {
	timer := time.NewTimer(p.pool.cfg.HeartbeatInterval)
	defer timer.Stop()
	idle := false
	for nonce := uint64(1); ; nonce++ {
		select {
		case <-done:
			return
		case <-p.pool.ctx.Done():
			c.drpc.Close()
			return
		case <-p.becameBusy:
			if idle {
				idle = false
				timer.Reset(p.pool.cfg.HeartbeatInterval)
			}
			continue
		case <-timer.C:
		}
		since, busy := p.queuePing(nonce)
		switch {
		case busy && c.isSilent(since, p.pool.cfg.SilenceTimeout):
			c.silent.Store(true)
			c.drpc.Close()
			return
		case busy:
			idle = false
			timer.Reset(p.pool.cfg.HeartbeatInterval)
		case idle:
			c.drpc.Close()
			return
		default:
			idle = true
			timer.Reset(p.pool.cfg.IdleTimeout)
		}
	}
}

// isSilent reports whether nothing was received for the timeout. Time before since does not count, because nothing was
// in flight then.
func (c *conn) isSilent(since time.Time, timeout time.Duration) bool {
	last := time.Unix(0, c.lastRecv.Load())
	if since.After(last) {
		last = since
	}
	return time.Since(last) >= timeout
}

// queuePing queues a ping if anything is in flight, and returns since when and whether that is so.
func (p *peer) queuePing(nonce uint64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.busy() {
		return time.Time{}, false
	}
	p.push(item{kind: itemPing, nonce: nonce})
	return p.busySince, true
}
