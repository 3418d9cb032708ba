package roster_test

import (
	"slices"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/roster"
)

// TestAlarm checks when a condition is reported. It is observed once a second.
func TestAlarm(t *testing.T) {
	const minute = 60
	type span struct {
		seconds, level int
	}
	cases := []struct {
		name  string
		grace time.Duration
		spans []span
		warns []int // seconds
		over  []int
	}{
		{"does not hold", 0, []span{{minute, 0}}, nil, nil},
		{"lasts", 0, []span{{3 * minute, 1}}, []int{0, 2, 6, 14, 30, 62, 122}, nil},
		{"ends", 0, []span{{3, 1}, {minute, 0}}, []int{0, 2}, []int{3}},
		{"begins anew long after", 0, []span{{3, 1}, {10, 0}, {3, 1}, {1, 0}}, []int{0, 2, 13, 15}, []int{3, 16}},
		{"becomes worse", 0, []span{{10, 1}, {6, 2}, {1, 0}}, []int{0, 2, 6, 10, 12}, []int{16}},
		{"becomes less bad and worse again", 0, []span{{1, 2}, {3, 1}, {10, 2}}, []int{0, 2, 6}, nil},
		{"begins and ends each second", 0, []span{{1, 1}, {1, 0}, {1, 1}, {1, 0}, {1, 1}, {1, 0}}, []int{0, 2, 4}, []int{1, 3, 5}},
		{"ends within its grace", 5 * time.Second, []span{{5, 1}, {minute, 0}}, nil, nil},
		{"lasts longer than its grace", 5 * time.Second, []span{{8, 1}, {1, 0}}, []int{5, 7}, []int{8}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			alarm := roster.Alarm{Grace: tc.grace}
			var warns, over []int
			second := 0
			for _, s := range tc.spans {
				for range s.seconds {
					switch notice, _ := alarm.Observe(now.Add(time.Duration(second)*time.Second), s.level); notice {
					case roster.Warn:
						warns = append(warns, second)
					case roster.Over:
						over = append(over, second)
					}
					second++
				}
			}
			if !slices.Equal(warns, tc.warns) || !slices.Equal(over, tc.over) {
				t.Errorf("got warnings at %v and ends at %v, want %v and %v", warns, over, tc.warns, tc.over)
			}
		})
	}
}

func TestAlarmTellsDuration(t *testing.T) {
	var alarm roster.Alarm
	alarm.Observe(now, 1)
	if got := alarm.Lasted(now.Add(time.Second)); got != time.Second {
		t.Errorf("Lasted: got %v, want 1s", got)
	}
	if notice, lasted := alarm.Observe(now.Add(time.Minute), 0); notice != roster.Over || lasted != time.Minute {
		t.Errorf("at the end: got notice %v after %v, want Over after 1m0s", notice, lasted)
	}
	if got := alarm.Lasted(now.Add(time.Hour)); got != 0 {
		t.Errorf("Lasted after the end: got %v, want 0", got)
	}
}
