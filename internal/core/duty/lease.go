// Package duty decides when this process may issue orders to the platform and to engines, and keeps the orders as
// replicated intents.
//
// Only the leader of the control group issues orders and usage reports, and only while its quorum lease is valid. Each
// order is committed as an intent before it is sent, and is resent only under the id of its intent.
package duty

import "time"

// Lease is the right to issue orders, confirmed by a quorum.
type Lease struct {
	Term    uint64
	Expires time.Time // on the local monotonic clock
}

// Timing holds the time bounds of the lease protocol. All members of a group must use the same values.
type Timing struct {
	Lease           time.Duration // length of a quorum lease
	MaxCallDuration time.Duration // longest call to the platform, an agent or the usage interface
	MinCallDuration time.Duration // a call with less time left is not started
	Drift           time.Duration // maximum drift between two clocks over one lease and one call
	HolderSpacing   time.Duration // minimum time between the calls of one holder and those of the next; 0: none
}

// Default bounds.
const (
	DefaultLease           = 500 * time.Millisecond
	DefaultMaxCallDuration = 500 * time.Millisecond
	DefaultMinCallDuration = 50 * time.Millisecond
	DefaultDrift           = 100 * time.Millisecond
)

// DefaultTiming returns the default bounds.
func DefaultTiming() Timing {
	return Timing{
		Lease:           DefaultLease,
		MaxCallDuration: DefaultMaxCallDuration,
		MinCallDuration: DefaultMinCallDuration,
		Drift:           DefaultDrift,
	}
}

// CallDeadline returns the deadline of a call that starts now, or false if the lease leaves too little time for it. The
// deadline is not after the end of the lease, so no call of this process can overlap with a call of its successor.
func (t Timing) CallDeadline(now time.Time, lease Lease) (time.Time, bool) {
	deadline := now.Add(t.MaxCallDuration)
	if lease.Expires.Before(deadline) {
		deadline = lease.Expires
	}
	return deadline, deadline.Sub(now) >= t.MinCallDuration
}

// TakeoverWait returns how long a new leader waits before its first order. By then every lease of an older leader, and
// every call started under it, has ended.
func (t Timing) TakeoverWait() time.Duration {
	return max(t.Lease+t.MaxCallDuration+t.Drift, t.HolderSpacing+t.Drift)
}
