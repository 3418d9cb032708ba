package link

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// itemKind says what a peer's writer does with an item.
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

// item is work that waits for the link.
type item struct {
	kind  itemKind
	call  *Call
	fence *fence
	id    string
	nonce uint64
}

// fence is one question whether a request has started.
type fence struct {
	message *linkpb.Fence
	answer  chan verdict.Verdict // holds one; closed without an answer when the agent is out of reach
}

// peer is one agent as an entry sees it. Its run goroutine opens links one after another while there is work.
type peer struct {
	pool *Pool
	addr string

	mu           sync.Mutex
	calls        map[string]*Call
	fences       map[string]*fence
	queue        []item
	waitingBytes int
	wake         chan struct{} // holds one token while queue has items
	running      bool
	busySince    time.Time     // when the first request after a pause came
	began        chan struct{} // holds one token when it has come
}

func newPeer(pool *Pool, addr string) *peer {
	return &peer{
		pool:   pool,
		addr:   addr,
		calls:  make(map[string]*Call),
		fences: make(map[string]*fence),
		wake:   make(chan struct{}, 1),
		began:  make(chan struct{}, 1),
	}
}

// add queues a new call.
func (p *peer) add(c *Call) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.calls[c.id]
	switch {
	case old != nil && c.submit != nil:
		return verdict.New(verdict.NotRun, "duplicate_request", "request %s is in flight to this agent already", c.id)
	case old != nil && c.unattended:
		return verdict.New(verdict.MayHaveRun, "attended", "request %s is followed by another caller", c.id)
	}
	kind := itemResume
	if c.submit != nil {
		if len(c.submit.Body) > maxBodyBytes {
			return verdict.New(verdict.NotRun, "body_too_large", "body of %d bytes does not fit a frame", len(c.submit.Body))
		}
		if p.waitingBytes+len(c.submit.Body) > maxWaitingBytes {
			return verdict.New(verdict.NotRun, "link_busy", "too many bytes wait for the link to the agent")
		}
		p.waitingBytes += len(c.submit.Body)
		kind = itemSubmit
	} else {
		c.sent = true
	}
	if !p.ensureRunning() {
		return verdict.New(verdict.NotRun, "link_closed", "links are closed")
	}
	c.queuedAt = time.Now()
	p.begin(c.queuedAt)
	p.calls[c.id] = c
	c.inFlight = true
	p.push(item{kind: kind, call: c})
	if old != nil {
		old.inFlight = false
		go old.lost(verdict.New(verdict.MayHaveRun, "superseded", "the answer to request %s is taken by another caller", c.id))
	}
	return nil
}

// fence asks the agent and waits for its answer.
func (p *peer) fence(ctx context.Context, m *linkpb.Fence) (verdict.Verdict, error) {
	f := &fence{message: m, answer: make(chan verdict.Verdict, 1)}
	if err := p.addFence(f); err != nil {
		return verdict.MayHaveRun, err
	}
	select {
	case v, ok := <-f.answer:
		if !ok {
			return verdict.MayHaveRun, verdict.New(verdict.MayHaveRun, "agent_unreachable", "agent %s gave no answer", p.addr)
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
	p.begin(time.Now())
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
	c.cancelWhy = reason
	p.push(item{kind: itemCancel, call: c})
}

// grant counts up credit.
func (p *peer) grant(c *Call, bytes uint32) {
	c.credit.Add(int64(bytes))
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.inFlight {
		c.grant += bytes
		p.sendCredit(c)
	}
}

// sendCredit queues the credit that waits once the agent has used half of the window, so that few frames carry it.
// The caller holds p.mu.
func (p *peer) sendCredit(c *Call) {
	atAgent := c.credit.Load() - int64(c.grant)
	if c.grant > 0 && !c.granting && atAgent <= c.window/2 {
		c.granting = true
		p.push(item{kind: itemCredit, call: c})
	}
}

// begin starts the heartbeats where nothing was in flight. The caller holds p.mu.
func (p *peer) begin(now time.Time) {
	if p.busy() {
		return
	}
	p.busySince = now
	select {
	case p.began <- struct{}{}:
	default:
	}
}

// busy reports whether anything is in flight. The caller holds p.mu.
func (p *peer) busy() bool { return len(p.calls) > 0 || len(p.fences) > 0 }

// push queues it. The caller holds p.mu.
func (p *peer) push(it item) {
	p.queue = append(p.queue, it)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// ensureRunning starts the run goroutine where there is none. The caller holds p.mu.
func (p *peer) ensureRunning() bool {
	if p.running {
		return true
	}
	p.running = p.pool.start(p.run)
	return p.running
}

// run opens links while there is work. What never left is given up as soon as a link cannot be opened, so that it can
// go elsewhere; what was sent is worth trying for longer.
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
			p.giveUp(err, false)
		}
		if p.pool.ctx.Err() != nil || (!downSince.IsZero() && time.Since(downSince) >= resumeFor) {
			p.giveUp(err, true)
		}
		if p.stopIfIdle() {
			return
		}
		p.pool.cfg.Logger.Info("link is replaced", "agent_address", p.addr, "error", err)
		if !downSince.IsZero() {
			p.pause(backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

func (p *peer) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.pool.ctx.Done():
	}
}

// stopIfIdle ends the run goroutine when nothing is in flight.
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

// giveUp ends what is in flight: what never left has not run, the rest may have. Without all, what was sent stays.
func (p *peer) giveUp(cause error, all bool) {
	p.mu.Lock()
	var over []*Call
	for id, c := range p.calls {
		if all || !c.sent {
			over = append(over, c)
			c.inFlight = false
			delete(p.calls, id)
		}
	}
	fences := p.fences
	p.fences = make(map[string]*fence)
	p.queue = nil // settle queues again what belongs to the calls that stay
	p.waitingBytes = 0
	p.mu.Unlock()

	for _, c := range over {
		c.lost(unreachable(c.sent, p.addr, cause))
	}
	for _, f := range fences {
		close(f.answer)
	}
}

func unreachable(sent bool, addr string, cause error) *verdict.Error {
	v := verdict.NotRun
	if sent {
		v = verdict.MayHaveRun
	}
	return &verdict.Error{Verdict: v, Code: "agent_unreachable", Message: "agent " + addr + " is out of reach", Cause: cause}
}

// forget removes a finished call.
func (p *peer) forget(c *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inFlight = false
	if p.calls[c.id] == c {
		delete(p.calls, c.id)
	}
}

// settle decides on the calls that an older link left behind, once the agent has said what it knows.
func (p *peer) settle(w *linkpb.Welcome) {
	known := make(map[string]bool, len(w.Known))
	for _, id := range w.Known {
		known[id] = true
	}
	type ended struct {
		call *Call
		err  *verdict.Error
	}
	var over []ended

	p.mu.Lock()
	p.queue = unsent(p.queue)
	for _, c := range p.calls {
		if !c.sent {
			continue
		}
		if err := c.fate(w, known[c.id]); err != nil {
			over = append(over, ended{c, err})
			c.inFlight = false
			delete(p.calls, c.id)
			continue
		}
		c.resumes++
		c.grant = 0
		c.granting = false
		c.asked = false
		if c.submit != nil && !known[c.id] {
			c.sent = false
			p.waitingBytes += len(c.submit.Body)
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

	for _, e := range over {
		e.call.lost(e.err)
	}
}

// unsent keeps the submits, which never left, and the cancels and credits of their calls.
func unsent(queue []item) []item {
	var kept []item
	for _, it := range queue {
		if it.call != nil && !it.call.sent {
			kept = append(kept, it)
		}
	}
	return kept
}

// fate says what became of a call whose link was lost; nil means that it goes on.
func (c *Call) fate(w *linkpb.Welcome, known bool) *verdict.Error {
	switch {
	case c.resumes >= maxResumes:
		return verdict.New(verdict.MayHaveRun, "link_unstable", "request %s was resumed %d times in vain", c.id, c.resumes)
	case c.submit == nil:
		return nil // the agent answers the Resume itself
	case w.Incarnation != c.sentTo:
		return verdict.New(verdict.MayHaveRun, "agent_restarted", "agent restarted while request %s was in flight", c.id)
	case known, w.Complete:
		return nil // it is resumed, or sent again: the agent refuses the older epoch's Submit
	default:
		return verdict.New(verdict.MayHaveRun, "agent_forgot", "agent no longer knows whether request %s started", c.id)
	}
}
