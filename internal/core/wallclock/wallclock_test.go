package wallclock

import (
	"testing"
	"time"
)

var noon = time.Unix(1_800_000_000, 0)

func TestAgreedTime(t *testing.T) {
	const off = 5 * time.Second
	cases := []struct {
		name   string
		others map[string]time.Duration // by how much their clocks are ahead
		want   time.Duration
	}{
		{"alone", nil, 0},
		{"one other, and either clock may be wrong", map[string]time.Duration{"b": off}, 0},
		{"the local clock is slow", map[string]time.Duration{"b": off, "c": off + time.Millisecond}, off},
		{"the local clock is fast", map[string]time.Duration{"b": -off, "c": -off}, -off},
		{"one other is wrong", map[string]time.Duration{"b": off, "c": 0}, 0},
		{"two of five are wrong", map[string]time.Duration{"b": off, "c": -off, "d": 0, "e": time.Millisecond}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := NewClocks()
			for id, ahead := range tc.others {
				c.RecordReading(id, noon.Add(ahead), noon)
			}
			if got := c.Offset(noon); got != tc.want {
				t.Errorf("%v ahead of the local clock, want %v", got, tc.want)
			}
		})
	}
}

func TestOldReadingsAreIgnored(t *testing.T) {
	c := NewClocks()
	c.RecordReading("b", noon.Add(time.Second), noon)
	c.RecordReading("c", noon.Add(time.Second), noon)
	if got := c.Offset(noon.Add(maxReadingAge + time.Second)); got != 0 {
		t.Errorf("offset %v from expired readings, want 0", got)
	}
}

func TestNetworkDelayDoesNotLowerTheOffset(t *testing.T) {
	var e OffsetEstimator
	for i, delay := range []time.Duration{20, 900, 5, 1500, 40} {
		local := noon.Add(time.Duration(i) * time.Second)
		e.RecordReading(local.Add(2*time.Second-delay*time.Millisecond), local)
	}
	if got, want := e.Offset(), 2*time.Second-5*time.Millisecond; got != want {
		t.Errorf("%v ahead, want %v", got, want)
	}
}
