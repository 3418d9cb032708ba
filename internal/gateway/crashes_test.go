package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// closesWith returns a script that breaks off its answer after text. If crashes is true, the server refuses connections from then on.
func closesWith(b **fixture, crashes bool, text func(r *http.Request) string) func(*http.Request, string) string {
	return func(r *http.Request, _ string) string {
		if crashes {
			for _, s := range (*b).servers {
				_ = s.lis.Close()
			}
		}
		return text(r) + closeAfter
	}
}

// TestLogsTellCrashFromBrokenAnswer checks that a broken answer counts as a crash only if the server refuses connections, and that the
// log then names the shared parts of the prompts under which it crashed.
func TestLogsTellCrashFromBrokenAnswer(t *testing.T) {
	head := func(r *http.Request) string { return streamStart(r) }
	nothing := func(*http.Request) string { return "" }
	cases := []struct {
		name    string
		crashes bool
		answer  func(r *http.Request) string
	}{
		{"crash after the head", true, head},
		{"crash without an answer", true, nothing},
		{"answer lost by a server that runs on", false, nothing},
		{"stream broken off by a server that runs on", false, head},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b *fixture
			b = newFixture(t, newBackend(t, closesWith(&b, c.crashes, c.answer)))
			var logs logOutput
			b.gw.cfg.Logger = slog.New(slog.NewTextHandler(&logs, nil))
			b.gw.cfg.Metrics = telemetry.NewRegistry(telemetry.DefaultMaxSeries)
			checked := make(chan struct{}, 1)
			b.gw.crashes.hasCrashed = func(ctx context.Context, server route.Backend) bool {
				crashed := b.gw.hasCrashed(ctx, server)
				if !crashed {
					checked <- struct{}{}
				}
				return crashed
			}
			b.gw.crashes.onCrash = func(found crash) { b.gw.recordCrash(found); checked <- struct{}{} }
			_, _, _ = b.do(http.MethodPost, "/stream/x", func(r *http.Request) { r.Header.Set("X-Parts", "a1,b2,c3") })
			<-checked
			if !strings.Contains(logs.String(), `prompt_parts="[000000a1 000000b2]"`) {
				t.Errorf("the admission does not name the shared parts:\n%s", logs.String())
			}
			const want = `msg="backend server crashed" backend_server=s0`
			if got := strings.Contains(logs.String(), want); got != c.crashes {
				t.Errorf("line with %s: %v, want %v in\n%s", want, got, c.crashes, logs.String())
			}
		})
	}
}

// TestCrashIsReportedOnceForAllRequests checks that one crash gives one report with the parts of all requests that it broke off, and
// that another incarnation counts as another server.
func TestCrashIsReportedOnceForAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reports := make(chan crash, 4)
		refuses := map[string]bool{"a:1": true, "b:1": false}
		d := newCrashDetector(func(_ context.Context, server route.Backend) bool { return refuses[server.Address] }, func(c crash) { reports <- c })
		first := route.Backend{ID: "a", Incarnation: "1", Address: "a:1"}
		second := route.Backend{ID: "a", Incarnation: "2", Address: "a:1"}
		sound := route.Backend{ID: "b", Incarnation: "1", Address: "b:1"}
		d.recordBroken(first, []uint64{7, 3})
		d.recordBroken(sound, []uint64{3})
		time.Sleep(crashCheckDelay / 2)
		d.recordBroken(first, []uint64{7, 9})
		d.recordBroken(second, nil)
		time.Sleep(2 * crashCheckDelay)
		synctest.Wait()
		close(reports)
		var found []crash
		for c := range reports {
			found = append(found, c)
		}
		if len(found) != 2 {
			t.Fatalf("found %d crashes, want 2: %+v", len(found), found)
		}
		if got := found[0]; got.server.Incarnation != "1" || got.requests != 2 || !maps.Equal(got.parts, map[uint64]int{3: 1, 7: 0, 9: 1}) {
			t.Errorf("first crash %+v", got)
		}
		if got := found[1]; got.server.Incarnation != "2" || got.requests != 1 || len(got.parts) != 0 {
			t.Errorf("second crash %+v", got)
		}
	})
}
