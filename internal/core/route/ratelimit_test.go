package route

import (
	"testing"
	"time"
)

// TestRateLimitOutlivesOlderAnswers checks that an answer to a request sent before a limit was stated does not end the limit.
func TestRateLimitOutlivesOlderAnswers(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	table := NewTable(Config{})
	table.Upsert(epoch, Backend{ID: "s", Incarnation: "1", Kind: KindService, Model: "app", Lifecycle: LifecycleReady})
	steps := []struct {
		name        string
		arrives     int // of the answer, in milliseconds
		sent        int // of its request
		limit, want float64
	}{
		{"no limit", 10, 0, 0, 0},
		{"first limit", 100, 50, 1.5, 1.5},
		{"answer to an older request without a limit", 110, 60, 0, 1.5},
		{"another limit", 200, 150, 2, 2},
		{"answer to a newer request without a limit", 300, 201, 0, 0},
	}
	for _, s := range steps {
		table.RecordRateLimit(at(s.arrives), "s", at(s.sent), s.limit)
		if got := table.States(at(s.arrives))[0].RateLimit; got != s.want {
			t.Errorf("%s: limit %v, want %v", s.name, got, s.want)
		}
	}
	table.RecordRateLimit(at(400), "s", at(350), 3)
	table.Upsert(at(500), Backend{ID: "s", Incarnation: "2", Kind: KindService, Model: "app", Lifecycle: LifecycleReady})
	if got := table.States(at(500))[0].RateLimit; got != 0 {
		t.Errorf("another incarnation: limit %v, want none", got)
	}
}
