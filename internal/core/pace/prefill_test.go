package pace

import (
	"testing"
	"time"
)

// TestPrefillFollowsTheFastestStarts covers engines of two speeds whose answers begin late for other reasons too.
func TestPrefillFollowsTheFastestStarts(t *testing.T) {
	for name, perToken := range map[string]time.Duration{"fast engine": 10 * time.Microsecond, "slow engine": 20 * time.Microsecond} {
		t.Run(name, func(t *testing.T) {
			var p Prefill
			now := time.Unix(1000, 0)
			if _, ok := p.PerToken(now); ok {
				t.Error("the time per token is known before the first observation")
			}
			p.Record(now, time.Millisecond, minPrefillTokens-1)
			if _, ok := p.PerToken(now); ok {
				t.Error("the time per token is known from a short prompt")
			}
			for i := range 50 {
				tokens := 2000 + 500*i
				wait := time.Duration(i%7)*100*time.Millisecond + 60*time.Millisecond
				p.Record(now, wait+time.Duration(tokens)*perToken, tokens)
			}
			if got, ok := p.PerToken(now); !ok || got < perToken || got > perToken*3/2 {
				t.Errorf("got %v a token, want %v to %v", got, perToken, perToken*3/2)
			}
			first, _ := p.PerToken(now)
			if later, _ := p.PerToken(now.Add(prefillHalfLife)); later < 2*first-time.Nanosecond {
				t.Errorf("got %v a token without observations for %v, want twice %v", later, prefillHalfLife, first)
			}
		})
	}
}
