package route

import "time"

// PaceState is a process's view of the pace of one ready server. Paces are relative to the peers; 0 means unknown.
type PaceState struct {
	ID, Incarnation string
	Slow            bool          // it counts as slow, by this process or the common list
	Lasting         float64       // over some time
	Listed          float64       // by the common list of slow servers; 0: it isn't on it
	Stated          float64       // as the server last stated it, relative to its own usual pace
	StatedAge       time.Duration // of Stated
	Gap, PeerGap    time.Duration // expected longest gap in a stream there, and the median of its peers
}

// HomesLeft returns how often a stream didn't get its session's home because its gap target was not expected to hold there.
func (r *Router) HomesLeft() int64 { return r.homesLeft }

// PaceStates returns the pace of the ready servers of which something is known, in no particular order. Whether one counts as slow changes with
// the hysteresis of the common list.
func (t *Table) PaceStates(now time.Time) []PaceState {
	var states []PaceState
	for _, s := range t.servers {
		if !s.isPaceKnown || s.Lifecycle != LifecycleReady {
			continue
		}
		p := s.pace
		if p.usual >= slowFrom {
			p.isSlow = true
		} else if p.usual < slowUntil {
			p.isSlow = false
		}
		state := PaceState{
			ID: s.ID, Incarnation: s.Incarnation, Slow: p.isSlow || p.listed > 0, Lasting: p.usual, Listed: p.listed, Gap: p.gap, PeerGap: p.peerGap,
		}
		if p.stated > 0 {
			state.Stated, state.StatedAge = p.stated, max(now.Sub(p.statedAt), 0)
		}
		states = append(states, state)
	}
	return states
}
