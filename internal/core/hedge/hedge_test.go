package hedge

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavastack/guavastack/internal/core/retry"
)

var (
	epoch = time.Unix(1_000_000, 0)
	class = ClassOf("safe", 100)
)

// serverOf returns the nth server.
func serverOf(n int) Server { return Server{ID: fmt.Sprint("s", n), Incarnation: "1"} }

// learn records n times at 10 servers, one each 10 ms, and returns the time after them.
func learn(s *Service, now time.Time, n int, took func(i int) time.Duration) time.Time {
	for i := range n {
		now = now.Add(10 * time.Millisecond)
		s.OnRequest(now)
		s.RecordFirst(now, class, serverOf(i%10), took(i))
		s.RecordLate(false)
	}
	return now
}

func usual(i int) time.Duration { return 20*time.Millisecond + time.Duration(i%20)*time.Millisecond }

func TestClassOf(t *testing.T) {
	for tokens, want := range map[int]int{-1: 0, 0: 0, 511: 0, 512: 1, 1023: 1, 1024: 2, 9190: 5, 1 << 30: maxSize} {
		if got := ClassOf("r", tokens); got != (Class{"r", want}) {
			t.Errorf("ClassOf(%d) = %v, want size %d", tokens, got, want)
		}
	}
}

// TestWaitIsAQuantileOfItsClass guards against a fixed time, and against times of another route or prompt size.
func TestWaitIsAQuantileOfItsClass(t *testing.T) {
	for _, factor := range []int{1, 10, 100} {
		s := NewService(0.1)
		now := learn(s, epoch, 200, func(i int) time.Duration { return time.Duration(factor) * usual(i) })
		got, ok := s.Wait(now, class, serverOf(1))
		low, high := time.Duration(factor)*38*time.Millisecond, time.Duration(factor)*43*time.Millisecond
		if !ok || got < low || got > high {
			t.Errorf("factor %d: wait %v (known %v), want %v to %v", factor, got, ok, low, high)
		}
		for _, other := range []Class{ClassOf("other", 100), ClassOf("safe", 1000)} {
			if _, ok := s.Wait(now, other, serverOf(1)); ok {
				t.Errorf("the wait of class %v is known", other)
			}
		}
	}
}

// TestWaitNeedsObservations covers the beginning, and times so old that they no longer count.
func TestWaitNeedsObservations(t *testing.T) {
	s := NewService(0.1)
	now := learn(s, epoch, minWeight-1, usual)
	if _, ok := s.Wait(now, class, serverOf(1)); ok {
		t.Error("the wait is known from too few observations")
	}
	now = learn(s, now, 20, usual)
	if _, ok := s.Wait(now, class, serverOf(1)); !ok {
		t.Error("the wait is not known")
	}
	if _, ok := s.Wait(now.Add(4*memory), class, serverOf(1)); ok {
		t.Error("the wait is known from observations that are out of date")
	}
}

// TestSlowServerDoesNotRaiseTheWait guards against one slow server of ten that hides in the quantile: its times are a tenth of all.
func TestSlowServerDoesNotRaiseTheWait(t *testing.T) {
	s := NewService(0.1)
	now := learn(s, epoch, 400, func(i int) time.Duration {
		if i%10 == 0 {
			return time.Second
		}
		return usual(i)
	})
	others, ok := s.Wait(now, class, serverOf(1))
	if !ok || others > 45*time.Millisecond {
		t.Errorf("wait %v (known %v) at the others, want at most 45ms", others, ok)
	}
	if slow, _ := s.Wait(now, class, serverOf(0)); slow >= others {
		t.Errorf("wait %v at the slow server, want less than %v", slow, others)
	}
	// The server is fast again: it is measured once its pace has been forgotten, and then counts as the others.
	now = learn(s, now, 2000, usual)
	if wait, _ := s.Wait(now, class, serverOf(0)); wait < 38*time.Millisecond {
		t.Errorf("wait %v at the server that is fast again, want that of the others", wait)
	}
}

// TestCancelledTimesKeepTheQuantile guards against a wait that shrinks with each hedge, since the longest times are cut off.
func TestCancelledTimesKeepTheQuantile(t *testing.T) {
	s := NewService(0.1)
	now := learn(s, epoch, 200, usual)
	first, _ := s.Wait(now, class, serverOf(1))
	for i := range 5000 {
		now = now.Add(10 * time.Millisecond)
		server := serverOf(i % 10)
		wait, _ := s.Wait(now, class, server)
		if took := usual(i * 7); took > wait {
			s.RecordCancelled(now, class, server, wait+5*time.Millisecond)
		} else {
			s.RecordFirst(now, class, server, took)
		}
	}
	if last, _ := s.Wait(now, class, serverOf(1)); last < first*9/10 || last > first*13/10 {
		t.Errorf("wait %v after 5000 requests, want about %v", last, first)
	}
}

// TestWaitFollowsServersThatAllTurnSlow guards against a wait that stays at the times before, as if each server were an exception.
func TestWaitFollowsServersThatAllTurnSlow(t *testing.T) {
	s := NewService(0.1)
	now := learn(s, epoch, 400, usual)
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		wait, _ := s.Wait(now, class, serverOf(i%10))
		took := 10 * usual(i)
		s.RecordLate(took > wait)
		s.RecordFirst(now, class, serverOf(i%10), took)
	}
	if wait, _ := s.Wait(now, class, serverOf(1)); wait < 380*time.Millisecond {
		t.Errorf("wait %v, want at least 380ms, the quantile of the new times", wait)
	}
}

func allowed(c func(*Conditions)) Conditions {
	conditions := Conditions{Class: class, Repeatable: true, Servers: 1, MaxAttempts: 2, Remaining: time.Second, Busy: 3, Slots: 8}
	c(&conditions)
	return conditions
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name      string
		condition func(*Conditions)
		state     func(s *Service, now time.Time)
		want      Reason
	}{
		{"late request", func(*Conditions) {}, nil, Allowed},
		{"no report of the load", func(c *Conditions) { c.Busy, c.Slots = 0, 0 }, nil, Allowed},
		{"runs at most once", func(c *Conditions) { c.Repeatable = false }, nil, NotRepeated},
		{"part of the answer delivered", func(c *Conditions) { c.Begun = true }, nil, Begun},
		{"one server only", func(c *Conditions) { c.MaxAttempts = 1 }, nil, MaxAttempts},
		{"route states no number of servers", func(c *Conditions) { c.MaxAttempts = 0 }, nil, MaxAttempts},
		{"second server already", func(c *Conditions) { c.Servers = 2 }, nil, MaxAttempts},
		{"class not observed", func(c *Conditions) { c.Class = ClassOf("other", 0) }, nil, NotLearned},
		{"deadline before an answer", func(c *Conditions) { c.Remaining = 25 * time.Millisecond }, nil, NoTime},
		{"all slots taken", func(c *Conditions) { c.Busy = 8 }, nil, AtCapacity},
		{"work waits", func(c *Conditions) { c.Busy = 20 }, nil, AtCapacity},
		{"most are late", func(*Conditions) {}, func(s *Service, _ time.Time) {
			for range 40 {
				s.RecordLate(true)
			}
		}, MostAreSlow},
		{"one of six is late", func(*Conditions) {}, func(s *Service, _ time.Time) {
			for i := range 600 {
				s.RecordLate(i%6 == 0)
			}
		}, Allowed},
		{"share used up", func(*Conditions) {}, func(s *Service, now time.Time) {
			for s.Take(now) {
				continue
			}
		}, HedgeRatio},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewService(0.1)
			now := learn(s, epoch, 200, usual)
			if c.state != nil {
				c.state(s, now)
			}
			if got := s.Decide(now, allowed(c.condition)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestSomeRequestsMeasureASlowServer guards against a slow server that the health check never sets aside, since each request that would show it
// was cancelled.
func TestSomeRequestsMeasureASlowServer(t *testing.T) {
	s := NewService(1)
	now := learn(s, epoch, 400, func(i int) time.Duration {
		if i%10 == 0 {
			return time.Second
		}
		return usual(i)
	})
	measured := 0
	for range 10 * measuredInterval {
		switch reason := s.Decide(now, allowed(func(c *Conditions) { c.Server = serverOf(0) })); reason {
		case Measured:
			measured++
		case Allowed:
		default:
			t.Fatalf("got %q", reason)
		}
	}
	if measured != 10 {
		t.Errorf("%d of %d late requests measure the slow server, want 10", measured, 10*measuredInterval)
	}
	if reason := s.Decide(now, allowed(func(c *Conditions) { c.Server = serverOf(1) })); reason != Allowed {
		t.Errorf("got %q at another server, want it allowed", reason)
	}
}

// TestHedgesStayWithinTheirRules draws requests, times and conditions: no hedge breaks a rule of the request, and their number never exceeds
// the share of the requests of any 10 s.
func TestHedgesStayWithinTheirRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.2).Draw(t, "ratio")
		s := NewService(ratio)
		now := epoch
		var requests, hedges []time.Time
		recent := func(times []time.Time) (n int) {
			for _, at := range times {
				if now.Sub(at) < 10*time.Second {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(50, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			s.OnRequest(now)
			requests = append(requests, now)
			c := Conditions{
				Class: class, Repeatable: rapid.Bool().Draw(t, "repeatable"), Begun: rapid.Bool().Draw(t, "begun"),
				Servers: rapid.IntRange(1, 4).Draw(t, "servers"), MaxAttempts: rapid.IntRange(0, 4).Draw(t, "max attempts"),
				Remaining: time.Duration(rapid.IntRange(0, 1000).Draw(t, "remaining")) * time.Millisecond,
				Busy:      rapid.IntRange(0, 10).Draw(t, "busy"), Slots: rapid.IntRange(0, 8).Draw(t, "slots"),
			}
			s.RecordFirst(now, class, serverOf(rapid.IntRange(0, 3).Draw(t, "server")), usual(len(requests)))
			if s.Decide(now, c) != Allowed || !s.Take(now) {
				continue
			}
			hedges = append(hedges, now)
			if !c.Repeatable || c.Begun || c.Servers >= c.MaxAttempts || c.Slots > 0 && c.Busy >= c.Slots {
				t.Fatalf("hedge allowed under %+v", c)
			}
			if h, r := recent(hedges), recent(requests); float64(h) > ratio*float64(r) {
				t.Fatalf("%d hedges for %d requests in 10 s, want at most the share %v", h, r, ratio)
			}
		}
	})
}

// TestHedgesAndRetriesOfManyGateways guards against a sum over the gateways that exceeds the budget: each request is late and then fails, so
// that each gateway asks for a hedge and a retry of it. Traffic is uneven over the gateways and in time.
func TestHedgesAndRetriesOfManyGateways(t *testing.T) {
	const (
		gateways = 24
		ratio    = 0.2 // of the retry budget
		share    = 0.1 // of the hedges
		floor    = 2   // retries of each gateway in 10 s whatever its requests
		step     = 10 * time.Millisecond
	)
	window := int(10 * time.Second / step)
	random := rand.New(rand.NewPCG(1, 2))
	var services [gateways]*Service
	var retries [gateways]*retry.ShareBudget
	for i := range gateways {
		services[i], retries[i] = NewService(share), retry.NewShareBudget(ratio)
		learn(services[i], epoch.Add(-time.Minute), 200, usual)
	}
	var requests, hedges, extra []int // in each step
	for n := range 4 * window {
		now := epoch.Add(time.Duration(n) * step)
		requests, hedges, extra = append(requests, 0), append(hedges, 0), append(extra, 0)
		for i := range gateways {
			rate := 0.002 * float64(i) * (1 + math.Sin(float64(n)/300))
			if random.Float64() > rate {
				continue
			}
			services[i].OnRequest(now)
			retries[i].OnRequest(now)
			requests[n]++
			if services[i].MayTake(now) && retries[i].Take(now) && services[i].Take(now) {
				hedges[n]++
				extra[n]++
			}
			if retries[i].Take(now) {
				extra[n]++
			}
		}
	}
	sum := func(counts []int, from int) (total int) {
		for _, c := range counts[from : from+window] {
			total += c
		}
		return total
	}
	for from := 0; from+window <= len(requests); from += 10 {
		r, h, e := float64(sum(requests, from)), sum(hedges, from), sum(extra, from)
		if float64(e) > ratio*r+floor*gateways {
			t.Fatalf("%d sends beyond the first for %v requests in the 10 s from step %d, want at most %v", e, r, from, ratio*r+floor*gateways)
		}
		// The windows of the gateways lag by up to a slot of 0.5 s, in which traffic changes.
		if float64(h) > 1.1*share*r {
			t.Fatalf("%d hedges for %v requests in the 10 s from step %d, want at most %v", h, r, from, share*r)
		}
	}
	if sum(hedges, 0) == 0 || sum(extra, 0) == sum(hedges, 0) {
		t.Error("no hedge or no retry was allowed, so that nothing was tested")
	}
}

// TestWhatIsKeptIsBounded guards against memory that grows with the names of servers and routes.
func TestWhatIsKeptIsBounded(t *testing.T) {
	s := NewService(0.1)
	now := epoch
	for i := range 3 * maxServers {
		s.RecordFirst(now, ClassOf(fmt.Sprint("r", i), 0), serverOf(i), time.Millisecond)
	}
	if len(s.classes) > maxClasses || len(s.servers) > maxServers {
		t.Errorf("%d classes and %d servers are kept", len(s.classes), len(s.servers))
	}
	now = now.Add(unusedAfter + time.Second)
	s.RecordFirst(now, ClassOf("new", 0), Server{ID: "new"}, time.Millisecond)
	if s.classes[ClassOf("new", 0)] == nil || s.servers[Server{ID: "new"}] == nil {
		t.Error("what is no longer used leaves no room")
	}
}
