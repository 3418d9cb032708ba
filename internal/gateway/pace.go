package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/guavastack/guavastack/internal/serverset"
	"github.com/guavastack/guavastack/internal/wait"
)

const (
	// paceInterval is the time between two comparisons of the pace of backend servers. Their neighbours come and go within a second.
	paceInterval = 250 * time.Millisecond
	// slowWrite is the time for sending a part of a stream to its caller from which the interval before the next part says nothing about
	// the backend server.
	slowWrite = 5 * time.Millisecond
)

// eventClock records the intervals between the events of one answer. The zero value is before the first event.
type eventClock struct {
	last    time.Time // when the last event arrived
	blocked bool      // its caller took long to receive a part since
}

// recordData records that a part of the answer arrived. A part may have several events, or only the beginning of one.
func (c *eventClock) recordData(now time.Time, data []byte, activity *serverset.Activity) {
	events := bytes.Count(data, eventEnd)
	if events == 0 {
		if events = bytes.Count(data, eventEndCRLF); events == 0 {
			return
		}
	}
	if !c.last.IsZero() && !c.blocked {
		activity.RecordInterval(now.Sub(c.last), events)
	}
	c.last, c.blocked = now, false
}

// recordWrite records that a part that arrived at now has been sent to the caller.
func (c *eventClock) recordWrite(now, sent time.Time) {
	if sent.Sub(now) >= slowWrite {
		c.blocked = true
	}
}

// watchPaces compares the pace of the backend servers at intervals.
func (s *Server) watchPaces(ctx context.Context) {
	for wait.For(ctx, paceInterval) {
		s.servers.ObserveIntervals()
	}
}
