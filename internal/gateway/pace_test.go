package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/serverset"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// newActivity returns a set with one backend server, and its activity.
func newActivity() (*serverset.Set, *serverset.Activity) {
	servers := serverset.New("zone-a", route.PolicySessionLanes)
	servers.Update(time.Now(), []*controlpb.BackendServer{{Id: "a", Kind: route.KindService, Model: "app", Lifecycle: route.LifecycleReady}})
	_, activity := servers.BeginWait("a")
	return servers, activity
}

// TestEventClock guards against intervals that are no pause of the server: parts of an event, several events that arrive together, the wait for the
// first one, and the time in which a slow caller takes nothing.
func TestEventClock(t *testing.T) {
	start := time.Now()
	for _, tt := range []struct {
		name    string
		parts   []string      // one every 100 ms
		blocked time.Duration // after the second part
		want    time.Duration // longest interval
	}{
		{name: "events", parts: []string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"}, want: 100 * time.Millisecond},
		{name: "events with other line ends", parts: []string{"id: 1\r\n\r\n", "id: 2\r\n\r\n"}, want: 100 * time.Millisecond},
		{name: "one event", parts: []string{"id: 1\n\n"}},
		{name: "an event in parts", parts: []string{"id: 1\n\n", "id:", " 2", "\n\n"}, want: 300 * time.Millisecond},
		{name: "slow caller", parts: []string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"}, blocked: 50 * time.Millisecond, want: 100 * time.Millisecond},
		{name: "slow caller at the first event", parts: []string{"", "id: 2\n\n", "id: 3\n\n"}, blocked: 50 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			servers, activity := newActivity()
			var c eventClock
			for i, part := range tt.parts {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				c.recordData(now, []byte(part), activity)
				sent := now
				if i == 1 {
					sent = now.Add(tt.blocked)
				}
				c.recordWrite(now, sent)
			}
			if got := longestOf(servers, "a"); got != tt.want {
				t.Errorf("got a longest interval of %v, want %v", got, tt.want)
			}
		})
	}
}

// longestOf returns the longest interval at a server.
func longestOf(servers *serverset.Set, id string) time.Duration {
	for _, in := range servers.TakeIntervals() {
		if in.ID == id {
			return in.Longest
		}
	}
	return 0
}

// TestPaceMonitorLogsChanges checks the log lines and metrics when a server becomes slow, is listed and is as its peers again.
func TestPaceMonitorLogsChanges(t *testing.T) {
	var out bytes.Buffer
	metrics := telemetry.NewRegistry(telemetry.DefaultMaxSeries)
	s := &Server{cfg: Config{Logger: slog.New(slog.NewTextHandler(&out, nil)), Metrics: metrics}}
	var m paceMonitor
	now := time.Unix(1000, 0)
	slow := route.PaceState{ID: "a", Slow: true, Lasting: 2, Stated: 1.8, StatedAge: 300 * time.Millisecond, Gap: 200 * time.Millisecond, PeerGap: 90 * time.Millisecond}
	listed := slow
	listed.Listed = 2.5
	for _, tt := range []struct {
		name   string
		states []route.PaceState
		line   string // contained in the only line; empty: none
		gauge  string
	}{
		{"usual", []route.PaceState{{ID: "a", Lasting: 1}}, "", "guavastack_gateway_slow_servers 0"},
		{"slow", []route.PaceState{slow}, "backend_server=a slow=true listed=false lasting=2 stated=1.8 stated_age_ms=300 gap_ms=200 peer_gap_ms=90", `gateway_server_slowdown_pct{server="a"} 200`},
		{"still slow", []route.PaceState{slow}, "", "guavastack_gateway_slow_servers 1"},
		{"listed", []route.PaceState{listed}, "slow=true listed=true", `gateway_server_slowdown_pct{server="a"} 250`},
		{"usual again", []route.PaceState{{ID: "a", Lasting: 1}}, "slow=false listed=false lasting=1", `gateway_server_slowdown_pct{server="a"} 100`},
		{"slow again", []route.PaceState{slow}, "slow=true", "guavastack_gateway_slow_servers 1"},
		{"gone", nil, "", `gateway_server_slowdown_pct{server="a"} 100`},
	} {
		out.Reset()
		m.observe(s, now, tt.states, 3)
		lines := strings.Count(out.String(), "backend server pace")
		if !strings.Contains(out.String(), tt.line) || (lines == 1) != (tt.line != "") {
			t.Errorf("%s: got log %q, want %q", tt.name, out.String(), tt.line)
		}
		var text bytes.Buffer
		if err := metrics.WriteText(&text); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(text.String(), tt.gauge) || !strings.Contains(text.String(), "gateway_homes_left_for_gap 3") {
			t.Errorf("%s: got metrics %s, want %s", tt.name, text.String(), tt.gauge)
		}
	}
	out.Reset()
	var many []route.PaceState
	for i := range 200 {
		many = append(many, route.PaceState{ID: string(rune('A' + i)), Slow: true, Lasting: 2})
	}
	m.observe(s, now.Add(time.Minute), many, 3)
	if lines := strings.Count(out.String(), "\n"); lines != maxPaceLogs {
		t.Errorf("got %d lines when many servers become slow at once, want %d", lines, maxPaceLogs)
	}
}

// TestStatedPaceReachesTheRouter guards against the figure being lost between the answer of a server and the choice of one.
func TestStatedPaceReachesTheRouter(t *testing.T) {
	b := newFixture(t, newBackend(t, nil))
	server, _ := b.gw.servers.Find("s0")
	b.gw.recordLoad(server, Reply{Load: Load{Slots: 4, Slowdown: 2.5}})
	states, _ := b.gw.servers.PaceStates()
	if len(states) != 1 || states[0].ID != "s0" || states[0].Stated != 2.5 {
		t.Errorf("got states %+v, want the stated pace of s0", states)
	}
}
