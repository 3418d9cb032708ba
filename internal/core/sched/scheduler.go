package sched

import (
	"math"
	"time"
)

// Policy selects the order in which waiting requests start.
type Policy uint8

const (
	// PolicyTiered orders by tier, fair share and deadline, with floors, displacement and preemption.
	PolicyTiered Policy = iota
	// PolicyFIFO starts requests in the order of their arrival; it is the baseline of the measurements.
	PolicyFIFO
)

const (
	// DefaultFloorShare is the floor share of a class that states none.
	DefaultFloorShare = 0.02
	// maxFloorCredit bounds the starts that a class is owed after a long wait.
	maxFloorCredit = 4
	// idleAfter is the time without arrivals after which an organisation counts as idle.
	idleAfter = time.Minute
	// maxLag is the number of requests by which an organisation that is not idle may lag behind the others.
	maxLag = 8
	// tokensPerSlotSecond is the charge for a second in a slot of a request without output tokens.
	tokensPerSlotSecond = 100
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Config is the fixed part of a Scheduler.
type Config struct {
	Policy     Policy
	Slots      int     // batch size at the start, at least 1
	MaxSlots   int     // upper bound of the learned batch size; 0: Slots, so that nothing is learned
	QueueLimit int     // waiting requests, not counting a few places for each class with a floor share
	FloorShare float64 // of classes that state none; 0: DefaultFloorShare, negative: none
}

// Scheduler decides which waiting request runs next.
type Scheduler struct {
	cfg        Config
	slots      int
	tiers      []*tier
	items      map[string]*item
	active     []*item // in slots, in no order
	byLatest   priorityQueue[latestItem]
	byDue      priorityQueue[dueItem] // that have a first-token target and never began
	threatened []*item                // taken from byDue, for they may miss their target
	learned    estimates
	seq        uint64
	starts     uint64
	leaving    bool

	waiting      int // all waiting requests
	running      int // in slots, without those on floor slots
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

// Submit takes an arriving request. Without an action for it, it waits. A known id is ignored.
func (s *Scheduler) Submit(now time.Time, r Request) []Action {
	if _, ok := s.items[r.ID]; ok {
		return nil
	}
	if s.leaving {
		return []Action{{Kind: Refuse, ID: r.ID, Reason: Leaving}}
	}
	it := s.newItem(now, r)
	if s.isHopelessArrival(now, it) {
		return []Action{{Kind: Refuse, ID: r.ID, Reason: Hopeless, RetryAfter: s.retryAfter()}}
	}
	s.noteBlocked(now, it)
	s.enqueue(it, false)
	s.dispatch(now)
	s.preemptForThreatened(now)
	s.enforceQueueLimit(now, it)
	return s.take()
}

// Progress reports output tokens since the last call; the first call is the first token.
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
	wasVictim := it.isPreemptible()
	it.lastToken = now
	it.tokens += tokens
	if wasVictim && !it.isPreemptible() {
		s.tier(it).preemptible--
	}
	s.charge(it, float64(tokens))
	s.adjustSlots()
	s.dispatch(now)
	return s.take()
}

// Finish reports that a running request ended, also by a preemption after which it is given up.
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
	return s.take()
}

// Requeue reports that a preempted request has stopped; it waits again by its first arrival and keeps its charge.
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
	return s.take()
}

// Cancel drops a waiting request. A running one goes on until Finish.
func (s *Scheduler) Cancel(now time.Time, id string) []Action {
	it := s.items[id]
	if it == nil || it.state != waiting {
		return nil
	}
	s.dequeue(it)
	delete(s.items, id)
	s.dispatch(now)
	return s.take()
}

// Tick gives up hopeless requests, and preempts for those that would miss their target otherwise.
func (s *Scheduler) Tick(now time.Time) []Action {
	for {
		it := s.byLatest.first().item
		if it == nil || !it.latest.Before(now) {
			break
		}
		s.giveBack(now, it, Refuse, Hopeless)
	}
	s.dispatch(now)
	s.preemptForThreatened(now)
	return s.take()
}

// SetLeaving starts or ends the draining of the backend server. Requests that began before stay.
func (s *Scheduler) SetLeaving(now time.Time, leaving bool) []Action {
	s.leaving = leaving
	if !leaving {
		s.dispatch(now)
		return s.take()
	}
	for _, it := range s.waitingInOrder() {
		if !it.startedOnce {
			s.giveBack(now, it, Return, Leaving)
		}
	}
	return s.take()
}

// take returns the actions of the current event.
func (s *Scheduler) take() []Action {
	if len(s.actions) == 0 {
		return nil
	}
	out := s.actions
	s.actions = nil
	return out
}

// newItem fills in what the scheduler derives of a request.
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
	it := &item{Request: r, seq: s.seq, arrived: now, inQueue: noPosition, inLatest: noPosition, inDue: noPosition}
	if r.FirstTokenTarget > 0 {
		it.due = now.Add(r.FirstTokenTarget)
	}
	it.urgency = s.urgency(it)
	t := s.tierAt(r.Tier)
	l := t.lane(r.Class, r.Tier)
	l.floor = math.Max(0, r.FloorShare)
	it.queue = l.queue(t.account(r.Organisation, r.Weight))
	it.cost = math.Max(1, uncached(&it.Request)+l.meanOutput.value)
	it.latest = s.latestStart(it)
	return it
}

// urgency is the time by which requests of one organisation are ordered.
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

// defaultUrgency places requests without any target among those that have one.
const defaultUrgency = time.Minute

func (s *Scheduler) tierAt(i int) *tier {
	for len(s.tiers) <= i {
		s.tiers = append(s.tiers, &tier{accounts: make(map[string]*account)})
	}
	return s.tiers[i]
}

func (s *Scheduler) tier(it *item) *tier { return s.tiers[it.Tier] }

// enqueue adds a request to the waiting ones. A resident one began before.
func (s *Scheduler) enqueue(it *item, resident bool) {
	s.items[it.ID] = it
	t := s.tier(it)
	s.lift(t, it)
	it.queue.push(it, resident)
	t.waiting++
	s.waiting++
	if !it.latest.IsZero() {
		s.byLatest.add(latestItem{it})
	}
	if !it.due.IsZero() && !it.startedOnce && s.cfg.Policy == PolicyTiered {
		s.byDue.add(dueItem{it})
	}
}

// lift brings an organisation that returns from idleness up to the least served active one, so that it has saved up
// nothing. One that sent requests a moment ago may lag by a few requests: those were displaced from a short queue, and
// the claim of a small organisation against a large one would be lost with each of them.
func (s *Scheduler) lift(t *tier, it *item) {
	a := it.queue.account
	idle := it.arrived.Sub(a.arrived) > idleAfter
	a.arrived = it.arrived
	if a.waiting > 0 {
		return
	}
	if q := t.leastServed(); q != nil {
		t.lifted = math.Max(t.lifted, q.account.served)
	}
	lag := 0.0
	if !idle {
		lag = maxLag * it.queue.lane.meanCharge.value
	}
	a.served = math.Max(a.served, t.lifted-lag)
}

// dequeue takes a request out of the waiting ones.
func (s *Scheduler) dequeue(it *item) {
	t := s.tier(it)
	t.lifted = math.Max(t.lifted, t.leastServed().account.served)
	it.queue.drop(it)
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

// chargeFinished charges the time in a slot of a request without tokens, and learns the charges of its lane.
func (s *Scheduler) chargeFinished(now time.Time, it *item) {
	output := float64(it.tokens)
	if it.tokens == 0 {
		output = now.Sub(it.started).Seconds() * tokensPerSlotSecond
		s.charge(it, output)
	}
	l := it.queue.lane
	l.meanOutput.observe(output)
	l.meanCharge.observe(output + uncached(&it.Request))
}

// dispatch starts waiting requests in free slots, then those that the floor shares owe.
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

// next returns the request that may start in a free slot.
func (s *Scheduler) next(now time.Time) *item {
	free := s.slots - s.running
	if free <= 0 {
		return nil
	}
	for i, t := range s.tiers {
		if t.waiting == 0 {
			continue
		}
		if free <= s.keptBack(now, i) {
			return nil
		}
		return s.firstOf(now, t.leastServed())
	}
	return nil
}

// firstOf returns the request of the queue that goes next.
func (s *Scheduler) firstOf(now time.Time, q *queue) *item {
	if s.cfg.Policy == PolicyTiered {
		q.moveLate(now, s.learned.firstToken)
	}
	return q.first()
}

func (s *Scheduler) startOrRefuse(now time.Time, it *item, onFloorSlot bool) {
	if latest := s.latestStart(it); !latest.IsZero() && latest.Before(now) {
		s.giveBack(now, it, Refuse, Hopeless)
		return
	}
	s.start(now, it, onFloorSlot)
}

func (s *Scheduler) start(now time.Time, it *item, onFloorSlot bool) {
	s.dequeue(it)
	s.creditFloors(it.queue.lane)
	it.state = running
	it.onFloorSlot = onFloorSlot
	it.started = now
	s.starts++
	it.queue.account.turn = s.starts
	it.tokensThen = it.tokens
	if !it.startedOnce {
		s.charge(it, uncached(&it.Request))
	}
	it.startedOnce = true
	it.inActive = len(s.active)
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
	s.active[it.inActive] = last
	last.inActive = it.inActive
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

// giveBack returns or refuses a waiting request.
func (s *Scheduler) giveBack(now time.Time, it *item, kind ActionKind, reason Reason) {
	s.dequeue(it)
	delete(s.items, it.ID)
	s.actions = append(s.actions, Action{
		Kind: kind, ID: it.ID, Reason: reason, RetryAfter: s.retryAfter(), Started: it.startedOnce,
	})
}

// adjustSlots follows the learned batch size.
func (s *Scheduler) adjustSlots() {
	if s.cfg.MaxSlots == s.cfg.Slots {
		return
	}
	if !s.learned.isWindowFull(s.slots) {
		return
	}
	s.slots = s.learned.batchSize(s.slots, s.cfg.MaxSlots, s.tightestTarget())
}

// tightestTarget is the least between-token target of the running requests; zero: none.
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

// slotInterval is the expected time between two slots coming free.
func (s *Scheduler) slotInterval() time.Duration {
	return seconds(s.learned.service.value / float64(s.slots))
}

func (s *Scheduler) retryAfter() time.Duration {
	wait := time.Duration(s.waiting) * s.slotInterval()
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// waitingInOrder returns the waiting requests by arrival.
func (s *Scheduler) waitingInOrder() []*item {
	var out []*item
	for _, it := range s.items {
		if it.state == waiting {
			out = append(out, it)
		}
	}
	sortBySeq(out)
	return out
}
