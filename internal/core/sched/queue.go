package sched

import (
	"container/list"
	"sort"
	"time"
)

// itemState is where a request stands.
type itemState uint8

const (
	waiting itemState = iota
	running
	preempting // running, and its preemption was ordered
)

// item is one request in the scheduler.
type item struct {
	Request
	seq     uint64 // by arrival
	arrived time.Time
	due     time.Time // of the first token; zero: none
	urgency time.Time // order within an organisation's queue
	latest  time.Time // latest start that can still meet the deadline; zero: no deadline

	state     itemState
	queue     *queue
	cost      float64       // tokens it is expected to be charged
	inQueue   int           // position in queue.items
	inLatest  int           // position in Scheduler.byLatest
	inDue     int           // position in Scheduler.byDue
	byArrival *list.Element // in queue.arrivals; nil where it cannot be displaced

	started     time.Time
	firstToken  time.Time // since the last start
	lastToken   time.Time
	tokensThen  int // at the last start
	tokens      int
	startedOnce bool
	onFloorSlot bool
	late        bool // in queue.late
	inActive    int  // position in Scheduler.active
}

func (it *item) position() *int { return &it.inQueue }

// latestItem orders items by their latest start.
type latestItem struct{ *item }

func (l latestItem) position() *int { return &l.inLatest }

// dueItem orders items by their first-token target.
type dueItem struct{ *item }

func (d dueItem) position() *int { return &d.inDue }

// account is what one organisation was charged in one tier.
type account struct {
	organisation string
	weight       float64
	served       float64 // virtual tokens: charged tokens by weight
	pending      float64 // expected virtual tokens of its waiting requests
	queues       []*queue
	waiting      int
	arrived      time.Time // last
	turn         uint64    // number of the last start of its requests; the longest ago goes first among equals
}

// queue holds the waiting requests of one organisation in one lane.
type queue struct {
	lane     *lane
	account  *account
	items    priorityQueue[*item] // that can meet their first-token target, by urgency
	late     priorityQueue[*item] // the others, most time to the deadline first
	arrivals *list.List           // displaceable items, oldest first
	byServed int                  // position in lane.byServed
	byFinish int                  // position in lane.byFinish
}

// servedQueue orders queues by what their organisation was served.
type servedQueue struct{ *queue }

func (q servedQueue) position() *int { return &q.byServed }

// finishQueue orders queues by what their organisation will have been served once all its waiting requests have run.
type finishQueue struct{ *queue }

func (q finishQueue) position() *int { return &q.byFinish }

// lane holds the waiting requests of one class in one tier.
type lane struct {
	class      string
	tier       int
	floor      float64
	credit     float64 // starts that the floor share owes
	waiting    int
	resident   int // waiting requests that began before; they cannot be displaced
	queues     map[string]*queue
	byServed   priorityQueue[servedQueue]
	byFinish   priorityQueue[finishQueue] // queues with displaceable items
	meanOutput average                    // charge of a request after its start
	meanCharge average                    // whole charge of a request
}

// tier holds the lanes of one tier.
type tier struct {
	lanes    []*lane // by class
	accounts map[string]*account
	lifted   float64 // least served of the active organisations when last seen
	waiting  int
	running  int
	// preemptible counts running requests that may be preempted.
	preemptible int
	blocked     decaying // arrivals that found every slot taken, some by a lower tier
}

func newLane(class string, tierIndex int) *lane {
	l := &lane{class: class, tier: tierIndex, queues: make(map[string]*queue)}
	l.byServed.less = func(a, b servedQueue) bool { return lessServed(a.queue, b.queue) }
	l.byFinish.less = func(a, b finishQueue) bool {
		x, y := a.account.finish(), b.account.finish()
		if x != y {
			return x > y
		}
		return b.account.goesBefore(a.account)
	}
	return l
}

// lessServed orders queues by the served tokens of their organisations.
func lessServed(a, b *queue) bool {
	if a.account.served != b.account.served {
		return a.account.served < b.account.served
	}
	return a.account.goesBefore(b.account)
}

// goesBefore orders organisations that were served alike.
func (a *account) goesBefore(b *account) bool {
	if a.turn != b.turn {
		return a.turn < b.turn
	}
	return a.organisation < b.organisation
}

func lessItem(a, b *item) bool {
	if !a.urgency.Equal(b.urgency) {
		return a.urgency.Before(b.urgency)
	}
	return a.seq < b.seq
}

// finish is what the organisation will have been served once all its waiting requests have run.
func (a *account) finish() float64 { return a.served + a.pending }

// lane returns the lane of a class, which it makes when there is none.
func (t *tier) lane(class string, tierIndex int) *lane {
	i := sort.Search(len(t.lanes), func(i int) bool { return t.lanes[i].class >= class })
	if i < len(t.lanes) && t.lanes[i].class == class {
		return t.lanes[i]
	}
	l := newLane(class, tierIndex)
	t.lanes = append(t.lanes, nil)
	copy(t.lanes[i+1:], t.lanes[i:])
	t.lanes[i] = l
	return l
}

// account returns the account of an organisation, which it makes when there is none.
func (t *tier) account(organisation string, weight float64) *account {
	a := t.accounts[organisation]
	if a == nil {
		a = &account{organisation: organisation}
		t.accounts[organisation] = a
	}
	a.weight = weight
	return a
}

// leastServed returns the queue whose organisation was served least, nil when nothing waits.
func (t *tier) leastServed() *queue {
	var least *queue
	for _, l := range t.lanes {
		q := l.byServed.first().queue
		if q == nil {
			continue
		}
		if least == nil || lessServed(q, least) || (q.account == least.account && lessItem(q.first(), least.first())) {
			least = q
		}
	}
	return least
}

// queue returns the organisation's queue in the lane, which it makes when there is none.
func (l *lane) queue(a *account) *queue {
	q := l.queues[a.organisation]
	if q != nil {
		return q
	}
	q = &queue{lane: l, account: a, arrivals: list.New(), byServed: noPosition, byFinish: noPosition}
	q.items.less = lessItem
	q.late.less = func(a, b *item) bool { return a.seq > b.seq }
	l.queues[a.organisation] = q
	a.queues = append(a.queues, q)
	return q
}

// reorder restores the heaps after the organisation's account has changed.
func (a *account) reorder() {
	for _, q := range a.queues {
		q.lane.byServed.fix(servedQueue{q})
		q.lane.byFinish.fix(finishQueue{q})
	}
}

// first returns the request of the queue that goes next. Late ones go last, the youngest first: under overload the
// oldest would be served just too late, and each would make the next one late.
func (q *queue) first() *item {
	if it := q.items.first(); it != nil {
		return it
	}
	return q.late.first()
}

// moveLate moves the requests that cannot meet their first-token target any more behind the others.
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

// push adds a waiting request. A resident one began before and cannot be displaced.
func (q *queue) push(it *item, resident bool) {
	it.queue = q
	it.state = waiting
	it.late = false
	q.items.add(it)
	if resident {
		q.lane.resident++
	} else {
		it.byArrival = q.arrivals.PushBack(it)
	}
	q.lane.waiting++
	q.account.waiting++
	q.account.pending += it.cost / q.account.weight
	q.list()
	q.account.reorder()
}

// drop removes a waiting request.
func (q *queue) drop(it *item) {
	if it.late {
		q.late.remove(it)
	} else {
		q.items.remove(it)
	}
	if it.byArrival != nil {
		q.arrivals.Remove(it.byArrival)
		it.byArrival = nil
	} else {
		q.lane.resident--
	}
	q.lane.waiting--
	q.account.waiting--
	q.account.pending -= it.cost / q.account.weight
	if q.account.waiting == 0 {
		q.account.pending = 0
	}
	q.list()
	q.account.reorder()
}

// list puts the queue into the lane's heaps or takes it out, as its length says.
func (q *queue) list() {
	served, finish := servedQueue{q}, finishQueue{q}
	switch {
	case q.items.Len()+q.late.Len() == 0:
		q.lane.byServed.remove(served)
	case q.byServed == noPosition:
		q.lane.byServed.add(served)
	}
	switch {
	case q.arrivals.Len() == 0:
		q.lane.byFinish.remove(finish)
	case q.byFinish == noPosition:
		q.lane.byFinish.add(finish)
	}
}

// floorPlaces is the number of places in the queue of a class with a floor share, on top of the queue limit. With a
// single one, whose request waits when a start is due depends on its length rather than on its organisation's share.
const floorPlaces = 4

// displaceable is the number of waiting requests that a higher tier may displace: all but the lane's own places and
// those that began before.
func (l *lane) displaceable() int {
	own := 0
	if l.floor > 0 {
		own = floorPlaces
	}
	return max(0, l.waiting-l.resident-own)
}
