package limit

import (
	"testing"
	"time"
)

// TestTurnsAddUpToTheRate checks that all processes together, each sending as often as it may, stay within the rate and use it.
func TestTurnsAddUpToTheRate(t *testing.T) {
	const length = 60 * time.Second
	for _, count := range []int{1, 3, 8, 31} {
		for _, rate := range []float64{0.4, 1.2, 6, 40, 300} {
			start := time.Unix(1_700_000_123, 456)
			last := make([]time.Time, count)
			sent := 0.0
			for wall := start; wall.Before(start.Add(length)); wall = wall.Add(time.Millisecond) {
				for i := range count {
					if (Turns{Position: i, Count: count}).IsTurn(wall, last[i], rate, 7) {
						last[i] = wall
						sent++
					}
				}
			}
			allowed := rate*(length+TurnTime).Seconds() + turnIntervals + 1
			if sent > allowed || sent < 0.9*rate*length.Seconds()-1 {
				t.Errorf("%d processes, %v a second: %v requests in %v", count, rate, sent, length)
			}
		}
	}
}

// TestTurnsAreNotSavedUp checks that processes that have sent nothing for long send no more at once than what the rate allows for the
// time in which a turn can be used.
func TestTurnsAreNotSavedUp(t *testing.T) {
	for _, rate := range []float64{0.4, 1.2, 6, 40} {
		const count = 31
		wall := time.Unix(1_700_000_123, 456)
		sent := 0.0
		for i := range count {
			if (Turns{Position: i, Count: count}).IsTurn(wall, time.Time{}, rate, 0) {
				sent++
			}
		}
		if allowed := rate*TurnTime.Seconds() + turnIntervals + 1; sent > allowed {
			t.Errorf("%v a second: %v requests at once, want at most %v", rate, sent, allowed)
		}
	}
}

// TestTurnsWithChangingRate checks that a rate that changes with each answer does not give a process more turns.
func TestTurnsWithChangingRate(t *testing.T) {
	const count, length = 8, 300 * time.Second
	for position := range count {
		turns := Turns{Position: position, Count: count}
		wall := time.Unix(1_700_000_123, 456)
		var last time.Time
		rate, sent := 1.2, 0.0
		for end := wall.Add(length); wall.Before(end); wall = wall.Add(10 * time.Millisecond) {
			if turns.IsTurn(wall, last, rate, 0) {
				last = wall
				sent++
				rate = 2.5 - rate // 1.2 and 1.3 in turn
			}
		}
		if allowed := 1.3 * length.Seconds() / count * 1.25; sent > allowed {
			t.Errorf("process %d: %v requests in %v, want at most %.0f", position, sent, length, allowed)
		}
	}
}

// TestRateAboveTheResolutionIsNotDivided checks that a rate without a measurable interval allows every request.
func TestRateAboveTheResolutionIsNotDivided(t *testing.T) {
	wall := time.Unix(1_700_000_000, 0)
	if !(Turns{Position: 1, Count: 3}).IsTurn(wall, wall, 1e12, 0) {
		t.Error("a request is held back")
	}
}
