package serverset

import (
	"sync/atomic"
	"time"
)

// Ear notes when something came from a backend server last. It is safe for concurrent use.
type Ear struct {
	base time.Time
	last atomic.Int64 // nanoseconds since base
}

func newEar(now time.Time) *Ear { return &Ear{base: now} }

// Heard notes that the server sent something.
func (e *Ear) Heard(now time.Time) { e.last.Store(int64(now.Sub(e.base))) }

// HeardAt implements route.Ear.
func (e *Ear) HeardAt() time.Time { return e.base.Add(time.Duration(e.last.Load())) }
