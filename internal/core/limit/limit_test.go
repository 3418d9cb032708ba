package limit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// organisationRequest returns a request with a single scope, an organisationRequest with the given limits.
func organisationRequest(limits Limits) Request {
	return Request{Organisation: "a", Tokens: 10, Scopes: []Scope{{Kind: ScopeOrganisation, Name: "a", Limits: limits}}}
}

func TestRefusalNamesTheLimit(t *testing.T) {
	scopes := func(i int, limits Limits) []Scope {
		s := []Scope{
			{Kind: ScopeKey, Name: "k1"},
			{Kind: ScopeClass, Name: "a/b chat"},
			{Kind: ScopeOrganisation, Name: "a/b"},
			{Kind: ScopeOrganisation, Name: "a"},
		}
		s[i].Limits = limits
		return s
	}
	tests := []struct {
		name   string
		scopes []Scope
		want   Refusal
	}{
		{"requests of the key", scopes(0, Limits{RequestsPerMinute: 2}), Refusal{ScopeKey, "k1", Requests, 2, time.Minute}},
		{"tokens of the class", scopes(1, Limits{TokensPerMinute: 25}), Refusal{ScopeClass, "a/b chat", Tokens, 25, time.Minute}},
		{"concurrency", scopes(2, Limits{Concurrency: 2}), Refusal{ScopeOrganisation, "a/b", Concurrency, 2, time.Second}},
		{"parent", scopes(3, Limits{RequestsPerMinute: 2}), Refusal{ScopeOrganisation, "a", Requests, 2, time.Minute}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLimiter()
			r := Request{Organisation: "a/b", Tokens: 10, Scopes: tt.scopes}
			for range 2 {
				if _, refusal := l.Acquire(epoch, r); refusal != nil {
					t.Fatalf("got refusal %v below the limit, want none", refusal)
				}
			}
			_, refusal := l.Acquire(epoch, r)
			if refusal == nil {
				t.Fatal("admitted above the limit")
			}
			if refusal.RetryAfter < minRetryAfter || refusal.RetryAfter > tt.want.RetryAfter+step {
				t.Errorf("got RetryAfter %v, want at least minRetryAfter and at most the expected wait plus one step", refusal.RetryAfter)
			}
			got := *refusal
			got.RetryAfter = tt.want.RetryAfter
			if got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
			if text := refusal.Error(); !strings.Contains(text, tt.want.Name) || !strings.Contains(text, tt.want.Quantity.String()) {
				t.Errorf("got message %q, want name and quantity in it", text)
			}
		})
	}
}

func TestAdmittedAfterRetryAfter(t *testing.T) {
	l := NewLimiter()
	r := organisationRequest(Limits{RequestsPerMinute: 3})
	for i := range 3 {
		l.Acquire(epoch.Add(time.Duration(i)*10*time.Second), r)
	}
	now := epoch.Add(25 * time.Second)
	_, refusal := l.Acquire(now, r)
	if refusal == nil {
		t.Fatal("admitted above the limit")
	}
	if _, refusal := l.Acquire(now.Add(refusal.RetryAfter), r); refusal != nil {
		t.Errorf("got refusal %v after the wait of RetryAfter, want none", refusal)
	}
}

func TestOutputTokensAreCharged(t *testing.T) {
	l := NewLimiter()
	r := organisationRequest(Limits{TokensPerMinute: 100})
	lease, _ := l.Acquire(epoch, r)
	l.Charge(epoch, lease, 85)
	if _, refusal := l.Acquire(epoch, r); refusal == nil || refusal.Quantity != Tokens {
		t.Errorf("got refusal %v after 95 of 100 tokens, want one for tokens", refusal)
	}
	l.Release(epoch, lease)
	l.Charge(epoch, lease, 1000)
	if _, refusal := l.Acquire(epoch.Add(time.Minute+step), r); refusal != nil {
		t.Errorf("got refusal %v after a charge to a released lease, want the charge ignored", refusal)
	}
}

func TestReleaseOnce(t *testing.T) {
	l := NewLimiter()
	r := organisationRequest(Limits{Concurrency: 2})
	first, _ := l.Acquire(epoch, r)
	l.Acquire(epoch, r)
	l.Release(epoch, first)
	l.Release(epoch, first)
	l.Acquire(epoch, r)
	if _, refusal := l.Acquire(epoch, r); refusal == nil {
		t.Error("admitted above the limit after a second release of the same lease")
	}
}

func TestRefusedRequestIsNotCounted(t *testing.T) {
	l := NewLimiter()
	r := Request{Organisation: "a", Scopes: []Scope{
		{Kind: ScopeKey, Name: "k", Limits: Limits{Concurrency: 5}},
		{Kind: ScopeOrganisation, Name: "a", Limits: Limits{Concurrency: 1}},
	}}
	for range 5 {
		l.Acquire(epoch, r)
	}
	if got := l.counter(r.Scopes[0]).concurrent; got != 1 {
		t.Errorf("got concurrency %d of the key, want 1", got)
	}
}

func TestLowerTierLeavesHeadroom(t *testing.T) {
	limits := []Limits{{RequestsPerMinute: 16}, {TokensPerMinute: 160}, {Concurrency: 16}}
	for _, lim := range limits {
		t.Run(fmt.Sprint(lim), func(t *testing.T) {
			l := NewLimiter()
			high, low := organisationRequest(lim), organisationRequest(lim)
			low.Tier = 3
			l.Acquire(epoch, high)
			admitted := 0
			for range 16 {
				if _, refusal := l.Acquire(epoch, low); refusal == nil {
					admitted++
				}
			}
			if admitted != 13 {
				t.Errorf("got %d requests of the lower tier admitted, want 13", admitted)
			}
			if _, refusal := l.Acquire(epoch, high); refusal != nil {
				t.Errorf("got refusal %v for the higher tier, want none", refusal)
			}
		})
	}
	t.Run("higher tier idle", func(t *testing.T) {
		l := NewLimiter()
		low := organisationRequest(Limits{Concurrency: 16})
		low.Tier = 3
		for range 16 {
			if _, refusal := l.Acquire(epoch, low); refusal != nil {
				t.Fatal(refusal)
			}
		}
	})
}

func TestExpiredShareFallsBackToFloor(t *testing.T) {
	l := NewLimiter()
	l.SetShare(epoch, "a", Share{From: 0.1, To: 0.9, FloorFrom: 0, FloorTo: 0.25})
	r := organisationRequest(Limits{Concurrency: 100})
	admit := func(now time.Time) (n int) {
		for ; ; n++ {
			lease, refusal := l.Acquire(now, r)
			if refusal != nil {
				return n
			}
			defer l.Release(now, lease)
		}
	}
	if got := admit(epoch.Add(ShareLifetime)); got != 80 {
		t.Errorf("got %d admitted with a fresh share, want 80", got)
	}
	if got := admit(epoch.Add(ShareLifetime + time.Second)); got != 25 {
		t.Errorf("got %d admitted with an expired share, want 25", got)
	}
}

func TestSweepRemovesIdleScopes(t *testing.T) {
	l := NewLimiter()
	r := organisationRequest(Limits{RequestsPerMinute: 5})
	lease, _ := l.Acquire(epoch, r)
	later := epoch.Add(time.Hour)
	l.Sweep(later)
	if len(l.counters) != 1 {
		t.Fatal("a scope with a request in progress was removed")
	}
	l.Release(later, lease)
	l.Sweep(later)
	if len(l.counters) != 0 || len(l.demand) != 0 {
		t.Errorf("got %d counters, %d demands after the sweep, want none", len(l.counters), len(l.demand))
	}
}

func TestSharesFollowDemand(t *testing.T) {
	shares := Shares(map[string]float64{"e1": 90, "e2": 10, "e3": 0})
	if a, b, c := shares["e1"].Size(), shares["e2"].Size(), shares["e3"].Size(); a <= b || b <= c || c < FloorTotal/3-1e-9 {
		t.Errorf("got sizes %.3f, %.3f, %.3f, want descending and at least a third of FloorTotal", a, b, c)
	}
}

// drawDemand draws the demand of a few entries.
func drawDemand(t *rapid.T) map[string]float64 {
	demand := make(map[string]float64)
	for i := range rapid.IntRange(1, 6).Draw(t, "entries") {
		demand[fmt.Sprintf("e%d", i)] = float64(rapid.IntRange(0, 1000).Draw(t, "demand"))
	}
	return demand
}

// TestSharesAddUp checks that the entries together never have more units of a limit than there are, and with fresh shares exactly
// as many.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := Shares(drawDemand(t))
		limit := rapid.IntRange(0, 500).Draw(t, "limit")
		fresh, old := 0, 0
		for _, s := range shares {
			assigned := assignedShare{share: s, at: epoch}
			fresh += assigned.units(epoch, limit)
			old += assigned.units(epoch.Add(ShareLifetime+1), limit)
		}
		if fresh != limit || old > limit {
			t.Fatalf("got %d units with fresh shares, %d with expired ones; want the limit of %d with fresh ones and no more with expired ones", fresh, old, limit)
		}
	})
}

// TestNoMinuteAboveTheLimit checks for random arrivals that all entries together admit no more requests per minute than the limit.
// If one entry is partitioned and its share is reassigned to the others, the bound is the limit plus its old share.
func TestNoMinuteAboveTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := drawDemand(t)
		limit := rapid.IntRange(1, 60).Draw(t, "limit")
		shares := Shares(demand)
		limiters := make(map[string]*Limiter)
		for i := range len(demand) {
			name := fmt.Sprintf("e%d", i)
			limiters[name] = NewLimiter()
			limiters[name].SetShare(epoch, "a", shares[name])
		}
		partitioned := rapid.Bool().Draw(t, "cut_off")
		bound := limit
		if partitioned {
			bound += assignedShare{share: shares["e0"], at: epoch}.units(epoch, limit)
		}
		var admitted []time.Time
		now := epoch
		for range rapid.IntRange(1, 300).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			renewShares(limiters, demand, now, partitioned)
			name := fmt.Sprintf("e%d", rapid.IntRange(0, len(demand)-1).Draw(t, "entry"))
			lease, refusal := limiters[name].Acquire(now, organisationRequest(Limits{RequestsPerMinute: limit}))
			if refusal != nil {
				continue
			}
			limiters[name].Release(now, lease)
			admitted = append(admitted, now)
			in := 0
			for _, at := range admitted {
				if now.Sub(at) < time.Minute {
					in++
				}
			}
			if in > bound {
				t.Fatalf("got %d requests in a minute with limit %d, want at most %d", in, limit, bound)
			}
		}
	})
}

// renewShares renews the shares as the control group does: entries that report get fresh shares. The share of a partitioned entry,
// except its floor, is reassigned to the others once it has expired.
func renewShares(limiters map[string]*Limiter, demand map[string]float64, now time.Time, partitioned bool) {
	current := demand
	if partitioned && now.Sub(epoch) > ShareLifetime {
		current = make(map[string]float64)
		for name, d := range demand {
			current[name] = d
		}
		current["e0"] = 0
	}
	shares := Shares(current)
	for name, l := range limiters {
		if name != "e0" || !partitioned {
			l.SetShare(now, "a", shares[name])
		}
	}
}

func BenchmarkAcquire(b *testing.B) {
	l := NewLimiter()
	limits := Limits{RequestsPerMinute: 1 << 30, TokensPerMinute: 1 << 40, Concurrency: 1 << 20}
	r := Request{Organisation: "a/b", Tokens: 10, Scopes: []Scope{
		{Kind: ScopeKey, Name: "k", Limits: limits},
		{Kind: ScopeClass, Name: "c", Limits: limits},
		{Kind: ScopeOrganisation, Name: "a/b", Limits: limits},
		{Kind: ScopeOrganisation, Name: "a", Limits: limits},
	}}
	b.ReportAllocs()
	for i := range b.N {
		now := epoch.Add(time.Duration(i) * time.Microsecond)
		lease, refusal := l.Acquire(now, r)
		if refusal != nil {
			b.Fatal(refusal)
		}
		l.Release(now, lease)
	}
}

// TestNegativeTierCountsAsHighest checks that a request with a tier below 0 is admitted like one of the highest tier.
func TestNegativeTierCountsAsHighest(t *testing.T) {
	l := NewLimiter()
	now := time.Unix(1000, 0)
	scope := Scope{Kind: ScopeOrganisation, Name: "one", Limits: Limits{RequestsPerMinute: 8}}
	if _, refusal := l.Acquire(now, Request{Organisation: "one", Scopes: []Scope{scope}, Tier: -1}); refusal != nil {
		t.Errorf("refused: %v", refusal)
	}
}
