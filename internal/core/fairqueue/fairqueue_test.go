package fairqueue

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

const (
	testTarget  = 400 * time.Millisecond
	testService = 40 * time.Millisecond
)

// testQueue is a queue of a contended service with a limit of 1.
type testQueue struct {
	*Queue
	t    *testing.T
	now  time.Time
	busy *Ticket // in flight
}

func newTestQueue(t *testing.T, cfg Config) *testQueue {
	q := &testQueue{Queue: New(cfg), t: t, now: simStart}
	q.busy = q.enter(Request{Organisation: "first"})
	q.now = q.now.Add(testService)
	q.answer(Rejected, "s1", Load{})
	q.control.serviceTime, q.control.acceptedAt = testService, q.now
	q.now = q.now.Add(maxRejectionPause)
	q.busy = q.enter(Request{Organisation: "first"})
	if q.busy.State != Sent || !q.Status().IsContended || q.Status().Limit != minLimit {
		t.Fatalf("ticket in state %v, status %+v", q.busy.State, q.Status())
	}
	return q
}

// enter enters a request with the defaults of the tests.
func (q *testQueue) enter(r Request) *Ticket {
	if r.Target == 0 {
		r.Target = testTarget
	}
	r.Arrived, r.Deadline = q.now, q.now.Add(3*time.Second)
	return q.Enter(q.now, r, 0)[0]
}

// answer ends the request in flight.
func (q *testQueue) answer(result Result, server string, load Load) []*Ticket {
	q.End(q.now, q.busy, result, server, load)
	return q.Poll(q.now)
}

// order releases the waiting requests one by one and returns their organisations.
func (q *testQueue) order() string {
	var names []string
	for len(q.waiting) > 0 {
		q.now = q.now.Add(time.Millisecond)
		decided := q.answer(Answered, "s1", Load{Running: 6, Waiting: 3, Slots: 6}) // the limit stays at its minimum
		if len(decided) != 1 || decided[0].State != Sent {
			q.t.Fatalf("%d requests decided on by one answer", len(decided))
		}
		q.busy = decided[0]
		names = append(names, q.busy.Organisation)
	}
	return strings.Join(names, " ")
}

// Guards against an order by arrival, in which whoever sends most gets most.
func TestOrder(t *testing.T) {
	big := Request{Organisation: "big"}
	cases := []struct {
		name     string
		requests []Request
		want     string
	}{
		{"small organisations first", []Request{big, big, big, {Organisation: "a"}, {Organisation: "b"}}, "big a b big big"},
		{"an organisation that has used less", []Request{{Organisation: "first"}, big}, "big first"},
		{"by weight", []Request{big, big, big, {Organisation: "double", Weight: 2}, {Organisation: "double", Weight: 2}, {Organisation: "double", Weight: 2}, {Organisation: "double", Weight: 2}}, "big double double big double double big"},
		{"higher ranks first", []Request{{Organisation: "a", Rank: 2}, {Organisation: "b", Rank: 1}, {Organisation: "c", Rank: 0}, {Organisation: "d", Rank: 1}}, "c b d a"},
		{"a retry before a new request", []Request{big, {Organisation: "a"}, {Organisation: "big", IsRetry: true, Bytes: 1}}, "big a big"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newTestQueue(t, Config{})
			for _, r := range c.requests {
				if ticket := q.enter(r); ticket.State != Waiting {
					t.Fatalf("request of %s in state %v", r.Organisation, ticket.State)
				}
			}
			if got := q.order(); got != c.want {
				t.Errorf("order %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a retry that waits behind the new requests of its organisation.
func TestRetryGoesAheadOfItsOrganisation(t *testing.T) {
	q := newTestQueue(t, Config{})
	q.enter(Request{Organisation: "a"})
	retry := q.enter(Request{Organisation: "a", IsRetry: true})
	if next := q.next(q.now); next != retry {
		t.Error("the new request is next")
	}
}

// Guards against a rank that gets nothing while higher ones use the whole limit.
func TestFloorOfLowRanks(t *testing.T) {
	q := newTestQueue(t, Config{})
	q.enter(Request{Organisation: "low", Rank: 1, Target: time.Minute})
	for range 2 * floorInterval {
		q.enter(Request{Organisation: "high", Target: time.Minute})
	}
	names := strings.Fields(q.order())
	for i, name := range names {
		if (name == "low") != (i == floorInterval) {
			t.Errorf("release %d is of rank %s", i, name)
		}
	}
}

// Guards against a low rank that gets one release and then nothing, while its other requests wait and no new one enters.
func TestFloorRepeats(t *testing.T) {
	q := newTestQueue(t, Config{})
	for range 3 {
		q.enter(Request{Organisation: "low", Rank: 1, Target: time.Minute})
	}
	for range 4 * floorInterval {
		q.enter(Request{Organisation: "high", Target: time.Minute})
	}
	names := strings.Fields(q.order())
	for i, name := range names {
		if (name == "low") != (i%(floorInterval+1) == floorInterval) {
			t.Errorf("release %d is of rank %s", i, name)
		}
	}
}

// Guards against a full queue that refuses those who hold little of it, or a request in favour of a lower rank.
func TestFullQueue(t *testing.T) {
	cases := []struct {
		name    string
		cfg     Config
		held    []Request
		enters  Request
		refused int // index in held; len(held): the entering request
	}{
		{"newest of the organisation with the most", Config{MaxWaiting: 3}, []Request{{Organisation: "a"}, {Organisation: "big"}, {Organisation: "big"}}, Request{Organisation: "b"}, 2},
		{"the entering request", Config{MaxWaiting: 3}, []Request{{Organisation: "a"}, {Organisation: "big"}, {Organisation: "big"}}, Request{Organisation: "big"}, 3},
		{"by weight", Config{MaxWaiting: 3}, []Request{{Organisation: "a"}, {Organisation: "big", Weight: 4}, {Organisation: "big", Weight: 4}}, Request{Organisation: "a"}, 3},
		{"lowest rank", Config{MaxWaiting: 3}, []Request{{Organisation: "a", Rank: 1}, {Organisation: "big"}, {Organisation: "big"}}, Request{Organisation: "big"}, 0},
		{"bytes", Config{MaxBytes: 100}, []Request{{Organisation: "a", Bytes: 40}, {Organisation: "big", Bytes: 30}, {Organisation: "big", Bytes: 30}}, Request{Organisation: "b", Bytes: 1}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newTestQueue(t, c.cfg)
			var tickets []*Ticket
			for _, r := range append(c.held, c.enters) {
				tickets = append(tickets, q.enter(r))
			}
			for i, ticket := range tickets {
				if (ticket.State == Refused) != (i == c.refused) || (i == c.refused && ticket.Reason != ReasonQueueFull) {
					t.Errorf("request %d is in state %v, reason %q", i, ticket.State, ticket.Reason)
				}
			}
		})
	}
}

// Guards against one large request that drives all others out of the queue.
func TestRequestAboveTheBytesOfTheQueue(t *testing.T) {
	q := newTestQueue(t, Config{MaxBytes: 100})
	held := q.enter(Request{Organisation: "a", Bytes: 10})
	if large := q.enter(Request{Organisation: "b", Bytes: 101}); large.State != Refused || held.State != Waiting {
		t.Errorf("the large request is in state %v, the other in state %v", large.State, held.State)
	}
}

// Guards against callers that wait for a place that they cannot get in time, and against a Retry-After beyond what a caller can wait.
func TestRefusedAtOnce(t *testing.T) {
	q := newTestQueue(t, Config{})
	held := 0
	for {
		ticket := q.enter(Request{Organisation: "big"})
		if ticket.State == Refused {
			if ticket.Reason != ReasonNoTurn {
				t.Errorf("reason %q", ticket.Reason)
			}
			if ticket.Expected < testTarget/2 || ticket.RetryAfter < ticket.Expected || ticket.RetryAfter > time.Second {
				t.Errorf("Retry-After %v, the next turn is expected after %v", ticket.RetryAfter, ticket.Expected)
			}
			break
		}
		held++
	}
	if most := int(testTarget / testService); held < 1 || held > most {
		t.Errorf("%d requests held", held)
	}
	if ticket := q.enter(Request{Organisation: "small"}); ticket.State != Waiting {
		t.Errorf("the request of an organisation below its share is in state %v", ticket.State)
	}
}

// Guards against a request of an organisation below its share that is refused or held longer than the first part of its target, although
// no answer arrives.
func TestExceptionAtFirstCheck(t *testing.T) {
	q := newTestQueue(t, Config{})
	for range 6 {
		q.enter(Request{Organisation: "big"})
	}
	small := q.enter(Request{Organisation: "small"})
	began := q.now
	for small.State == Waiting {
		if q.now = q.NextPoll(q.now); q.now.IsZero() {
			t.Fatal("no further poll")
		}
		q.Poll(q.now)
	}
	if held := q.now.Sub(began); small.State != Sent || held > testTarget/8 {
		t.Errorf("state %v after %v", small.State, held)
	}
}

// Guards against places that are lost when requests leave while they are held or in flight.
func TestLeave(t *testing.T) {
	q := newTestQueue(t, Config{})
	a, b := q.enter(Request{Organisation: "a", Bytes: 10}), q.enter(Request{Organisation: "b", Bytes: 10})
	q.Leave(a)
	q.Leave(a)
	if a.State != Ended || len(q.waiting) != 1 || q.bytes != 10 {
		t.Errorf("state %v, %d waiting with %d bytes", a.State, len(q.waiting), q.bytes)
	}
	if decided := q.answer(Unanswered, "", Load{}); len(decided) != 1 || decided[0] != b || b.State != Sent {
		t.Error("the place of a request without an answer is not given to the next one")
	}
	q.End(q.now, b, Unanswered, "", Load{})
	q.End(q.now, b, Unanswered, "", Load{})
	if status := q.Status(); status.InFlight != 0 {
		t.Errorf("%d in flight", status.InFlight)
	}
}

// Guards against requests that are held beyond a shutdown.
func TestClose(t *testing.T) {
	q := newTestQueue(t, Config{})
	held := q.enter(Request{Organisation: "a"})
	if refused := q.Close(q.now); len(refused) != 1 || held.State != Refused || held.Reason != ReasonShuttingDown {
		t.Errorf("state %v, reason %q", held.State, held.Reason)
	}
	if late := q.enter(Request{Organisation: "a"}); late.State != Refused || late.Reason != ReasonShuttingDown {
		t.Errorf("a later request is in state %v", late.State)
	}
}

// Guards against one request at a time that has to wait at the smallest limit.
func TestOneRequestAtATimeIsNeverHeld(t *testing.T) {
	q := newTestQueue(t, Config{})
	for i := range 50 {
		q.now = q.now.Add(testService)
		q.answer(Answered, "s1", Load{Running: 6, Waiting: 6, Slots: 6})
		if q.busy = q.enter(Request{Organisation: "first"}); q.busy.State != Sent {
			t.Fatalf("request %d is in state %v at limit %v", i, q.busy.State, q.Status().Limit)
		}
	}
}

// Guards against servers without answers that take all places: after a multiple of the service time their requests do not count.
func TestOverdueRequestsDoNotCount(t *testing.T) {
	q := newTestQueue(t, Config{})
	q.now = q.now.Add(q.control.overdueAfter())
	if ticket := q.enter(Request{Organisation: "a"}); ticket.State != Sent {
		t.Errorf("state %v", ticket.State)
	}
}

// Guards against refusals that rest on too little: one server of several, or old answers.
func TestSaturation(t *testing.T) {
	busy, idle := Load{Running: 6, Waiting: 6, Slots: 6}, Load{Running: 2, Slots: 6}
	cases := []struct {
		name    string
		answers map[string]Load
		age     time.Duration
		want    bool
	}{
		{"most are busy", map[string]Load{"s1": busy, "s2": busy, "s3": busy}, 0, true},
		{"only one is known", map[string]Load{"s1": busy}, 0, true},
		{"one of two is busy", map[string]Load{"s1": busy, "s2": idle}, freeSlotAge, false},
		{"free slots", map[string]Load{"s1": busy, "s2": busy, "s3": idle}, 0, false},
		{"old answers", map[string]Load{"s1": busy, "s2": busy, "s3": busy}, evidenceAge + 1, false},
		{"one waiting request is as aimed at", map[string]Load{"s1": {6, 1, 6}, "s2": {6, 1, 6}}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New(Config{})
			for server, load := range c.answers {
				q.control.observe(simStart, testService, Answered, server, load, true)
			}
			if got := q.isSaturated(simStart.Add(c.age)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a limit that moves in the wrong direction or leaves its bounds.
func TestLimit(t *testing.T) {
	cases := []struct {
		name      string
		result    Result
		load      Load
		isLimited bool
		want      int // sign of the change
	}{
		{"free slots", Answered, Load{2, 0, 6}, true, 1},
		{"free slots, but no request was held back", Answered, Load{2, 0, 6}, false, 0},
		{"waiting as aimed at", Answered, Load{6, 2, 6}, true, 0},
		{"more waiting", Answered, Load{6, 4, 6}, false, -1},
		{"rejected", Rejected, Load{}, false, -1},
		{"no load", Answered, Load{}, true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := control{isContended: true, limit: 2, servers: map[string]serverReport{}}
			l.observe(simStart, testService, c.result, "s1", c.load, c.isLimited)
			if change := l.limit - 2; change*float64(c.want) < 0 || (change != 0) != (c.want != 0) || max(change, -change) > maxStep {
				t.Errorf("change %v, want sign %d", change, c.want)
			}
			for range 100 {
				l.observe(simStart, testService, Rejected, "s1", Load{}, true)
			}
			if l.limit != minLimit {
				t.Errorf("limit %v after rejections", l.limit)
			}
		})
	}
}

// Guards against figures in the logs that do not tell who is above its share.
func TestShare(t *testing.T) {
	cases := []struct {
		asked []float64 // per second in rank 1
		above float64   // asked in rank 0
		want  float64
	}{
		{[]float64{100}, 0, 25},
		{[]float64{5, 100}, 0, 20},
		{[]float64{5, 5, 100, 100}, 0, 7.5},
		{[]float64{5, 5}, 0, 20},
		{[]float64{100}, 10, 15},
		{[]float64{100}, 100, 25.0 / (floorInterval + 1)},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.asked, " below ", c.above), func(t *testing.T) {
			q := New(Config{})
			q.control.limit, q.control.serviceTime = 1, testService
			ask := func(rank int, name string, rate float64) {
				a := q.account(simStart, accountKey{rank, name})
				a.asked.add(simStart, rate*useHalfLife.Seconds()/math.Ln2)
			}
			ask(0, "above", c.above)
			for i, rate := range c.asked {
				ask(1, fmt.Sprint(i), rate)
			}
			if got := q.share(simStart, 1); got < c.want*0.999 || got > c.want*1.001 {
				t.Errorf("share %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against accounts without bound when callers without number come once each.
func TestAccountsAreBounded(t *testing.T) {
	q := New(Config{})
	for i := range 100 * maxAccounts {
		now := simStart.Add(time.Duration(i) * time.Second)
		ticket := q.Enter(now, Request{Organisation: fmt.Sprint(i), Deadline: now.Add(time.Second)}, 0)[0]
		q.End(now, ticket, Answered, "s1", Load{})
	}
	if len(q.accounts) > maxAccounts {
		t.Errorf("%d accounts", len(q.accounts))
	}
}

// Guards against servers that are remembered for ever: each start of a server may bring a new id, and a service may never be contended.
func TestServersAreBounded(t *testing.T) {
	q := New(Config{})
	for i := range 1000 {
		now := simStart.Add(time.Duration(i) * 10 * time.Second)
		ticket := q.Enter(now, Request{Deadline: now.Add(time.Second)}, 0)[0]
		q.End(now, ticket, Answered, fmt.Sprint("s", i), Load{})
	}
	if n := len(q.control.servers); n > 10 {
		t.Errorf("%d servers are remembered, of which one was heard of every 10 s", n)
	}
}

// TestOffersAreSpaced guards against a service that stalls and gets every request that is held at once: without an answer for a while, at
// most one of them leaves in each offerInterval.
func TestOffersAreSpaced(t *testing.T) {
	q := newTestQueue(t, Config{})
	q.now = q.now.Add(evidenceAge + 2*testService)
	for range 100 {
		q.enter(Request{Organisation: "big"})
	}
	if len(q.waiting) < 50 {
		t.Fatalf("%d requests are held, want most of 100", len(q.waiting))
	}
	const polls = 200
	left := 0
	for range polls {
		q.now = q.now.Add(time.Millisecond)
		for _, ticket := range q.Poll(q.now) {
			if ticket.State == Sent {
				left++
			}
		}
	}
	if most := polls/int(offerInterval/time.Millisecond) + 1; left > most {
		t.Errorf("%d requests left in %d ms without an answer, want at most %d", left, polls, most)
	}
}
