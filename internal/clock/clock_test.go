package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
)

func TestNowFollowsMonotonicClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := clock.Now()
		time.Sleep(time.Minute)
		if got := clock.Since(before); got != time.Minute {
			t.Errorf("Since: got %v, want %v", got, time.Minute)
		}
		if got := clock.Until(before.Add(time.Hour)); got != time.Hour-time.Minute {
			t.Errorf("Until: got %v, want %v", got, time.Hour-time.Minute)
		}
	})
}

func TestWallMatchesTimeOfDay(t *testing.T) {
	if d := time.Since(clock.Wall().Round(0)); d.Abs() > time.Minute {
		t.Errorf("Wall differs by %v from the time of day, want at most a minute", d)
	}
}
