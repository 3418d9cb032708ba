package route

import (
	"maps"
	"time"
)

// drainEndMemory is how long the end of a drain is stored. No server counts as cold for longer than MaxCold, which is the same time.
const drainEndMemory = time.Hour

// DrainedError means that every server that could take the request is in a drained availability zone.
type DrainedError struct{}

// Error implements error.
func (*DrainedError) Error() string {
	return "every backend server of the model is in a drained availability zone"
}

// Is reports that the error is an ErrNoCandidate too.
func (*DrainedError) Is(target error) bool { return target == ErrNoCandidate }

// isDrainedFor reports whether every present server that could serve the request is in a drained zone.
func (g *group) isDrainedFor(req *Request) bool {
	drained := false
	for _, s := range g.servers {
		if !s.isPresent() || !s.serves(req) {
			continue
		}
		if !s.drained {
			return false
		}
		drained = true
	}
	return drained
}

// zoneDrains are the availability zones that get no new work, by order of an operator.
type zoneDrains struct {
	zones   map[string]bool
	endedAt map[string]time.Time // by zone that is no longer drained: when this process learned of it
}

func (d *zoneDrains) has(zone string) bool { return d.zones[zone] }

// SetDrainedZones sets the availability zones whose servers get no new work, including those that register later. Requests in flight are
// not affected.
func (t *Table) SetDrainedZones(now time.Time, zones []string) {
	next := make(map[string]bool, len(zones))
	for _, zone := range zones {
		next[zone] = true
	}
	if maps.Equal(next, t.drains.zones) {
		return
	}
	t.drains.recordEnds(now, next)
	t.drains.zones = next
	for _, s := range t.servers {
		s.setDrained(next[s.Zone])
		s.reviewDrain()
	}
}

// recordEnds records which drains end with a change to the zones in next.
func (d *zoneDrains) recordEnds(now time.Time, next map[string]bool) {
	if d.endedAt == nil {
		d.endedAt = make(map[string]time.Time)
	}
	maps.DeleteFunc(d.endedAt, func(zone string, at time.Time) bool { return next[zone] || now.Sub(at) >= drainEndMemory })
	for zone := range d.zones {
		if !next[zone] {
			d.endedAt[zone] = now
		}
	}
}

// setDrained records whether the server's zone is drained, which changes the lanes.
func (s *server) setDrained(drained bool) {
	if s.drained != drained {
		s.drained = drained
		s.group.changed = true
	}
}

// drainEndedAt returns when this process learned of the end of the last drain of a zone. It is zero while the zone is drained, and if no
// drain is known to have ended. What a server of the zone reported before that time says nothing about its state afterwards.
func (t *Table) drainEndedAt(zone string) time.Time { return t.drains.endedAt[zone] }
