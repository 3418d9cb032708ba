package gateway

import (
	"time"

	"github.com/guavastack/guavastack/internal/serverset"
)

// await is one try at a backend server, from the send to the end of the answer.
type await struct {
	servers  *serverset.Set
	server   string // id
	since    time.Time
	activity *serverset.Activity
	firstAt  time.Time // when something of the answer came first; zero: nothing yet
}

func newAwait(servers *serverset.Set, server string) *await {
	since, activity := servers.Await(server)
	return &await{servers: servers, server: server, since: since, activity: activity}
}

// heard notes that something of the answer came.
func (a *await) heard(now time.Time) {
	a.activity.Note(now)
	if a.firstAt.IsZero() {
		a.firstAt = now
		a.servers.AnswerBegan(a.server, now.Sub(a.since))
	}
}

// over notes the end of the try.
func (a *await) over() { a.servers.AwaitOver(a.server, a.since) }
