package serverset

import (
	"sync/atomic"
	"time"
)

// Activity notes when something came from a backend server last. It is safe for concurrent use.
type Activity struct {
	base time.Time
	last atomic.Int64 // nanoseconds since base
}

func newActivity(now time.Time) *Activity { return &Activity{base: now} }

// Note notes that the server sent something.
func (a *Activity) Note(now time.Time) { a.last.Store(int64(now.Sub(a.base))) }

// LastAt implements route.Activity.
func (a *Activity) LastAt() time.Time { return a.base.Add(time.Duration(a.last.Load())) }
