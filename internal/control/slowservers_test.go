package control

import (
	"log/slog"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/route"
)

// TestOldPaceReportsDoNotCount guards against gateways that have ended and keep a server on the list, or off it.
func TestOldPaceReportsDoNotCount(t *testing.T) {
	streams := []route.StreamWork{{Gap: 200 * time.Millisecond, Prefill: 100}, {Gap: 800 * time.Millisecond, Prefill: 100}}
	work := []route.ServiceWork{{Service: "app", Streams: streams}}
	start := time.Unix(1000, 0)
	newProcess := func(id string, heard time.Time, slow ...route.SlowServer) member.Process {
		paces := []route.PaceReport{{Service: "other", Coverage: 1}, {Service: "app", Coverage: 1, Servers: slow}}
		return member.Process{ID: id, Heard: heard, Work: work, Paces: paces}
	}
	slow := route.SlowServer{ID: "a", Incarnation: "1", Slowdown: 3}
	l := newLanePlans(slog.New(slog.DiscardHandler))
	for after := time.Duration(0); after < 30*time.Second; after += time.Second {
		now := start.Add(after)
		l.recompute(now, []member.Process{
			newProcess("alive", now, slow), newProcess("ended-1", start), newProcess("ended-2", start),
		}, map[string]int{"app": 8})
		plans, _ := l.newest()
		if got, want := len(plans["app"].Slow) == 1, after >= maxPaceAge+6*time.Second; got != want {
			t.Errorf("%v after the start: got slow servers %v, want one: %v", after, plans["app"].Slow, want)
		}
	}
}
