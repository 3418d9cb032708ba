package link

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// itemKind is the kind of frame that an item becomes.
type itemKind uint8

const (
	itemSubmit itemKind = iota
	itemResume
	itemCancel
	itemCredit
	itemFence
	itemAck
	itemPing
)

// item is a queued frame that is built when it is sent.
type item struct {
	kind  itemKind
	call  *Call
	fence *fence
	id    string
	nonce uint64
}

// fence is a pending Fence of one request.
type fence struct {
	message *linkpb.Fence
	result  chan verdict.Verdict // buffers one verdict; closed without one if the agent is unreachable
}

// peer is the entry's side of the links to one agent. Its run goroutine opens links one after another while there is
// work.
type peer struct {
	pool *Pool
	addr string

	mu              sync.Mutex
	calls           map[string]*Call
	fences          map[string]*fence
	queue           []item
	queuedBodyBytes int
	wake            chan struct{} // buffers one signal that queue has items
	running         bool
	busySince       time.Time     // when the peer last became busy
	becameBusy      chan struct{} // buffers one signal that the peer became busy
}

func newPeer(pool *Pool, addr string) *peer {
	return &peer{
		pool:       pool,
		addr:       addr,
		calls:      make(map[string]*Call),
		fences:     make(map[string]*fence),
		wake:       make(chan struct{}, 1),
		becameBusy: make(chan struct{}, 1),
	}
}

// add queues a new call. It returns a verdict.Error if the call cannot be queued.
func (p *peer) add(c *Call) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.calls[c.id]
	switch {
	case old != nil && c.submit != nil:
		return verdict.New(verdict.NotRun, "duplicate_request", "request %s is already in flight to this agent", c.id)
	case old != nil && c.unattended:
		return verdict.New(verdict.MayHaveRun, "attended", "another caller receives the answer to request %s", c.id)
	}
	kind := itemResume
	if c.submit != nil {
		if len(c.submit.Body) > maxBodyBytes {
			return verdict.New(verdict.NotRun, "body_too_large", "body of %d bytes does not fit into a frame", len(c.submit.Body))
		}
		if p.queuedBodyBytes+len(c.submit.Body) > maxQueuedBodyBytes {
			return verdict.New(verdict.NotRun, "link_busy", "too many request bytes are queued for the link to the agent")
		}
		p.queuedBodyBytes += len(c.submit.Body)
		kind = itemSubmit
	} else {
		c.sent = true
	}
	if !p.ensureRunning() {
		return verdict.New(verdict.NotRun, "link_closed", "links are closed")
	}
	c.queuedAt = time.Now()
	p.markBusy(c.queuedAt)
	p.calls[c.id] = c
	c.inFlight = true
	p.push(item{kind: kind, call: c})
	if old != nil {
		old.inFlight = false
		go old.fail(verdict.New(verdict.MayHaveRun, "superseded", "the answer to request %s was resumed by another caller", c.id))
	}
	return nil
}

// fence sends a Fence and waits for the agent's verdict.
func (p *peer) fence(ctx context.Context, m *linkpb.Fence) (verdict.Verdict, error) {
	f := &fence{message: m, result: make(chan verdict.Verdict, 1)}
	if err := p.addFence(f); err != nil {
		return verdict.MayHaveRun, err
	}
	select {
	case v, ok := <-f.result:
		if !ok {
			return verdict.MayHaveRun, verdict.New(verdict.MayHaveRun, "agent_unreachable", "agent %s did not answer", p.addr)
		}
		return v, nil
	case <-ctx.Done():
		p.dropFence(f)
		return verdict.MayHaveRun, errors.Annotatef(ctx.Err(), "fence of request %s", m.RequestId)
	}
}

func (p *peer) addFence(f *fence) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fences[f.message.RequestId] != nil {
		return verdict.New(verdict.MayHaveRun, "fence_in_progress", "request %s is being fenced", f.message.RequestId)
	}
	if !p.ensureRunning() {
		return verdict.New(verdict.MayHaveRun, "link_closed", "links are closed")
	}
	p.markBusy(time.Now())
	p.fences[f.message.RequestId] = f
	p.push(item{kind: itemFence, fence: f})
	return nil
}

func (p *peer) dropFence(f *fence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.fences, f.message.RequestId)
}

func (p *peer) cancel(c *Call, reason linkpb.CancelReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.inFlight || c.cancelled {
		return
	}
	c.cancelled = true
	c.cancelReason = reason
	p.push(item{kind: itemCancel, call: c})
}

// grant adds credit to the call and sends it when due.
func (p *peer) grant(c *Call, bytes uint32) {
	c.credit.Add(int64(bytes))
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.inFlight {
		c.unsentCredit += bytes
		p.sendCredit(c)
	}
}

// sendCredit queues a Credit for the unsent credit once the agent has used half of the window, which keeps the number of
// Credit frames low. The caller holds p.mu.
func (p *peer) sendCredit(c *Call) {
	atAgent := c.credit.Load() - int64(c.unsentCredit)
	if c.unsentCredit > 0 && !c.creditQueued && atAgent <= c.window/2 {
		c.creditQueued = true
		p.push(item{kind: itemCredit, call: c})
	}
}

// markBusy starts the heartbeats if nothing is in flight yet. The caller holds p.mu.
func (p *peer) markBusy(now time.Time) {
	if p.busy() {
		return
	}
	p.busySince = now
	select {
	case p.becameBusy <- struct{}{}:
	default:
	}
}

// busy reports whether anything is in flight. The caller holds p.mu.
func (p *peer) busy() bool { return len(p.calls) > 0 || len(p.fences) > 0 }

// push queues an item and wakes the writer. The caller holds p.mu.
func (p *peer) push(it item) {
	p.queue = append(p.queue, it)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// ensureRunning starts the run goroutine unless it is running; it reports false once the Pool is closed. The caller
// holds p.mu.
func (p *peer) ensureRunning() bool {
	if p.running {
		return true
	}
	p.running = p.pool.start(p.run)
	return p.running
}

// run opens links while there is work. As soon as a link cannot be opened it fails the calls that were never sent, so that
// their caller can use another agent; calls that were sent wait up to reconnectTimeout, because only this agent can
// report their outcome.
func (p *peer) run() {
	var downSince time.Time
	backoff := firstBackoff
	for {
		conn, err := p.open()
		if err == nil {
			downSince, backoff = time.Time{}, firstBackoff
			err = p.serve(conn)
		} else {
			if downSince.IsZero() {
				downSince = time.Now()
			}
			p.failCalls(err, false)
		}
		if p.pool.ctx.Err() != nil || (!downSince.IsZero() && time.Since(downSince) >= reconnectTimeout) {
			p.failCalls(err, true)
		}
		if p.stopIfIdle() {
			return
		}
		p.pool.cfg.Logger.Info("link ended; opening a new one", "agent_address", p.addr, "error", err)
		if !downSince.IsZero() {
			p.sleep(backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

func (p *peer) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.pool.ctx.Done():
	}
}

// stopIfIdle marks the run goroutine as stopped if nothing is in flight, and reports whether it did. It drops queued
// items, which can then only be Acks and other frames of ended calls.
func (p *peer) stopIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy() {
		return false
	}
	p.queue = nil
	p.running = false
	return true
}

// failCalls ends the fences and the calls in flight: calls that were never sent have not run, others may have. Without
// all, calls that were sent are kept.
func (p *peer) failCalls(cause error, all bool) {
	p.mu.Lock()
	var failed []*Call
	for id, c := range p.calls {
		if all || !c.sent {
			failed = append(failed, c)
			c.inFlight = false
			delete(p.calls, id)
		}
	}
	fences := p.fences
	p.fences = make(map[string]*fence)
	p.queue = nil // reconcile queues the items of the kept calls again
	p.queuedBodyBytes = 0
	p.mu.Unlock()

	for _, c := range failed {
		c.fail(unreachable(c.sent, p.addr, cause))
	}
	for _, f := range fences {
		close(f.result)
	}
}

func unreachable(sent bool, addr string, cause error) *verdict.Error {
	v := verdict.NotRun
	if sent {
		v = verdict.MayHaveRun
	}
	return &verdict.Error{Verdict: v, Code: "agent_unreachable", Message: "agent " + addr + " is unreachable", Cause: cause}
}

// removeCall removes a finished call.
func (p *peer) removeCall(c *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inFlight = false
	if p.calls[c.id] == c {
		delete(p.calls, c.id)
	}
}

// reconcile resumes, resends or ends the calls of an older link, according to the agent's Welcome on the new one.
func (p *peer) reconcile(w *linkpb.Welcome) {
	known := make(map[string]bool, len(w.Known))
	for _, id := range w.Known {
		known[id] = true
	}
	type ended struct {
		call *Call
		err  *verdict.Error
	}
	var endedCalls []ended

	p.mu.Lock()
	p.queue = unsentItems(p.queue)
	for _, c := range p.calls {
		if !c.sent {
			continue
		}
		if err := c.lossReason(w, known[c.id]); err != nil {
			endedCalls = append(endedCalls, ended{c, err})
			c.inFlight = false
			delete(p.calls, c.id)
			continue
		}
		c.resumes++
		c.unsentCredit = 0
		c.creditQueued = false
		c.resumeQueued = false
		if c.submit != nil && !known[c.id] {
			c.sent = false
			p.queuedBodyBytes += len(c.submit.Body)
			p.push(item{kind: itemSubmit, call: c})
			continue
		}
		p.push(item{kind: itemResume, call: c})
		if c.cancelled {
			p.push(item{kind: itemCancel, call: c})
		}
	}
	for _, f := range p.fences {
		p.push(item{kind: itemFence, fence: f})
	}
	p.mu.Unlock()

	for _, e := range endedCalls {
		e.call.fail(e.err)
	}
}

// unsentItems returns the items of calls whose Submit was never sent: the Submits and their Cancels and Credits.
func unsentItems(queue []item) []item {
	var kept []item
	for _, it := range queue {
		if it.call != nil && !it.call.sent {
			kept = append(kept, it)
		}
	}
	return kept
}

// lossReason returns the error that ends a call whose link was lost, or nil if the call continues on the new link.
func (c *Call) lossReason(w *linkpb.Welcome, known bool) *verdict.Error {
	switch {
	case c.resumes >= maxResumes:
		return verdict.New(verdict.MayHaveRun, "link_unstable", "request %s was resumed %d times without progress", c.id, c.resumes)
	case c.submit == nil:
		return nil // the agent accepts or refuses the Resume
	case w.Incarnation != c.sentTo:
		return verdict.New(verdict.MayHaveRun, "agent_restarted", "agent restarted while request %s was in flight", c.id)
	case known, w.Complete:
		return nil // resumed, or sent again: the agent refuses a late Submit of the older epoch
	default:
		return verdict.New(verdict.MayHaveRun, "agent_forgot", "agent has no record of whether request %s started", c.id)
	}
}
