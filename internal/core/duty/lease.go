// Package duty decides when this process may give orders, and keeps the orders as replicated intents.
//
// Orders and usage reports come only from the leader of the control group while its quorum lease holds. Each order is
// committed as an intent before it is sent, and is repeated only under the id of its intent.
package duty

import "time"

// Lease is the right to give orders, as confirmed by a quorum.
type Lease struct {
	Term    uint64
	Expires time.Time // own monotonic clock
}

// Timing holds the bounds that the rules of the lease need. All members of a group must use the same values.
type Timing struct {
	Lease        time.Duration // length of a quorum lease
	LongestCall  time.Duration // longest call to the platform, an agent or the usage interface
	ShortestCall time.Duration // calls that cannot have at least this long are not begun
	Drift        time.Duration // bound on the drift between two clocks over one lease and one call
	Spacing      time.Duration // least time between the calls of one holder and those of the next; 0: none
}

// Default bounds.
const (
	DefaultLease        = 500 * time.Millisecond
	DefaultLongestCall  = 500 * time.Millisecond
	DefaultShortestCall = 50 * time.Millisecond
	DefaultDrift        = 100 * time.Millisecond
)

// DefaultTiming returns the default bounds.
func DefaultTiming() Timing {
	return Timing{
		Lease:        DefaultLease,
		LongestCall:  DefaultLongestCall,
		ShortestCall: DefaultShortestCall,
		Drift:        DefaultDrift,
	}
}

// CallDeadline returns when a call that begins now must end, and false when the lease leaves too little time for it.
// The call ends before the lease does, so no call of this process can overlap with a call of its successor.
func (t Timing) CallDeadline(now time.Time, lease Lease) (time.Time, bool) {
	deadline := now.Add(t.LongestCall)
	if lease.Expires.Before(deadline) {
		deadline = lease.Expires
	}
	return deadline, deadline.Sub(now) >= t.ShortestCall
}

// TakeoverWait is how long a new leader waits before its first order: every lease that an older leader may hold has
// ended by then, and every call begun under it.
func (t Timing) TakeoverWait() time.Duration {
	return max(t.Lease+t.LongestCall+t.Drift, t.Spacing+t.Drift)
}
