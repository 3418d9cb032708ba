package sched

import (
	"container/list"
	"sort"
	"time"
)

// itemState is the state of a request in the scheduler.
type itemState uint8

const (
	waiting itemState = iota
	running
	preempting // running, with a Preempt action issued
)

// item is a request in the scheduler.
type item struct {
	Request
	seq     uint64 // arrival number
	arrived time.Time
	due     time.Time // target time of the first token; zero: none
	urgency time.Time // sort key within an organisation's queue
	latest  time.Time // latest start that can still meet the deadline; zero: no deadline

	state          itemState
	queue          *queue
	cost           float64       // expected charge in tokens
	queueIndex     int           // position in queue.items
	latestIndex    int           // position in Scheduler.byLatest
	dueIndex       int           // position in Scheduler.byDue
	arrivalElement *list.Element // in queue.arrivals; nil if it cannot be displaced

	started       time.Time
	firstToken    time.Time // since the last start
	lastToken     time.Time
	tokensAtStart int // tokens at the last start
	tokens        int
	startedOnce   bool
	onFloorSlot   bool
	late          bool // is in queue.late
	activeIndex   int  // position in Scheduler.active
}

func (it *item) position() *int { return &it.queueIndex }

// latestItem orders items by their latest start.
type latestItem struct{ *item }

func (l latestItem) position() *int { return &l.latestIndex }

// dueItem orders items by their first-token target.
type dueItem struct{ *item }

func (d dueItem) position() *int { return &d.dueIndex }

// account is the fair-share account of one organisation in one tier.
type account struct {
	organisation string
	weight       float64
	served       float64 // virtual tokens: charged tokens divided by weight
	pending      float64 // expected virtual tokens of its waiting requests
	queues       []*queue
	waiting      int
	arrived      time.Time // arrival of its last request
	lastStart    uint64    // sequence number of its last start; breaks ties in favour of the longest ago
}

// queue holds the waiting requests of one organisation in a classQueue.
type queue struct {
	classQueue *classQueue
	account    *account
	items      priorityQueue[*item] // requests that can still meet their first-token target, by urgency
	late       priorityQueue[*item] // the others, newest first
	arrivals   *list.List           // displaceable items, oldest first
	byServed   int                  // position in classQueue.byServed
	byFinish   int                  // position in classQueue.byFinish
}

// servedQueue orders queues by the served tokens of their organisation.
type servedQueue struct{ *queue }

func (q servedQueue) position() *int { return &q.byServed }

// finishQueue orders queues by the virtual finish of their organisation.
type finishQueue struct{ *queue }

func (q finishQueue) position() *int { return &q.byFinish }

// classQueue holds the waiting requests of one class in one tier.
type classQueue struct {
	class      string
	tier       int
	floor      float64 // floor share of the class, 0..1
	credit     float64 // accrued starts of the floor share
	waiting    int
	requeued   int // waiting requests that were started before; they cannot be displaced
	queues     map[string]*queue
	byServed   priorityQueue[servedQueue]
	byFinish   priorityQueue[finishQueue] // queues with displaceable items
	meanOutput average                    // charge for the output of a request
	meanCharge average                    // total charge of a request
}

// tier holds the class queues of one tier.
type tier struct {
	classes     []*classQueue // by class
	accounts    map[string]*account
	virtualTime float64 // least served tokens of the organisations with waiting requests; never decreases
	waiting     int
	running     int
	// preemptible is the number of running requests that may be preempted.
	preemptible int
	blocked     decayingCount // arrivals that found all slots occupied, at least one by a lower tier
}

func newClassQueue(class string, tierIndex int) *classQueue {
	c := &classQueue{class: class, tier: tierIndex, queues: make(map[string]*queue)}
	c.byServed.less = func(a, b servedQueue) bool { return lessServed(a.queue, b.queue) }
	c.byFinish.less = func(a, b finishQueue) bool {
		x, y := a.account.virtualFinish(), b.account.virtualFinish()
		if x != y {
			return x > y
		}
		return b.account.winsTie(a.account)
	}
	return c
}

// lessServed reports whether a's organisation was served less than b's.
func lessServed(a, b *queue) bool {
	if a.account.served != b.account.served {
		return a.account.served < b.account.served
	}
	return a.account.winsTie(b.account)
}

// winsTie breaks ties between organisations that were served equally.
func (a *account) winsTie(b *account) bool {
	if a.lastStart != b.lastStart {
		return a.lastStart < b.lastStart
	}
	return a.organisation < b.organisation
}

func lessItem(a, b *item) bool {
	if !a.urgency.Equal(b.urgency) {
		return a.urgency.Before(b.urgency)
	}
	return a.seq < b.seq
}

// virtualFinish returns the served tokens of the organisation after all its waiting requests have run.
func (a *account) virtualFinish() float64 { return a.served + a.pending }

// classQueue returns the queue of a class, creating it if necessary.
func (t *tier) classQueue(class string, tierIndex int) *classQueue {
	i := sort.Search(len(t.classes), func(i int) bool { return t.classes[i].class >= class })
	if i < len(t.classes) && t.classes[i].class == class {
		return t.classes[i]
	}
	c := newClassQueue(class, tierIndex)
	t.classes = append(t.classes, nil)
	copy(t.classes[i+1:], t.classes[i:])
	t.classes[i] = c
	return c
}

// account returns the account of an organisation, creating it if necessary.
func (t *tier) account(organisation string, weight float64) *account {
	a := t.accounts[organisation]
	if a == nil {
		a = &account{organisation: organisation}
		t.accounts[organisation] = a
	}
	a.weight = weight
	return a
}

// leastServed returns the queue whose organisation was served least, or nil if no request is waiting.
func (t *tier) leastServed() *queue {
	var least *queue
	for _, c := range t.classes {
		q := c.byServed.first().queue
		if q == nil {
			continue
		}
		if least == nil || lessServed(q, least) || (q.account == least.account && lessItem(q.first(), least.first())) {
			least = q
		}
	}
	return least
}

// queue returns the organisation's queue in the class, creating it if necessary.
func (c *classQueue) queue(a *account) *queue {
	q := c.queues[a.organisation]
	if q != nil {
		return q
	}
	q = &queue{classQueue: c, account: a, arrivals: list.New(), byServed: noPosition, byFinish: noPosition}
	q.items.less = lessItem
	q.late.less = func(a, b *item) bool { return a.seq > b.seq }
	c.queues[a.organisation] = q
	a.queues = append(a.queues, q)
	return q
}

// reorder restores the heap order after the organisation's account has changed.
func (a *account) reorder() {
	for _, q := range a.queues {
		q.classQueue.byServed.fix(servedQueue{q})
		q.classQueue.byFinish.fix(finishQueue{q})
	}
}

// first returns the request of the queue that starts next. Late requests come last, newest first: under overload the oldest one
// would be served just too late, and would in turn make the next one late.
func (q *queue) first() *item {
	if it := q.items.first(); it != nil {
		return it
	}
	return q.late.first()
}

// moveLate moves the requests that can no longer meet their first-token target to the late queue.
func (q *queue) moveLate(now time.Time, firstToken func(*Request) time.Duration) {
	for {
		it := q.items.first()
		if it == nil || it.due.IsZero() || it.startedOnce || !now.Add(firstToken(&it.Request)).After(it.due) {
			return
		}
		q.items.remove(it)
		it.late = true
		q.late.add(it)
	}
}

// push adds a waiting request. A requeued one was started before and cannot be displaced.
func (q *queue) push(it *item, requeued bool) {
	it.queue = q
	it.state = waiting
	it.late = false
	q.items.add(it)
	if requeued {
		q.classQueue.requeued++
	} else {
		it.arrivalElement = q.arrivals.PushBack(it)
	}
	q.classQueue.waiting++
	q.account.waiting++
	q.account.pending += it.cost / q.account.weight
	q.updateHeaps()
	q.account.reorder()
}

// remove removes a waiting request.
func (q *queue) remove(it *item) {
	if it.late {
		q.late.remove(it)
	} else {
		q.items.remove(it)
	}
	if it.arrivalElement != nil {
		q.arrivals.Remove(it.arrivalElement)
		it.arrivalElement = nil
	} else {
		q.classQueue.requeued--
	}
	q.classQueue.waiting--
	q.account.waiting--
	q.account.pending -= it.cost / q.account.weight
	if q.account.waiting == 0 {
		q.account.pending = 0
	}
	q.updateHeaps()
	q.account.reorder()
}

// updateHeaps adds the queue to the heaps of its class or removes it from them, depending on whether it has matching requests.
func (q *queue) updateHeaps() {
	served, finish := servedQueue{q}, finishQueue{q}
	switch {
	case q.items.Len()+q.late.Len() == 0:
		q.classQueue.byServed.remove(served)
	case q.byServed == noPosition:
		q.classQueue.byServed.add(served)
	}
	switch {
	case q.arrivals.Len() == 0:
		q.classQueue.byFinish.remove(finish)
	case q.byFinish == noPosition:
		q.classQueue.byFinish.add(finish)
	}
}

// reservedQueuePlaces is the number of queue places of a class with a floor share that don't count towards the queue limit. With a
// single place, the request that waits when a floor start is due would depend on the request lengths rather than on the
// organisations' shares.
const reservedQueuePlaces = 4

// displaceable returns the number of waiting requests that a higher tier may displace: all except the class's reserved places and
// the requests that were started before.
func (c *classQueue) displaceable() int {
	reserved := 0
	if c.floor > 0 {
		reserved = reservedQueuePlaces
	}
	return max(0, c.waiting-c.requeued-reserved)
}
