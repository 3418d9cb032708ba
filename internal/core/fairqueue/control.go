package fairqueue

import (
	"maps"
	"slices"
	"sort"
	"time"
)

const (
	// calmPeriod is how long a contended service must report no contention, and no request may have been held, until it counts as not
	// contended.
	calmPeriod = 300 * time.Millisecond
	// gain is the change of the limit for an answer whose server has one load of its slots more or less than aimed at. The answers of one
	// service time together change the limits by this share of the error, whatever the number of gateways. It is well below 1 because
	// the effect of a change is seen one service time later.
	gain = 0.25
	// aimedWaiting is the number of waiting requests per slot at which a server is kept: a few, so that its slots stay in use between an
	// answer and the next request of a gateway.
	aimedWaiting = 1.0 / 3
	// baseWaiting and limitWaiting give the number at which a gateway with a certain limit aims, as baseWaiting + limitWaiting / limit,
	// so that gateways with a large limit leave room to those with a small one. It is aimedWaiting at a limit of 2.
	baseWaiting  = 0.2
	limitWaiting = 2 * (aimedWaiting - baseWaiting)
	// rejectionStep is the decrease of the limit for a rejected request.
	rejectionStep = 0.5
	// unreportedStep is the increase of the limit for an answer without a load.
	unreportedStep = 0.1
	// maxStep bounds the change of the limit for one answer.
	maxStep = 0.5
	// minLimit is the smallest limit.
	minLimit = 1
	// maxFreeSlots bounds the requests that are sent above the limit because of one answer: every gateway sees the same free slots.
	maxFreeSlots = 2
	// freeSlotAge is how long an answer that reports free slots allows requests above the limit.
	freeSlotAge = 100 * time.Millisecond
	// evidenceAge is how long an answer that reports a busy server justifies refusals.
	evidenceAge = 150 * time.Millisecond
	// serverAge is how long a server counts as one of the service's after an answer.
	serverAge = time.Second
	// serverMemory is how long a server is remembered after an answer. One that is remembered alone is taken for the only one of the service.
	serverMemory = 60 * serverAge
	// serviceTimeWeight is the weight of one answer in the moving average of the service time.
	serviceTimeWeight = 0.1
	// overdueFactor is the multiple of the service time after which a request no longer counts against the limit: its server may have
	// stopped answering, while others have free slots.
	overdueFactor = 4
	minOverdue    = 50 * time.Millisecond
	firstOverdue  = time.Second // while the service time is unknown
	// rejectionPause is the share of the service time for which nothing is sent after a rejection, which bounds the sends while all
	// servers reject.
	rejectionPause    = 0.25
	maxRejectionPause = 15 * time.Millisecond
)

// Result is how a sent request ended.
type Result uint8

const (
	// Answered means that the server ran the request.
	Answered Result = iota
	// Rejected means that the server did not accept the request.
	Rejected
	// Unanswered means that nothing was learned about the server's load.
	Unanswered
)

// Load is the load that a server reports with an answer. Slots is 0 if it reports none.
type Load struct {
	Running, Waiting, Slots int
}

// serverReport is what the last answer of a server said.
type serverReport struct {
	at   time.Time
	busy bool // it has aimedWaiting or more waiting requests
}

// control detects contention and adapts the concurrency limit.
type control struct {
	isContended bool
	signalAt    time.Time // when an answer last showed contention
	limit       float64
	serviceTime time.Duration // moving average of the time from a send to its answer; 0: unknown
	acceptedAt  time.Time     // last answer other than a rejection
	pausedUntil time.Time     // after a rejection
	freeSlots   int           // requests that may be sent above the limit
	freeAt      time.Time
	servers     map[string]serverReport
}

// End records the end of a sent request. server identifies the server.
func (q *Queue) End(now time.Time, t *Ticket, result Result, server string, load Load) {
	i := slices.Index(q.sent, t)
	if t.State != Sent || i < 0 {
		return
	}
	active := q.active(now)
	isLimited := len(q.waiting) > 0 || float64(active+1) > q.control.limit
	q.sent = slices.Delete(q.sent, i, i+1)
	t.State = Ended
	if result == Unanswered {
		return
	}
	if result == Rejected {
		t.account.used.add(now, -1)
	}
	if result == Rejected || (load.Slots > 0 && load.Waiting >= load.Slots) {
		q.control.signalAt = now
		if !q.control.isContended {
			q.control.isContended = true
			q.control.limit = float64(max(minLimit, active))
		}
	}
	q.control.observe(now, now.Sub(t.SentAt), result, server, load, isLimited)
}

// observe learns from an answer. isLimited reports whether the limit held requests back, so that it may grow.
func (c *control) observe(now time.Time, took time.Duration, result Result, server string, load Load, isLimited bool) {
	hasFree := result == Answered && load.Running+load.Waiting < load.Slots
	slots, queued := float64(load.Slots), float64(load.Running+load.Waiting-load.Slots)
	if _, known := c.servers[server]; !known {
		maps.DeleteFunc(c.servers, func(_ string, r serverReport) bool { return now.Sub(r.at) > serverMemory })
	}
	c.servers[server] = serverReport{at: now, busy: result == Rejected || (load.Slots > 0 && queued >= aimedWaiting*slots)}
	step := -rejectionStep
	if result == Rejected {
		c.pausedUntil = now.Add(min(maxRejectionPause, time.Duration(rejectionPause*float64(c.serviceTime))))
		c.freeSlots = 0
	} else {
		c.acceptedAt = now
		if c.serviceTime == 0 {
			c.serviceTime = took
		}
		c.serviceTime += time.Duration(serviceTimeWeight * float64(took-c.serviceTime))
		step = unreportedStep
		if load.Slots > 0 {
			step = gain * (baseWaiting + limitWaiting/max(minLimit, c.limit) - queued/slots)
		}
		if hasFree {
			c.freeSlots, c.freeAt = min(load.Slots-load.Running, maxFreeSlots), now
		}
	}
	if !c.isContended || (step > 0 && !isLimited) {
		return
	}
	c.limit = max(minLimit, c.limit+min(max(step, -maxStep), maxStep))
}

// useFreeSlot records that a request is sent.
func (c *control) useFreeSlot() { c.freeSlots = max(0, c.freeSlots-1) }

// acceptedRecently reports whether a server has run a request recently, so that held ones may expect a place.
func (c *control) acceptedRecently(now time.Time) bool {
	return now.Sub(c.acceptedAt) <= max(evidenceAge, 2*c.serviceTime)
}

// releaseInterval returns the mean time between two releases at the current limit.
func (c *control) releaseInterval() time.Duration {
	return time.Duration(float64(c.serviceTime) / max(minLimit, c.limit))
}

// perSecond returns the rate of releases at the current limit.
func (c *control) perSecond() float64 {
	if c.serviceTime == 0 {
		return 0
	}
	return float64(time.Second) / float64(c.releaseInterval())
}

// overdueAfter returns how long a request in flight counts against the limit.
func (c *control) overdueAfter() time.Duration {
	if c.serviceTime == 0 {
		return firstOverdue
	}
	return max(minOverdue, overdueFactor*c.serviceTime)
}

// firstActive returns the index of the first request in flight that counts against the limit.
func (q *Queue) firstActive(now time.Time) int {
	since := now.Add(-q.control.overdueAfter())
	return sort.Search(len(q.sent), func(i int) bool { return q.sent[i].SentAt.After(since) })
}

// active returns the number of requests in flight that count against the limit.
func (q *Queue) active(now time.Time) int { return len(q.sent) - q.firstActive(now) }

// maySend reports whether another request may be sent now.
func (q *Queue) maySend(now time.Time) bool {
	c := &q.control
	if !c.isContended {
		return true
	}
	if c.freeSlots > 0 && now.Sub(c.freeAt) <= freeSlotAge {
		return true
	}
	return !now.Before(c.pausedUntil) && float64(q.active(now)+1) <= c.limit
}

// isSaturated reports whether recent answers show that the servers have no free slot: the last answers of most servers heard of in
// serverAge, and of at least two unless there is only one. Without it, no request is refused.
func (q *Queue) isSaturated(now time.Time) bool {
	c := &q.control
	if c.freeSlots > 0 && now.Sub(c.freeAt) <= freeSlotAge {
		return false
	}
	heard, busy, isRecent := 0, 0, false
	for id, r := range c.servers {
		age := now.Sub(r.at)
		if age > serverAge {
			if age > serverMemory {
				delete(c.servers, id)
			}
			continue
		}
		heard++
		if r.busy {
			busy++
			isRecent = isRecent || age <= max(evidenceAge, 2*q.control.serviceTime)
		}
	}
	return isRecent && 2*busy > heard && (busy >= 2 || len(c.servers) == 1)
}

// endContention ends the state of contention once its signs are gone and no request was held for calmPeriod.
func (q *Queue) endContention(now time.Time) {
	c := &q.control
	if !c.isContended || len(q.waiting) > 0 || now.Sub(c.signalAt) < calmPeriod || now.Sub(q.heldAt) < calmPeriod {
		return
	}
	c.isContended = false
	clear(q.passed)
}

// Status is the state of a Queue, for logs and metrics.
type Status struct {
	IsContended bool
	Limit       float64 // requests in flight; 0: not limited
	InFlight    int
	Waiting     int
	ServiceTime time.Duration
}

// Status returns the state of q.
func (q *Queue) Status() Status {
	s := Status{IsContended: q.control.isContended, InFlight: len(q.sent), Waiting: len(q.waiting), ServiceTime: q.control.serviceTime}
	if s.IsContended {
		s.Limit = q.control.limit
	}
	return s
}
