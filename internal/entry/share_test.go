package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/settings"
)

// TestUnchangedShareDoesNotExpire admits two concurrent requests under half of a limit of four, long after the share was first
// set. If the share had expired, its floor would admit only one.
func TestUnchangedShareDoesNotExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimits()
		share := limit.Share{To: 0.5, FloorTo: 0.25}
		x := &exchange{organisation: "camurca", class: settings.Class{Name: "chat", Limits: settings.Limits{Concurrency: 4}}}
		lease, refused := l.acquire(x, nil, share)
		if refused != nil {
			t.Fatal(refused)
		}
		l.release(lease)
		time.Sleep(2 * limit.ShareLifetime)
		for i := range 2 {
			if _, refused := l.acquire(x, nil, share); refused != nil {
				t.Errorf("request %d: got refusal %v, want none", i+1, refused)
			}
		}
	})
}
