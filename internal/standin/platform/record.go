package platform

import (
	"fmt"
	"slices"
)

// Record is the list of received orders and reports in order of arrival, with the rule violations found in it.
type Record struct {
	Events     []Event  `json:"events"`
	Violations []string `json:"violations"`
}

// Record returns a copy of the current record.
func (s *Standin) Record() Record {
	s.mu.Lock()
	events := slices.Clone(s.events)
	s.mu.Unlock()
	return Record{Events: events, Violations: Violations(events)}
}

// Violations returns a message for each violation of these rules: nothing arrives from a process after a process with a
// higher fencing token has sent something, a fencing token is used by one process only, an order id has one server only, and
// all usage reports of a window are the same.
func Violations(events []Event) []string {
	c := checker{
		holders: make(map[uint64]string), servers: make(map[string]string), usage: make(map[uint64]string),
		violations: []string{},
	}
	for _, e := range events {
		c.checkSender(e)
		c.checkEffect(e)
	}
	return c.violations
}

// checker checks events in order of arrival and collects violations.
type checker struct {
	maxFencing uint64
	holders    map[uint64]string // by fencing token
	servers    map[string]string // by order id
	usage      map[uint64]string // by window
	violations []string
}

func (c *checker) addf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) checkSender(e Event) {
	if e.Fencing < c.maxFencing {
		c.addf("%s from %s with fencing token %d after %d", e.Kind, e.Holder, e.Fencing, c.maxFencing)
	}
	c.maxFencing = max(c.maxFencing, e.Fencing)
	if holder, ok := c.holders[e.Fencing]; ok && holder != e.Holder {
		c.addf("fencing token %d used by %s and %s", e.Fencing, holder, e.Holder)
	}
	c.holders[e.Fencing] = e.Holder
}

func (c *checker) checkEffect(e Event) {
	switch {
	case e.Kind == EventUsage:
		if reported, ok := c.usage[e.Window]; ok && reported != e.Body {
			c.addf("window %d reported with different usage", e.Window)
		}
		c.usage[e.Window] = e.Body
	case e.Code == codeOK:
		if server, ok := c.servers[e.OrderID]; ok && server != e.Server {
			c.addf("order %s had two servers: %s and %s", e.OrderID, server, e.Server)
		}
		c.servers[e.OrderID] = e.Server
	}
}
