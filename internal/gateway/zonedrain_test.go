package gateway

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// drain makes the gateway know that exactly these zones are drained.
func (b *fixture) drain(zones ...string) {
	list := &zonedrain.List{}
	for _, zone := range zones {
		list.Drains = append(list.Drains, zonedrain.Drain{Zone: zone, SinceMS: 7, By: "operator"})
	}
	b.dir.drains.Store(list)
	b.dir.onChange()
}

// newZonedFixture returns a gateway with one server in each of the given zones.
func newZonedFixture(t *testing.T, zones []string, script func(r *http.Request, body string) string) *fixture {
	t.Helper()
	var servers []*backend
	for range zones {
		servers = append(servers, newBackend(t, script))
	}
	b := newFixture(t, servers...)
	for i, zone := range zones {
		b.dir.backends[i].Zone = zone
	}
	b.dir.onChange()
	return b
}

// request sends a request with an id of its own.
func (b *fixture) request(path string, id int) (status int, verdict string, err error) {
	res, _, err := b.do(http.MethodPost, path, func(r *http.Request) { r.Header.Set("X-Id", strconv.Itoa(id)) })
	if err != nil {
		return 0, "", err
	}
	return res.StatusCode, res.Header.Get(headerVerdict), nil
}

// TestServersOfDrainedZoneGetNothing guards against first sends, retries and resumed streams that reach a server of a drained zone.
func TestServersOfDrainedZoneGetNothing(t *testing.T) {
	answers := map[string]func(r *http.Request) string{
		"served":   func(r *http.Request) string { return fullAnswer(r, 200, seal, "served") },
		"not run":  func(r *http.Request) string { return fullAnswer(r, 503, "X-Not-Run: 1\r\n", "") },
		"failed":   func(r *http.Request) string { return fullAnswer(r, 500, seal, "") },
		"cut":      func(r *http.Request) string { return streamStart(r, "id: 1\n\n") + closeAfter },
		"no reply": func(*http.Request) string { return closeAfter },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			b := newZonedFixture(t, []string{"a", "b", "a", "c"}, func(r *http.Request, _ string) string { return answer(r) })
			b.drain("a", "c")
			for i := range 12 {
				for _, r := range testRoutes {
					_, _, _ = b.request(r.PathPrefix+"x", i) // the answer does not matter here
				}
			}
			for i, s := range b.servers {
				if n, zone := len(s.requests()), b.dir.backends[i].Zone; (n > 0) != (zone == "b") {
					t.Errorf("server in zone %s got %d requests with zones a and c drained", zone, n)
				}
			}
		})
	}
}

// TestDrainOfAllZones checks that requests are refused as not run while every zone is drained, also if a server registers meanwhile, and
// are served again afterwards.
func TestDrainOfAllZones(t *testing.T) {
	b := newZonedFixture(t, []string{"a", "b"}, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "served") })
	var log bytes.Buffer
	b.gw.cfg.Logger = slog.New(slog.NewTextHandler(&log, nil))
	late := newBackend(t, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "served") })
	steps := []struct {
		name   string
		change func()
		status int
	}{
		{"no drain", func() {}, 200},
		{"one zone", func() { b.drain("a") }, 200},
		{"the last zone too", func() { b.drain("a", "b") }, 503},
		{"a server registers", func() {
			b.dir.backends = append(b.dir.backends, &controlpb.BackendServer{
				Id: "late", Incarnation: "1", Address: late.lis.Addr().String(), Kind: route.KindService, Model: "app", Zone: "b",
				Lifecycle: route.LifecycleReady, Slots: 4,
			})
			b.dir.onChange()
		}, 503},
		{"one drain ends", func() { b.drain("a") }, 200},
		{"both have ended", func() { b.drain() }, 200},
	}
	id := 0
	for _, s := range steps {
		s.change()
		for range 8 {
			id++
			status, verdict, err := b.request("/unsafe/x", id)
			if err != nil || status != s.status || (status == 503 && verdict != "not_run") {
				t.Fatalf("%s: got status %d, verdict %q, error %v; want %d, and not_run with 503", s.name, status, verdict, err, s.status)
			}
		}
		if s.status == 503 && len(late.requests()) > 0 {
			t.Errorf("%s: the server that registered in a drained zone got a request", s.name)
		}
	}
	if n := len(late.requests()); n == 0 {
		t.Error("the server that registered during the drain got no request after it")
	}
	for line, want := range map[string]int{`msg="zone drained"`: 2, `msg="zone no longer drained"`: 2, "ordered_by=operator": 2} {
		if got := strings.Count(log.String(), line); got != want {
			t.Errorf("%d log lines with %s, want %d", got, line, want)
		}
	}
}

// TestDrainMetrics checks the gauges of drained zones and of the servers in them.
func TestDrainMetrics(t *testing.T) {
	b := newZonedFixture(t, []string{"a", "a", "b"}, nil)
	b.gw.cfg.Metrics = telemetry.NewRegistry(telemetry.DefaultMaxSeries)
	b.gw.registerGauges()
	for _, c := range []struct {
		zones []string
		want  string
	}{
		{nil, "guavastack_gateway_drained_servers 0\n"},
		{[]string{"a"}, "guavastack_gateway_drained_servers 2\n"},
		{[]string{"a"}, "guavastack_gateway_drained_zones 1\n"},
		{[]string{"a", "b", "c"}, "guavastack_gateway_drained_zones 3\n"},
	} {
		b.drain(c.zones...)
		var text bytes.Buffer
		if err := b.gw.cfg.Metrics.WriteText(&text); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(text.String(), c.want) {
			t.Errorf("zones %q drained: got metrics\n%s\nwant %s", c.zones, text.String(), c.want)
		}
	}
}

// TestRequestInProgressFinishesDuringDrain guards against a drain that breaks off what a server of the zone already runs.
func TestRequestInProgressFinishesDuringDrain(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	server := newBackend(t, nil)
	server.stream = func(r *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, streamStart(r, "id: 1\n\n"))
		close(started)
		<-finish
		_, _ = io.WriteString(conn, "7\r\nid: 2\n\n\r\n"+lastChunk)
	}
	b := newFixture(t, server)
	b.dir.backends[0].Zone = "a"
	b.dir.onChange()
	go func() {
		<-started
		b.drain("a")
		close(finish)
	}()
	_, body, err := b.do(http.MethodPost, "/stream/x")
	if want := "id: 1\n\nid: 2\n\n"; err != nil || body != want {
		t.Errorf("got body %q, error %v; want %q", body, err, want)
	}
	if status, _, _ := b.request("/stream/x", 2); status != 503 {
		t.Errorf("got status %d for a request after the drain, want 503", status)
	}
}

// TestResumeAtBackupDuringDrain interrupts a stream that must run only once while a zone is drained. A server whose zone is drained still
// finishes what it has; if it crashes, its backup elsewhere resumes the run, but never a backup in a drained zone.
func TestResumeAtBackupDuringDrain(t *testing.T) {
	const events = "id: 1\n\nid: 2\n\n"
	for _, c := range []struct {
		name          string
		drainsCrashed bool // the zone of the server that crashes, otherwise that of its backup
		want          string
		truncated     bool
	}{
		{"the crashed server's zone", true, events + "id: 3\n\n", false},
		{"the backup's zone", false, events, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b *fixture
			b = newZonedFixture(t, []string{"a", "b"}, func(r *http.Request, _ string) string {
				if r.Header.Get("X-From") != "" {
					return streamStart(r, "id: 3\n\n") + lastChunk
				}
				for i, s := range b.servers {
					crashes := r.Header.Get("X-Server") == b.dir.backends[i].Id
					if crashes {
						_ = s.lis.Close()
					}
					if crashes == c.drainsCrashed {
						b.drain(b.dir.backends[i].Zone)
					}
				}
				return streamStart(r, events) + closeAfter
			})
			_, body, err := b.do(http.MethodPost, "/stream/x", func(r *http.Request) {
				r.Header.Set("X-Prompt", "700")
				r.Header.Set("X-Output", "300")
			})
			if body != c.want || (err != nil) != c.truncated {
				t.Errorf("got body %q, error %v; want %q, truncated %v", body, err, c.want, c.truncated)
			}
		})
	}
}
