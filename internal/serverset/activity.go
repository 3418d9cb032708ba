package serverset

import (
	"sync/atomic"
	"time"
)

// Activity records when data was last received from a backend server. It is safe for concurrent use.
type Activity struct {
	base time.Time
	last atomic.Int64 // nanoseconds since base
	intervals
}

func newActivity(now time.Time) *Activity { return &Activity{base: now} }

// Record records that data was received from the server.
func (a *Activity) Record(now time.Time) { a.last.Store(int64(now.Sub(a.base))) }

// LastAt implements route.Activity.
func (a *Activity) LastAt() time.Time { return a.base.Add(time.Duration(a.last.Load())) }
