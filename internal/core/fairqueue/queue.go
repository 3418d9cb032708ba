// Package fairqueue decides which requests for a contended service are sent, held or refused at one gateway.
//
// A Queue has two states. While its service is not contended, every request is sent at once. While it is contended, the number of
// requests in flight is bounded by a limit that is learned from the servers' answers; requests above the limit are held, ordered by
// rank and then by the organisations' use, or refused if they are not expected to be sent in time.
//
// A Queue reads no clock and is not safe for concurrent use.
package fairqueue

import (
	"slices"
	"time"
)

const (
	// DefaultMaxWaiting and DefaultMaxBytes bound the requests that a queue holds and the bytes of their bodies.
	DefaultMaxWaiting = 256
	DefaultMaxBytes   = 8 << 20

	// holdShare is the share of the latency target for which a request is held without an expectation. After it, the expectation is
	// checked again.
	holdShare = 1.0 / 8
	// lateHoldShare is the share of the time to the deadline for which a request is held that cannot be answered within its target.
	lateHoldShare = 1.0 / 8
	// targetMargin is the share of the latency target within which the answer must be expected, since service times vary.
	targetMargin = 0.8
	// minHold is the shortest hold, and the shortest time between two checks of a held request.
	minHold = 2 * time.Millisecond
	// offerInterval is the time between two sends above the limit while nothing recent says that the servers are busy.
	offerInterval = 5 * time.Millisecond
	// retryAfterShare is the share of the time to the deadline that Retry-After states at most.
	retryAfterShare = 1.0 / 3
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 10 * time.Millisecond
)

// Config bounds a Queue. A field that is 0 has the default.
type Config struct {
	MaxWaiting int // requests
	MaxBytes   int // of the bodies of the waiting requests
}

// Request holds the attributes of a request on which the decisions depend.
type Request struct {
	Rank         int // 0 is the highest
	Organisation string
	Weight       float64 // of the organisation; 0 counts as 1
	Bytes        int
	Arrived      time.Time     // at the gateway
	Target       time.Duration // latency target; 0: none
	Deadline     time.Time
	IsRetry      bool // a server rejected it; it goes ahead of the other requests of its organisation
}

// State is the state of a request in a Queue.
type State uint8

const (
	// Waiting requests are held.
	Waiting State = iota
	// Sent requests may be sent now, or were sent.
	Sent
	// Refused requests must not be sent.
	Refused
	// Ended requests have left the queue.
	Ended
)

// Reason is why a request was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonNoTurn       Reason = "no_turn_in_time" // not expected to be sent in time
	ReasonHeldTooLong  Reason = "held_too_long"   // not sent in the expected time
	ReasonQueueFull    Reason = "queue_full"
	ReasonShuttingDown Reason = "shutting_down"
)

// Ticket is a request in a Queue.
type Ticket struct {
	Request
	State      State
	Reason     Reason        // set if refused
	RetryAfter time.Duration // set if refused
	Expected   time.Duration // expected wait when the request entered or was refused
	SentAt     time.Time

	account *account
	number  uint64    // in order of entry
	latest  time.Time // when t must be sent
	until   time.Time // when the hold is checked or ends
	spread  float64   // uniform in [0, 1)
}

// Queue decides on the requests for one service. Create it with New.
type Queue struct {
	cfg       Config
	waiting   []*Ticket // in order of entry
	bytes     int       // of the bodies of waiting
	sent      []*Ticket // in flight, in order of the send
	accounts  map[accountKey]*account
	passed    map[int]int // per rank with a request that was held or refused: releases of higher ranks since its last release
	number    uint64
	heldAt    time.Time // when a request was last held
	offeredAt time.Time // when a request was last sent above the limit for lack of evidence that the servers are busy
	isClosed  bool
	control   control
}

// New returns a queue of a service that is not contended.
func New(cfg Config) *Queue {
	if cfg.MaxWaiting == 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	return &Queue{
		cfg: cfg, accounts: make(map[accountKey]*account), passed: make(map[int]int),
		control: control{servers: make(map[string]serverReport)},
	}
}

// Enter decides on a new request or a retry. random is uniform in [0, 1). Of the tickets returned, the first is that of the request;
// the others are earlier ones that were decided on.
func (q *Queue) Enter(now time.Time, r Request, random float64) []*Ticket {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	q.number++
	t := &Ticket{Request: r, account: q.account(now, accountKey{r.Rank, r.Organisation}), number: q.number, spread: random}
	t.latest = q.latestSend(now, r)
	if !r.IsRetry {
		t.account.asked.add(now, 1)
	}
	decided := []*Ticket{t}
	if q.isClosed {
		q.refuse(now, t, ReasonShuttingDown)
		return decided
	}
	decided = append(decided, q.Poll(now)...)
	if len(q.waiting) == 0 && q.maySend(now) {
		q.send(now, t)
		return decided
	}
	if t.Bytes > q.cfg.MaxBytes {
		q.refuse(now, t, ReasonQueueFull)
		return decided
	}
	t.Expected = q.expectedWait(now, t)
	if t.Expected > t.latest.Sub(now) && q.isSaturated(now) {
		q.refuse(now, t, ReasonNoTurn)
		return decided
	}
	q.hold(now, t)
	for len(q.waiting) > q.cfg.MaxWaiting || q.bytes > q.cfg.MaxBytes {
		victim := q.victim()
		q.remove(victim)
		q.refuse(now, victim, ReasonQueueFull)
		if victim != t {
			decided = append(decided, victim)
		}
	}
	return append(decided, without(q.Poll(now), t)...)
}

// without returns tickets except t.
func without(tickets []*Ticket, t *Ticket) []*Ticket {
	return slices.DeleteFunc(tickets, func(other *Ticket) bool { return other == t })
}

// Poll returns the waiting requests that are sent or refused now. It must be called after each other method, and at NextPoll.
func (q *Queue) Poll(now time.Time) []*Ticket {
	var decided []*Ticket
	if len(q.waiting) > 0 {
		q.heldAt = now
	}
	q.endContention(now)
	for len(q.waiting) > 0 && q.maySend(now) {
		t := q.next(now)
		q.remove(t)
		q.send(now, t)
		decided = append(decided, t)
	}
	for i := 0; i < len(q.waiting); {
		t := q.waiting[i]
		if now.Before(t.until) {
			i++
			continue
		}
		switch {
		case q.takeException(now, t):
			q.remove(t)
			q.send(now, t)
			decided = append(decided, t)
		case q.extend(now, t):
		case !q.isSaturated(now) && now.Before(q.offeredAt.Add(offerInterval)):
			t.until = q.offeredAt.Add(offerInterval)
			i++
		case !q.isSaturated(now): // the limit may be outdated
			first := q.next(now)
			q.offeredAt = now
			t.until = now.Add(offerInterval)
			q.remove(first)
			q.send(now, first)
			decided = append(decided, first)
			i = 0
		default:
			q.remove(t)
			q.refuse(now, t, ReasonHeldTooLong)
			decided = append(decided, t)
		}
	}
	return decided
}

// NextPoll returns when Poll must be called next if nothing else happens, or the zero time if it need not be.
func (q *Queue) NextPoll(now time.Time) time.Time {
	var next time.Time
	for _, t := range q.waiting {
		next = earlier(next, t.until)
	}
	if len(q.waiting) == 0 {
		if q.control.isContended {
			next = later(q.control.signalAt, q.heldAt).Add(calmPeriod)
		}
		return next
	}
	if now.Before(q.control.pausedUntil) {
		next = earlier(next, q.control.pausedUntil)
	}
	if i := q.firstActive(now); i < len(q.sent) {
		next = earlier(next, q.sent[i].SentAt.Add(q.control.overdueAfter()))
	}
	return next
}

// earlier returns the earlier of two times, of which a may be zero.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// Leave removes a request whose caller has disconnected or whose deadline has passed while it was held.
func (q *Queue) Leave(t *Ticket) {
	if t.State == Waiting {
		q.remove(t)
		t.State = Ended
	}
}

// Close refuses all requests that are held or enter later, for a shutdown.
func (q *Queue) Close(now time.Time) []*Ticket {
	q.isClosed = true
	refused := slices.Clone(q.waiting)
	for _, t := range refused {
		q.remove(t)
		q.refuse(now, t, ReasonShuttingDown)
	}
	return refused
}

// hold adds t to the waiting requests.
func (q *Queue) hold(now time.Time, t *Ticket) {
	t.until = t.nextCheck(now)
	t.account.waiting++
	q.waiting = append(q.waiting, t)
	q.bytes += t.Bytes
	q.heldAt = now
	q.markWanted(t.Rank)
}

// extend reports whether a request whose hold has been checked remains held: it must be expected to be sent in time, and servers must
// have accepted requests recently.
func (q *Queue) extend(now time.Time, t *Ticket) bool {
	if !q.control.acceptedRecently(now) || q.expectedWait(now, t) > t.latest.Sub(now) {
		return false
	}
	t.until = t.nextCheck(now)
	return true
}

// nextCheck returns when the hold of t is checked or ends.
func (t *Ticket) nextCheck(now time.Time) time.Time {
	hold := t.latest.Sub(now)
	if t.Target > 0 {
		hold = min(hold, time.Duration(holdShare*float64(t.Target)))
	}
	return now.Add(max(minHold, hold))
}

// latestSend returns the time by which t must be sent, for a request that enters now. If an answer within the latency target is no
// longer possible, it is a part of the time to the deadline: a late answer is still worth something.
func (q *Queue) latestSend(now time.Time, r Request) time.Time {
	if r.Target > 0 {
		onTime := r.Arrived.Add(time.Duration(targetMargin*float64(r.Target)) - q.control.serviceTime)
		if onTime.After(now) {
			return onTime
		}
	}
	hold := time.Duration(lateHoldShare * float64(r.Deadline.Sub(now)))
	if r.Target > 0 {
		hold = min(hold, r.Target/2)
	}
	return now.Add(hold)
}

// remove removes t from the waiting requests.
func (q *Queue) remove(t *Ticket) {
	i := slices.Index(q.waiting, t)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.bytes -= t.Bytes
	t.account.waiting--
}

// send marks t as sent.
func (q *Queue) send(now time.Time, t *Ticket) {
	t.State, t.SentAt = Sent, now
	q.sent = append(q.sent, t)
	t.account.used.add(now, 1)
	q.control.useFreeSlot()
	if slices.ContainsFunc(q.waiting, func(w *Ticket) bool { return w.Rank == t.Rank }) {
		q.passed[t.Rank] = 0
	} else {
		delete(q.passed, t.Rank)
	}
	for rank := range q.passed {
		if rank > t.Rank {
			q.passed[rank]++
		}
	}
}

// refuse marks t as refused.
func (q *Queue) refuse(now time.Time, t *Ticket, reason Reason) {
	t.State, t.Reason = Refused, reason
	t.Expected = q.expectedWait(now, t)
	t.RetryAfter = q.retryAfter(now, t, t.Expected)
	if q.control.isContended {
		q.markWanted(t.Rank)
	}
}

// retryAfter returns the Retry-After of t: the expected wait of a new request of its organisation, spread so that callers refused
// together do not return together. It is longer the more the organisation asks for beyond its share, since that part of those that return
// at once is refused again.
func (q *Queue) retryAfter(now time.Time, t *Ticket, expected time.Duration) time.Duration {
	most := retryAfterShare * float64(t.Deadline.Sub(now))
	after := float64(expected)
	if asked, share := t.account.asked.perSecond(now), q.share(now, t.Rank)*t.Weight; asked > share {
		after += most * (1 - share/asked)
	}
	return time.Duration(max(0, min(max(after*(1+t.spread/2), float64(minRetryAfter)), most)))
}

// RetryAfter returns the Retry-After for a sent request that a server rejected and that is not sent again.
func (q *Queue) RetryAfter(now time.Time, t *Ticket) time.Duration {
	return q.retryAfter(now, t, q.expectedWait(now, t))
}
