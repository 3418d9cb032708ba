// Package wait provides sleeps that end early when a context is done.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx is done.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
