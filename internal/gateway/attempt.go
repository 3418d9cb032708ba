package gateway

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/serverset"
)

// attempt tracks one attempt at a backend server, from the send to the end of the answer.
type attempt struct {
	servers  *serverset.Set
	server   route.Backend
	began    time.Time // the decision to send
	sentAt   time.Time // the wait for the answer
	activity *serverset.Activity
	firstAt  time.Time // when the first part of the answer arrived; zero: none yet
}

func startAttempt(servers *serverset.Set, server route.Backend, began time.Time) *attempt {
	since, activity := servers.BeginWait(server.ID)
	return &attempt{servers: servers, server: server, began: began, sentAt: since, activity: activity}
}

// recordData records that a part of the answer arrived.
func (a *attempt) recordData(now time.Time) {
	a.activity.Record(now)
	if a.firstAt.IsZero() {
		a.firstAt = now
		a.servers.RecordFirstData(now, a.server.ID, a.sentAt)
	}
}

// end ends the tracking of the attempt.
func (a *attempt) end() { a.servers.EndWait(a.server.ID, a.sentAt) }
