// Package wallclock estimates the time of day that the members of a group agree on, although some of their clocks may be wrong.
package wallclock

import (
	"slices"
	"time"
)

const (
	// maxReadingAge is how long the readings of a clock are used after the last one.
	maxReadingAge = 10 * time.Second
	// recentReadings is the number of readings of one clock among which the one with the shortest delay is selected.
	recentReadings = 5
)

// Clocks estimates the offset between the local clock and those of the other members of a group. It is not safe for
// concurrent use.
type Clocks struct {
	others      map[string]*OffsetEstimator
	lastReading map[string]time.Time
}

// NewClocks returns Clocks with only the local clock.
func NewClocks() *Clocks {
	return &Clocks{others: make(map[string]*OffsetEstimator), lastReading: make(map[string]time.Time)}
}

// RecordReading records a reading of another member's clock: remote is its time when the message was sent, local is the
// local time when it arrived.
func (c *Clocks) RecordReading(id string, remote, local time.Time) {
	e := c.others[id]
	if e == nil {
		e = &OffsetEstimator{}
		c.others[id] = e
	}
	e.RecordReading(remote, local)
	c.lastReading[id] = local
}

// Offset returns how far the agreed time, the median of all clocks, is ahead of the local clock. With an even number of
// clocks it is the lower of the two middle values. With two clocks it is 0, since it can't be decided which one is wrong.
// Offset deletes clocks without a reading within maxReadingAge.
func (c *Clocks) Offset(local time.Time) time.Duration {
	offsets := []time.Duration{0}
	for id, e := range c.others {
		if local.Sub(c.lastReading[id]).Abs() > maxReadingAge {
			delete(c.others, id)
			delete(c.lastReading, id)
			continue
		}
		offsets = append(offsets, e.Offset())
	}
	if len(offsets) == 2 {
		return 0
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// OffsetEstimator estimates the offset of another clock from its readings. The zero value has offset 0. It is not safe for
// concurrent use.
type OffsetEstimator struct {
	readings []time.Duration // newest last
}

// RecordReading records a reading of the other clock: remote is its time when the message was sent, local is the local
// time when it arrived.
func (e *OffsetEstimator) RecordReading(remote, local time.Time) {
	e.readings = append(e.readings, remote.Sub(local))
	if len(e.readings) > recentReadings {
		e.readings = e.readings[1:]
	}
}

// Offset returns how far the other clock is ahead of the local one. It is the maximum of the recent readings, because
// network delay makes a reading too small, never too large.
func (e *OffsetEstimator) Offset() time.Duration {
	if len(e.readings) == 0 {
		return 0
	}
	return slices.Max(e.readings)
}
