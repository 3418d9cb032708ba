// Package clock reads a steady clock that also counts the time in which the machine was suspended.
//
// The steady clock behind time.Time stands still while a machine is suspended. Leases, freshness and deadlines that
// protect a promise must not: they compare times of Now.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspended is the longest time, in nanoseconds, by which the clock that counts suspension was ahead of the steady one.
var suspended atomic.Int64

// Now returns the time. Differences between two of its results include suspensions of the machine between them.
func Now() time.Time { return time.Now().Add(suspension()) }

// Until returns the time left until t, which came from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Since returns the time passed since t, which came from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// suspension returns how long the machine was suspended since its start. It never falls, so that two readings of
// different clocks a moment apart don't turn the time back.
func suspension() time.Duration {
	var steady, all unix.Timespec
	// In this order a pause between the readings makes the difference too small, never too large.
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &all) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return time.Duration(suspended.Load())
	}
	ahead := all.Nano() - steady.Nano()
	for {
		known := suspended.Load()
		if ahead < known+int64(granularity) {
			return time.Duration(known)
		}
		if suspended.CompareAndSwap(known, ahead) {
			return time.Duration(ahead)
		}
	}
}

// anchor is the time of day at the start of the process, with the steady time of that moment.
var anchor = Now()

// Wall returns the time of day as the process found it at its start, carried on by the steady clock: later jumps of the
// machine's time of day don't move it.
func Wall() time.Time { return anchor.Round(0).Add(Now().Sub(anchor)) }

// granularity hides the moment between the readings of the two clocks.
const granularity = 5 * time.Millisecond
