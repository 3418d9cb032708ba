// Package poison finds the parts of prompts whose requests crash backend servers (queries of death), so that no more of them are sent.
//
// Gateways report under which parts a server crashed, and which suspected parts were answered since. Requests with a poisonous part
// are never answered, while those with any other part are, soon after a crash if not before. The list of suspected and blocked parts
// is replicated: it outlives the processes that reported, and every gateway obeys the same one.
package poison

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashesListed is the number of crashes from which gateways are told of a part. A part that was only in use when servers crashed
	// together, whatever their number, has one: thousands of such parts must cost nothing.
	minCrashesListed = 2
	// minCrashes is the number of crashes after which a part is poisonous if no answer to a request with it has ever begun.
	minCrashes = 3
	// minCrashesBegun is the number for a part of which an answer has begun before.
	minCrashesBegun = 5
	// crashSpacing is the minimum time between crashes that count separately. Servers that crash together have another cause.
	crashSpacing = 100 * time.Millisecond
	// suspicionTime is how long a part without further crashes is suspected.
	suspicionTime = 10 * time.Minute
	// BlockTime is how long a part is blocked.
	BlockTime = 15 * time.Minute
	// DecisionTime is the minimum time from the first report of a suspected part to its blocking. All gateways can report answers in it.
	DecisionTime = time.Second
	// maxSuspects bounds the suspected parts, listed or not.
	maxSuspects = 256
	// maxCrashes bounds the crashes that are kept of a part, the latest ones.
	maxCrashes = 8
)

// Format returns the id of a part as it is logged.
func Format(part uint64) string { return fmt.Sprintf("%08x", part) }

// Suspect is a part of a prompt under which servers crashed.
type Suspect struct {
	Part        uint64  `json:"part"`
	Depth       int     `json:"depth"`   // position in the prompt; 0 is the first part
	Begun       bool    `json:"begun"`   // an answer to a request with it has begun, before a crash or until then
	Crashes     []Crash `json:"crashes"` // oldest first
	BlockedAtMS int64   `json:"blocked_at_ms,omitempty"`
}

// Crash is the crash of one incarnation of a backend server.
type Crash struct {
	Server string `json:"server"` // identifies the incarnation
	AtMS   int64  `json:"at_ms"`  // agreed wall clock time, milliseconds since the Unix epoch
}

// IsBlocked reports whether no request with the part may be sent.
func (s *Suspect) IsBlocked() bool { return s.BlockedAtMS != 0 }

// isListed reports whether gateways are told of the part.
func (s *Suspect) isListed() bool { return s.IsBlocked() || s.separateCrashes() >= minCrashesListed }

// isPoisonous reports whether the part has caused enough crashes to be blocked.
func (s *Suspect) isPoisonous() bool {
	if s.Begun {
		return s.separateCrashes() >= minCrashesBegun
	}
	return s.separateCrashes() >= minCrashes
}

// separateCrashes returns the number of crashes, of which those within crashSpacing count as one.
func (s *Suspect) separateCrashes() int {
	n := 0
	var last int64
	for _, c := range s.Crashes {
		if n == 0 || c.AtMS-last >= crashSpacing.Milliseconds() {
			n++
			last = c.AtMS
		}
	}
	return n
}

// addCrash adds a crash unless the server's is known. The earliest report of a crash has the best time.
func (s *Suspect) addCrash(c Crash) {
	if i := slices.IndexFunc(s.Crashes, func(have Crash) bool { return have.Server == c.Server }); i >= 0 {
		s.Crashes[i].AtMS = min(s.Crashes[i].AtMS, c.AtMS)
	} else {
		s.Crashes = append(s.Crashes, c)
	}
	slices.SortStableFunc(s.Crashes, func(a, b Crash) int { return int(a.AtMS - b.AtMS) })
	s.Crashes = s.Crashes[max(0, len(s.Crashes)-maxCrashes):]
}

// expiresAt returns when the part is no longer listed, in milliseconds since the Unix epoch.
func (s *Suspect) expiresAt() int64 {
	if s.IsBlocked() {
		return s.BlockedAtMS + BlockTime.Milliseconds()
	}
	return s.Crashes[len(s.Crashes)-1].AtMS + suspicionTime.Milliseconds()
}

// List is one version of the parts of which gateways are told. It is immutable.
type List struct {
	Version  uint64    // grows with each change that gateways must receive
	Suspects []Suspect // by ascending part
}

// hasSameParts reports whether gateways would see the same in both lists.
func (l *List) hasSameParts(o *List) bool {
	return slices.EqualFunc(l.Suspects, o.Suspects, func(a, b Suspect) bool {
		return a.Part == b.Part && a.Begun == b.Begun && a.BlockedAtMS == b.BlockedAtMS
	})
}

// Find returns the suspect with the given part, or nil.
func (l *List) Find(part uint64) *Suspect {
	i, ok := slices.BinarySearchFunc(l.Suspects, part, func(s Suspect, part uint64) int { return cmp.Compare(s.Part, part) })
	if !ok {
		return nil
	}
	return &l.Suspects[i]
}

// Blocked returns the first of the parts that is blocked, or nil.
func (l *List) Blocked(parts []uint64) *Suspect {
	for _, part := range parts {
		if s := l.Find(part); s != nil && s.IsBlocked() {
			return s
		}
	}
	return nil
}

// NextToBlock returns the poisonous part to block, or nil. isSettled reports whether a part has been listed for DecisionTime.
//
// Only one part is returned at a time, since its crashes then no longer count against the other parts of the same requests. Of parts
// with equally many crashes the last one in the prompt is returned: the requests with it are the fewest that explain the crashes.
func (l *List) NextToBlock(isSettled func(part uint64) bool) *Suspect {
	var next *Suspect
	for i := range l.Suspects {
		s := &l.Suspects[i]
		if s.IsBlocked() || !s.isPoisonous() || !isSettled(s.Part) {
			continue
		}
		if next == nil || s.isMoreLikelyThan(next) {
			next = s
		}
	}
	return next
}

// isMoreLikelyThan reports whether s rather than o is the cause of crashes that both could explain.
func (s *Suspect) isMoreLikelyThan(o *Suspect) bool {
	if s.Begun != o.Begun {
		return o.Begun
	}
	if a, b := s.separateCrashes(), o.separateCrashes(); a != b {
		return a > b
	}
	return s.Depth > o.Depth
}

// HasExpired reports whether a listed part has expired at a wall clock time in milliseconds since the Unix epoch.
func (l *List) HasExpired(atMS int64) bool {
	return slices.ContainsFunc(l.Suspects, func(s Suspect) bool { return s.expiresAt() <= atMS })
}

// FirstSeen holds when a process first saw each listed part.
type FirstSeen map[uint64]time.Time

// Update records the parts of list that are new at now, and forgets those that it no longer holds.
func (f FirstSeen) Update(list *List, now time.Time) {
	maps.DeleteFunc(f, func(part uint64, _ time.Time) bool { return list.Find(part) == nil })
	for i := range list.Suspects {
		part := list.Suspects[i].Part
		if _, ok := f[part]; !ok {
			f[part] = now
		}
	}
}
