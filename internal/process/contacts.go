package process

import (
	"strconv"
	"time"

	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/roster"
)

// contactID returns the id of a member that has sent a digest, or false if it is not a number.
func contactID(c control.Contact) (id uint64, ok bool) {
	id, err := strconv.ParseUint(c.ID, 10, 64)
	return id, err == nil
}

// observeContacts updates contacts with the configuration in effect and the times at which its members were heard.
func observeContacts(c *roster.Contacts, now time.Time, conf raft.Configuration, heardAt func(raft.Member) time.Time) {
	for _, m := range conf.Members {
		c.Record(m.ID, heardAt(m))
	}
	c.Observe(now, conf)
}
