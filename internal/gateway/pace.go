package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/guavastack/guavastack/internal/wait"
)

const (
	// paceInterval is the time between two comparisons of the pace of backend servers. Their neighbours come and go within a second.
	paceInterval = 250 * time.Millisecond
	// slowWrite is the time for sending a part of a stream to its caller from which the interval before the next part says nothing about
	// the backend server.
	slowWrite = 5 * time.Millisecond
)

// recordInterval records the interval between two parts of the answer, of which the former arrived at last and had been sent to the caller at
// written, and the latter arrived at now.
func (a *attempt) recordInterval(last, written, now time.Time, data []byte) {
	if written.Sub(last) < slowWrite {
		a.activity.RecordInterval(now.Sub(last), max(1, bytes.Count(data, eventEnd)))
	}
}

// watchPaces compares the pace of the backend servers at intervals.
func (s *Server) watchPaces(ctx context.Context) {
	for wait.For(ctx, paceInterval) {
		s.servers.ObserveIntervals()
	}
}
