// Package agreed finds a time of day that several processes share, though the clocks of some are off.
package agreed

import (
	"slices"
	"time"
)

const (
	// memory is how long what another clock showed counts.
	memory = 10 * time.Second
	// recentReadings is the number of readings of one clock of which the one with the shortest delay is found.
	recentReadings = 5
)

// Clocks is what a member of a group knows of the clocks of the others. It is not safe for concurrent use.
type Clocks struct {
	others map[string]*Follower
	heard  map[string]time.Time
}

// NewClocks returns Clocks that know the own clock only.
func NewClocks() *Clocks {
	return &Clocks{others: make(map[string]*Follower), heard: make(map[string]time.Time)}
}

// Note takes what another member's clock showed when it sent, with what the own one shows now.
func (c *Clocks) Note(id string, theirs, own time.Time) {
	f := c.others[id]
	if f == nil {
		f = &Follower{}
		c.others[id] = f
	}
	f.Note(theirs, own)
	c.heard[id] = own
}

// Ahead returns how far the agreed time, the median of all clocks, is ahead of the own clock. Of two it is the own one: nothing
// tells which is off.
func (c *Clocks) Ahead(own time.Time) time.Duration {
	offsets := []time.Duration{0}
	for id, f := range c.others {
		if own.Sub(c.heard[id]).Abs() > memory {
			delete(c.others, id)
			delete(c.heard, id)
			continue
		}
		offsets = append(offsets, f.Ahead())
	}
	if len(offsets) == 2 {
		return 0
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// Follower follows another clock by what arrives of it. Its zero value follows the own clock. It is not safe for concurrent
// use.
type Follower struct {
	readings []time.Duration // newest last
}

// Note takes what the other clock showed when it sent, with what the own one shows now.
func (f *Follower) Note(theirs, own time.Time) {
	f.readings = append(f.readings, theirs.Sub(own))
	if len(f.readings) > recentReadings {
		f.readings = f.readings[1:]
	}
}

// Ahead returns how far the other clock is ahead of the own one. A delay on the way makes a reading too small, never too large.
func (f *Follower) Ahead() time.Duration {
	if len(f.readings) == 0 {
		return 0
	}
	return slices.Max(f.readings)
}
