package platform

import (
	"fmt"
	"slices"
)

// Record is everything that arrived, in order, with the rules that it breaks.
type Record struct {
	Events     []Event  `json:"events"`
	Violations []string `json:"violations"`
}

// Record returns a copy of the record.
func (s *Standin) Record() Record {
	s.mu.Lock()
	events := slices.Clone(s.events)
	s.mu.Unlock()
	return Record{Events: events, Violations: Violations(events)}
}

// Violations names each rule that the events break: nothing arrives from a process after its successor has sent
// something, one fencing number belongs to one process, an order id starts one server only, a window has one set of figures.
func Violations(events []Event) []string {
	c := checker{
		holders: make(map[uint64]string), servers: make(map[string]string), figures: make(map[uint64]string),
		found: []string{},
	}
	for _, e := range events {
		c.checkSender(e)
		c.checkEffect(e)
	}
	return c.found
}

type checker struct {
	newest  uint64
	holders map[uint64]string // by fencing number
	servers map[string]string // by order id
	figures map[uint64]string // by window
	found   []string
}

func (c *checker) add(format string, args ...any) {
	c.found = append(c.found, fmt.Sprintf(format, args...))
}

func (c *checker) checkSender(e Event) {
	if e.Fencing < c.newest {
		c.add("%s from %s with fencing number %d after %d", e.Kind, e.Holder, e.Fencing, c.newest)
	}
	c.newest = max(c.newest, e.Fencing)
	if holder, ok := c.holders[e.Fencing]; ok && holder != e.Holder {
		c.add("fencing number %d used by %s and %s", e.Fencing, holder, e.Holder)
	}
	c.holders[e.Fencing] = e.Holder
}

func (c *checker) checkEffect(e Event) {
	switch {
	case e.Kind == EventUsage:
		if held, ok := c.figures[e.Window]; ok && held != e.Body {
			c.add("window %d reported with different figures", e.Window)
		}
		c.figures[e.Window] = e.Body
	case e.Code == codeOK:
		if server, ok := c.servers[e.OrderID]; ok && server != e.Server {
			c.add("order %s had two servers: %s and %s", e.OrderID, server, e.Server)
		}
		c.servers[e.OrderID] = e.Server
	}
}
