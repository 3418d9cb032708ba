// Package clock provides a monotonic clock that includes the time in which the machine was suspended.
//
// The monotonic clock in time.Time stops while a machine is suspended. Leases, freshness limits and other deadlines on
// which safety depends must expire during a suspension too, so they compare times returned by Now.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// maxSuspension is the greatest observed difference, in nanoseconds, between the clock that includes suspensions
// (CLOCK_BOOTTIME) and the monotonic clock.
var maxSuspension atomic.Int64

// Now returns the current time. The difference between two of its results includes suspensions of the machine between
// them.
func Now() time.Time { return time.Now().Add(suspension()) }

// Until returns the duration until t, which must be a result of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Since returns the duration since t, which must be a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// suspension returns the total time for which the machine has been suspended since boot. It never decreases: the two
// clocks are read one after the other, and a variable delay between the readings must not move the time back.
func suspension() time.Duration {
	var mono, boot unix.Timespec
	// CLOCK_BOOTTIME is read first, so that a delay between the readings makes the difference too small and never too
	// large.
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil {
		return time.Duration(maxSuspension.Load())
	}
	ahead := boot.Nano() - mono.Nano()
	for {
		known := maxSuspension.Load()
		if ahead < known+int64(minSuspensionIncrease) {
			return time.Duration(known)
		}
		if maxSuspension.CompareAndSwap(known, ahead) {
			return time.Duration(ahead)
		}
	}
}

// processStart is the result of Now at the start of the process, with its wall clock and its monotonic reading.
var processStart = Now()

// Wall returns the time of day, computed from the time of day at the start of the process and the time since then
// according to Now. Later steps of the machine's wall clock do not affect it.
func Wall() time.Time { return processStart.Round(0).Add(Now().Sub(processStart)) }

// minSuspensionIncrease is the smallest increase of the suspension time that is taken into account. Smaller ones may result from
// reading the two clocks one after the other.
const minSuspensionIncrease = 5 * time.Millisecond
