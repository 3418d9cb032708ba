package sched

import (
	"math"
	"time"
)

// Policy determines the order in which waiting requests start.
type Policy uint8

const (
	// PolicyTiered orders by tier, fair share and deadline, with floor shares, displacement and preemption.
	PolicyTiered Policy = iota
	// PolicyFIFO starts requests in the order of their arrival; a baseline for measurements.
	PolicyFIFO
)

const (
	// DefaultFloorShare is the floor share of a class that sets none.
	DefaultFloorShare = 0.02
	// maxFloorCredit bounds the starts that a class can accrue during a long wait.
	maxFloorCredit = 4
	// idleAfter is the time without arrivals after which an organisation counts as idle.
	idleAfter = time.Minute
	// maxLag bounds the credit of an organisation that isn't idle, in requests of mean charge.
	maxLag = 8
	// tokensPerSlotSecond is the charge per second for a request that occupies a slot without output tokens.
	tokensPerSlotSecond = 100
	// minRetryAfter and maxRetryAfter bound Action.RetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Config is the fixed part of a Scheduler.
type Config struct {
	Policy     Policy
	Slots      int     // initial batch size, at least 1
	MaxSlots   int     // upper bound of the learned batch size; 0: Slots, that is a fixed batch size
	QueueLimit int     // maximum number of waiting requests, not counting a few places per class with a floor share
	FloorShare float64 // for classes that set none; 0: DefaultFloorShare, negative: none
}

// Scheduler decides which waiting request runs next.
type Scheduler struct {
	cfg      Config
	slots    int
	tiers    []*tier
	items    map[string]*item
	active   []*item // requests in slots, unordered
	byLatest priorityQueue[latestItem]
	byDue    priorityQueue[dueItem] // requests with a first-token target that were never started
	atRisk   []*item                // moved here from byDue because they may miss their target
	learned  estimates
	seq      uint64
	starts   uint64
	leaving  bool

	waiting      int // number of all waiting requests
	running      int // number of requests in slots, without those in floor slots
	floorRunning int
	preempting   int
	actions      []Action
}

// New returns a scheduler without requests.
func New(cfg Config) *Scheduler {
	cfg.Slots = max(1, cfg.Slots)
	cfg.MaxSlots = max(cfg.Slots, cfg.MaxSlots)
	if cfg.FloorShare == 0 {
		cfg.FloorShare = DefaultFloorShare
	}
	s := &Scheduler{cfg: cfg, slots: cfg.Slots, items: make(map[string]*item)}
	s.byLatest.less = func(a, b latestItem) bool {
		if !a.latest.Equal(b.latest) {
			return a.latest.Before(b.latest)
		}
		return a.seq < b.seq
	}
	s.byDue.less = func(a, b dueItem) bool {
		if !a.due.Equal(b.due) {
			return a.due.Before(b.due)
		}
		return a.seq < b.seq
	}
	return s
}

// Submit adds an arriving request. Unless an action for it is returned, it waits. A request whose ID is already waiting or
// running is ignored.
func (s *Scheduler) Submit(now time.Time, r Request) []Action {
	if _, ok := s.items[r.ID]; ok {
		return nil
	}
	if s.leaving {
		return []Action{{Kind: Refuse, ID: r.ID, Reason: Leaving}}
	}
	it := s.newItem(now, r)
	if s.isDeadlineUnreachable(now, it) {
		return []Action{{Kind: Refuse, ID: r.ID, Reason: DeadlineUnreachable, RetryAfter: s.retryAfter()}}
	}
	s.countBlocked(now, it)
	s.enqueue(it, false)
	s.dispatch(now)
	s.preemptForAtRisk(now)
	s.enforceQueueLimit(now, it)
	return s.takeActions()
}

// Progress records output tokens since the last call; the first call marks the first token.
func (s *Scheduler) Progress(now time.Time, id string, tokens int) []Action {
	it := s.items[id]
	if it == nil || it.state == waiting || tokens <= 0 {
		return nil
	}
	if it.lastToken.IsZero() {
		s.learned.observeFirstToken(&it.Request, now.Sub(it.started))
		it.firstToken = now
	} else {
		s.learned.observeTokens(tokens, s.running+s.floorRunning, now.Sub(it.lastToken))
	}
	wasPreemptible := it.isPreemptible()
	it.lastToken = now
	it.tokens += tokens
	if wasPreemptible && !it.isPreemptible() {
		s.tier(it).preemptible--
	}
	s.charge(it, float64(tokens))
	s.adjustSlots()
	s.dispatch(now)
	return s.takeActions()
}

// Finish records that a running request ended, also by a preemption after which it isn't requeued. For a waiting request it is
// the same as Cancel.
func (s *Scheduler) Finish(now time.Time, id string) []Action {
	it := s.items[id]
	if it == nil {
		return nil
	}
	if it.state == waiting {
		return s.Cancel(now, id)
	}
	if it.state == running {
		s.learned.observeFinish(it, now)
		s.chargeFinished(now, it)
	}
	s.release(it)
	delete(s.items, id)
	s.dispatch(now)
	return s.takeActions()
}

// Requeue records that a preempted request has stopped. It waits again at the position of its original arrival, and isn't charged
// for its prompt again.
func (s *Scheduler) Requeue(now time.Time, id string) []Action {
	it := s.items[id]
	if it == nil || it.state == waiting {
		return nil
	}
	s.release(it)
	if !it.Resumable {
		it.tokens = 0
	}
	it.lastToken = time.Time{}
	s.enqueue(it, true)
	s.dispatch(now)
	return s.takeActions()
}

// Cancel removes a waiting request. It has no effect on a running one, which ends with Finish.
func (s *Scheduler) Cancel(now time.Time, id string) []Action {
	it := s.items[id]
	if it == nil || it.state != waiting {
		return nil
	}
	s.dequeue(it)
	delete(s.items, id)
	s.dispatch(now)
	return s.takeActions()
}

// Tick refuses waiting requests that can no longer meet their deadline, and preempts for those that would otherwise miss their
// first-token target.
func (s *Scheduler) Tick(now time.Time) []Action {
	for {
		it := s.byLatest.first().item
		if it == nil || !it.latest.Before(now) {
			break
		}
		s.returnToCaller(now, it, Refuse, DeadlineUnreachable)
	}
	s.dispatch(now)
	s.preemptForAtRisk(now)
	return s.takeActions()
}

// SetLeaving starts or ends the draining of the backend server. At the start of a drain, waiting requests that were never
// started are returned to their entries; the others stay.
func (s *Scheduler) SetLeaving(now time.Time, leaving bool) []Action {
	s.leaving = leaving
	if !leaving {
		s.dispatch(now)
		return s.takeActions()
	}
	for _, it := range s.waitingByArrival() {
		if !it.startedOnce {
			s.returnToCaller(now, it, Return, Leaving)
		}
	}
	return s.takeActions()
}

// takeActions returns the actions of the current event and clears them.
func (s *Scheduler) takeActions() []Action {
	if len(s.actions) == 0 {
		return nil
	}
	actions := s.actions
	s.actions = nil
	return actions
}

// newItem returns an item for the request, with defaults and derived fields filled in.
func (s *Scheduler) newItem(now time.Time, r Request) *item {
	if s.cfg.Policy == PolicyFIFO {
		r.Tier, r.Organisation, r.Class, r.FloorShare = 0, "", "", -1
		r.Weight, r.Preemptible = 1, false
	}
	r.Tier = max(0, r.Tier)
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if r.FloorShare == 0 {
		r.FloorShare = s.cfg.FloorShare
	}
	s.seq++
	it := &item{Request: r, seq: s.seq, arrived: now, queueIndex: noPosition, latestIndex: noPosition, dueIndex: noPosition}
	if r.FirstTokenTarget > 0 {
		it.due = now.Add(r.FirstTokenTarget)
	}
	it.urgency = s.urgency(it)
	t := s.tierAt(r.Tier)
	c := t.classQueue(r.Class, r.Tier)
	c.floor = math.Max(0, r.FloorShare)
	it.queue = c.queue(t.account(r.Organisation, r.Weight))
	it.cost = math.Max(1, uncachedTokens(&it.Request)+c.meanOutput.value)
	it.latest = s.latestStart(it)
	return it
}

// urgency returns the sort key of a request among those of its organisation.
func (s *Scheduler) urgency(it *item) time.Time {
	switch {
	case s.cfg.Policy == PolicyFIFO:
		return time.Time{}
	case !it.due.IsZero():
		return it.due
	case !it.Deadline.IsZero():
		return it.Deadline
	default:
		return it.arrived.Add(defaultUrgency)
	}
}

// defaultUrgency is the implied target of requests that have neither a first-token target nor a deadline.
const defaultUrgency = time.Minute

func (s *Scheduler) tierAt(i int) *tier {
	for len(s.tiers) <= i {
		s.tiers = append(s.tiers, &tier{accounts: make(map[string]*account)})
	}
	return s.tiers[i]
}

func (s *Scheduler) tier(it *item) *tier { return s.tiers[it.Tier] }

// enqueue adds a request to the waiting ones. A requeued one was started before.
func (s *Scheduler) enqueue(it *item, requeued bool) {
	s.items[it.ID] = it
	t := s.tier(it)
	s.raiseToVirtualTime(t, it)
	it.queue.push(it, requeued)
	t.waiting++
	s.waiting++
	if !it.latest.IsZero() {
		s.byLatest.add(latestItem{it})
	}
	if !it.due.IsZero() && !it.startedOnce && s.cfg.Policy == PolicyTiered {
		s.byDue.add(dueItem{it})
	}
}

// raiseToVirtualTime raises the account of an organisation that returns from idleness to the least served active one, so that it
// accrues no credit while idle. An organisation that sent requests recently may stay behind by a few requests: those may have been
// displaced from a short queue, and a small organisation would otherwise lose credit against a large one with each of them.
func (s *Scheduler) raiseToVirtualTime(t *tier, it *item) {
	a := it.queue.account
	idle := it.arrived.Sub(a.arrived) > idleAfter
	a.arrived = it.arrived
	if a.waiting > 0 {
		return
	}
	if q := t.leastServed(); q != nil {
		t.virtualTime = math.Max(t.virtualTime, q.account.served)
	}
	lag := 0.0
	if !idle {
		lag = maxLag * it.queue.classQueue.meanCharge.value
	}
	a.served = math.Max(a.served, t.virtualTime-lag)
}

// dequeue removes a request from the waiting ones.
func (s *Scheduler) dequeue(it *item) {
	t := s.tier(it)
	t.virtualTime = math.Max(t.virtualTime, t.leastServed().account.served)
	it.queue.remove(it)
	t.waiting--
	s.waiting--
	s.byLatest.remove(latestItem{it})
	s.byDue.remove(dueItem{it})
}

// charge adds served tokens to the organisation's account.
func (s *Scheduler) charge(it *item, tokens float64) {
	a := it.queue.account
	a.served += tokens / a.weight
	a.reorder()
}

// chargeFinished charges a finished request without tokens for its time in the slot, and updates the mean charges of its class.
func (s *Scheduler) chargeFinished(now time.Time, it *item) {
	output := float64(it.tokens)
	if it.tokens == 0 {
		output = now.Sub(it.started).Seconds() * tokensPerSlotSecond
		s.charge(it, output)
	}
	c := it.queue.classQueue
	c.meanOutput.observe(output)
	c.meanCharge.observe(output + uncachedTokens(&it.Request))
}

// dispatch starts waiting requests in free slots, then in floor slots those that have floor credit.
func (s *Scheduler) dispatch(now time.Time) {
	for {
		it := s.next(now)
		if it == nil {
			break
		}
		s.startOrRefuse(now, it, false)
	}
	s.dispatchFloor(now)
}

// next returns the request to start in a free slot, or nil if none may start.
func (s *Scheduler) next(now time.Time) *item {
	free := s.slots - s.running
	if free <= 0 {
		return nil
	}
	for i, t := range s.tiers {
		if t.waiting == 0 {
			continue
		}
		if free <= s.reservedSlots(now, i) {
			return nil
		}
		return s.nextInQueue(now, t.leastServed())
	}
	return nil
}

// nextInQueue returns the request of the queue that starts next.
func (s *Scheduler) nextInQueue(now time.Time, q *queue) *item {
	if s.cfg.Policy == PolicyTiered {
		q.moveLate(now, s.learned.firstToken)
	}
	return q.first()
}

func (s *Scheduler) startOrRefuse(now time.Time, it *item, onFloorSlot bool) {
	if latest := s.latestStart(it); !latest.IsZero() && latest.Before(now) {
		s.returnToCaller(now, it, Refuse, DeadlineUnreachable)
		return
	}
	s.start(now, it, onFloorSlot)
}

func (s *Scheduler) start(now time.Time, it *item, onFloorSlot bool) {
	s.dequeue(it)
	s.creditFloors(it.queue.classQueue)
	it.state = running
	it.onFloorSlot = onFloorSlot
	it.started = now
	s.starts++
	it.queue.account.lastStart = s.starts
	it.tokensAtStart = it.tokens
	if !it.startedOnce {
		s.charge(it, uncachedTokens(&it.Request))
	}
	it.startedOnce = true
	it.activeIndex = len(s.active)
	s.active = append(s.active, it)
	t := s.tier(it)
	t.running++
	if onFloorSlot {
		s.floorRunning++
	} else {
		s.running++
	}
	if it.isPreemptible() {
		t.preemptible++
	}
	s.actions = append(s.actions, Action{Kind: Start, ID: it.ID})
}

// release frees the slot of a running request.
func (s *Scheduler) release(it *item) {
	t := s.tier(it)
	if it.isPreemptible() {
		t.preemptible--
	}
	if it.state == preempting {
		s.preempting--
	}
	last := s.active[len(s.active)-1]
	s.active[it.activeIndex] = last
	last.activeIndex = it.activeIndex
	s.active = s.active[:len(s.active)-1]
	t.running--
	if it.onFloorSlot {
		s.floorRunning--
	} else {
		s.running--
	}
	it.onFloorSlot = false
	it.state = waiting
}

// returnToCaller removes a waiting request and issues a Return or Refuse action for it.
func (s *Scheduler) returnToCaller(now time.Time, it *item, kind ActionKind, reason Reason) {
	s.dequeue(it)
	delete(s.items, it.ID)
	s.actions = append(s.actions, Action{
		Kind: kind, ID: it.ID, Reason: reason, RetryAfter: s.retryAfter(), Started: it.startedOnce,
	})
}

// adjustSlots updates the batch size at the end of an observation window.
func (s *Scheduler) adjustSlots() {
	if s.cfg.MaxSlots == s.cfg.Slots {
		return
	}
	if !s.learned.isWindowFull(s.slots) {
		return
	}
	s.slots = s.learned.batchSize(s.slots, s.cfg.MaxSlots, s.tightestTarget())
}

// tightestTarget returns the smallest between-token target of the running requests, or zero if none has one.
func (s *Scheduler) tightestTarget() time.Duration {
	var least time.Duration
	for _, it := range s.active {
		target := it.BetweenTokenTarget
		if target > 0 && (least == 0 || target < least) {
			least = target
		}
	}
	return least
}

// slotInterval returns the expected time between two slots becoming free.
func (s *Scheduler) slotInterval() time.Duration {
	return seconds(s.learned.service.value / float64(s.slots))
}

func (s *Scheduler) retryAfter() time.Duration {
	wait := time.Duration(s.waiting) * s.slotInterval()
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// waitingByArrival returns the waiting requests in the order of their arrival.
func (s *Scheduler) waitingByArrival() []*item {
	var out []*item
	for _, it := range s.items {
		if it.state == waiting {
			out = append(out, it)
		}
	}
	sortBySeq(out)
	return out
}
