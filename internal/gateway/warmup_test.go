package gateway

import (
	"bytes"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// newColdFixture returns a gateway whose catalog states that a cold server takes one request in a hundred seconds, so that a test uses one
// turn at most.
func newColdFixture(t *testing.T, servers ...*backend) *fixture {
	t.Helper()
	b := newFixture(t, servers...)
	c := &catalog.Catalog{
		Version: 2, RequireKeys: true, Organisations: []catalog.Organisation{{Name: "one", Keys: []string{"k"}}},
		Services: []catalog.Service{{Name: "app", ColdStart: time.Minute, ColdPerSecond: 0.01, Engine: &catalog.Engine{Backups: true}}},
	}
	for _, r := range testRoutes {
		r.Host, r.Timeout = "127.0.0.1", time.Minute
		r.Targets = []catalog.Target{{Service: "app", Weight: 1}}
		c.Routes = append(c.Routes, r)
	}
	b.dir.index.Store(catalog.NewIndex(c))
	b.gw.cfg.Metrics = telemetry.NewRegistry(100)
	b.dir.onChange()
	return b
}

// heartbeat makes the gateway receive a report of a server.
func (b *fixture) heartbeat(i int, sequence uint64, remaining time.Duration) {
	old := b.dir.backends[i]
	b.dir.backends = slices.Clone(b.dir.backends)
	b.dir.backends[i] = &controlpb.BackendServer{
		Id: old.Id, Incarnation: old.Incarnation, Address: old.Address, Kind: old.Kind, Model: old.Model, Lifecycle: old.Lifecycle,
		Slots: old.Slots, Sequence: sequence, ColdRemainingMs: remaining.Milliseconds(),
	}
	b.dir.onChange()
}

// ask sends requests one after the other and returns how many got each status. It checks that refusals say that the request did not run and
// when a turn comes.
func (b *fixture) ask(n int) map[int]int {
	b.t.Helper()
	statuses := make(map[int]int)
	for i := range n {
		res, _, err := b.do(http.MethodPost, "/unsafe/x", func(r *http.Request) { r.Header.Set("X-Id", strconv.Itoa(i)) })
		if err != nil {
			b.t.Fatal(err)
		}
		statuses[res.StatusCode]++
		if res.StatusCode != http.StatusServiceUnavailable {
			continue
		}
		retry, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if err != nil || retry <= 0 || res.Header.Get(headerVerdict) != "not_run" {
			b.t.Errorf("Retry-After %q, verdict %q; want a time and not_run", res.Header.Get("Retry-After"), res.Header.Get(headerVerdict))
		}
	}
	return statuses
}

func served(t *testing.T, extra string) *backend {
	t.Helper()
	return newBackend(t, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal+extra, "x") })
}

// TestColdServerGetsOnlyItsTurns guards against requests beyond the turns at a server that is cold by its report or by its answer, whatever
// became of the request, and at one that returns from an outage.
func TestColdServerGetsOnlyItsTurns(t *testing.T) {
	t.Run("by its report", func(t *testing.T) {
		b := newColdFixture(t, served(t, ""))
		b.heartbeat(0, 1, time.Minute)
		if got := b.ask(5); got[200] > 1 || got[503] < 4 {
			t.Errorf("statuses %v, want one request at most in its turn and 503 for the others", got)
		}
		if n := b.gw.cfg.Metrics.Counter(metricColdRefusals, telemetry.Label{Name: "service", Value: "app"}).Count(); n < 4 {
			t.Errorf("%d refusals are counted, want 4 or more", n)
		}
		b.heartbeat(0, 2, 0)
		if got := b.ask(5); got[200] != 5 {
			t.Errorf("statuses %v once the server is warm, want 200", got)
		}
	})
	t.Run("by its answer", func(t *testing.T) {
		b := newColdFixture(t, served(t, "X-Cold: 1m\r\n"))
		if got := b.ask(5); got[200] > 2 || len(b.servers[0].requests()) > 2 {
			t.Errorf("statuses %v, %d requests reached the server; want the first one and one turn at most", got, len(b.servers[0].requests()))
		}
	})
	t.Run("by the answer that it did not run the request", func(t *testing.T) {
		b := newColdFixture(t, newBackend(t, func(r *http.Request, _ string) string {
			return fullAnswer(r, 503, "X-Not-Run: 1\r\nX-Cold: 1m\r\n", "")
		}))
		_ = b.ask(5)
		if n := len(b.servers[0].requests()); n > 2 {
			t.Errorf("the server got %d requests, want the first one and one turn at most", n)
		}
	})
	t.Run("beside a warm server", func(t *testing.T) {
		b := newColdFixture(t, served(t, ""), served(t, ""))
		b.heartbeat(0, 1, time.Minute)
		if got := b.ask(20); got[200] != 20 {
			t.Errorf("statuses %v, want 200", got)
		}
		if n := len(b.servers[0].requests()); n > 1 {
			t.Errorf("the cold server got %d requests, want one at most", n)
		}
	})
	t.Run("after it was unreachable", func(t *testing.T) {
		b := newColdFixture(t, served(t, ""))
		_ = b.servers[0].lis.Close()
		_ = b.ask(1)
		if got := b.gw.servers.States()[0].Cold.Cause; got != route.ColdUnreachable {
			t.Fatalf("the server counts as cold by %q, want by %q", got, route.ColdUnreachable)
		}
	})
}

// TestRunIsNotResumedAtColdServerWithoutTurn guards against runs of a crashed server that go on together at one that has turned cold.
func TestRunIsNotResumedAtColdServerWithoutTurn(t *testing.T) {
	for name, hasTurn := range map[string]bool{"turn used": false, "turn left": true} {
		t.Run(name, func(t *testing.T) {
			var b *fixture
			resumed := false
			script := func(r *http.Request, _ string) string {
				if r.Header.Get("X-From") != "" {
					resumed = true
					return streamStart(r, "id: 2\n\n") + lastChunk
				}
				for i, s := range b.servers {
					id := b.dir.backends[i].Id
					if r.Header.Get("X-Server") == id {
						_ = s.lis.Close()
						continue
					}
					b.gw.servers.RecordColdAnswer(id, "1", time.Now(), time.Minute)
					if !hasTurn {
						b.gw.servers.RecordDispatch(id, 1, nil)
					}
				}
				return streamStart(r, "id: 1\n\n") + closeAfter
			}
			b = newColdFixture(t, newBackend(t, script), newBackend(t, script))
			b.gw.servers.SetColdStart(route.KindService, "app", route.ColdStart{PerSecond: map[bool]float64{true: 1e9, false: 0.01}[hasTurn]})
			_, body, err := b.do(http.MethodPost, "/stream/x", func(r *http.Request) {
				r.Header.Set("X-Prompt", "700")
				r.Header.Set("X-Output", "300")
			})
			if resumed != hasTurn || (err == nil) != hasTurn {
				t.Errorf("resumed %v, body %q, error %v; want resumed %v", resumed, body, err, hasTurn)
			}
		})
	}
}

// TestColdServersAreLogged checks the lines and the gauges of servers that count as cold.
func TestColdServersAreLogged(t *testing.T) {
	b := newColdFixture(t, served(t, ""))
	var logs bytes.Buffer
	b.gw.cfg.Logger = slog.New(slog.NewJSONHandler(&logs, nil))
	var monitor healthMonitor
	monitor.observe(b.gw)
	b.heartbeat(0, 1, time.Minute)
	monitor.observe(b.gw)
	monitor.observe(b.gw)
	gauge := func() int64 {
		return b.gw.cfg.Metrics.Gauge(metricColdServers, telemetry.Label{Name: "cause", Value: string(route.ColdByReport)}).Value()
	}
	if gauge() != 1 {
		t.Errorf("%d cold servers are counted, want 1", gauge())
	}
	b.heartbeat(0, 2, 0)
	monitor.observe(b.gw)
	if gauge() != 0 {
		t.Errorf("%d cold servers are counted, want none", gauge())
	}
	for text, want := range map[string]int{
		"backend server counts as cold": 1, "backend server no longer counts as cold": 1, `"cause":"report"`: 1, `"report_age_ms":`: 1, `"until":`: 1,
	} {
		if got := strings.Count(logs.String(), text); got != want {
			t.Errorf("%d lines with %q, want %d:\n%s", got, text, want, logs.String())
		}
	}
}
